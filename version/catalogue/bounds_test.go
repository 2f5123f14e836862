package catalogue

import (
	"errors"
	"math"
	"testing"
	"time"
)

// engineDocument returns a valid document with an engine service.
func engineDocument() Document {
	d := testDocument()
	d.Limits = Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	d.Services[1].Engine = &Engine{Slots: 8, KVTokens: 1000, PrefillRate: 100, MaxConcurrentLoads: 4, LoadsPerSecond: 1,
		Models: []Model{{Name: "m", HostsPerGroup: 4, TimeFactor: 1}, {Name: "n", HostsPerGroup: 2}}}
	return d
}

// TestNumbersOutOfRange guards against documents whose numbers end a daemon, or stop it, when they are calculated with. Such a
// document must not be published; one that was published stays in force, with numbers that are in range.
func TestNumbersOutOfRange(t *testing.T) {
	tests := []struct {
		name   string
		change func(d *Document)
		want   error
	}{
		{"header limit negative", func(d *Document) { d.Limits.MaxHeaderBytes = -1 }, ErrOutOfRange},
		{"header limit 0", func(d *Document) { d.Limits.MaxHeaderBytes = 0 }, ErrNoLimit},
		{"body limit negative", func(d *Document) { d.Limits.MaxBodyBytes = math.MinInt }, ErrOutOfRange},
		{"body limit huge", func(d *Document) { d.Limits.MaxBodyBytes = math.MaxInt }, ErrOutOfRange},
		{"header time negative", func(d *Document) { d.Limits.HeaderTimeout = -1 }, ErrOutOfRange},
		{"header time 0", func(d *Document) { d.Limits.HeaderTimeout = 0 }, ErrNoLimit},
		{"idle time negative", func(d *Document) { d.Limits.IdleTimeout = math.MinInt64 }, ErrOutOfRange},
		{"idle time 0", func(d *Document) { d.Limits.IdleTimeout = 0 }, ErrNoLimit},
		{"timeout huge", func(d *Document) { d.Routes[0].Timeout = math.MaxInt64 }, ErrOutOfRange},
		{"objective negative", func(d *Document) { d.Routes[0].Objective = -1 }, ErrOutOfRange},
		{"pauses negative", func(d *Document) { d.Routes[0].GapObjective = -1 }, ErrOutOfRange},
		{"priority negative", func(d *Document) { d.Routes[0].Priority = -1 }, ErrOutOfRange},
		{"priority of an organisation huge", func(d *Document) { d.Organisations[0].Priority = math.MaxInt }, ErrOutOfRange},
		{"attempts negative", func(d *Document) { d.Routes[0].MaxAttempts = -1 }, ErrOutOfRange},
		{"attempts huge", func(d *Document) { d.Routes[0].MaxAttempts = math.MaxInt }, ErrOutOfRange},
		{"weights beyond 64 bits", func(d *Document) {
			d.Routes[0].Services = []WeightedService{{"web", math.MaxInt}, {"llm", math.MaxInt}, {"web", 2}}
		}, ErrOutOfRange},
		{"empty key", func(d *Document) { d.Organisations[0].Keys = []string{""} }, ErrEmptyKey},
		{"service without a name", func(d *Document) { d.Services = append(d.Services, Service{}) }, ErrNoName},
		{"service twice", func(d *Document) { d.Services = append(d.Services, Service{Name: "llm"}) }, ErrDuplicateName},
		{"connections negative", func(d *Document) { d.Services[0].MaxConnections = -1 }, ErrOutOfRange},
		{"slots negative", func(d *Document) { d.Services[1].Engine.Slots = -1 }, ErrOutOfRange},
		{"slots huge", func(d *Document) { d.Services[1].Engine.Slots = math.MaxInt }, ErrOutOfRange},
		{"capacity negative", func(d *Document) { d.Services[1].Engine.KVTokens = -1 }, ErrOutOfRange},
		{"steps huge", func(d *Document) { d.Services[1].Engine.StepsPerPass = math.MaxInt }, ErrOutOfRange},
		{"chunk huge", func(d *Document) { d.Services[1].Engine.PrefillChunk = math.MaxInt }, ErrOutOfRange},
		{"step time negative", func(d *Document) { d.Services[1].Engine.StepTime = -1 }, ErrOutOfRange},
		{"prefill rate negative", func(d *Document) { d.Services[1].Engine.PrefillRate = -1 }, ErrOutOfRange},
		{"prefill rate tiny", func(d *Document) { d.Services[1].Engine.PrefillRate = 1e-300 }, ErrOutOfRange},
		{"prefill rate NaN", func(d *Document) { d.Services[1].Engine.PrefillRate = math.NaN() }, ErrOutOfRange},
		{"loads negative", func(d *Document) { d.Services[1].Engine.MaxConcurrentLoads = -1 }, ErrOutOfRange},
		{"loads huge", func(d *Document) { d.Services[1].Engine.MaxConcurrentLoads = math.MaxInt }, ErrOutOfRange},
		{"rate of loads infinite", func(d *Document) { d.Services[1].Engine.LoadsPerSecond = math.Inf(1) }, ErrOutOfRange},
		{"mean prompt NaN", func(d *Document) { d.Services[1].Engine.MeanPromptTokens = math.NaN() }, ErrOutOfRange},
		{"model without a name", func(d *Document) { d.Services[1].Engine.Models[0].Name = "" }, ErrNoName},
		{"model twice", func(d *Document) { d.Services[1].Engine.Models[0].Name = "n" }, ErrDuplicateName},
		{"group of 0 hosts", func(d *Document) { d.Services[1].Engine.Models[0].HostsPerGroup = 0 }, ErrOutOfRange},
		{"group of -1 hosts", func(d *Document) { d.Services[1].Engine.Models[0].HostsPerGroup = -1 }, ErrOutOfRange},
		{"group of many hosts", func(d *Document) { d.Services[1].Engine.Models[0].HostsPerGroup = math.MaxInt }, ErrOutOfRange},
		{"share negative", func(d *Document) { d.Services[1].Engine.Models[0].InitialShare = -0.5 }, ErrOutOfRange},
		{"time factor negative", func(d *Document) { d.Services[1].Engine.Models[0].TimeFactor = -1 }, ErrOutOfRange},
		{"time factor infinite", func(d *Document) { d.Services[1].Engine.Models[0].TimeFactor = math.Inf(1) }, ErrOutOfRange},
		{"cold time negative", func(d *Document) { d.Services[1].ColdTime = -1 }, ErrOutOfRange},
		{"rate while cold negative", func(d *Document) { d.Services[1].ColdPerSecond = -1 }, ErrOutOfRange},
		{"rate while cold NaN", func(d *Document) { d.Services[1].ColdPerSecond = math.NaN() }, ErrOutOfRange},
		{"time to load negative", func(d *Document) { d.Services[1].Engine.Models[0].ColdLoadTime = -1 }, ErrOutOfRange},
	}
	for _, tt := range tests {
		d := engineDocument()
		tt.change(&d)
		c, err := New(d)
		if err != nil {
			t.Errorf("%s: %v", tt.name, err)
			continue
		}
		if err := c.Validate(); !errors.Is(err, tt.want) {
			t.Errorf("%s: error %v, want %v", tt.name, err, tt.want)
		}
		var b bounds
		if b.document(&c.document); errors.Is(b.err, ErrOutOfRange) {
			t.Errorf("%s: still out of range: %v", tt.name, b.err)
		}
		if c.Organisation("") != nil {
			t.Errorf("%s: a request without a key belongs to %q", tt.name, c.Organisation("").Name)
		}
		for _, u := range []float64{0, 0.5, 0.999} {
			if got := c.Route("shop.example", "/x").PickService(u); got != "web" && got != "llm" {
				t.Errorf("%s: service %q", tt.name, got)
			}
		}
	}
	c, err := New(engineDocument())
	if err != nil || c.Validate() != nil {
		t.Errorf("the unchanged document: %v, %v", err, c.Validate())
	}
}
