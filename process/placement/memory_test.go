package placement

import (
	"testing"
	"time"

	"savorywing.example/savorywing/process/fleet"
)

// playMemory lets four hosts place requests of mixed sizes, of which each takes a while, on four groups of 8000 tokens. It
// returns the most that was placed on a group at a time, and how many requests were placed.
func playMemory(groupTokens int) (most, placed int) {
	const hosts, groupCount, steps, lifetime = 4, 4, 400, 24
	type running struct {
		host, group, tokens, endsAt int
		reservation                 *Reservation
	}
	now := time.Unix(1000, 0)
	var balancers []*Balancer
	for range hosts {
		balancers = append(balancers, newBalancer(groupCount))
	}
	sums := make([]int, groupCount)
	var open []running
	for step := range steps {
		now = now.Add(10 * time.Millisecond)
		var left []running
		for _, r := range open {
			if r.endsAt > step {
				left = append(left, r)
				continue
			}
			sums[r.group] -= r.tokens
			balancers[r.host].Finish(now, r.reservation, Served)
		}
		open = left
		b := balancers[step%hosts]
		req := Request{Service: "llm", Model: "m", Objective: time.Second, Remaining: time.Minute, MemoryTokens: []int{400, 450, 300, 3000, 400}[step%5], GroupTokens: groupTokens}
		if d := b.Pick(now, req); d.Reason == ReasonNone {
			placed++
			group := int(d.ID[1] - '0')
			sums[group] += req.MemoryTokens
			most = max(most, sums[group])
			open = append(open, running{step % hosts, group, req.MemoryTokens, step + lifetime, b.Start(now, d, req)})
		}
		loads := make([]fleet.Load, groupCount)
		for _, b := range balancers {
			for _, l := range b.Usage(now) {
				loads[l.ID[1]-'0'].InFlight += l.InFlight
			}
		}
		for i := range loads {
			loads[i].Handle = uint64(i + 1)
		}
		for _, b := range balancers {
			b.SetLoads(now, loads, hosts)
		}
	}
	return most, placed
}

// TestMemoryOfGroups guards against groups on which the hosts together place more than fits into their memory, although each
// request does. Its load is a mix with a few large requests; a group without a known memory is used as before.
func TestMemoryOfGroups(t *testing.T) {
	const groupTokens = 8000
	most, placed := playMemory(groupTokens)
	unbounded, all := playMemory(0)
	t.Logf("%d tokens at most, %d requests placed; without the bound %d, %d", most, placed, unbounded, all)
	if most > groupTokens || unbounded <= groupTokens {
		t.Errorf("%d tokens on a group of %d, and %d without the bound", most, groupTokens, unbounded)
	}
	if large, placedAll := playMemory(10 * groupTokens); large != unbounded || placedAll != all {
		t.Errorf("%d tokens and %d requests with memory for all of them, %d and %d without a bound", large, placedAll, unbounded, all)
	}
}

// TestLargeRequestKeepsUsualOnes guards against a caller whose large numbers keep others' requests from the groups: they only don't
// queue there.
func TestLargeRequestKeepsUsualOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBalancer(2)
	b.SetLoads(now, nil, 1)
	usual := Request{Service: "llm", Model: "m", Objective: time.Second, Remaining: time.Minute, MemoryTokens: 400, GroupTokens: 8000}
	large := usual
	large.MemoryTokens = 8000
	d := b.Pick(now, large)
	if d.Reason != ReasonNone {
		t.Fatalf("a request that needs an idle group is rejected: %v", d.Reason)
	}
	held := b.Start(now, d, large)
	for range 17 {
		next := b.Pick(now, usual)
		if next.Reason != ReasonNone || next.ID == d.ID {
			t.Fatalf("a usual request: %q at %q, the large one is at %q", next.Reason, next.ID, d.ID)
		}
		b.Start(now, next, usual)
	}
	if next := b.Pick(now, usual); next.Reason != ReasonFull {
		t.Errorf("beyond the slots: %q at %q", next.Reason, next.ID)
	}
	b.Finish(now, held, Served)
	if next := b.Pick(now, usual); next.ID != d.ID {
		t.Errorf("after the large one: %q at %q", next.Reason, next.ID)
	}
}
