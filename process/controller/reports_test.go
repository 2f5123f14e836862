package controller

import (
	"context"
	"testing"

	"savorywing.example/savorywing/process/queue"
	"savorywing.example/savorywing/wire"
)

// TestWaitingReportStaysNewest checks that what a server has told this host isn't replaced, while it waits, by an older report
// that another control host sends on.
func TestWaitingReportStaysNewest(t *testing.T) {
	report := func(sequence uint64, state string) wire.Report {
		return wire.Report{ID: "s", Born: 1, Sequence: sequence, Group: &wire.GroupPlace{Name: "g", State: state}}
	}
	c := &Controller{reports: queue.NewMailbox[string, reportEvent](8), repeats: queue.NewMailbox[string, wire.RepeatedReport](8)}
	f := &frameHandler{controller: c}
	if _, err := c.HandleReport(context.Background(), report(7, "ready")); err != nil {
		t.Fatal(err)
	}
	f.HandleOneWay("other", wire.Frame{
		Reports: []wire.Report{report(6, "joining"), report(7, "ready")},
		Repeats: []wire.RepeatedReport{{ID: "s", Born: 1, Sequence: 9, Of: 7}, {ID: "s", Born: 1, Sequence: 8, Of: 6}},
	})
	_, reports := c.reports.Take(8)
	if len(reports) != 1 || reports[0].report.Sequence != 7 || !reports[0].direct {
		t.Errorf("got %+v, want only the server's own report 7", reports)
	}
	_, repeats := c.repeats.Take(8)
	if len(repeats) != 1 || repeats[0].Sequence != 9 {
		t.Errorf("got %+v, want only the repeated report 9", repeats)
	}
	f.HandleOneWay("other", wire.Frame{Reports: []wire.Report{report(8, "open")}})
	f.HandleOneWay("another", wire.Frame{Reports: []wire.Report{{ID: "s", Born: 2, Sequence: 1}}})
	if _, reports = c.reports.Take(8); len(reports) != 1 || reports[0].report.Born != 2 {
		t.Errorf("got %+v, want only the report of the later incarnation", reports)
	}
}
