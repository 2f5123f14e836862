package quarantine

import (
	"sort"
	"time"

	"savorywing.example/savorywing/process/clock"
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
	// answerTime is the time within which the hosts have reported the survivals of a suspected part, and what else was lost in a
	// crash that one of them has reported.
	answerTime = 150 * time.Millisecond
	// joinTime is the time after a host's first report within which others may find a new leader, and tell it what they have lost.
	joinTime = 300 * time.Millisecond
	// provenBlockAfter and provenBlockTime are the number of crashes and the time from the first of them, without any
	// survival, after which a part is blocked that servers have survived before, if it was in provenFraction of all
	// crashes. Many servers may be lost at once for other reasons, and a part that many requests share is then in most
	// of their crashes.
	provenBlockAfter = 5
	provenBlockTime  = 1 * time.Second
	provenFraction   = 0.8
	// proofTime is how long after its connections have ended a server may be found to have ended: the time to start again and
	// to report. maxUnproven bounds the reports of servers that may have.
	proofTime   = 20 * time.Second
	maxUnproven = 256
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
	// unproven holds the reports of servers that may have ended.
	unproven []unprovenLoss
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
	// hosts holds the clocks of the entry hosts that report, and newHostAt is when one of them first did.
	hosts     map[string]*clock.Remote
	newHostAt time.Time
}

// NewTracker returns a Tracker for a leader that takes over now.
func NewTracker(now time.Time) *Tracker {
	return &Tracker{leadingSince: now, survivals: map[wire.PartKey]time.Time{}, blocked: map[wire.PartKey]*block{}, hosts: map[string]*clock.Remote{}}
}

// Record records what an entry host's usage report states. Step draws the conclusions.
func (t *Tracker) Record(now time.Time, host string, term uint64, u wire.Usage) {
	sentAt := t.sentAt(now, host, u.SentAt)
	if u.QuarantineTerm < term && now.Sub(t.leadingSince) < adoptionTime {
		t.adopt(now, u.Quarantine)
	}
	for _, s := range u.Survivals {
		t.recordSurvival(s.Key, sentAt.Add(-time.Duration(s.BegunMs)*time.Millisecond))
	}
	for _, l := range u.Losses {
		t.recordLoss(now, sentAt, l)
	}
	for _, key := range u.TurnedAway {
		if b := t.blocked[key]; b != nil {
			b.lastHit = now
		}
	}
}

// maxHosts bounds the entry hosts whose clocks are remembered. A clock is learned again from the next reports.
const maxHosts = 4096

// sentAt returns when a report of a host was sent, by this host's clock.
func (t *Tracker) sentAt(now time.Time, host string, stamp int64) time.Time {
	h := t.hosts[host]
	if h == nil {
		if len(t.hosts) >= maxHosts {
			clear(t.hosts)
		}
		h = &clock.Remote{}
		t.hosts[host], t.newHostAt = h, now
	}
	return h.SentAt(now, stamp)
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

func isLess(a, b wire.PartKey) bool {
	if a.Service != b.Service {
		return a.Service < b.Service
	}
	if a.Organisation != b.Organisation {
		return a.Organisation < b.Organisation
	}
	if a.Request != b.Request {
		return b.Request
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
