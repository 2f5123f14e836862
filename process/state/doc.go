// Package state implements the replicated state machine. It holds the configuration, the published document, the groups
// with the hosts assigned to them, and the claims of non-idempotent requests. It is deterministic and does no I/O, so every voter computes the same state.
package state
