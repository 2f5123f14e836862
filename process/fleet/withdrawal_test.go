package fleet

import (
	"errors"
	"testing"
	"time"

	"savorywing.example/savorywing/wire"
)

var withdrawalStart = time.Unix(1_000_000, 0)

// newWithdrawalTable returns a table with a server whose second incarnation, born at 2, was first heard a second after the start.
func newWithdrawalTable(t *testing.T) *Table {
	t.Helper()
	table := NewTable()
	for i, r := range []wire.Report{report("a", 1, 4, "x:1"), report("a", 2, 3, "x:1")} {
		if _, err := table.Apply(withdrawalStart.Add(time.Duration(i)*time.Second), r); err != nil {
			t.Fatal(err)
		}
	}
	return table
}

// TestIdentify guards against a withdrawal that is taken for that of an incarnation which has started since it was sent.
func TestIdentify(t *testing.T) {
	table := newWithdrawalTable(t)
	if _, err := table.Apply(withdrawalStart, report("b", 5, 1, "x:2")); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name, id  string
		sentAfter time.Duration
		born      int64
		err       error
	}{
		{"sent after the restart was known", "a", time.Second, 2, nil},
		{"perhaps sent before", "a", time.Second - 1, 0, ErrAmbiguous},
		{"perhaps sent long before", "a", -time.Hour, 0, ErrAmbiguous},
		{"no restart is known", "b", -time.Hour, 5, nil},
		{"an unknown server", "c", -time.Hour, 0, nil},
	} {
		w, err := table.Identify(tt.id, withdrawalStart.Add(tt.sentAfter))
		if !errors.Is(err, tt.err) || w.Born != tt.born || !w.Gone || w.ID != tt.id {
			t.Errorf("%s: %+v, %v", tt.name, w, err)
		}
	}
}

// TestWithdraw guards against a withdrawal of an earlier incarnation that applies to the present one, in whatever order reports and withdrawals
// arrive, and against one that is forgotten.
func TestWithdraw(t *testing.T) {
	withdraw := func(born int64) wire.Report { return wire.Report{ID: "a", Gone: true, Born: born, Sequence: 3} }
	for _, tt := range []struct {
		name string
		list []wire.Report
		// err is that of the last of the list, and used whether the server gets requests then.
		err  error
		used bool
	}{
		{"of the present incarnation", []wire.Report{withdraw(2)}, nil, false},
		{"that states no incarnation", []wire.Report{withdraw(0)}, nil, false},
		{"of an earlier incarnation", []wire.Report{withdraw(1)}, ErrStale, true},
		{"twice", []wire.Report{withdraw(2), withdraw(2)}, nil, false},
		{"and a late report", []wire.Report{withdraw(2), report("a", 2, 4, "x:1")}, ErrWithdrawn, false},
		{"and a restart", []wire.Report{withdraw(2), report("a", 3, 1, "x:1")}, nil, true},
		{"of an incarnation that isn't known yet", []wire.Report{withdraw(3)}, nil, false},
		{"and its report", []wire.Report{withdraw(3), report("a", 3, 1, "x:1")}, ErrWithdrawn, false},
		{"and its later report", []wire.Report{withdraw(3), report("a", 3, 1, "x:1"), report("a", 3, 5, "x:1")}, ErrWithdrawn, false},
		{"and a report of the one before it", []wire.Report{withdraw(3), report("a", 2, 9, "x:1")}, ErrStale, false},
		{"and of the next one", []wire.Report{withdraw(3), report("a", 4, 1, "x:1")}, nil, true},
		{"repeated after the restart", []wire.Report{withdraw(2), report("a", 3, 1, "x:1"), withdraw(2)}, ErrStale, true},
	} {
		table := newWithdrawalTable(t)
		now := withdrawalStart.Add(2 * time.Second)
		var err error
		for _, r := range tt.list {
			if now = now.Add(100 * time.Millisecond); r.Gone {
				_, err = table.Withdraw(now, r)
			} else {
				_, err = table.Apply(now, r)
			}
		}
		s := table.Server("a")
		if used := !s.Dead() && !s.Report().Gone && !s.Report().Leaving; !errors.Is(err, tt.err) || used != tt.used {
			t.Errorf("%s: %v, used %v; want %v and %v", tt.name, err, used, tt.err, tt.used)
		}
	}
	table := NewTable()
	if isNew, err := table.Withdraw(withdrawalStart, wire.Report{ID: "a", Gone: true}); isNew || err != nil {
		t.Errorf("of an unknown server: new %v, %v", isNew, err)
	}
	if isNew, err := table.Withdraw(withdrawalStart, withdraw(7)); !isNew || err != nil {
		t.Errorf("of an unknown server's incarnation: new %v, %v", isNew, err)
	}
	if _, err := table.Apply(withdrawalStart, report("a", 7, 9, "x:1")); !errors.Is(err, ErrWithdrawn) || len(table.Endpoints(withdrawalStart, time.Second, func(*Server) (string, bool) { return "", false })) > 0 {
		t.Errorf("a report that arrives after its withdrawal: %v", err)
	}
}

// TestReinstate guards against a server that a mistaken withdrawal keeps from all requests for as long as it runs, and against one that has
// withdrawn and is used again for reports that were sent before.
func TestReinstate(t *testing.T) {
	const interval = defaultReportInterval
	for _, tt := range []struct {
		name string
		// at lists when reports arrive after the withdrawal, in intervals, and from is the number of the first one.
		at      []float64
		from    uint64
		leaving bool
		want    bool
	}{
		{"it goes on reporting", []float64{1, 2, 3, 4, 5, 6, 7, 8}, 4, false, true},
		{"every other report is lost", []float64{1, 3, 5, 7, 9}, 4, false, true},
		{"for a short while", []float64{1, 2, 3, 4, 5, 6, 7}, 4, false, false},
		{"with a gap", []float64{1, 2, 3, 6, 7, 8, 9}, 4, false, false},
		{"reports of before that arrive late, all at once", []float64{9, 9, 9.1, 9.2}, 4, false, false},
		{"one of before, very late", []float64{20}, 4, false, false},
		{"reports that are known", []float64{1, 2, 3, 4, 5, 6, 7, 8}, 0, false, false},
		{"it says that it leaves", []float64{1, 2, 3, 4, 5, 6, 7, 8}, 4, true, false},
	} {
		table := newWithdrawalTable(t)
		now := withdrawalStart.Add(2 * time.Second)
		if _, err := table.Withdraw(now, wire.Report{ID: "a", Gone: true, Born: 2, Sequence: 3}); err != nil {
			t.Fatal(err)
		}
		if tt.leaving {
			table.MarkLeaving("a", 2)
		}
		last := now
		for i, at := range tt.at {
			last = now.Add(time.Duration(at * float64(interval)))
			n := tt.from + uint64(i)
			if tt.from == 0 {
				n = uint64(i) % 4
			}
			_, _ = table.Apply(last, report("a", 2, n, "x:1"))
		}
		r := table.Server("a").Report()
		if got := !r.Gone && !r.Leaving; got != tt.want || (r.Reinstated > 0) != tt.want {
			t.Errorf("%s: used %v, reinstated at report %d, want %v", tt.name, got, r.Reinstated, tt.want)
		}
		if !tt.want {
			continue
		}
		checkReinstated(t, last, table, *r)
	}
}

// checkReinstated checks that other hosts follow, that a copy of the withdrawal has no effect, and that a later one has.
func checkReinstated(t *testing.T, now time.Time, table *Table, r wire.Report) {
	t.Helper()
	far := newWithdrawalTable(t)
	if _, err := far.Withdraw(now, wire.Report{ID: "a", Gone: true, Born: 2, Sequence: 3}); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Apply(now, r); err != nil || far.Server("a").Report().Gone || far.Server("a").Report().Leaving {
		t.Errorf("another host: %v, %+v", err, far.Server("a").Report())
	}
	for _, x := range []*Table{table, far} {
		if _, err := x.Withdraw(now, wire.Report{ID: "a", Gone: true, Born: 2, Sequence: 3}); !errors.Is(err, ErrStale) {
			t.Errorf("a copy of the withdrawal: %v", err)
		}
		if isNew, err := x.Withdraw(now, wire.Report{ID: "a", Gone: true, Born: 2, Sequence: r.Sequence}); !isNew || err != nil {
			t.Errorf("a later withdrawal: new %v, %v", isNew, err)
		}
		r.Sequence++
		if _, err := x.Apply(now, r); !errors.Is(err, ErrWithdrawn) {
			t.Errorf("a report after a later withdrawal: %v", err)
		}
	}
}
