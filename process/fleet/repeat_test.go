package fleet

import (
	"errors"
	"testing"
	"time"

	"savorywing.example/savorywing/wire"
)

// TestRepeat passes the reports of one server from a host that gets them to another, which misses one.
func TestRepeat(t *testing.T) {
	near, far := NewTable(), NewTable()
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	apply := func(table *Table, s int64, r wire.Report) {
		t.Helper()
		if _, err := table.Apply(at(s), r); err != nil {
			t.Fatal(err)
		}
	}
	repeat := func(s int64, sequence uint64) wire.RepeatedReport {
		t.Helper()
		r, same := near.AsRepeat(report("i", 1, sequence, "x:1"))
		if !same {
			t.Fatalf("report %d isn't a repeated one", sequence)
		}
		if err := near.Repeat(at(s), r); err != nil {
			t.Fatal(err)
		}
		return r
	}
	apply(near, 1, report("i", 1, 1, "x:1"))
	apply(far, 1, report("i", 1, 1, "x:1"))
	if err := far.Repeat(at(2), repeat(2, 2)); err != nil || far.Server("i").LastReportAt() != at(2) {
		t.Errorf("a repeated report: %v, last report at %v", err, far.Server("i").LastReportAt())
	}
	changed := report("i", 1, 3, "x:1")
	changed.Slots = 9
	if _, same := near.AsRepeat(changed); same {
		t.Error("a report with a change counts as repeated")
	}
	apply(near, 3, changed)
	back := report("i", 1, 4, "x:1")
	apply(near, 4, back)
	// The other host has missed the change and the report after it, which says what it knows, but it can't tell.
	r := repeat(5, 5)
	if err := far.Repeat(at(5), r); !errors.Is(err, ErrUnknownWhole) || far.Server("i").LastReportAt() != at(2) {
		t.Errorf("a repeated report after a lost one: %v", err)
	}
	apply(far, 6, back)
	tests := []struct {
		name string
		r    wire.RepeatedReport
		want error
	}{
		{"after the lost one", r, nil},
		{"again", r, ErrStale},
		{"of an earlier incarnation", wire.RepeatedReport{ID: "i", Sequence: 9, Of: 4}, ErrStale},
		{"of an unknown server", wire.RepeatedReport{ID: "j", Born: 1, Sequence: 9, Of: 4}, ErrUnknownWhole},
	}
	for _, tt := range tests {
		if err := far.Repeat(at(7), tt.r); !errors.Is(err, tt.want) {
			t.Errorf("%s: %v, want %v", tt.name, err, tt.want)
		}
	}
	if _, err := far.Withdraw(at(9), wire.Report{ID: "i", Gone: true}); err != nil {
		t.Fatal(err)
	}
	if err := far.Repeat(at(9), wire.RepeatedReport{ID: "i", Born: 1, Sequence: 10, Of: 4}); !errors.Is(err, ErrWithdrawn) {
		t.Errorf("after the withdrawal: %v", err)
	}
}
