package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

func item(id, organisation string, timeout time.Duration) Item {
	return Item{ID: id, Organisation: organisation, Deadline: start.Add(timeout), Arrival: start}
}

func TestPolicies(t *testing.T) {
	tests := []struct {
		policy Policy
		want   []string
	}{
		{FirstComeFirstServed, []string{"a1", "a2", "b1", "a3"}},
		{EarliestDeadline, []string{"a3", "b1", "a2", "a1"}},
		{FairDeadline, []string{"a3", "b1", "a2", "a1"}},
	}
	for _, tt := range tests {
		Convey("With the policy "+tt.policy.String(), t, func() {
			q := NewQueue(tt.policy, WithInitialEstimates(time.Second, 0))
			q.SetSlots(100)
			for i, it := range []Item{
				item("a1", "a", 9*time.Second), item("a2", "a", 8*time.Second), item("b1", "b", 7*time.Second), item("a3", "a", 6*time.Second),
			} {
				So(q.Admit(start, i, it).Rejected, ShouldBeFalse)
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
	Convey("A request that can't meet its deadline is rejected at once, with a time to retry", t, func() {
		q := NewQueue(FairDeadline, WithInitialEstimates(time.Second, 100*time.Millisecond))
		q.SetSlots(1)
		So(q.Admit(start, 0, item("now", "a", time.Second)).Rejected, ShouldBeFalse)
		d := q.Admit(start, 1, item("later", "a", time.Second))
		So(d.Rejected, ShouldBeTrue)
		So(d.RetryAfter, ShouldBeGreaterThan, 0)
		So(q.Admit(start, 1, item("patient", "a", 10*time.Second)).Rejected, ShouldBeFalse)
		So(q.Admit(start, 0, item("too late", "a", 50*time.Millisecond)).Rejected, ShouldBeTrue)
	})
	Convey("A waiting request expires as soon as it can't meet its deadline", t, func() {
		q := NewQueue(FairDeadline, WithInitialEstimates(time.Second, 100*time.Millisecond))
		q.SetSlots(1)
		So(q.Admit(start, 0, item("x", "a", 2*time.Second)).Rejected, ShouldBeFalse)
		at := start.Add(1900 * time.Millisecond)
		So(q.Expire(at), ShouldBeEmpty)
		So(q.Expire(at.Add(1)), ShouldHaveLength, 1)
		So(q.Len(), ShouldEqual, 0)
	})
}

func TestFairShares(t *testing.T) {
	Convey("A burst of one organisation does not take the fair share of others", t, func() {
		q := NewQueue(FairDeadline, WithInitialEstimates(time.Second, 0), WithWeights(map[string]float64{"large": 3, "small": 1}))
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

func TestReservedSlots(t *testing.T) {
	Convey("The last slots are reserved for an organisation that has used less than its fair share", t, func() {
		q := NewQueue(FairDeadline, WithInitialEstimates(time.Second, 0))
		q.SetSlots(reserveDivisor)
		submitBurst := func() {
			for i := range 40 {
				q.Admit(start, 0, item(fmt.Sprint("flood-", i), "flood", time.Hour))
			}
		}
		Convey("if it was active recently", func() {
			q.Admit(start, 0, item("small", "small", time.Second))
			q.Next(0)
			submitBurst()
			for range 20 {
				q.Next(0)
			}
			_, ok := q.Next(reserveDivisor - 1)
			So(ok, ShouldBeFalse)
			q.Admit(start, reserveDivisor-1, item("small", "small", time.Hour))
			it, ok := q.Next(reserveDivisor - 1)
			So(ok, ShouldBeTrue)
			So(it.Organisation, ShouldEqual, "small")
		})
		Convey("and are used if there is none", func() {
			submitBurst()
			_, ok := q.Next(reserveDivisor - 1)
			So(ok, ShouldBeTrue)
		})
	})
}

func TestRequeue(t *testing.T) {
	Convey("A request that could not run is queued again and its cost refunded", t, func() {
		q := NewQueue(FairDeadline)
		q.SetSlots(10)
		q.Admit(start, 0, item("x", "a", time.Hour))
		it, ok := q.Next(0)
		So(ok, ShouldBeTrue)
		finishBefore := q.organisations["a"].finish
		q.RecordCompletion(time.Minute, 0)
		q.Requeue(it)
		So(q.organisations["a"].finish, ShouldEqual, finishBefore-it.cost)
		So(q.Len(), ShouldEqual, 1)
		_, ok = q.Next(0)
		So(ok, ShouldBeTrue)
		_, ok = q.Next(0)
		So(ok, ShouldBeFalse)
	})
}

// TestRemove checks that a removed request is neither counted nor run, and that the others keep their order.
func TestRemove(t *testing.T) {
	q := NewQueue(FairDeadline)
	q.SetSlots(10)
	for i, id := range []string{"a", "b", "c"} {
		if d := q.Admit(start, 0, item(id, "x", time.Duration(10+i)*time.Second)); d.Rejected {
			t.Fatalf("%s was rejected", id)
		}
	}
	tests := []struct {
		organisation, id string
		want             bool
	}{
		{"x", "b", true},
		{"x", "b", false},
		{"x", "d", false},
		{"y", "a", false},
	}
	for _, tt := range tests {
		if got := q.Remove(tt.organisation, tt.id); got != tt.want {
			t.Errorf("Remove(%q, %q) = %t, want %t", tt.organisation, tt.id, got, tt.want)
		}
	}
	if q.Len() != 2 {
		t.Errorf("%d requests wait, want 2", q.Len())
	}
	for _, want := range []string{"a", "c"} {
		if got, ok := q.Next(0); !ok || got.ID != want {
			t.Errorf("the next request is %q, want %q", got.ID, want)
		}
	}
}

// TestOwnSlots checks that the slots of all hosts add up to the slots of a group.
func TestOwnSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, slots := rapid.IntRange(1, 40).Draw(t, "n"), rapid.IntRange(0, 200).Draw(t, "slots")
		group := rapid.String().Draw(t, "group")
		rotation := rapid.Int64Range(0, 1<<40).Draw(t, "rotation")
		sum := 0
		for i := range n {
			sum += OwnSlots(slots, group, i, n, rotation)
		}
		if sum != slots {
			t.Fatalf("%d hosts have %d of %d slots", n, sum, slots)
		}
	})
}

func TestOwnSlotsRotate(t *testing.T) {
	Convey("With fewer slots than hosts, every host gets an equal number over a full rotation", t, func() {
		const hosts = 12
		for i := range hosts {
			total := 0
			for rotation := range int64(hosts) {
				total += OwnSlots(8, "group", i, hosts, rotation)
			}
			So(total, ShouldEqual, 8)
		}
	})
}

// BenchmarkAdmit measures admission and removal of one request in a queue of 1,000.
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
