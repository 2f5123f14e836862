package overload

import (
	"math"
	"slices"
	"time"

	"savorywing.example/savorywing/process/clone"
)

// Claim is who asks for a slot of a full pool.
type Claim struct {
	// Late reports whether the request has missed its objective.
	Late bool
	// Priority is its rank; 0 is the most urgent.
	Priority     int
	Organisation string
}

// claims counts who has asked for slots of a full pool and who has got them. Its counts fade with the time constant claimMemory.
type claims struct {
	byPriority     map[int]*claimCount
	byOrganisation map[string]*claimCount
	total          claimCount
	// base is when a request counted 1. One at a later time counts exp((t-base)/claimMemory), so that the older counts fade against
	// it.
	base time.Time
	// level is the most that an organisation may have been sent before it exceeds its share, as of levelAt; infinite while all get what they
	// ask for.
	level   float64
	levelAt time.Time
}

// claimCount counts requests that were asked for and sent, in the units of claims.base.
type claimCount struct {
	asked, sent float64
	// rejectedAt is when one that could have been in time was last rejected.
	rejectedAt time.Time
}

const (
	claimMemory = 4 * time.Second
	// maxClaimWeight bounds the weight of a new request, after which all are counted anew from it.
	maxClaimWeight = 1 << 20
	// forgottenClaims is the faded count below which one is dropped.
	forgottenClaims = 0.01
	levelInterval   = 50 * time.Millisecond
	// guarantee is the least part of the fraction of all requests that is sent, for each priority.
	guarantee = 0.5
	// shareMargin and shareSlack are the fraction of its share, and the number of requests, by which an organisation may exceed it
	// by chance.
	shareMargin, shareSlack = 1.1, 1.0
)

func newClaims() claims {
	return claims{byPriority: map[int]*claimCount{}, byOrganisation: map[string]*claimCount{}, level: math.Inf(1)}
}

func (c *claims) clone() claims {
	copied := *c
	copied.byPriority, copied.byOrganisation = clone.Values(c.byPriority), clone.Values(c.byOrganisation)
	return copied
}

// weight returns what a request counts now.
func (c *claims) weight(now time.Time) float64 {
	w := math.Exp(now.Sub(c.base).Seconds() / claimMemory.Seconds())
	if c.base.IsZero() || w > maxClaimWeight || w < 1 {
		fade(c.byPriority, w)
		fade(c.byOrganisation, w)
		c.total.fade(w)
		c.base, c.levelAt, w = now, time.Time{}, 1
	}
	return w
}

func (c *claimCount) fade(w float64) { c.asked, c.sent = c.asked/max(1, w), c.sent/max(1, w) }

func fade[K comparable](m map[K]*claimCount, w float64) {
	for k, count := range m {
		if count.fade(w); count.asked < forgottenClaims {
			delete(m, k)
		}
	}
}

func countOf[K comparable](m map[K]*claimCount, k K) *claimCount {
	count := m[k]
	if count == nil {
		count = &claimCount{}
		m[k] = count
	}
	return count
}

// yields counts a claim, and reports whether it gets only what others leave free: a more urgent one was rejected, or its organisation
// has had its share while others were rejected.
func (c *claims) yields(now time.Time, claim Claim) bool {
	w := c.weight(now)
	p, o := countOf(c.byPriority, claim.Priority), countOf(c.byOrganisation, claim.Organisation)
	p.asked, o.asked, c.total.asked = p.asked+w, o.asked+w, c.total.asked+w
	if now.Sub(c.levelAt) >= levelInterval {
		c.level, c.levelAt = c.fairLevel(w), now
	}
	if o.sent > shareMargin*c.level+shareSlack*w {
		return true
	}
	return p.sent*c.total.asked >= guarantee*c.total.sent*p.asked && c.denied(now, claim.Priority)
}

// denied reports whether a request that is more urgent than priority was rejected lately. A host that gets one in a second hardly learns
// it within the memory of an overload.
func (c *claims) denied(now time.Time, priority int) bool {
	for p, count := range c.byPriority {
		if p < priority && now.Sub(count.rejectedAt) <= claimMemory {
			return true
		}
	}
	return false
}

// fairLevel returns the level at which organisations that each get what they ask for, up to the level, get together what was sent.
// w is the weight of one request now.
func (c *claims) fairLevel(w float64) float64 {
	if len(c.byOrganisation) < 2 || c.total.asked-c.total.sent < w {
		return math.Inf(1)
	}
	asked := make([]float64, 0, len(c.byOrganisation))
	for _, o := range c.byOrganisation {
		asked = append(asked, o.asked)
	}
	slices.Sort(asked)
	left := c.total.sent
	for i, a := range asked {
		part := left / float64(len(asked)-i)
		if a > part {
			return part
		}
		left -= a
	}
	return math.Inf(1)
}

func (c *claims) recordSent(now time.Time, claim Claim) {
	w := c.weight(now)
	p, o := countOf(c.byPriority, claim.Priority), countOf(c.byOrganisation, claim.Organisation)
	for _, count := range []*claimCount{p, o, &c.total} {
		count.sent += w
		count.asked = max(count.asked, count.sent) // attempts after the first one, and requests for other areas, ask for no slot
	}
}

func (c *claims) recordRejected(now time.Time, claim Claim) {
	countOf(c.byPriority, claim.Priority).rejectedAt = now
}
