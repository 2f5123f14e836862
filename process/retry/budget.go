// Package retry decides whether a failed attempt may be retried. It does no I/O.
package retry

import "savorywing.example/savorywing"

// burst is the maximum number of unused retries that accumulate.
const burst = 10.0

// Budget limits retries to a ratio of the successful requests.
type Budget struct {
	ratio float64
	// balance is between 0 and burst.
	balance float64
}

// NewBudget returns a full budget; ratio is the number of retries per success.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: ratio, balance: burst}
}

// RecordSuccess credits the budget for one success.
func (b *Budget) RecordSuccess() {
	b.balance = min(burst, b.balance+b.ratio)
}

// Spend takes one retry from the budget and reports whether one was left.
func (b *Budget) Spend() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Allowed reports whether a request may be retried after a failure with code: only if it can't have run, or running it
// twice does no harm.
func Allowed(idempotent bool, code savorywing.ErrorCode) bool {
	return idempotent || code == savorywing.CodeNotRun
}
