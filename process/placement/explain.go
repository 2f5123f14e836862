package placement

import (
	"maps"
	"math/rand/v2"
	"sort"
	"time"

	"savorywing.example/savorywing/process/clone"
)

// Candidate is an endpoint of a request's service and model, as this host sees it.
type Candidate struct {
	ID, Address, DataCentre string
	// Load counts the requests of all hosts; those of other hosts are LoadAge old, or have never been received if it is negative.
	Load, Slots, WaitingTokens int
	LoadAge                    time.Duration
	// Predicted is the predicted time to the first event.
	Predicted time.Duration
	// Excluded is why the endpoint isn't chosen, or is only if too few others are left; empty if it may be.
	Excluded string
}

// evacuatedExclusion excludes endpoints of evacuated data centres, which are in no pool.
const evacuatedExclusion = "evacuated"

// Explain returns what Pick would return at this moment, and the endpoints that it would choose from, sorted by ID. It changes nothing:
// Pick runs on a copy.
func (b *Balancer) Explain(now time.Time, req Request) (Decision, []Candidate) {
	copied := b.clone()
	d := copied.Pick(now, req)
	var list []Candidate
	for _, e := range copied.byID {
		if (endpointKey{e.Service, e.Model}) != req.key() {
			continue
		}
		excluded := string(copied.exclusion(now, req, e))
		if b.evacuated.Covers(e.DataCentre) {
			excluded = evacuatedExclusion
		}
		age := time.Duration(-1)
		if !b.updatedAt.IsZero() {
			age = now.Sub(b.updatedAt)
		}
		list = append(list, Candidate{
			ID: e.ID, Address: e.Address, DataCentre: e.DataCentre, Load: e.load(), Slots: e.slots(), WaitingTokens: e.waitingTokens(), LoadAge: age,
			Predicted: copied.evaluate(e, fastestGap(copied.pools[req.key()]), req).predicted, Excluded: excluded,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return d, list
}

// clone returns a copy that shares nothing that Pick changes, and draws the same random numbers from now on.
func (b *Balancer) clone() *Balancer {
	c := *b
	source := *b.source
	c.source, c.random = &source, rand.New(&source)
	c.byID = clone.Values(b.byID)
	c.rebuildIndex()
	c.shares = make(map[shareKey]*poolShare, len(b.shares))
	for k, s := range b.shares {
		c.shares[k] = &poolShare{Share: s.Clone(c.random), area: s.area}
	}
	c.notices, c.permits = maps.Clone(b.notices), b.permits.Clone()
	return &c
}
