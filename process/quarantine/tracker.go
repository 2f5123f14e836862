package quarantine

import (
	"slices"
	"sort"
	"time"

	"savorywing.example/savorywing/wire"
)

// AllOrganisations is the organisation in the key of a part that is blocked for all of them.
const AllOrganisations = "*"

// forAll returns the key under which a part is blocked for all organisations.
func forAll(key wire.PartKey) wire.PartKey {
	key.Organisation = AllOrganisations
	return key
}

const (
	// mergeWindow is the time within which crashes belong together: servers that end at the same moment may share a
	// cause, such as their rack, that says nothing about their requests. No part is blocked for crashes at fewer than
	// minMoments moments.
	mergeWindow = 100 * time.Millisecond
	minMoments  = 2
	// blockAfter is the number of crashes after which a part is blocked that no server has survived. It is doubtful if
	// they were at fewer moments than that.
	blockAfter = 3
	// suspectAfter is the number of crashes from which the entry hosts report survivals.
	suspectAfter = 2
	// answerTime is the time within which the hosts have reported the survivals of a suspected part.
	answerTime = 150 * time.Millisecond
	// provenBlockAfter and provenBlockTime are the number of crashes and the time from the first of them, without any
	// survival, after which a part is blocked that servers have survived before, if it was in provenFraction of all
	// crashes. Many servers may be lost at once for other reasons, and a part that many requests share is then in most
	// of their crashes.
	provenBlockAfter = 5
	provenBlockTime  = 1 * time.Second
	provenFraction   = 0.8
	// crashRetention is how long a crash is compared with others.
	crashRetention = 60 * time.Second
	// maxCrashes, maxCrashKeys, maxBlocked and maxSuspects bound the memory. The oldest crashes and the blocked parts that
	// were asked for least recently are dropped.
	maxCrashes   = 64
	maxCrashKeys = 128
	maxBlocked   = 64
	maxSuspects  = 64
	// A blocked part is tried again with one request after doubtfulRetry if it may have been confused with another, and
	// after clearRetry otherwise; the time doubles with each crash under such a request, up to maxRetry. A request whose
	// outcome isn't known after probeTimeout was probably never sent.
	doubtfulRetry = 2 * time.Second
	clearRetry    = 60 * time.Second
	maxRetry      = 1 * time.Hour
	probeTimeout  = probeValidity + 2*time.Second
	// forgetAfter is how long a blocked part is kept for which no request was rejected.
	forgetAfter = 15 * time.Minute
	// adoptionTime is how long after it has taken over a leader adopts the blocked parts that entry hosts know of.
	adoptionTime = 5 * time.Second
)

// crash is the end of one incarnation of a server.
type crash struct {
	server string
	born   int64
	at     time.Time
	keys   map[wire.PartKey]bool
}

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
}

// Change is a decision of the Tracker, for the log.
type Change struct {
	Key     wire.PartKey
	Blocked bool
	Reason  string
	Crashes int
}

// Tracker is the leader's knowledge of the parts of prompts on which servers have crashed.
type Tracker struct {
	leadingSince time.Time
	// crashes are sorted by time.
	crashes []*crash
	// survivals holds when the latest surviving request of a suspected or blocked part got its first event.
	survivals map[wire.PartKey]time.Time
	blocked   map[wire.PartKey]*block
	// suspects are the parts for which the hosts are to report survivals, beside the blocked ones, and since when.
	suspects map[wire.PartKey]time.Time
	// dirty reports whether anything was recorded since the last step, and nextStep is when a step is due anyway.
	dirty    bool
	nextStep time.Time
	// unannounced reports whether suspects has changed since the hosts were last told.
	unannounced      bool
	nextAnnouncement time.Time
	changes          []Change
}

// NewTracker returns a Tracker for a leader that takes over now.
func NewTracker(now time.Time) *Tracker {
	return &Tracker{leadingSince: now, survivals: map[wire.PartKey]time.Time{}, blocked: map[wire.PartKey]*block{}}
}

// Record records what an entry host's usage report states. Step draws the conclusions.
func (t *Tracker) Record(now time.Time, term uint64, u wire.Usage) {
	if u.QuarantineTerm < term && now.Sub(t.leadingSince) < adoptionTime {
		t.adopt(now, u.Quarantine)
	}
	for _, s := range u.Survivals {
		t.recordSurvival(s.Key, now.Add(-time.Duration(s.BegunMs)*time.Millisecond))
	}
	for _, l := range u.Losses {
		t.recordLoss(now, l)
	}
	for _, key := range u.TurnedAway {
		if b := t.blocked[key]; b != nil {
			b.lastHit = now
		}
	}
}

// stepInterval is the time between two steps while parts are suspected and there is no news of them.
const stepInterval = 50 * time.Millisecond

// announceInterval is the minimum time between two announcements of suspected parts, which every entry host answers.
const announceInterval = 250 * time.Millisecond

// Step blocks and releases parts, and reports whether the list for the hosts has changed.
func (t *Tracker) Step(now time.Time) bool {
	if !t.dirty && (len(t.suspects) == 0 && !t.unannounced || now.Before(t.nextStep)) {
		return false
	}
	t.dirty, t.nextStep = false, now.Add(stepInterval)
	t.evaluate(now)
	t.unannounced = t.updateSuspects(now) || t.unannounced
	if len(t.changes) == 0 && (!t.unannounced || now.Before(t.nextAnnouncement)) {
		return false
	}
	t.unannounced, t.nextAnnouncement = false, now.Add(announceInterval)
	return true
}

// Changes returns the decisions since it was last called.
func (t *Tracker) Changes() []Change {
	list := t.changes
	t.changes = nil
	return list
}

func (t *Tracker) adopt(now time.Time, list []wire.QuarantinedPart) {
	for _, p := range list {
		if !p.Blocked || t.blocked[p.Key] != nil || len(t.blocked) >= maxBlocked {
			continue
		}
		t.blocked[p.Key] = &block{doubtful: true, retryAt: now.Add(time.Duration(p.RetryMs) * time.Millisecond), lastHit: now}
		t.changes = append(t.changes, Change{Key: p.Key, Blocked: true, Reason: "adopted"})
		t.dirty = true
	}
}

// recordSurvival records that a server has survived a request with a part that got its first event at begun. A blocked
// part is released if the crashes since then don't suffice to block it: engines may have begun to crash on it later.
func (t *Tracker) recordSurvival(key wire.PartKey, begun time.Time) {
	// The resolution of reported times must not make an old survival look new.
	if begun.Sub(t.survivals[key]) <= survivalResolution {
		return
	}
	t.survivals[key], t.dirty = begun, true
	if t.blocked[key] == nil || t.crashesAfter(key, begun) >= blockAfter {
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

// releaseAll releases a part for each organisation.
func (t *Tracker) releaseAll(key wire.PartKey) {
	for k := range t.blocked {
		if k.Service == key.Service && k.Part == key.Part {
			t.release(k, "survived")
		}
	}
}

func (t *Tracker) release(key wire.PartKey, reason string) {
	t.changes = append(t.changes, Change{Key: key, Reason: reason, Crashes: t.blocked[key].crashes})
	delete(t.blocked, key)
}

// recordLoss adds a host's report of a crash to what other hosts have reported of it.
func (t *Tracker) recordLoss(now time.Time, l wire.Loss) {
	var c *crash
	for _, known := range t.crashes {
		if known.server == l.Server && known.born == l.Born {
			c = known
		}
	}
	if c == nil {
		c = &crash{server: l.Server, born: l.Born, at: now.Add(-time.Duration(l.AgeMs) * time.Millisecond), keys: map[wire.PartKey]bool{}}
		t.crashes = append(t.crashes, c)
		sort.SliceStable(t.crashes, func(i, j int) bool { return t.crashes[i].at.Before(t.crashes[j].at) })
	}
	for _, r := range l.Requests {
		for _, part := range r.Parts {
			key := wire.PartKey{Service: r.Service, Organisation: r.Organisation, Part: part}
			if !c.keys[key] && len(c.keys) < maxCrashKeys {
				c.keys[key], t.dirty = true, true
				t.confirm(key, c.at)
				t.confirm(forAll(key), c.at)
			}
		}
	}
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

// evaluate blocks the parts that explain the crashes, and releases those that others explain better.
func (t *Tracker) evaluate(now time.Time) {
	t.expire(now)
	for t.blockNext(now) {
		continue
	}
	for key, b := range t.blocked {
		if b.doubtful && t.isExplained(key) {
			t.release(key, "explained")
		}
	}
}

func (t *Tracker) expire(now time.Time) {
	kept := t.crashes[:0]
	for _, c := range t.crashes {
		if now.Sub(c.at) < crashRetention {
			kept = append(kept, c)
		}
	}
	t.crashes = kept[max(0, len(kept)-maxCrashes):]
	for key, b := range t.blocked {
		if now.Sub(b.lastHit) > forgetAfter {
			t.release(key, "unused")
		}
	}
	for key, begun := range t.survivals {
		if now.Sub(begun) > crashRetention {
			delete(t.survivals, key)
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

// gather returns the evidence against each part from the crashes that no blocked part explains.
func (t *Tracker) gather() map[wire.PartKey]*evidence {
	out := map[wire.PartKey]*evidence{}
	total := 0
	for _, c := range t.crashes {
		if t.isCausedByBlocked(c) {
			continue
		}
		total++
		for key := range c.keys {
			if !c.at.After(t.survivals[key]) {
				continue
			}
			e := out[key]
			if e == nil {
				e = &evidence{first: c.at, total: 1 - total}
				out[key] = e
			}
			if e.count == 0 || c.at.Sub(e.moment) >= mergeWindow {
				e.moments, e.moment = e.moments+1, c.at
			}
			e.count++
		}
	}
	for _, e := range out {
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

// blockNext blocks the parts with the most evidence, and reports whether there were any. Several parts have the same
// evidence if all requests under which servers crashed had them; each of them is doubtful then.
func (t *Tracker) blockNext(now time.Time) bool {
	all := t.gather()
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
	return list, proven
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
		if k.Service == key.Service && k.Part == key.Part && k != all && !b.doubtful {
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
		if b == nil || now.Before(b.retryAt) {
			continue
		}
		b.probedAt, b.retryAt = now, now.Add(probeTimeout)
		out = append(out, key)
	}
	return out
}

// updateSuspects lists the parts against which there is some evidence, and reports whether the list has changed.
func (t *Tracker) updateSuspects(now time.Time) bool {
	old := t.suspects
	t.suspects = map[wire.PartKey]time.Time{}
	changed := false
	for key, e := range t.gather() {
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

func isLess(a, b wire.PartKey) bool {
	if a.Service != b.Service {
		return a.Service < b.Service
	}
	if a.Organisation != b.Organisation {
		return a.Organisation < b.Organisation
	}
	return a.Part < b.Part
}

// List returns the blocked and suspected parts for the hosts, sorted.
func (t *Tracker) List(now time.Time) []wire.QuarantinedPart {
	var out []wire.QuarantinedPart
	for key, b := range t.blocked {
		out = append(out, wire.QuarantinedPart{Key: key, Blocked: true, RetryMs: max(0, b.retryAt.Sub(now)).Milliseconds()})
	}
	for key := range t.suspects {
		out = append(out, wire.QuarantinedPart{Key: key})
	}
	sort.Slice(out, func(i, j int) bool { return isLess(out[i].Key, out[j].Key) })
	return out
}
