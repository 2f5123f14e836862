// Package policy replays seeded loads and faults through the ways of each decision, side by side, in
// virtual time, against small fakes of engines.
package policy
