package quarantine

import (
	"slices"
	"sort"
	"time"

	"savorywing.example/savorywing/wire"
)

// crash is the end of one incarnation of a server.
type crash struct {
	server string
	born   int64
	at     time.Time
	// reportedAt is when the first host reported the crash. Others may report further keys for a while.
	reportedAt time.Time
	keys       map[wire.PartKey]bool
}

// recordSurvival records that a server has survived a request with a part that got its first event at begun. A blocked
// part is released if the crashes since then don't suffice to block it: engines may have begun to crash on it later.
func (t *Tracker) recordSurvival(key wire.PartKey, begun time.Time) {
	// The resolution of reported times must not make an old survival look new.
	if begun.Sub(t.survivals[key]) <= survivalResolution {
		return
	}
	t.survivals[key], t.dirty = begun, true
	b := t.blocked[key]
	if b == nil || !begun.After(b.adoptedAt) || t.crashesAfter(key, begun) >= blockAfter {
		return
	}
	t.release(key, "survived")
	if key.Organisation == AllOrganisations {
		t.releaseAll(key)
	}
}

// crashesAfter counts the crashes with a part after a time.
func (t *Tracker) crashesAfter(key wire.PartKey, at time.Time) int {
	n := 0
	for _, c := range t.crashes {
		if c.keys[key] && c.at.After(at) {
			n++
		}
	}
	return n
}

// survivalResolution is the difference from which two survivals are told apart.
const survivalResolution = 20 * time.Millisecond

// recordLoss adds a host's report, sent at sentAt, to what other hosts have reported of a server that has ended, or may have.
func (t *Tracker) recordLoss(now, sentAt time.Time, l wire.Loss) {
	at := sentAt.Add(-time.Duration(l.AgeMs) * time.Millisecond)
	if l.Ended || t.crash(l.Server, l.Born) != nil {
		t.recordCrash(now, at, l)
		return
	}
	if len(t.unproven) >= maxUnproven {
		t.unproven = t.unproven[1:]
	}
	t.unproven = append(t.unproven, unprovenLoss{at, l})
}

// ProveEnds records the crashes of servers that have ended by now, of those whose connections ended before. hasEnded reports
// whether one incarnation of a server is known to have ended, such as by a later one.
func (t *Tracker) ProveEnds(now time.Time, hasEnded func(server string, born int64) bool) {
	t.unproven = slices.DeleteFunc(t.unproven, func(u unprovenLoss) bool {
		if hasEnded(u.loss.Server, u.loss.Born) || t.crash(u.loss.Server, u.loss.Born) != nil {
			t.recordCrash(now, u.at, u.loss)
			return true
		}
		return now.Sub(u.at) > proofTime
	})
}

// unprovenLoss is a host's report of a server that may have ended.
type unprovenLoss struct {
	at   time.Time
	loss wire.Loss
}

// crash returns the known crash of one incarnation of a server, or nil.
func (t *Tracker) crash(server string, born int64) *crash {
	for _, c := range t.crashes {
		if c.server == server && c.born == born {
			return c
		}
	}
	return nil
}

func (t *Tracker) recordCrash(now, at time.Time, l wire.Loss) {
	c := t.crash(l.Server, l.Born)
	if c == nil {
		c = &crash{server: l.Server, born: l.Born, at: at, reportedAt: now, keys: map[wire.PartKey]bool{}}
		t.crashes = append(t.crashes, c)
		sort.SliceStable(t.crashes, func(i, j int) bool { return t.crashes[i].at.Before(t.crashes[j].at) })
	}
	for _, r := range l.Requests {
		for _, key := range keysOf(r) {
			if !c.keys[key] && len(c.keys) < maxCrashKeys {
				c.keys[key], t.dirty = true, true
				t.confirm(key, c.at)
				t.confirm(forAll(key), c.at)
			}
		}
	}
}

// evidence is how many crashes speak against a part.
type evidence struct {
	// count is the number of crashes with the part after the latest survival, and total that of all since the first of
	// them. moments is count with those within mergeWindow counted once.
	count, total, moments int
	// first is the time of the first crash, moment that of the latest one in moments.
	first, moment time.Time
}

// gather returns the evidence against each part from the crashes that no blocked part explains. Of a part that servers have
// survived before, only those crashes count that were first reported until settledBy.
func (t *Tracker) gather(settledBy time.Time) map[wire.PartKey]*evidence {
	out := map[wire.PartKey]*evidence{}
	total, settled := 0, 0
	for _, c := range t.crashes {
		if t.isCausedByBlocked(c) {
			continue
		}
		total++
		isSettled := !c.reportedAt.After(settledBy)
		if isSettled {
			settled++
		}
		for key := range c.keys {
			survivedAt, proven := t.survivals[key]
			if !c.at.After(survivedAt) || (proven && !isSettled) {
				continue
			}
			e := out[key]
			if e == nil {
				e = &evidence{first: c.at, total: 1 - total}
				if proven {
					e.total = 1 - settled
				}
				out[key] = e
			}
			if e.count == 0 || c.at.Sub(e.moment) >= mergeWindow {
				e.moments, e.moment = e.moments+1, c.at
			}
			e.count++
		}
	}
	for key, e := range out {
		if _, proven := t.survivals[key]; proven {
			e.total += settled
			continue
		}
		e.total += total
	}
	return out
}

// isCausedByBlocked reports whether a blocked part was in a crash, which is no evidence against other parts then.
func (t *Tracker) isCausedByBlocked(c *crash) bool {
	if len(t.blocked) == 0 {
		return false
	}
	for key := range c.keys {
		if t.blocked[key] != nil || t.blocked[forAll(key)] != nil {
			return true
		}
	}
	return false
}

// strongest returns the parts with the most evidence that suffices to block them, and whether servers have survived them
// before. Of parts in equally many crashes, those that no server has survived come first. One crash suffices against a part
// that is certain, as another organisation's use of it is blocked without doubt, unless servers have survived it.
func (t *Tracker) strongest(now time.Time, all map[wire.PartKey]*evidence, certain map[wire.PartKey]bool) (list []wire.PartKey, proven bool) {
	most, highest := 0, 0
	for _, e := range all {
		highest = max(highest, e.count)
	}
	for key, e := range all {
		isProven := !t.survivals[key].IsZero()
		isCertain := certain[forAll(key)] && !isProven
		if !isCertain && !t.suffices(now, key, e, isProven) || (e.count < highest && t.isDominated(key, e, all)) {
			continue
		}
		switch {
		case len(list) == 0 || e.count > most || (e.count == most && proven && !isProven):
			list, most, proven = []wire.PartKey{key}, e.count, isProven
		case e.count == most && isProven == proven:
			list = append(list, key)
		}
	}
	return narrowest(list), proven
}

// narrowest returns the whole requests among parts with equal evidence, if there are any: to block these keeps nothing else
// from being served.
func narrowest(list []wire.PartKey) []wire.PartKey {
	if !slices.ContainsFunc(list, func(key wire.PartKey) bool { return key.Request }) {
		return list
	}
	return slices.DeleteFunc(list, func(key wire.PartKey) bool { return !key.Request })
}

// suffices reports whether the evidence against a part is enough to block it.
func (t *Tracker) suffices(now time.Time, key wire.PartKey, e *evidence, proven bool) bool {
	if e.moments < minMoments {
		return false
	}
	if !proven {
		since, listed := t.suspects[key]
		return e.count >= blockAfter && listed && now.Sub(since) >= answerTime
	}
	return e.count >= provenBlockAfter && now.Sub(e.first) >= provenBlockTime && float64(e.count) >= provenFraction*float64(e.total)
}

// isDominated reports whether another part was in all crashes that speak against a part, and in more, without a survival.
func (t *Tracker) isDominated(key wire.PartKey, e *evidence, all map[wire.PartKey]*evidence) bool {
	var common map[wire.PartKey]bool
	for _, c := range t.crashes {
		if !c.keys[key] || !c.at.After(t.survivals[key]) || t.isCausedByBlocked(c) {
			continue
		}
		if common == nil {
			common = map[wire.PartKey]bool{}
			for other := range c.keys {
				if o := all[other]; o != nil && o.count > e.count {
					common[other] = true
				}
			}
		}
		for other := range common {
			if !c.keys[other] || !c.at.After(t.survivals[other]) {
				delete(common, other)
			}
		}
	}
	return len(common) > 0
}

// updateSuspects lists the parts against which there is some evidence, and reports whether the list has changed.
func (t *Tracker) updateSuspects(now time.Time) bool {
	old := t.suspects
	t.suspects = map[wire.PartKey]time.Time{}
	changed := false
	for key, e := range t.gather(now) {
		if e.count < suspectAfter || len(t.suspects) >= maxSuspects {
			continue
		}
		since, known := old[key]
		if !known {
			since, changed = now, true
		}
		t.suspects[key] = since
	}
	return changed || len(t.suspects) != len(old)
}
