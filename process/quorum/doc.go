// Package quorum implements a replicated log as in Raft: leader election with pre-vote and leases, commit by
// majority, snapshots, and single-member membership changes. Core is a pure state machine; Node connects it to
// a disk, a transport and a clock.
package quorum
