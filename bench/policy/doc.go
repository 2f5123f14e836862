// Package policy compares the policies of each decision: it replays the same seeded loads and faults through every policy
// in virtual time, against simplified models of engines.
package policy
