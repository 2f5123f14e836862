package quarantine

import (
	"slices"
	"time"

	"savorywing.example/savorywing/wire"
)

// block is a part whose requests are rejected.
type block struct {
	// crashes is the number of crashes that it was blocked for.
	crashes int
	// doubtful reports whether other parts may have been the reason.
	doubtful bool
	// probedAt is when a host was permitted to try a request, if its outcome isn't known; zero otherwise. failedProbes
	// counts those under which a server has crashed.
	probedAt     time.Time
	failedProbes int
	retryAt      time.Time
	lastHit      time.Time
	// adoptedAt is when the block was adopted from the leader before this one, which knew of the crashes; zero otherwise.
	adoptedAt time.Time
}

func (t *Tracker) adopt(now time.Time, list []wire.QuarantinedPart) {
	for _, p := range list {
		if !p.Blocked || t.blocked[p.Key] != nil || len(t.blocked) >= maxBlocked {
			continue
		}
		t.blocked[p.Key] = &block{doubtful: true, retryAt: now.Add(time.Duration(p.RetryMs) * time.Millisecond), lastHit: now, adoptedAt: now}
		t.changes = append(t.changes, Change{Key: p.Key, Blocked: true, Reason: "adopted"})
		t.dirty = true
	}
}

// releaseAll releases a part for each organisation.
func (t *Tracker) releaseAll(key wire.PartKey) {
	for k := range t.blocked {
		if forAll(k) == key {
			t.release(k, "survived")
		}
	}
}

func (t *Tracker) release(key wire.PartKey, reason string) {
	t.changes = append(t.changes, Change{Key: key, Reason: reason, Crashes: t.blocked[key].crashes})
	delete(t.blocked, key)
}

// confirm records that a server has crashed on a part that is blocked already.
func (t *Tracker) confirm(key wire.PartKey, at time.Time) {
	b := t.blocked[key]
	if b == nil {
		return
	}
	b.crashes++
	if !b.probedAt.IsZero() && at.After(b.probedAt) {
		b.probedAt, b.doubtful = time.Time{}, false
		b.failedProbes++
		b.retryAt = at.Add(b.retryInterval())
	}
}

// blockNext blocks the parts with the most evidence, and reports whether there were any. Several parts have the same
// evidence if all requests under which servers crashed had them; each of them is doubtful then.
func (t *Tracker) blockNext(now time.Time) bool {
	all := t.gather(t.settledBy(now))
	certain := t.certain()
	list, proven := t.strongest(now, all, certain)
	for _, key := range list {
		e := all[key]
		b := &block{crashes: e.count, lastHit: now}
		b.doubtful = !certain[forAll(key)] && (proven || len(list) > 1 || e.moments < blockAfter)
		b.retryAt = now.Add(b.retryInterval())
		t.makeRoom()
		t.blocked[key] = b
		t.changes = append(t.changes, Change{Key: key, Blocked: true, Reason: "crashes", Crashes: e.count})
		t.blockForAll(now, key)
	}
	return len(list) > 0
}

// settledBy returns until when a crash must have been reported first so that all hosts have had time to report it. Before that, it
// would speak only against what the first of them lost there.
func (t *Tracker) settledBy(now time.Time) time.Time {
	if now.Sub(t.newHostAt) < joinTime {
		return time.Time{}
	}
	return now.Add(-answerTime)
}

// certain returns the parts, with AllOrganisations, that are blocked without doubt for any organisation.
func (t *Tracker) certain() map[wire.PartKey]bool {
	out := map[wire.PartKey]bool{}
	for key, b := range t.blocked {
		if !b.doubtful {
			out[forAll(key)] = true
		}
	}
	return out
}

// blockForAll blocks a part for all organisations once servers have crashed on it for two of them: one organisation alone
// can't get another's requests rejected.
func (t *Tracker) blockForAll(now time.Time, key wire.PartKey) {
	all, n := forAll(key), 0
	for k, b := range t.blocked {
		if forAll(k) == all && k != all && !b.doubtful {
			n++
		}
	}
	if n < 2 || t.blocked[all] != nil {
		return
	}
	t.makeRoom()
	t.blocked[all] = &block{retryAt: now.Add(clearRetry), lastHit: now}
	t.changes = append(t.changes, Change{Key: all, Blocked: true, Reason: "organisations"})
}

// makeRoom drops the blocked part that was asked for least recently if there are maxBlocked.
func (t *Tracker) makeRoom() {
	if len(t.blocked) < maxBlocked {
		return
	}
	var oldest wire.PartKey
	for key, b := range t.blocked {
		if o := t.blocked[oldest]; o == nil || b.lastHit.Before(o.lastHit) {
			oldest = key
		}
	}
	t.release(oldest, "room")
}

// isExplained reports whether another blocked part was in all crashes that a part was in, and in more.
func (t *Tracker) isExplained(key wire.PartKey) bool {
	var common []wire.PartKey
	n := 0
	for _, c := range t.crashes {
		if !c.keys[key] {
			continue
		}
		if n == 0 {
			for other := range t.blocked {
				common = append(common, other)
			}
		}
		n++
		common = slices.DeleteFunc(common, func(other wire.PartKey) bool { return !c.keys[other] })
	}
	return slices.ContainsFunc(common, func(other wire.PartKey) bool { return t.crashesAfter(other, time.Time{}) > n })
}

func (b *block) retryInterval() time.Duration {
	interval := clearRetry
	if b.doubtful {
		interval = doubtfulRetry
	}
	return min(maxRetry, interval<<min(b.failedProbes, maxDoublings))
}

// maxDoublings keeps retryInterval from overflowing.
const maxDoublings = 12

// Probes returns the blocked parts that a host may try with one request each, of those for which it has rejected
// requests lately.
func (t *Tracker) Probes(now time.Time, turnedAway []wire.PartKey) []wire.PartKey {
	var out []wire.PartKey
	for _, key := range turnedAway {
		b := t.blocked[key]
		if b == nil || now.Before(b.retryAt) || (b.doubtful && t.isProbing(now, key.Service)) {
			continue
		}
		b.probedAt, b.retryAt = now, now.Add(probeTimeout)
		out = append(out, key)
	}
	return out
}

// isProbing reports whether a part of a service is being tried whose outcome isn't known. The server of a second probe could be
// the same one.
func (t *Tracker) isProbing(now time.Time, service string) bool {
	for key, b := range t.blocked {
		if key.Service == service && !b.probedAt.IsZero() && now.Sub(b.probedAt) < probeTimeout {
			return true
		}
	}
	return false
}
