package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"savorywing.example/savorywing/process/evacuation"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/process/quota"
	"savorywing.example/savorywing/version/residency"
	"savorywing.example/savorywing/wire"
)

// drawState returns a balancer after a random history.
func drawState(r *rand.Rand, now time.Time) *Balancer {
	b := New(Config{Seed: r.Uint64(), DataCentre: "x"})
	list := groups(1 + r.IntN(6))
	for i := range list {
		list[i].DataCentre = []string{"x", "y"}[r.IntN(2)]
		list[i].Silent = r.IntN(6) == 0
		if r.IntN(5) == 0 {
			list[i].ColdMs, list[i].ColdShare = 3000, 5
		}
	}
	b.UpdateEndpoints(true, list, nil)
	b.ApplyLimits(now, wire.FleetUpdate{Full: true, Endpoints: list})
	if r.IntN(6) == 0 {
		b.SetEvacuated(evacuation.Restore(&wire.Evacuations{Revision: 1, DataCentres: []string{"y"}}))
	}
	var loads []fleet.Load
	for _, e := range list {
		loads = append(loads, fleet.Load{Handle: e.Handle, InFlight: r.IntN(24), WaitingTokens: r.IntN(9000), Stalled: r.IntN(8) == 0})
	}
	b.SetLoads(now, loads, 1+r.IntN(30))
	for range r.IntN(40) {
		now = now.Add(time.Duration(r.IntN(20)) * time.Millisecond)
		req := drawRequest(r)
		d := b.Pick(now, req)
		if d.Reason != ReasonNone {
			continue
		}
		res := b.Start(now, d, req)
		if r.IntN(2) == 0 {
			b.Finish(now, res, []Result{Served, Failed, Shed, Unreachable}[r.IntN(4)])
		}
		if r.IntN(12) == 0 {
			b.RecordNotice(now, d.ID, d.Born, Notice{Leaving: r.IntN(2) == 0, ClosedFor: time.Second})
		}
		if r.IntN(12) == 0 {
			b.RecordResponse(now, quota.Response{Server: d.ID, Born: d.Born, SentAt: now, Limited: true, PerSecond: 4})
		}
	}
	return b
}

func drawRequest(r *rand.Rand) Request {
	req := chatRequest()
	req.PromptTokens, req.Elapsed = r.IntN(4000), time.Duration(r.IntN(500))*time.Millisecond
	if r.IntN(5) == 0 {
		req.Area = residency.Map{"x": "north", "y": "south"}.Within([]string{"south"})
	}
	if r.IntN(5) == 0 {
		req.Excluded = []string{"g0"}
	}
	if r.IntN(6) == 0 {
		req.Engine = nil
	}
	return req
}

// TestExplainIsPick draws states and checks that an explanation is what Pick returns then, and that it changes nothing.
func TestExplainIsPick(t *testing.T) {
	sent, rejected := 0, map[Reason]int{}
	for seed := range uint64(1000) {
		r := rand.New(rand.NewPCG(seed, 7))
		now := time.Unix(1000, 0)
		b, req := drawState(r, now), drawRequest(r)
		now = now.Add(time.Duration(r.IntN(2500)) * time.Millisecond)
		first, candidates := b.Explain(now, req)
		second, _ := b.Explain(now, req)
		got := b.Pick(now, req)
		if first != got || second != got {
			t.Fatalf("seed %d: explained %+v, again %+v, picked %+v", seed, first, second, got)
		}
		if got.Reason != ReasonNone {
			rejected[got.Reason]++
			continue
		}
		sent++
		for _, c := range candidates {
			if c.ID == got.ID && (c.Excluded == evacuatedExclusion || c.Excluded == string(outsideArea) || c.Excluded == string(lacksPermit)) {
				t.Errorf("seed %d: %s is picked though %s", seed, c.ID, c.Excluded)
			}
		}
	}
	if sent < 100 || len(rejected) < 2 {
		t.Errorf("the states are too much alike: %d sent, rejected %s", sent, fmt.Sprint(rejected))
	}
}
