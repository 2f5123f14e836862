package fleet

import (
	"errors"
	"testing"
	"time"

	"savorywing.example/savorywing/wire"
)

func report(id string, born int64, sequence uint64, address string) wire.Report {
	return wire.Report{ID: id, Born: born, Sequence: sequence, Address: address, Service: "s"}
}

// TestApply applies reports in an order in which a network may deliver them.
func TestApply(t *testing.T) {
	leaving := report("a", 1, 4, "x:1")
	leaving.Leaving = true
	tests := []struct {
		name    string
		report  wire.Report
		changed bool
		err     error
	}{
		{"first", report("a", 1, 2, "x:1"), true, nil},
		{"next without a change", report("a", 1, 3, "x:1"), false, nil},
		{"resent", report("a", 1, 3, "x:1"), false, ErrStale},
		{"overtaken", report("a", 1, 1, "x:1"), false, ErrStale},
		{"leaving", leaving, true, nil},
		{"leaving is permanent", report("a", 1, 5, "x:1"), false, nil},
		{"another server at its address", report("b", 9, 1, "x:1"), true, nil},
		{"late report of the replaced server", report("a", 1, 6, "x:1"), false, ErrStale},
		{"restarted at another address", report("a", 10, 1, "x:2"), true, nil},
		{"late report of an earlier incarnation", report("a", 1, 7, "x:1"), false, ErrStale},
		{"an earlier incarnation at an address in use", report("c", 3, 1, "x:1"), false, ErrStale},
	}
	table := NewTable()
	for i, tt := range tests {
		changed, err := table.Apply(time.Unix(int64(i), 0), tt.report)
		if changed != tt.changed || !errors.Is(err, tt.err) {
			t.Errorf("%s: changed %v, %v; want %v, %v", tt.name, changed, err, tt.changed, tt.err)
		}
		if tt.name == "leaving is permanent" && !table.Server("a").Report().Leaving {
			t.Error("a leaving server is no longer reported as leaving")
		}
	}
	if got := table.Server("a").RestartedAt(); got != time.Unix(8, 0) {
		t.Errorf("restarted at %v", got)
	}
	for i, want := range []bool{true, false} {
		if isNew, err := table.Withdraw(time.Unix(20+int64(i), 0), wire.Report{ID: "b", Gone: true}); isNew != want || err != nil {
			t.Errorf("withdrawal %d: new %v, %v", i, isNew, err)
		}
	}
	if _, err := table.Apply(time.Unix(22, 0), report("b", 9, 9, "x:1")); !errors.Is(err, ErrWithdrawn) {
		t.Errorf("report after the withdrawal: %v", err)
	}
}

func TestEndpoints(t *testing.T) {
	now := time.Unix(100, 0)
	table := NewTable()
	add := func(r wire.Report, at time.Time) {
		if _, err := table.Apply(at, r); err != nil {
			t.Fatal(err)
		}
	}
	engine := func(id, state string, rank int) wire.Report {
		r := report(id, 1, 1, id+":1")
		r.Engine = true
		r.Group = &wire.GroupPlace{Name: "g", Epoch: 7, Rank: rank, State: state}
		return r
	}
	leaving := report("leaving", 1, 1, "l:1")
	leaving.Leaving = true
	add(report("plain", 1, 1, "p:1"), now)
	add(report("silent", 1, 1, "q:1"), now.Add(-9*time.Second))
	add(leaving, now)
	add(engine("head", StateOpen, 0), now)
	add(engine("member", StateReady, 1), now)
	add(engine("ready", StateReady, 0), now)
	add(engine("broken", StateBroken, 0), now)
	got := map[string]wire.Endpoint{}
	for _, e := range table.Endpoints(now, 3*time.Second, func(s *Server) (string, bool) { return "m", s.Report().Group.Name == "g" }) {
		got[e.ID] = e
	}
	if len(got) != 3 || got["head"].Model != "m" || got["head"].Epoch != 7 || !got["silent"].Silent || got["plain"].Silent {
		t.Errorf("endpoints: %+v", got)
	}
	if n := len(table.Endpoints(now, 3*time.Second, func(*Server) (string, bool) { return "", false })); n != 2 {
		t.Errorf("%d endpoints while no group is known to be complete, want the 2 without an engine", n)
	}
}

// TestMarkLeaving checks that a statement in a response holds for the incarnation that made it, whatever it reports.
func TestMarkLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	apply := func(born int64, sequence uint64) {
		if _, err := table.Apply(now, wire.Report{ID: "i", Born: born, Sequence: sequence, Address: "a"}); err != nil {
			t.Fatal(err)
		}
	}
	apply(1, 1)
	if table.MarkLeaving("i", 2) || table.MarkLeaving("j", 1) {
		t.Error("marked another incarnation or an unknown server")
	}
	if !table.MarkLeaving("i", 1) || table.MarkLeaving("i", 1) {
		t.Error("the first mark must be new and the second must not")
	}
	apply(1, 2)
	if !table.Server("i").Report().Leaving {
		t.Error("a later report of the same incarnation makes it stay")
	}
	apply(2, 1)
	if table.Server("i").Report().Leaving {
		t.Error("the next incarnation counts as leaving")
	}
}

// TestColdFor checks how long a server counts as cold, by its reports and beyond them.
func TestColdFor(t *testing.T) {
	start := time.Unix(100, 0)
	table := NewTable()
	r := report("a", 1, 1, "x:1")
	r.ColdMs, r.DataCentre = 3000, "d"
	apply := func(at time.Duration, coldMs int64) {
		r.Sequence++
		r.ColdMs = coldMs
		if _, err := table.Apply(start.Add(at), r); err != nil {
			t.Fatal(err)
		}
	}
	for _, tt := range []struct {
		name string
		do   func()
		at   time.Duration
		want int64
	}{
		{"stated", func() { apply(0, 3000) }, 0, 3000},
		{"no report since", func() {}, 2 * time.Second, 1000},
		{"over without a report", func() {}, 4 * time.Second, 0},
		{"cold again", func() { apply(5*time.Second, 500) }, 5 * time.Second, 500},
		{"warm by a report", func() { apply(5100*time.Millisecond, 0) }, 5100 * time.Millisecond, 0},
		{"another data centre is assumed cold", func() { table.AssumeCold(start.Add(6*time.Second), "e", time.Second) }, 6 * time.Second, 0},
		{"its data centre is assumed cold", func() { table.AssumeCold(start.Add(6*time.Second), "d", 1500*time.Millisecond) }, 6 * time.Second, 1500},
		{"a report that may be older", func() { apply(6100*time.Millisecond, 0) }, 6100 * time.Millisecond, 1400},
		{"later", func() {}, 8 * time.Second, 0},
	} {
		tt.do()
		list := table.Endpoints(start.Add(tt.at), time.Minute, nil)
		if len(list) != 1 || list[0].ColdMs != tt.want {
			t.Errorf("%s: %+v, want %d ms", tt.name, list, tt.want)
		}
	}
}
