package lease

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
)

const duration = 2 * time.Second

var start = time.Unix(1000, 0)

func newAnnouncement(host string, boot, sequence uint64, h *wire.Holding) wire.Announcement {
	return wire.Announcement{Host: host, Boot: boot, Sequence: sequence, Kind: savorywing.KindEngine, Holding: h, Load: &wire.Load{Slots: 8}}
}

func holding(fence uint64) *wire.Holding {
	return &wire.Holding{Group: "g", Fence: fence, Model: "m", Version: "1", Ready: true}
}

func table(phase string) wire.Table {
	return wire.Table{Number: 1, Groups: []wire.Group{{
		ID: "g", Model: "m", Version: "1", Fence: 7, Phase: phase,
		Members: []wire.GroupMember{{Host: "a", Boot: 1}, {Host: "b", Boot: 1}},
	}}}
}

// TestGroupLease checks that a group gets no requests unless it is serving and every member has announced recently that
// it holds the group.
func TestGroupLease(t *testing.T) {
	setComplete := func(tr *Tracker) {
		tr.SetTable(table(savorywing.PhaseServing))
		tr.RecordAnnouncement(start, newAnnouncement("a", 1, 1, holding(7)))
		tr.RecordAnnouncement(start, newAnnouncement("b", 1, 1, holding(7)))
	}
	tests := []struct {
		name   string
		change func(tr *Tracker)
		after  time.Duration
		want   bool
	}{
		{"every member has responded", func(*Tracker) {}, time.Second, true},
		{"the announcements have expired", func(*Tracker) {}, duration, false},
		{"one member stayed silent while the other kept responding", func(tr *Tracker) {
			tr.RecordAnnouncement(start.Add(time.Second), newAnnouncement("a", 1, 2, holding(7)))
		}, duration, false},
		{"both were polled again", func(tr *Tracker) {
			tr.RecordAnnouncement(start.Add(time.Second), newAnnouncement("a", 1, 2, holding(7)))
			tr.RecordAnnouncement(start.Add(time.Second), newAnnouncement("b", 1, 2, holding(7)))
		}, duration + time.Millisecond, true},
		{"a member's connection failed", func(tr *Tracker) { tr.RecordConnectionFailure("b") }, 0, false},
		{"a member restarted and reports that it still holds the group", func(tr *Tracker) {
			tr.RecordAnnouncement(start, newAnnouncement("b", 2, 1, holding(7)))
		}, 0, false},
		{"a member holds no group", func(tr *Tracker) { tr.RecordAnnouncement(start, newAnnouncement("b", 1, 2, nil)) }, 0, false},
		{"a member holds an older group of the same name", func(tr *Tracker) {
			tr.RecordAnnouncement(start, newAnnouncement("b", 1, 2, holding(6)))
		}, 0, false},
		{"a member is not ready", func(tr *Tracker) {
			h := holding(7)
			h.Ready = false
			tr.RecordAnnouncement(start, newAnnouncement("b", 1, 2, h))
		}, 0, false},
		{"a member is leaving", func(tr *Tracker) {
			a := newAnnouncement("b", 1, 2, holding(7))
			a.Leaving = true
			tr.RecordAnnouncement(start, a)
		}, 0, false},
		{"a response from before a member reported leaving arrives late", func(tr *Tracker) {
			a := newAnnouncement("b", 1, 3, holding(7))
			a.Leaving = true
			tr.RecordAnnouncement(start, a)
			tr.RecordAnnouncement(start, newAnnouncement("b", 1, 2, holding(7)))
		}, 0, false},
		{"a response from before a member's restart arrives late", func(tr *Tracker) {
			tr.RecordAnnouncement(start, newAnnouncement("b", 2, 1, nil))
			tr.RecordAnnouncement(start, newAnnouncement("b", 1, 9, holding(7)))
		}, 0, false},
		{"the group is loading", func(tr *Tracker) { tr.SetTable(table(savorywing.PhaseLoading)) }, 0, false},
		{"the group is releasing", func(tr *Tracker) { tr.SetTable(table(savorywing.PhaseReleasing)) }, 0, false},
		{"the group is no longer in the table", func(tr *Tracker) { tr.SetTable(wire.Table{Number: 2}) }, 0, false},
	}
	for _, tt := range tests {
		Convey("When "+tt.name, t, func() {
			tr := NewTracker(duration)
			setComplete(tr)
			tt.change(tr)
			_, _, got := tr.GroupLease("g", start.Add(tt.after))
			So(got, ShouldEqual, tt.want)
		})
	}
}

func TestServiceLease(t *testing.T) {
	Convey("A plain service", t, func() {
		tr := NewTracker(duration)
		a := wire.Announcement{Host: "s", Boot: 1, Sequence: 1, Kind: savorywing.KindService, Load: &wire.Load{}}
		tr.RecordAnnouncement(start, a)
		_, ok := tr.ServiceLease("s", start.Add(duration-1))
		So(ok, ShouldBeTrue)
		_, ok = tr.ServiceLease("s", start.Add(duration))
		So(ok, ShouldBeFalse)
		a.Sequence, a.Leaving = 2, true
		tr.RecordAnnouncement(start, a)
		_, ok = tr.ServiceLease("s", start)
		So(ok, ShouldBeFalse)
		_, ok = tr.ServiceLease("nobody", start)
		So(ok, ShouldBeFalse)
	})
}

// benchmarkEngines measures recording one response of each of n engines in groups of four, and one lease check of each
// group.
func benchmarkEngines(b *testing.B, n int) {
	tr := NewTracker(duration)
	table := wire.Table{Number: 1}
	var announcements []wire.Announcement
	for g := range n / 4 {
		group := wire.Group{ID: fmt.Sprint("group-", g), Model: "m", Version: "1", Fence: 7, Phase: savorywing.PhaseServing}
		for m := range 4 {
			host := fmt.Sprintf("engine-%d-%d", g, m)
			group.Members = append(group.Members, wire.GroupMember{Host: host, Boot: 1})
			h := holding(7)
			h.Group = group.ID
			announcements = append(announcements, newAnnouncement(host, 1, 1, h))
		}
		table.Groups = append(table.Groups, group)
	}
	tr.SetTable(table)
	for i := range b.N {
		for j := range announcements {
			announcements[j].Sequence = uint64(i) + 2
			tr.RecordAnnouncement(start, announcements[j])
		}
		for _, g := range table.Groups {
			if _, _, ok := tr.GroupLease(g.ID, start); !ok {
				b.Fatal("no lease")
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/engine")
}

func BenchmarkEngines100(b *testing.B)  { benchmarkEngines(b, 100) }
func BenchmarkEngines500(b *testing.B)  { benchmarkEngines(b, 500) }
func BenchmarkEngines2100(b *testing.B) { benchmarkEngines(b, 2100) }
