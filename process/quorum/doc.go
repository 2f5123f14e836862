// Package quorum is the replicated log: leader election with pre-vote and leases, commit by majority,
// snapshots and one-at-a-time changes of members. Core is pure; Node gives it a disk, a network and a clock.
package quorum
