// Package state implements the replicated state machine: the configuration, the ownership of hosts and the claims
// of non-idempotent requests. It is deterministic and does no I/O, so every voter computes the same state.
package state
