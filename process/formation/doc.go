// Package formation decides which backend servers join which groups and in which order of steps, so that a group
// begins to serve only while complete and no member leaves it for another while its head may serve. It is a pure
// state machine: reports and time in, orders out. No guarantee depends on the memory of an earlier leader: a
// new leader derives its state from reports, and waits for what reports don't show yet.
package formation
