package state

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"savorywing.example/savorywing/wire"
)

func change(follows uint64, id, operator string) wire.Command {
	return wire.Command{At: 1, Configuration: &wire.ChangeConfiguration{Follows: follows, ChangeID: id, Operator: operator, Text: "text of " + id}}
}

func claim(key, digest, attempt string, at int64) wire.Command {
	return wire.Command{At: at, Claim: &wire.Claim{
		Organisation: "o", Key: key, Digest: digest, Attempt: attempt, KeepMilliseconds: 1000, Limit: 3,
	}}
}

func settle(key, attempt, outcome string) wire.Command {
	return wire.Command{Settle: &wire.Settle{
		Organisation: "o", Key: key, Attempt: attempt, Outcome: outcome, Status: 200, Answer: []byte("answer"), AnswerKept: true,
	}}
}

func TestConfigurationRace(t *testing.T) {
	Convey("Two operators race for the same configuration number", t, func() {
		m := New()
		first := m.Apply(1, change(0, "x", "asha"))
		So(first.Accepted, ShouldBeTrue)
		So(first.Configuration.Number, ShouldEqual, 1)
		second := m.Apply(2, change(0, "y", "mari"))
		So(second.Accepted, ShouldBeFalse)
		So(second.Configuration.Operator, ShouldEqual, "asha")
		So(second.Configuration.ChangeID, ShouldEqual, "x")
		So(m.Configuration().Text, ShouldEqual, "text of x")

		Convey("a resend gets the first result, even after later changes and a restart", func() {
			So(m.Apply(3, change(1, "z", "mari")).Accepted, ShouldBeTrue)
			b, err := m.Snapshot()
			So(err, ShouldBeNil)
			restored, err := Restore(b)
			So(err, ShouldBeNil)
			resent := restored.Apply(4, change(0, "x", "asha"))
			So(resent.Accepted, ShouldBeTrue)
			So(resent.Configuration.Number, ShouldEqual, 1)
			So(restored.Configuration().Number, ShouldEqual, 2)
		})
	})
}

func TestClaims(t *testing.T) {
	type step struct {
		command wire.Command
		want    bool
		state   string
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"a duplicate while the first attempt runs", []step{
			{claim("k", "d", "1", 0), true, ClaimRunning},
			{claim("k", "d", "2", 0), false, ClaimRunning},
		}},
		{"the same proposal resent after its response was lost", []step{
			{claim("k", "d", "1", 0), true, ClaimRunning},
			{claim("k", "d", "1", 0), true, ClaimRunning},
		}},
		{"a duplicate after the first attempt is done", []step{
			{claim("k", "d", "1", 0), true, ClaimRunning},
			{settle("k", "1", OutcomeDone), true, ClaimDone},
			{claim("k", "d", "2", 0), false, ClaimDone},
			{claim("k", "d", "1", 0), false, ClaimDone},
		}},
		{"a duplicate after an unknown outcome", []step{
			{claim("k", "d", "1", 0), true, ClaimRunning},
			{settle("k", "1", OutcomeUnknown), true, ClaimUnknown},
			{claim("k", "d", "2", 0), false, ClaimUnknown},
			{settle("k", "1", OutcomeDone), true, ClaimDone},
		}},
		{"another attempt after the first was not run", []step{
			{claim("k", "d", "1", 0), true, ClaimRunning},
			{settle("k", "1", OutcomeNotRun), true, ClaimVoid},
			{claim("k", "d", "2", 0), true, ClaimRunning},
			{settle("k", "1", OutcomeDone), false, ""},
			{claim("k", "d", "1", 0), false, ClaimRunning},
		}},
		{"a settled outcome, which can't be voided later", []step{
			{claim("k", "d", "1", 0), true, ClaimRunning},
			{settle("k", "1", OutcomeDone), true, ClaimDone},
			{settle("k", "1", OutcomeNotRun), false, ClaimDone},
			{claim("k", "d", "2", 0), false, ClaimDone},
		}},
		{"the same key for another request", []step{
			{claim("k", "d", "1", 0), true, ClaimRunning},
			{claim("k", "other", "2", 0), false, ""},
		}},
		{"a full claim table", []step{
			{claim("a", "d", "1", 0), true, ClaimRunning},
			{claim("b", "d", "2", 0), true, ClaimRunning},
			{claim("c", "d", "3", 0), true, ClaimRunning},
			{claim("d", "d", "4", 0), false, ""},
			{claim("a", "d", "5", 999), false, ClaimRunning},
			{claim("d", "d", "4", 1000), true, ClaimRunning},
		}},
		{"a retried claim, whose retention counts from its last attempt", []step{
			{claim("k", "d", "1", 0), true, ClaimRunning},
			{settle("k", "1", OutcomeNotRun), true, ClaimVoid},
			{claim("k", "d", "2", 900), true, ClaimRunning},
			{claim("k", "d", "3", 1500), false, ClaimRunning},
			{claim("k", "d", "3", 1900), true, ClaimRunning},
		}},
	}
	for _, tt := range tests {
		Convey("With "+tt.name, t, func() {
			m := New()
			for i, s := range tt.steps {
				r := m.Apply(uint64(i+1), s.command)
				So(r.Accepted, ShouldEqual, s.want)
				state := ""
				if r.Claim != nil {
					state = r.Claim.State
				}
				So(state, ShouldEqual, s.state)
				b, err := m.Snapshot()
				So(err, ShouldBeNil)
				m, err = Restore(b)
				So(err, ShouldBeNil)
			}
		})
	}
}

// TestOwnership applies random commands and checks that no host is ever in two groups, that no group's fencing token
// is above the highest issued one, and that a snapshot restores the same state.
func TestOwnership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		m := New()
		highest := uint64(0)
		for i := range 200 {
			r := m.Apply(uint64(i+1), randomCommand(random, m))
			if r.Accepted && r.Fence > highest {
				highest = r.Fence
			}
			checkTable(t, m.Table(), highest)
			if random.IntN(20) == 0 {
				b, err := m.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if m, err = Restore(b); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

func randomCommand(r *rand.Rand, m *Machine) wire.Command {
	host := func() string { return fmt.Sprintf("host-%d", r.IntN(6)) }
	g := fmt.Sprintf("group-%d", r.IntN(4))
	fence := m.lastFencingToken
	if r.IntN(4) == 0 && fence > 0 {
		fence = r.Uint64N(fence + 1)
	}
	if known := m.groups[g]; known != nil && r.IntN(2) == 0 {
		fence = known.Fence
	}
	switch r.IntN(5) {
	case 0, 1:
		a := &wire.Assign{Group: g, Model: "m", Version: "1"}
		for range 1 + r.IntN(3) {
			name := host()
			last := m.ownership(name).Fence
			if r.IntN(5) == 0 {
				last++
			}
			a.Members = append(a.Members, wire.GroupMember{Host: name, LastFence: last})
		}
		return wire.Command{Assign: a}
	case 2:
		s := &wire.GroupStep{Group: g, Fence: fence}
		if known := m.groups[g]; known != nil {
			s.Members = append(s.Members, known.Members...)
		}
		return wire.Command{Activate: s}
	case 3:
		return wire.Command{Release: &wire.GroupStep{Group: g, Fence: fence}}
	}
	name := host()
	return wire.Command{Free: &wire.FreeHost{Host: name, Fence: m.ownership(name).Fence}}
}

func checkTable(t *rapid.T, table wire.Table, highest uint64) {
	owner := map[string]string{}
	for _, g := range table.Groups {
		if g.Fence > highest {
			t.Fatalf("group %s has fencing token %d, above the highest issued %d", g.ID, g.Fence, highest)
		}
		for _, m := range g.Members {
			if other := owner[m.Host]; other != "" {
				t.Fatalf("host %s is in groups %s and %s", m.Host, other, g.ID)
			}
			owner[m.Host] = g.ID
		}
	}
	for _, h := range table.Hosts {
		if h.Group != owner[h.Host] {
			t.Fatalf("host %s is owned by group %q but is a member of %q", h.Host, h.Group, owner[h.Host])
		}
	}
}

func TestAssignCompareAndSet(t *testing.T) {
	Convey("A group is created of free hosts only, at the fencing tokens that the planner saw", t, func() {
		m := New()
		assign := func(group string, last uint64, hosts ...string) wire.Result {
			a := &wire.Assign{Group: group, Model: "m", Version: "1"}
			for _, h := range hosts {
				a.Members = append(a.Members, wire.GroupMember{Host: h, LastFence: last})
			}
			return m.Apply(1, wire.Command{Assign: a})
		}
		So(assign("g", 0, "a", "b").Accepted, ShouldBeTrue)
		So(assign("h", 0, "b", "c").Reason, ShouldEqual, ReasonNotFree)
		So(assign("h", 0, "c", "c").Reason, ShouldEqual, ReasonNotFree)
		So(assign("g", 0, "d").Reason, ShouldEqual, ReasonExists)
		So(assign("h", 0).Reason, ShouldEqual, ReasonMalformed)
		free := wire.Command{Free: &wire.FreeHost{Host: "b", Fence: 1}}
		So(m.Apply(2, free).Reason, ShouldEqual, ReasonWrongPhase)
		So(m.Apply(3, wire.Command{Release: &wire.GroupStep{Group: "g", Fence: 1}}).Accepted, ShouldBeTrue)
		So(m.Apply(4, wire.Command{Activate: &wire.GroupStep{Group: "g", Fence: 1}}).Reason, ShouldEqual, ReasonWrongPhase)
		So(m.Apply(5, free).Accepted, ShouldBeTrue)
		So(assign("h", 0, "b", "c").Reason, ShouldEqual, ReasonNotFree)
		So(assign("h", 1, "b").Fence, ShouldEqual, 2)
	})
}

// benchmarkClaim measures one claim and its settlement with n claims in the claim table.
func benchmarkClaim(b *testing.B, n int) {
	m := New()
	command := func(i int) wire.Command {
		return wire.Command{At: time.Now().UnixMilli(), Claim: &wire.Claim{
			Organisation: "o", Key: fmt.Sprintf("key-%d", i), Digest: "0123456789abcdef0123456789abcdef", Attempt: "a",
			KeepMilliseconds: 1 << 40, Limit: 1 << 40,
		}}
	}
	for i := range n {
		m.Apply(uint64(i), command(i))
	}
	b.ResetTimer()
	for i := range b.N {
		m.Apply(uint64(i), command(n+i))
		m.Apply(uint64(i), settle(fmt.Sprintf("key-%d", n+i), "a", OutcomeDone))
	}
}

func BenchmarkClaim100(b *testing.B)   { benchmarkClaim(b, 100) }
func BenchmarkClaim1000(b *testing.B)  { benchmarkClaim(b, 1000) }
func BenchmarkClaim10000(b *testing.B) { benchmarkClaim(b, 10_000) }

// TestEvacuationKept checks that evacuations survive a snapshot, and that a snapshot of a version without them can be read.
func TestEvacuationKept(t *testing.T) {
	m := New()
	for i, c := range []wire.Evacuate{{DataCentre: "a", On: true}, {DataCentre: "b", On: true}, {DataCentre: "a"}, {DataCentre: "b", On: true}} {
		if r := m.Apply(uint64(i+1), wire.Command{Evacuate: &c}); !r.Accepted {
			t.Errorf("order %d was rejected: %s", i, r.Reason)
		}
	}
	b, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(b)
	if err != nil {
		t.Fatal(err)
	}
	if s := restored.Evacuated(); !s.Covers("b") || s.Covers("a") || s.Revision() != 3 {
		t.Errorf("restored %v of revision %d", s.Names(), s.Revision())
	}
	if r := m.Apply(5, wire.Command{Evacuate: &wire.Evacuate{On: true}}); r.Accepted {
		t.Error("an order without a data centre was accepted")
	}
	b, err = New().Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if old, err := Restore(b); err != nil || old.Evacuated() != nil {
		t.Errorf("got %v, %v without evacuations", old, err)
	}
}

// TestEvacuationLateCopy checks that a copy of an order that is held up on its way to the leader has no effect once a later order has
// been obeyed, and that one which arrives late without such an order is accepted like a resent one.
func TestEvacuationLateCopy(t *testing.T) {
	for _, on := range []bool{true, false} {
		m, first := New(), uint64(0)
		if !on {
			m.Apply(1, wire.Command{Evacuate: &wire.Evacuate{DataCentre: "a", On: true, Follows: &first}})
		}
		before := m.Evacuated().Revision()
		late := wire.Command{Evacuate: &wire.Evacuate{DataCentre: "a", On: on, Follows: &before}}
		for index := range uint64(2) {
			if r := m.Apply(index+2, late); !r.Accepted || m.Evacuated().Covers("a") != on {
				t.Fatalf("on %t: the order, copy %d: %v, evacuated %v", on, index, r, m.Evacuated().Names())
			}
		}
		follows := m.Evacuated().Revision()
		m.Apply(4, wire.Command{Evacuate: &wire.Evacuate{DataCentre: "a", On: !on, Follows: &follows}})
		r := m.Apply(5, late)
		if r.Accepted || r.Reason != ReasonSuperseded || m.Evacuated().Covers("a") == on {
			t.Fatalf("on %t: the late copy: %v, evacuated %v", on, r, m.Evacuated().Names())
		}
		// A host whose operator still waits follows the set of the rejection.
		newest := r.Evacuations.Revision
		if r := m.Apply(6, wire.Command{Evacuate: &wire.Evacuate{DataCentre: "a", On: on, Follows: &newest}}); !r.Accepted || m.Evacuated().Covers("a") != on {
			t.Errorf("on %t: a new order after it: %v, evacuated %v", on, r, m.Evacuated().Names())
		}
	}
}
