package reporting

import (
	"testing"
	"time"

	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/wire"
)

const interval = 1200 * time.Millisecond

// take passes one report to a host's table and outbox, and returns what is then sent.
func take(t *testing.T, now time.Time, table *fleet.Table, o *Outbox, r wire.Report) Batch {
	t.Helper()
	repeat, same := table.AsRepeat(r)
	if same && o.AddRepeat(now, repeat) {
		if err := table.Repeat(now, repeat); err != nil {
			t.Fatal(err)
		}
	} else {
		changed, err := table.Apply(now, r)
		if err != nil {
			t.Fatal(err)
		}
		o.AddWhole(now, r, changed)
		if changed && o.UntilDue(now) > changeDelay {
			t.Errorf("report %d changes something and waits for %v", r.Sequence, o.UntilDue(now))
		}
	}
	b, due := o.Take(now.Add(MaxDelay))
	if !due {
		t.Fatalf("report %d isn't due", r.Sequence)
	}
	return b
}

// receive applies what another host has sent. What is known already is stale.
func receive(t *testing.T, now time.Time, table *fleet.Table, whole []wire.Report, repeats []wire.RepeatedReport) {
	t.Helper()
	for _, r := range whole {
		_, _ = table.Apply(now, r)
	}
	for _, r := range repeats {
		if err := table.Repeat(now, r); err != nil {
			t.Errorf("report %d: %v", r.Sequence, err)
		}
	}
}

// TestOutbox passes one server's reports on to a host that takes repeated ones and to one that doesn't. Both must know
// the newest report, also after a frame with a change is lost and the host is sent all.
func TestOutbox(t *testing.T) {
	const lost = 15
	near, far, old := fleet.NewTable(), fleet.NewTable(), fleet.NewTable()
	o, start := NewOutbox(interval), time.Unix(1000, 0)
	whole, repeats := 0, 0
	for n := range 40 {
		now := start.Add(time.Duration(n) * interval)
		r := wire.Report{ID: "i", Born: 1, Sequence: uint64(n + 1), Address: "10.0.0.9:80", Service: "s", Slots: 8 + n/lost}
		b := take(t, now, near, o, r)
		whole, repeats = whole+len(b.Whole), repeats+len(b.Repeats)
		receive(t, now, old, o.WholeOnly(b), nil)
		switch n {
		case lost:
			continue
		case lost + 1:
			b.Whole = append(o.All(now), b.Whole...)
		}
		receive(t, now, far, b.Whole, b.Repeats)
		for _, table := range []*fleet.Table{far, old} {
			if s := table.Server("i"); s.LastReportAt() != now || s.Report().Slots != r.Slots || s.Report().Sequence != r.Sequence {
				t.Errorf("report %d: another host has %+v", n, s.Report())
			}
		}
	}
	if repeats <= whole {
		t.Errorf("%d whole and %d repeated reports", whole, repeats)
	}
	if got := o.All(start.Add(41 * interval)); len(got) != 0 {
		t.Errorf("a silent server is still among those that report here: %+v", got)
	}
}

// TestServerMoves lets a server report to two hosts in turn. What one of them has not sent itself, it passes on as a whole.
func TestServerMoves(t *testing.T) {
	o := NewOutbox(interval)
	now := time.Unix(1000, 0)
	o.AddWhole(now, wire.Report{ID: "i", Born: 1, Sequence: 1}, true)
	for _, tt := range []struct {
		name string
		r    wire.RepeatedReport
		want bool
	}{
		{"its own", wire.RepeatedReport{ID: "i", Born: 1, Sequence: 2, Of: 1}, true},
		{"of one that another host has got", wire.RepeatedReport{ID: "i", Born: 1, Sequence: 4, Of: 3}, false},
		{"of another incarnation", wire.RepeatedReport{ID: "i", Born: 2, Sequence: 2, Of: 1}, false},
		{"of an unknown server", wire.RepeatedReport{ID: "j", Born: 1, Sequence: 2, Of: 1}, false},
	} {
		if got := o.AddRepeat(now, tt.r); got != tt.want {
			t.Errorf("%s: %v", tt.name, got)
		}
	}
	o.AddWithdrawal(now, wire.Report{ID: "i", Gone: true})
	if b, due := o.Take(now); !due || len(b.Whole) != 2 || len(o.All(now)) != 0 {
		t.Errorf("after the withdrawal: %+v, due %v, all %+v", b, due, o.All(now))
	}
}
