package catalogue

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// ErrOutOfRange means that a number of a document is negative, or beyond what its field can mean.
var ErrOutOfRange = errors.New("a number is out of range")

// Other errors of documents that Validate returns.
var (
	ErrNoName        = errors.New("a name is missing")
	ErrDuplicateName = errors.New("two services, or two models of a service, share a name")
	ErrNoLimit       = errors.New("a limit on callers' connections is 0")
	ErrEmptyKey      = errors.New("a key is empty")
)

// Upper bounds of a document's numbers. Sums and products of numbers within them don't overflow.
const (
	maxDuration   = 366 * 24 * time.Hour
	maxWeight     = 1 << 31
	maxPriority   = 1 << 20
	maxCount      = 1 << 20
	maxLoads      = 10000
	maxTokens     = 1 << 40
	maxBytes      = 1 << 40
	maxRate       = 1e12
	maxTimeFactor = 1e6
	// maxGroupHosts is the maximum number of hosts in a group.
	maxGroupHosts = 1024
)

// bounds brings the numbers of a document into range. err is the first problem found, with the name of the field.
type bounds struct {
	err error
}

func (b *bounds) problem(where string, err error) {
	if b.err == nil {
		b.err = fmt.Errorf("%s: %w", where, err)
	}
}

func bound[T int | float64 | time.Duration](b *bounds, where string, v *T, low, high T) {
	got := *v
	if math.IsNaN(float64(got)) {
		got = low
	}
	if got = max(low, min(got, high)); got != *v {
		b.problem(where, fmt.Errorf("%w: %v", ErrOutOfRange, *v))
		*v = got
	}
}

func (b *bounds) document(d *Document) {
	b.limits(&d.Limits)
	for i := range d.Routes {
		b.route(&d.Routes[i])
	}
	for i := range d.Services {
		b.service(&d.Services[i])
	}
	for i := range d.Organisations {
		o := &d.Organisations[i]
		bound(b, fmt.Sprintf("organisation %q: priority", o.Name), &o.Priority, 0, maxPriority)
		for _, key := range o.Keys {
			if key == "" {
				b.problem(fmt.Sprintf("organisation %q", o.Name), ErrEmptyKey)
			}
		}
	}
}

func (b *bounds) limits(l *Limits) {
	bound(b, "limit on headers", &l.MaxHeaderBytes, 0, maxBytes)
	bound(b, "limit on bodies", &l.MaxBodyBytes, 0, maxBytes)
	bound(b, "time limit on headers", &l.HeaderTimeout, 0, maxDuration)
	bound(b, "time limit on idle connections", &l.IdleTimeout, 0, maxDuration)
	if l.MaxHeaderBytes == 0 || l.HeaderTimeout == 0 || l.IdleTimeout == 0 {
		b.problem("limits", ErrNoLimit)
	}
}

func (b *bounds) route(r *Route) {
	where := fmt.Sprintf("route %q: ", r.Name)
	bound(b, where+"timeout", &r.Timeout, 0, maxDuration)
	bound(b, where+"objective", &r.Objective, 0, maxDuration)
	bound(b, where+"objective of pauses", &r.GapObjective, 0, maxDuration)
	bound(b, where+"priority", &r.Priority, 0, maxPriority)
	bound(b, where+"attempts", &r.MaxAttempts, 0, maxCount)
	for i := range r.Services {
		// A negative weight is an error of New.
		bound(b, where+"weight", &r.Services[i].Weight, math.MinInt, maxWeight)
	}
}

func (b *bounds) service(s *Service) {
	where := fmt.Sprintf("service %q: ", s.Name)
	if s.Name == "" {
		b.problem("service", ErrNoName)
	}
	bound(b, where+"connections", &s.MaxConnections, 0, maxCount)
	bound(b, where+"cold time", &s.ColdTime, 0, maxDuration)
	bound(b, where+"requests a second while cold", &s.ColdPerSecond, 0, maxRate)
	e := s.Engine
	if e == nil {
		return
	}
	bound(b, where+"slots", &e.Slots, 0, maxCount)
	bound(b, where+"capacity", &e.KVTokens, 0, maxTokens)
	bound(b, where+"steps in a pass", &e.StepsPerPass, 0, maxCount)
	bound(b, where+"prefill chunk", &e.PrefillChunk, 0, maxTokens)
	bound(b, where+"concurrent loads", &e.MaxConcurrentLoads, 0, maxLoads)
	bound(b, where+"staged models", &e.MaxStagedModels, 0, maxCount)
	bound(b, where+"step time", &e.StepTime, 0, maxDuration)
	bound(b, where+"time of a request", &e.TimePerRequest, 0, maxDuration)
	bound(b, where+"time of tokens", &e.TimePerThousandTokens, 0, maxDuration)
	bound(b, where+"time of pairs", &e.AttentionTimePerMillionPairs, 0, maxDuration)
	bound(b, where+"time to open", &e.OpenTime, 0, maxDuration)
	if e.PrefillRate != 0 {
		bound(b, where+"prefill rate", &e.PrefillRate, 1, maxRate)
	}
	bound(b, where+"loads a second", &e.LoadsPerSecond, 0, maxLoads)
	bound(b, where+"mean prompt", &e.MeanPromptTokens, 0, maxTokens)
	bound(b, where+"mean output", &e.MeanOutputTokens, 0, maxTokens)
	b.models(where, e.Models)
}

func (b *bounds) models(where string, models []Model) {
	names := map[string]bool{}
	for i := range models {
		m := &models[i]
		where := fmt.Sprintf("%smodel %q: ", where, m.Name)
		if m.Name == "" {
			b.problem(where, ErrNoName)
		}
		if names[m.Name] {
			b.problem(where, ErrDuplicateName)
		}
		names[m.Name] = true
		bound(b, where+"hosts in a group", &m.HostsPerGroup, 1, maxGroupHosts)
		bound(b, where+"share", &m.InitialShare, 0, maxCount)
		bound(b, where+"time factor", &m.TimeFactor, 0, maxTimeFactor)
		bound(b, where+"time to load", &m.ColdLoadTime, 0, maxDuration)
		bound(b, where+"time to join", &m.WarmLoadTime, 0, maxDuration)
	}
}
