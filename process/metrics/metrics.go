// Package metrics counts outcomes and keeps histograms of response times for each organisation and class.
package metrics

import (
	"expvar"
	"fmt"
	"maps"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowestMicroseconds  = 1
	highestMicroseconds = int64(10 * time.Minute / time.Microsecond)
	significantFigures  = 2
)

// Key identifies the histograms of one organisation and class.
type Key struct {
	Organisation string
	Class        string
}

// Sample holds the times and outcome of one finished request. Zero durations are not recorded.
type Sample struct {
	FirstToken          time.Duration
	InterTokenLatencies []time.Duration
	Total               time.Duration
	Outcome             string
	// WithinTimeouts reports whether the response arrived within the timeouts that applied to the request.
	WithinTimeouts bool
}

// Row is one row of the table of histograms. FirstToken, InterToken and Total map "p50", "p95", "p99" and "max" to times
// in milliseconds; they are nil without samples.
type Row struct {
	Organisation   string             `json:"organisation"`
	Class          string             `json:"class"`
	Requests       int64              `json:"requests"`
	WithinTimeouts int64              `json:"withinPatience"`
	Outcomes       map[string]int64   `json:"outcomes"`
	FirstToken     map[string]float64 `json:"firstToken"`
	InterToken     map[string]float64 `json:"between"`
	Total          map[string]float64 `json:"whole"`
}

type histograms struct {
	firstToken, interToken, total *hdrhistogram.Histogram
	outcomes                      map[string]int64
	requests, withinTimeouts      int64
}

// Metrics is safe for concurrent use.
type Metrics struct {
	mu   sync.Mutex
	rows map[Key]*histograms
	// refused counts the responses of backend servers that were refused, by reason.
	refused map[string]uint64
}

// New returns empty metrics.
func New() *Metrics {
	return &Metrics{rows: map[Key]*histograms{}, refused: map[string]uint64{}}
}

// Publish publishes the metrics in expvar under a name, unless that name is in use.
func (m *Metrics) Publish(name string) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, expvar.Func(func() any { return m.Rows() }))
	}
}

// RecordRefused counts a response of a backend server that was refused.
func (m *Metrics) RecordRefused(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused[reason]++
}

// Refused returns the responses of backend servers that were refused, by reason.
func (m *Metrics) Refused() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.refused)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantFigures)
}

// Observe records one finished request.
func (m *Metrics) Observe(k Key, s Sample) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.rows[k]
	if h == nil {
		h = &histograms{firstToken: newHistogram(), interToken: newHistogram(), total: newHistogram(), outcomes: map[string]int64{}}
		m.rows[k] = h
	}
	h.requests++
	h.outcomes[s.Outcome]++
	if s.WithinTimeouts {
		h.withinTimeouts++
	}
	record(h.firstToken, s.FirstToken)
	record(h.total, s.Total)
	for _, latency := range s.InterTokenLatencies {
		record(h.interToken, latency)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	if d > 0 {
		_ = h.RecordValue(min(d.Microseconds(), highestMicroseconds))
	}
}

func quantiles(h *hdrhistogram.Histogram) map[string]float64 {
	if h.TotalCount() == 0 {
		return nil
	}
	q := map[string]float64{}
	for _, p := range []float64{50, 95, 99} {
		q[fmt.Sprintf("p%g", p)] = float64(h.ValueAtQuantile(p)) / 1000
	}
	q["max"] = float64(h.Max()) / 1000
	return q
}

// Rows returns the table, sorted by organisation and class.
func (m *Metrics) Rows() []Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := make([]Row, 0, len(m.rows))
	for k, h := range m.rows {
		outcomes := map[string]int64{}
		for name, n := range h.outcomes {
			outcomes[name] = n
		}
		rows = append(rows, Row{
			Organisation: k.Organisation, Class: k.Class, Requests: h.requests, WithinTimeouts: h.withinTimeouts, Outcomes: outcomes,
			FirstToken: quantiles(h.firstToken), InterToken: quantiles(h.interToken), Total: quantiles(h.total),
		})
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Organisation != rows[j].Organisation {
			return rows[i].Organisation < rows[j].Organisation
		}
		return rows[i].Class < rows[j].Class
	})
	return rows
}
