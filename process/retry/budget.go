// Package retry decides whether a failed attempt may be followed by another one. It is pure.
package retry

import "savorywing.example/savorywing"

// burst bounds the retries that may be saved up.
const burst = 10.0

// Budget lets a share of the successes be spent on retries.
type Budget struct {
	share float64
	// balance is between 0 and burst.
	balance float64
}

// NewBudget returns a full budget.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, balance: burst}
}

// RecordSuccess pays a share of a success in.
func (b *Budget) RecordSuccess() {
	b.balance = min(burst, b.balance+b.share)
}

// Spend takes one retry and tells whether there was one left.
func (b *Budget) Spend() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Allowed tells whether a request may run again after a failure with code: only if it can't have run,
// or running twice does no harm.
func Allowed(idempotent bool, code savorywing.ErrorCode) bool {
	return idempotent || code == savorywing.CodeNotRun
}
