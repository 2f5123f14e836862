package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

func item(id, organisation string, patience time.Duration) Item {
	return Item{ID: id, Organisation: organisation, Deadline: start.Add(patience), Arrival: start}
}

func TestOrders(t *testing.T) {
	tests := []struct {
		order Policy
		want  []string
	}{
		{FirstCome, []string{"a1", "a2", "b1", "a3"}},
		{EarliestDeadline, []string{"a3", "b1", "a2", "a1"}},
		{FairDeadline, []string{"a3", "b1", "a2", "a1"}},
	}
	for _, tt := range tests {
		Convey("In the order "+tt.order.String(), t, func() {
			q := NewQueue(tt.order, WithInitialEstimates(time.Second, 0))
			q.SetSlots(100)
			for i, it := range []Item{
				item("a1", "a", 9*time.Second), item("a2", "a", 8*time.Second), item("b1", "b", 7*time.Second), item("a3", "a", 6*time.Second),
			} {
				So(q.Admit(start, i, it).Refused, ShouldBeFalse)
			}
			var got []string
			for q.Len() > 0 {
				it, _ := q.Next(0)
				got = append(got, it.ID)
			}
			So(got, ShouldResemble, tt.want)
		})
	}
}

func TestRefusal(t *testing.T) {
	Convey("What can't be met is refused at once, with a time to come back", t, func() {
		q := NewQueue(FairDeadline, WithInitialEstimates(time.Second, 100*time.Millisecond))
		q.SetSlots(1)
		So(q.Admit(start, 0, item("now", "a", time.Second)).Refused, ShouldBeFalse)
		v := q.Admit(start, 1, item("later", "a", time.Second))
		So(v.Refused, ShouldBeTrue)
		So(v.RetryAfter, ShouldBeGreaterThan, 0)
		So(q.Admit(start, 1, item("patient", "a", 10*time.Second)).Refused, ShouldBeFalse)
		So(q.Admit(start, 0, item("too late", "a", 50*time.Millisecond)).Refused, ShouldBeTrue)
	})
	Convey("What waits is refused as soon as it is certain", t, func() {
		q := NewQueue(FairDeadline, WithInitialEstimates(time.Second, 100*time.Millisecond))
		q.SetSlots(1)
		So(q.Admit(start, 0, item("x", "a", 2*time.Second)).Refused, ShouldBeFalse)
		at := start.Add(1900 * time.Millisecond)
		So(q.Expire(at), ShouldBeEmpty)
		So(q.Expire(at.Add(1)), ShouldHaveLength, 1)
		So(q.Len(), ShouldEqual, 0)
	})
}

func TestFairShares(t *testing.T) {
	Convey("A flood does not take the share of others", t, func() {
		q := NewQueue(FairDeadline, WithInitialEstimates(time.Second, 0), WithShares(map[string]float64{"large": 3, "small": 1}))
		q.SetSlots(1000)
		for i := range 400 {
			q.Admit(start, 0, item(fmt.Sprintf("large-%d", i), "large", time.Hour))
			if i < 100 {
				q.Admit(start, 0, item(fmt.Sprintf("small-%d", i), "small", 2*time.Hour))
			}
		}
		small := 0
		for range 200 {
			it, _ := q.Next(0)
			if it.Organisation == "small" {
				small++
			}
		}
		So(small, ShouldBeBetweenOrEqual, 45, 55+burst)
	})
}

func TestReserve(t *testing.T) {
	Convey("The last slots are kept for an organisation that has used less than its share", t, func() {
		q := NewQueue(FairDeadline, WithInitialEstimates(time.Second, 0))
		q.SetSlots(reservePart)
		flood := func() {
			for i := range 40 {
				q.Admit(start, 0, item(fmt.Sprint("flood-", i), "flood", time.Hour))
			}
		}
		Convey("while it was active lately", func() {
			q.Admit(start, 0, item("small", "small", time.Second))
			q.Next(0)
			flood()
			for range 20 {
				q.Next(0)
			}
			_, ok := q.Next(reservePart - 1)
			So(ok, ShouldBeFalse)
			q.Admit(start, reservePart-1, item("small", "small", time.Hour))
			it, ok := q.Next(reservePart - 1)
			So(ok, ShouldBeTrue)
			So(it.Organisation, ShouldEqual, "small")
		})
		Convey("and used if there is none", func() {
			flood()
			_, ok := q.Next(reservePart - 1)
			So(ok, ShouldBeTrue)
		})
	})
}

func TestRequeue(t *testing.T) {
	Convey("A request that could not run waits on", t, func() {
		q := NewQueue(FairDeadline)
		q.SetSlots(10)
		q.Admit(start, 0, item("x", "a", time.Hour))
		it, ok := q.Next(0)
		So(ok, ShouldBeTrue)
		charged := q.tenants["a"].finish
		q.RecordCompletion(time.Minute, 0)
		q.Requeue(it)
		So(q.tenants["a"].finish, ShouldEqual, charged-it.cost)
		So(q.Len(), ShouldEqual, 1)
		_, ok = q.Next(0)
		So(ok, ShouldBeTrue)
		_, ok = q.Next(0)
		So(ok, ShouldBeFalse)
	})
}

// TestOwnSlots checks that the parts of all hosts add up to the slots of every group.
func TestOwnSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, slots := rapid.IntRange(1, 40).Draw(t, "n"), rapid.IntRange(0, 200).Draw(t, "slots")
		group := rapid.String().Draw(t, "group")
		turn := rapid.Int64Range(0, 1<<40).Draw(t, "turn")
		sum := 0
		for i := range n {
			sum += OwnSlots(slots, group, i, n, turn)
		}
		if sum != slots {
			t.Fatalf("%d hosts have %d of %d slots", n, sum, slots)
		}
	})
}

func TestOwnSlotsGoRound(t *testing.T) {
	Convey("With fewer slots than hosts, every host has its turn", t, func() {
		const hosts = 12
		for i := range hosts {
			turns := 0
			for turn := range int64(hosts) {
				turns += OwnSlots(8, "group", i, hosts, turn)
			}
			So(turns, ShouldEqual, 8)
		}
	})
}

// BenchmarkAdmit measures one request through a queue in which 1,000 wait.
func BenchmarkAdmit(b *testing.B) {
	q := NewQueue(FairDeadline, WithInitialEstimates(time.Millisecond, 0))
	q.SetSlots(1000)
	for i := range 1000 {
		q.Admit(start, 0, item(fmt.Sprint(i), fmt.Sprint("organisation-", i%10), time.Hour))
	}
	b.ResetTimer()
	for i := range b.N {
		q.Admit(start, 0, item(fmt.Sprint("more-", i), fmt.Sprint("organisation-", i%10), time.Hour))
		q.Next(0)
	}
}
