// Package demand judges by the demand for each model whether servers are worth more in groups of another one. It does no I/O.
package demand

import (
	"math"
	"time"
)

// unevenness is the standard deviation of the load of a model's groups, as a fraction of the mean: placement is uneven, and
// callers come in waves. Callers begin to wait when the last tenth of a model's slots is in use.
const unevenness = 0.1

// Model is what a leader knows of one model, in slots.
type Model struct {
	// Mean is the recent demand, and Planned the demand that capacity is planned for, which is higher.
	Mean, Planned float64
	// Capacity is that of the groups that serve or are being formed.
	Capacity float64
}

// Need returns the planned demand divided by the capacity.
func (m Model) Need() float64 { return m.Planned / max(m.Capacity, 1) }

// Unserved returns the part of a demand that a capacity doesn't serve, in slots, where the load varies from moment to moment.
func Unserved(mean, capacity float64) float64 {
	if mean <= 0 {
		return 0
	}
	deviation := math.Sqrt(mean + unevenness*unevenness*mean*mean)
	excess := mean - max(capacity, 0)
	z := excess / deviation
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	return deviation*density + excess*math.Erfc(-z/math.Sqrt2)/2
}

// exchangeMargin is the factor by which what an exchange gains must exceed what it loses.
const exchangeMargin = 1.5

// Gain returns how much more demand is served, in slots, if a model gets additional capacity. It counts the mean demand.
func (m Model) Gain(added float64) float64 {
	return Unserved(m.Mean, m.Capacity) - Unserved(m.Mean, m.Capacity+added)
}

// Loss returns how much less demand is served, in slots, if a model loses capacity, times the margin by which a gain must exceed it.
// It counts the planned demand.
func (m Model) Loss(lost float64) float64 {
	return exchangeMargin * (Unserved(m.Planned, m.Capacity-lost) - Unserved(m.Planned, m.Capacity))
}

// A model is short from when its need has been at least shortNeed for shortAfter, until it has been below
// servedNeed for servedAfter.
const (
	shortNeed   = 1.1
	servedNeed  = 0.9
	shortAfter  = 2 * time.Second
	servedAfter = 4 * time.Second
)

// Change is a change of the belief that a model is short, with what decided it.
type Change struct {
	Name  string
	Short bool
	Model
	// Lasted is how long the need has been beyond the threshold.
	Lasted time.Duration
}

// belief is what is believed of one model.
type belief struct {
	short bool
	// contradictedSince is since when the need contradicts the belief; zero if it doesn't.
	contradictedSince time.Time
}

// Shortages holds which models are short. The zero value holds none.
type Shortages struct {
	beliefs map[string]*belief
	changes []Change
}

// Observe records a model's demand and capacity.
func (s *Shortages) Observe(now time.Time, name string, m Model) {
	b := s.beliefs[name]
	if b == nil {
		if s.beliefs == nil {
			s.beliefs = map[string]*belief{}
		}
		b = &belief{}
		s.beliefs[name] = b
	}
	contradicted, after := m.Need() >= shortNeed, shortAfter
	if b.short {
		contradicted, after = m.Need() < servedNeed, servedAfter
	}
	switch {
	case !contradicted:
		b.contradictedSince = time.Time{}
	case b.contradictedSince.IsZero():
		b.contradictedSince = now
	case now.Sub(b.contradictedSince) >= after:
		b.short = !b.short
		s.changes = append(s.changes, Change{Name: name, Short: b.short, Model: m, Lasted: now.Sub(b.contradictedSince)})
		b.contradictedSince = time.Time{}
	}
}

// IsShort reports whether a model is short.
func (s *Shortages) IsShort(name string) bool {
	b := s.beliefs[name]
	return b != nil && b.short
}

// TakeChanges returns the changes since the last call.
func (s *Shortages) TakeChanges() []Change {
	list := s.changes
	s.changes = nil
	return list
}
