// Package state is the replicated state machine: configuration, ownership of hosts and claims of
// non-idempotent requests. It is pure and the same on every voter.
package state
