// Package telemetry counts a daemon's decisions and keeps latency histograms. It serves both on a metrics address in
// the Prometheus text format, and the histograms also as expvar.
package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/ingress"
	"savorywing.example/savorywing/process/budget"
)

const (
	// maxHistograms bounds the memory of histograms, about 20 KB each. Label values beyond it share one histogram
	// for each name and label.
	maxHistograms       = 48
	overflowValue       = "others"
	lowestMicroseconds  = 1
	highestMicroseconds = int64(time.Minute / time.Microsecond)
	significantFigures  = 2
	// Scrapers are few and send short requests without a body.
	defaultConns   = 64
	bufferBytes    = 16 << 10
	maxHeaderBytes = 4 << 10
	maxBodyBytes   = 4 << 10
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	stopTimeout    = 500 * time.Millisecond
)

var quantiles = []float64{50, 90, 99}

// Telemetry is safe for concurrent use.
type Telemetry struct {
	set  *metrics.Set
	http *ingress.Server
	// maxConns bounds the connections that read it.
	maxConns int

	// pages holds handlers of further paths.
	pages map[string]fasthttp.RequestHandler

	mu         sync.Mutex
	histograms map[key]*hdrhistogram.Histogram
}

type key struct{ name, label, value string }

// Option changes a Telemetry.
type Option func(t *Telemetry)

// WithMaxConns bounds the connections that read it.
func WithMaxConns(n int) Option { return func(t *Telemetry) { t.maxConns = n } }

// New returns empty telemetry.
func New(clock savorywing.Clock, log zerolog.Logger, opts ...Option) *Telemetry {
	t := &Telemetry{set: metrics.NewSet(), histograms: map[key]*hdrhistogram.Histogram{}, pages: map[string]fasthttp.RequestHandler{}, maxConns: defaultConns}
	for _, opt := range opts {
		opt(t)
	}
	limits := ingress.Limits{MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	t.http = ingress.New(clock, ingress.NewRequestHandler(t.handle, t.handle), func() ingress.Limits { return limits }, log,
		ingress.WithMemory(ingress.NewMemory(clock, budget.Limits{MaxConns: t.maxConns, Buffer: bufferBytes, Backlog: t.maxConns})))
	return t
}

// Count increments a counter with one label. Label values must come from a bounded set.
func (t *Telemetry) Count(name, label, value string) {
	t.set.GetOrCreateCounter(fmt.Sprintf("savorywing_%s{%s=%q}", name, label, value)).Inc()
}

// Gauge registers a gauge whose value is read at each scrape.
func (t *Telemetry) Gauge(name string, read func() float64) {
	t.set.GetOrCreateGauge("savorywing_"+name, read)
}

// Handle serves a further path. It must be called before Start.
func (t *Telemetry) Handle(path string, page fasthttp.RequestHandler) { t.pages[path] = page }

// WatchMemory registers the metrics of what the daemon's connections hold.
func (t *Telemetry) WatchMemory(m *ingress.Memory) {
	for name, read := range map[string]func(u ingress.Usage) int{
		"held_bytes":         func(u ingress.Usage) int { return u.Bytes },
		"max_held_bytes":     func(u ingress.Usage) int { return u.Limits.Bytes },
		"connections":        func(u ingress.Usage) int { return u.Conns },
		"max_connections":    func(u ingress.Usage) int { return u.Limits.MaxConns },
		"source_connections": func(u ingress.Usage) int { return u.MostOfSource },
		"socket_buffer":      func(u ingress.Usage) int { return u.Limits.Buffer },
		"turned_away":        func(u ingress.Usage) int { return u.TurnedAway },
	} {
		t.Gauge(name, func() float64 { return float64(read(m.Usage())) })
	}
}

// Observe records a duration in the histogram of a label's value.
func (t *Telemetry) Observe(name, label, value string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{name, label, value}
	h := t.histograms[k]
	if h == nil && len(t.histograms) >= maxHistograms {
		k.value = overflowValue
		h = t.histograms[k]
	}
	if h == nil {
		h = hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantFigures)
		t.histograms[k] = h
	}
	// The value is clamped to the range, so that recording can't fail.
	_ = h.RecordValue(min(highestMicroseconds, max(lowestMicroseconds, d.Microseconds())))
}

// row is one histogram in the expvar output; times are in milliseconds.
type row struct {
	Name      string             `json:"name"`
	Label     string             `json:"label"`
	Value     string             `json:"value"`
	Count     int64              `json:"count"`
	Quantiles map[string]float64 `json:"quantiles"`
}

func (t *Telemetry) rows() []row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []row
	for k, h := range t.histograms {
		r := row{Name: k.name, Label: k.label, Value: k.value, Count: h.TotalCount(), Quantiles: map[string]float64{}}
		for _, q := range quantiles {
			r.Quantiles[fmt.Sprintf("p%g", q)] = float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
		}
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		return a.Name+a.Label+a.Value < b.Name+b.Label+b.Value
	})
	return list
}

// String implements expvar.Var. It returns the histograms as JSON.
func (t *Telemetry) String() string {
	b, err := json.Marshal(t.rows())
	if err != nil {
		return `"` + err.Error() + `"`
	}
	return string(b)
}

// Text returns all metrics in the Prometheus text format.
func (t *Telemetry) Text() []byte {
	var out bytes.Buffer
	t.set.WritePrometheus(&out)
	for _, r := range t.rows() {
		for _, q := range quantiles {
			fmt.Fprintf(&out, "savorywing_%s_ms{%s=%q,quantile=\"%g\"} %g\n", r.Name, r.Label, r.Value, q/100, r.Quantiles[fmt.Sprintf("p%g", q)])
		}
		fmt.Fprintf(&out, "savorywing_%s_ms_count{%s=%q} %d\n", r.Name, r.Label, r.Value, r.Count)
	}
	metrics.WriteProcessMetrics(&out)
	return out.Bytes()
}

// expvarName is the name under which the histograms are published, once per process.
const expvarName = "savorywing"

var publish sync.Once

// Start serves /metrics and /debug/vars at a TCP address.
func (t *Telemetry) Start(address string) error {
	if err := t.http.Start(address); err != nil {
		return fmt.Errorf("Telemetry.Start: %w", err)
	}
	publish.Do(func() { expvar.Publish(expvarName, t) })
	return nil
}

func (t *Telemetry) handle(_ context.Context, ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/metrics":
		ctx.SetContentType("text/plain; charset=utf-8")
		ctx.SetBody(t.Text())
	case "/debug/vars":
		expvarhandler.ExpvarHandler(ctx)
	default:
		if page := t.pages[string(ctx.Path())]; page != nil {
			page(ctx)
			return
		}
		ctx.Error("no such page", fasthttp.StatusNotFound)
	}
}

// Stop closes the metrics listener. It waits up to stopTimeout for scrapes in progress.
func (t *Telemetry) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	t.http.Shutdown(ctx)
	t.http.Close()
}
