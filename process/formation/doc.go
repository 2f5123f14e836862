// Package formation decides which backend servers join which groups, and in which order of steps, so that a
// group begins to serve only while whole and no member leaves it for another while its head may serve.
// It is pure: what servers report and time in, orders out. It keeps no promise across leaders in memory:
// a new leader derives everything from reports, and what it can't know it waits for.
package formation
