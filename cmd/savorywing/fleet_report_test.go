package main

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
)

// badReport is a report that another writer sends to all control hosts. Its group is that of an open head of the fleet.
type badReport struct {
	name string
	// change changes the report, and text its encoding; each may be nil.
	change func(r *wire.Report)
	text   func(body []byte) []byte
	// refused reports whether the control hosts answer with status 400.
	refused bool
}

var badFleetReports = []badReport{
	{"negative rank", func(r *wire.Report) { r.Group.Rank = -1 }, nil, true},
	{"least rank", func(r *wire.Report) { r.Group.Rank = math.MinInt }, nil, true},
	{"huge rank", func(r *wire.Report) { r.Group.Rank = 20_000_000 }, nil, true},
	{"greatest rank", func(r *wire.Report) { r.Group.Rank = math.MaxInt }, nil, true},
	{"rank beyond the group", func(r *wire.Report) { r.Group.Rank = 7 }, nil, false},
	{"rank next to the group", func(r *wire.Report) { r.Group.Rank = 4 }, nil, false},
	{"another head", func(r *wire.Report) { r.Group.Rank = 0 }, nil, false},
	{"another member", func(r *wire.Report) { r.Group.Rank, r.Group.State = 1, "ready" }, nil, false},
	{"broken group", func(r *wire.Report) { r.Group.Rank, r.Group.State = 0, "broken" }, nil, false},
	{"other epoch", func(r *wire.Report) { r.Group.Epoch = math.MaxUint64 }, nil, false},
	{"unknown state of the group", func(r *wire.Report) { r.Group.State = "happy" }, nil, true},
	{"group without a name of this program", func(r *wire.Report) { r.Group.Name = "other" }, nil, false},
	{"group of an unknown model", func(r *wire.Report) { r.Group.Name, r.Group.Epoch = "g7.other", 7 }, nil, false},
	{"unknown service", func(r *wire.Report) { r.Service, r.Group = "other", nil }, nil, false},
	{"port 0", func(r *wire.Report) { r.Address = "127.0.0.1:0" }, nil, true},
	{"port 70000", func(r *wire.Report) { r.Address = "127.0.0.1:70000" }, nil, true},
	{"port -1", func(r *wire.Report) { r.Address = "127.0.0.1:-1" }, nil, true},
	{"port none", func(r *wire.Report) { r.Address = "127.0.0.1:" }, nil, true},
	{"port a word", func(r *wire.Report) { r.Address = "127.0.0.1:port" }, nil, true},
	{"host a word", func(r *wire.Report) { r.Address = "nowhere:80" }, nil, true},
	{"negative slots", func(r *wire.Report) { r.Slots = -8 }, nil, true},
	{"huge slots", func(r *wire.Report) { r.Slots = math.MaxInt }, nil, true},
	{"huge sequence", func(r *wire.Report) { r.Sequence = math.MaxUint64 }, nil, true},
	{"negative start", func(r *wire.Report) { r.Born = -1 }, nil, true},
	{"huge start", func(r *wire.Report) { r.Born = math.MaxInt64 }, nil, true},
	{"negative cold time", func(r *wire.Report) { r.ColdMs = -1 }, nil, true},
	{"huge cold time", func(r *wire.Report) { r.ColdMs = math.MaxInt64 }, nil, true},
	{"huge name", func(r *wire.Report) { r.Service = strings.Repeat("s", 1<<20) }, nil, true},
	{"huge list", func(r *wire.Report) { r.Staged = make([]string, 100_000) }, nil, true},
	{"staged model twice", func(r *wire.Report) { r.Staged = []string{largeModel, largeModel} }, nil, true},
	{"truncated", nil, func(b []byte) []byte { return b[:len(b)-1] }, true},
	{"not UTF-8", nil, func(b []byte) []byte { return bytes.Replace(b, []byte(fleetEngineService), []byte("\xff\xfe"), 1) }, true},
	{"deep nesting", nil, func([]byte) []byte { return bytes.Repeat([]byte("["), 1<<20) }, true},
	{"wrong types", nil, func(b []byte) []byte { return bytes.ReplaceAll(b, []byte(`"`+fleetEngineService+`"`), []byte("[]")) }, true},
	{"empty", nil, func([]byte) []byte { return nil }, true},
}

// sendReport sends a report to all control hosts, and fails the test unless they answer with the status.
func (f *fleetEnv) sendReport(r wire.Report, text func([]byte) []byte, want int) {
	f.t.Helper()
	for _, address := range f.seeds {
		status, reply, err := f.callControl(address, func(h *fasthttp.RequestHeader) []byte {
			body := f.dialect.WriteReport(h, r)
			if text != nil {
				body = text(body)
			}
			return body
		})
		if err != nil || status != want {
			f.t.Errorf("%s: status %d, want %d: %s%v", r.ID, status, want, reply, err)
		}
	}
}

// serve sends requests for each model and service to each entry host at the same time, and returns how many were served of how many.
func (f *fleetEnv) serve() (served, sent int) {
	var ok atomic.Int64
	var callers sync.WaitGroup
	for entry := range f.entries {
		for _, tt := range []struct{ path, model string }{{"/talk/x", largeModel}, {"/talk/x", smallModel}, {"/book/x", ""}} {
			sent++
			callers.Go(func() {
				if r := f.send(entry, tt.path, tt.model, fleetKey, nil); r.err == nil && r.status == fasthttp.StatusOK {
					ok.Add(1)
				}
			})
		}
	}
	callers.Wait()
	return int(ok.Load()), sent
}

// badReportOf returns the report of another writer that claims a place in a group.
func (f *fleetEnv) badReportOf(id string, tt badReport, place wire.GroupPlace, sequence uint64) wire.Report {
	r := wire.Report{
		ID: id, Born: time.Now().UnixMilli(), Sequence: sequence, Service: fleetEngineService, DataCentre: "a", Slots: 8, Engine: true, Domain: "d0",
		Address: strings.Replace(f.seeds[0], ".10:", ".250:", 1), Group: &place,
	}
	if tt.change != nil {
		tt.change(&r)
	}
	return r
}

// TestFleetBadReport guards against reports of other writers that end the leader, or cost groups that serve. Every group
// goes on as before, all requests are served, and each sender is logged once.
func TestFleetBadReport(t *testing.T) {
	var logs logRecorder
	f := newFleetEnv(t, 3, 2, 20, func(f *fleetEnv) { f.logOutput = &logs })
	f.waitServing()
	f.eventually("all engines to be in groups", func() bool { return len(f.fleet.Memberships()) == 20 })
	before := f.fleet.Memberships()
	place := before[f.headsOf(largeModel)[0].ID]
	leader := f.leader()
	served, sent := 0, 0
	for i, tt := range badFleetReports {
		want := fasthttp.StatusOK
		if tt.refused {
			want = fasthttp.StatusBadRequest
		}
		id := fmt.Sprintf("other-%d", i)
		for sequence := range uint64(3) {
			f.sendReport(f.badReportOf(id, tt, place, sequence+1), tt.text, want)
		}
		a, b := f.serve()
		if a != b {
			t.Errorf("%s: %d of %d requests were served", tt.name, a, b)
		}
		served, sent = served+a, sent+b
	}
	// The senders count as lost in the meantime.
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		a, b := f.serve()
		served, sent = served+a, sent+b
	}
	t.Logf("%d of %d requests were served", served, sent)
	if served != sent {
		t.Errorf("%d of %d requests were served", served, sent)
	}
	if after := f.fleet.Memberships(); !maps.Equal(before, after) {
		t.Errorf("groups before: %v, after: %v", before, after)
	}
	if f.leader() != leader {
		t.Error("another control host leads")
	}
	f.checkRefusalsLogged(&logs)
}

// checkRefusalsLogged fails the test unless each control host has logged each sender of refused reports once.
func (f *fleetEnv) checkRefusalsLogged(logs *logRecorder) {
	f.t.Helper()
	lines := map[string]int{}
	for _, line := range logs.lines(f.t) {
		if line["event"] == "reportRefused" {
			lines[fmt.Sprint(line["host"], " ", line["server"])]++
		}
	}
	want := 0
	for i, tt := range badFleetReports {
		if !tt.refused {
			continue
		}
		want += len(f.seeds)
		for _, address := range f.seeds {
			ip, _, _ := strings.Cut(address, ":")
			if got := lines[fmt.Sprintf("%s-%s other-%d", savorywing.RoleControl, ip, i)]; got != 1 {
				f.t.Errorf("%s: refusals were logged %d times at %s, want once", tt.name, got, ip)
			}
		}
	}
	if len(lines) != want {
		f.t.Errorf("refusals of %d senders were logged, want %d", len(lines), want)
	}
}
