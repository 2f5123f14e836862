package quarantine

import (
	"sort"
	"time"

	"savorywing.example/savorywing/wire"
)

const (
	// SurvivalTime is how long a server must have been writing a response to have survived the request, unless the
	// response ends earlier.
	SurvivalTime = 500 * time.Millisecond
	// survivalRetention is how long survivals are known at least; maxSurvivals bounds how many.
	survivalRetention = 30 * time.Second
	maxSurvivals      = 4096
	// lossRetention is how long a loss is reported that the leader hasn't acknowledged, and known in case another leader takes
	// over: no longer than survivals, which may speak against it. maxLosses and maxLostRequests bound the losses, and the
	// requests of each.
	lossRetention   = survivalRetention
	maxLosses       = 64
	maxLostRequests = 32
	// probeValidity is how long a permission to try one request holds.
	probeValidity = 5 * time.Second
	// turnedAwayTime is how long a rejection is reported.
	turnedAwayTime = 2 * time.Second
)

// Identity is what a request may have in common with others.
type Identity struct {
	Service, Organisation string
	// Digest identifies the whole request; 0 if it isn't known.
	Digest uint64
	// Parts are the shared parts of its prompt; there are none for plain services.
	Parts []uint64
}

// keys returns the keys of the whole request and of its parts.
func (p Identity) keys() []wire.PartKey { return keysOf(p.lost()) }

func (p Identity) lost() wire.LostRequest {
	return wire.LostRequest{Service: p.Service, Organisation: p.Organisation, Digest: p.Digest, Parts: p.Parts}
}

func keysOf(r wire.LostRequest) []wire.PartKey {
	keys := make([]wire.PartKey, 0, len(r.Parts)+1)
	if r.Digest != 0 {
		keys = append(keys, wire.PartKey{Service: r.Service, Organisation: r.Organisation, Part: r.Digest, Request: true})
	}
	for _, part := range r.Parts {
		keys = append(keys, wire.PartKey{Service: r.Service, Organisation: r.Organisation, Part: part})
	}
	return keys
}

// incarnation identifies one life of a server.
type incarnation struct {
	id   string
	born int64
}

// loss is a server that may have ended, with the requests that it had just begun.
type loss struct {
	at       time.Time
	requests []Identity
	// resolved reports whether it has been tried to find out if the server has ended, and ended whether that is certain.
	resolved, ended bool
	// sentAt is the time in the report that contained the loss as it is now; 0 if none did.
	sentAt int64
	// acknowledged reports whether the current leader knows the loss as it is now.
	acknowledged bool
}

// Observer is what one entry host knows of the parts of prompts on which servers crash.
type Observer struct {
	// newer and older hold when the latest surviving request with a part got its first event. older is dropped when newer
	// takes its place.
	newer, older map[wire.PartKey]time.Time
	rotatedAt    time.Time
	losses       map[incarnation]*loss

	// term is that of the leader that listed is from. listed holds the blocked and the suspected parts.
	term   uint64
	listed map[wire.PartKey]listedPart
	// probes holds until when a blocked part may be tried with one request.
	probes map[wire.PartKey]time.Time
	// turnedAway holds when a request was last rejected for a part.
	turnedAway map[wire.PartKey]time.Time
}

type listedPart struct {
	blocked bool
	retryAt time.Time
}

// NewObserver returns an Observer that knows of no part.
func NewObserver() *Observer {
	return &Observer{
		newer: map[wire.PartKey]time.Time{}, older: map[wire.PartKey]time.Time{}, losses: map[incarnation]*loss{},
		listed: map[wire.PartKey]listedPart{}, probes: map[wire.PartKey]time.Time{}, turnedAway: map[wire.PartKey]time.Time{},
	}
}

// Blocked reports whether a request is to be rejected because of itself or a part of its prompt, and the time after which one like
// it may be tried. RecordSend has to be called for a request that is sent.
func (o *Observer) Blocked(now time.Time, p Identity) (retryAfter time.Duration, blocked bool) {
	return o.check(now, p, func(key wire.PartKey) { o.turnedAway[key] = now })
}

// IsBlocked is Blocked for a request that doesn't exist: it records nothing.
func (o *Observer) IsBlocked(now time.Time, p Identity) (retryAfter time.Duration, blocked bool) {
	return o.check(now, p, func(wire.PartKey) {})
}

// check calls found for each listed key of a request.
func (o *Observer) check(now time.Time, p Identity, found func(key wire.PartKey)) (retryAfter time.Duration, blocked bool) {
	if len(o.listed) == 0 {
		return 0, false
	}
	for _, own := range p.keys() {
		key, listed := o.blockedKey(own)
		if !listed {
			continue
		}
		found(key)
		blocked = blocked || !now.Before(o.probes[key])
		retryAfter = max(retryAfter, o.listed[key].retryAt.Sub(now), minRetryAfter)
	}
	return retryAfter, blocked
}

// RecordSend records that a request is sent, which uses up the permission if it is a probe.
func (o *Observer) RecordSend(p Identity) {
	if len(o.probes) == 0 {
		return
	}
	for _, own := range p.keys() {
		if key, listed := o.blockedKey(own); listed {
			delete(o.probes, key)
		}
	}
}

// minRetryAfter is the shortest time after which a caller is asked to retry: that of a report and its answer, with a
// margin.
const minRetryAfter = 1 * time.Second

// blockedKey returns the key under which a part is blocked, for its organisation or for all, if it is.
func (o *Observer) blockedKey(key wire.PartKey) (wire.PartKey, bool) {
	if all := forAll(key); o.listed[all].blocked {
		return all, true
	}
	return key, o.listed[key].blocked
}

// RecordSurvival records that a server has survived a request that it began no earlier than begun: its response is complete,
// or has been written for SurvivalTime. A later begun would set aside crashes from before the server began.
func (o *Observer) RecordSurvival(now, begun time.Time, p Identity) {
	if now.Sub(o.rotatedAt) > survivalRetention || len(o.newer) >= maxSurvivals {
		o.older, o.newer, o.rotatedAt = o.newer, map[wire.PartKey]time.Time{}, now
	}
	for _, key := range p.keys() {
		o.recordSurvival(key, begun)
		if o.listed[forAll(key)].blocked {
			o.recordSurvival(forAll(key), begun)
		}
	}
}

func (o *Observer) recordSurvival(key wire.PartKey, begun time.Time) {
	if begun.After(o.newer[key]) {
		o.newer[key] = begun
	}
}

// RecordLoss records a request whose response was cut off before its server had survived it. It reports whether it has to
// be found out if the server has ended; Resolve takes the result.
func (o *Observer) RecordLoss(now time.Time, server string, born int64, p Identity) bool {
	id := incarnation{server, born}
	l := o.losses[id]
	if l != nil && l.acknowledged && !l.ended {
		// The server has gone on, and may have ended now.
		l = nil
	}
	isNew := l == nil
	if isNew {
		if !o.makeRoom() {
			return false
		}
		l = &loss{at: now}
		o.losses[id] = l
	}
	if len(l.requests) < maxLostRequests {
		l.requests, l.sentAt, l.acknowledged = append(l.requests, p), 0, false
	}
	return isNew
}

// makeRoom drops the oldest loss that the leader knows if there are maxLosses, and reports whether there is room for another.
func (o *Observer) makeRoom() bool {
	if len(o.losses) < maxLosses {
		return true
	}
	var oldest *loss
	var oldestID incarnation
	for id, l := range o.losses {
		if l.acknowledged && (oldest == nil || l.at.Before(oldest.at)) {
			oldest, oldestID = l, id
		}
	}
	if oldest == nil {
		return false
	}
	delete(o.losses, oldestID)
	return true
}

// Resolve records whether it is certain that a server that may have been lost has ended. If not, the leader finds out, unless it
// turns out here later.
func (o *Observer) Resolve(server string, born int64, ended bool) {
	l := o.losses[incarnation{server, born}]
	if l == nil || (l.resolved && l.ended) {
		return
	}
	if ended {
		l.sentAt, l.acknowledged = 0, false
	}
	l.resolved, l.ended = true, ended
}

// Report adds what the leader has to know to a usage report.
func (o *Observer) Report(now time.Time, u *wire.Usage) {
	u.QuarantineTerm = o.term
	relevant := map[wire.PartKey]bool{}
	for id, l := range o.losses {
		if now.Sub(l.at) > lossRetention {
			delete(o.losses, id)
			continue
		}
		if l.resolved && !l.acknowledged {
			u.Losses = append(u.Losses, l.report(now, id))
			l.sentAt = u.SentAt
			l.addKeys(relevant)
		}
	}
	for key, p := range o.listed {
		if p.blocked {
			u.Quarantine = append(u.Quarantine, wire.QuarantinedPart{Key: key, Blocked: true, RetryMs: max(0, p.retryAt.Sub(now)).Milliseconds()})
		}
		relevant[key] = true
	}
	for key := range relevant {
		if begun := o.survival(key); !begun.IsZero() {
			u.Survivals = append(u.Survivals, wire.Survival{Key: key, BegunMs: now.Sub(begun).Milliseconds()})
		}
	}
	for key, at := range o.turnedAway {
		if now.Sub(at) > turnedAwayTime {
			delete(o.turnedAway, key)
			continue
		}
		u.TurnedAway = append(u.TurnedAway, key)
	}
	sort.Slice(u.Losses, func(i, j int) bool { return u.Losses[i].Server < u.Losses[j].Server })
}

// survival returns when the latest surviving request with a part got its first event; zero if none is known.
func (o *Observer) survival(key wire.PartKey) time.Time {
	if begun, known := o.newer[key]; known {
		return begun
	}
	return o.older[key]
}

func (l *loss) addKeys(keys map[wire.PartKey]bool) {
	for _, p := range l.requests {
		for _, key := range p.keys() {
			keys[key] = true
		}
	}
}

func (l *loss) report(now time.Time, id incarnation) wire.Loss {
	out := wire.Loss{Server: id.id, Born: id.born, AgeMs: now.Sub(l.at).Milliseconds(), Ended: l.ended}
	for _, p := range l.requests {
		out.Requests = append(out.Requests, p.lost())
	}
	return out
}

// Apply applies a leader's update, and reports whether the leader waits for a report: parts are listed that weren't before and of
// which survivals are known here, or a new leader doesn't know the losses here. The list of a new leader
// holds from its first answer to a report of this host, which contained what is known here.
func (o *Observer) Apply(now time.Time, u wire.FleetUpdate) bool {
	if u.Term < o.term || (u.Term > o.term && u.Echo == 0) {
		return false
	}
	isNew := o.acknowledgeLosses(now, u)
	o.term = u.Term
	listed := make(map[wire.PartKey]listedPart, len(u.Quarantine))
	for _, p := range u.Quarantine {
		if _, known := o.listed[p.Key]; !known && !o.survival(p.Key).IsZero() {
			isNew = true
		}
		listed[p.Key] = listedPart{blocked: p.Blocked, retryAt: now.Add(time.Duration(p.RetryMs) * time.Millisecond)}
	}
	o.listed = listed
	for key := range o.probes {
		if !listed[key].blocked {
			delete(o.probes, key)
		}
	}
	for _, key := range u.Probes {
		o.probes[key] = now.Add(probeValidity)
	}
	return isNew
}

// acknowledgeLosses records which losses the leader knows, and reports whether a new one doesn't know all that the one before it
// knew. A new one knows only those in reports that it has answered.
func (o *Observer) acknowledgeLosses(now time.Time, u wire.FleetUpdate) (forgotten bool) {
	for _, l := range o.losses {
		switch {
		case l.sentAt != 0 && u.Echo >= l.sentAt:
			l.sentAt, l.acknowledged = 0, true
		case u.Term > o.term:
			forgotten = forgotten || (l.acknowledged && now.Sub(l.at) <= lossRetention)
			l.sentAt, l.acknowledged = 0, false
		}
	}
	return forgotten
}
