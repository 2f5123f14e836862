package gateway

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/version/instance"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

const (
	// usageEvery is how often the leader is told of this host's requests, and answers with all hosts'. It is
	// longer by usagePart for each entry host, so that the leader's work grows slower than their number.
	usageEvery = 100 * time.Millisecond
	usagePart  = 1 * time.Millisecond
	// quietEvery is the least time while nothing is in flight here.
	quietEvery = 400 * time.Millisecond
	// leaderPatience is how long the leader may leave usages unanswered before others are asked.
	leaderPatience = 700 * time.Millisecond
	// readyPart is the part of the revocation bound for which a host may lack the leader's word and say
	// that it is ready.
	readyPart = 0.5
)

// view follows the leader: which endpoints there are, and which document is the newest.
type view struct {
	gateway *Gateway
	wake    chan struct{}
	// entries is the number of entry hosts that the leader hears.
	entries atomic.Int64

	mu       sync.Mutex
	leader   string
	term     uint64
	revision uint64
	version  uint64
	// confirmed is when this host asked a leader that then confirmed the document in force here as the
	// newest; it only grows.
	confirmed time.Time
	answered  time.Time
	tried     int
	started   time.Time
	// renewed is when a leader last sent its whole fleet: at the start, and after each change of the leader.
	renewed time.Time
	// changed is closed, and replaced, whenever something was taken over.
	changed chan struct{}
}

func newView(g *Gateway) *view {
	return &view{gateway: g, wake: make(chan struct{}, 1), changed: make(chan struct{}), started: g.clock.Now()}
}

// settleTime is how long after a start, or after a leader's first word, more is expected to come: every backend
// server reports within it.
const settleTime = 2 * time.Second

// isSettling tells whether what is missing now is likely to come soon.
func (v *view) isSettling(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.revision == 0 || v.version == 0 {
		return now.Sub(v.started) < 2*settleTime
	}
	return now.Sub(v.renewed) < settleTime
}

// changes returns a channel that is closed with the next change.
func (v *view) changes() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *view) notify() {
	v.mu.Lock()
	defer v.mu.Unlock()
	close(v.changed)
	v.changed = make(chan struct{})
}

// run tells the leader of this host's usage.
func (v *view) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-v.wake:
		}
		busy := v.tell()
		pause := usageEvery + time.Duration(v.entries.Load())*usagePart
		if !busy {
			pause = max(pause, quietEvery)
		}
		timer.Reset(pause)
	}
}

func (v *view) tell() bool {
	g := v.gateway
	now := g.clock.Now()
	host := v.target(now)
	if host == "" {
		return true
	}
	v.mu.Lock()
	u := wire.Usage{SentAt: now.UnixNano(), Term: v.term, Revision: v.revision, Version: v.version}
	v.mu.Unlock()
	g.mu.Lock()
	u.Loads = g.ledger.Usage(now)
	for model, d := range g.demand {
		u.Demand = append(u.Demand, wire.ModelDemand{Model: model, Requests: d.requests, WorkMs: d.workMs})
	}
	g.mu.Unlock()
	sort.Slice(u.Demand, func(i, j int) bool { return u.Demand[i].Model < u.Demand[j].Model })
	if err := g.mesh.Send(host, wire.Frame{Usage: &u}); err != nil {
		v.lose(host)
		return true
	}
	return len(u.Loads) > 0 || v.missing()
}

func (v *view) missing() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version == 0 || v.revision == 0
}

// target returns whom to tell: the leader, or, while it isn't known or doesn't answer, each control host in turn.
func (v *view) target(now time.Time) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leader != "" && now.Sub(v.answered) < leaderPatience {
		return v.leader
	}
	hosts := v.gateway.mesh.Hosts()
	sort.Strings(hosts)
	for range hosts {
		v.tried++
		if host := hosts[v.tried%len(hosts)]; v.gateway.mesh.Connected(host) {
			return host
		}
	}
	return ""
}

// lose forgets a leader that can't be reached.
func (v *view) lose(host string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leader == host {
		v.leader = ""
	}
}

// HandleConnected implements peer.Handler.
func (v *view) HandleConnected(host string) {
	v.gateway.log.Info().Str("event", "controlConnected").Str("peer", host).Msg("")
	v.nudge()
}

// HandleLost implements peer.Handler.
func (v *view) HandleLost(host string) {
	v.gateway.log.Warn().Str("event", "controlLost").Str("peer", host).Msg("")
	v.lose(host)
	v.nudge()
}

// HandleCall implements peer.Handler; nobody calls an entry host.
func (v *view) HandleCall(context.Context, string, wire.Frame) wire.Frame {
	return wire.Frame{Error: &wire.FrameError{Code: "unknown", Reason: "an entry host takes no calls"}}
}

// HandleOneWay implements peer.Handler.
func (v *view) HandleOneWay(from string, f wire.Frame) {
	u := f.Fleet
	if u == nil {
		return
	}
	for _, host := range u.Controls {
		v.gateway.mesh.AddHost(host, host)
	}
	v.followLeader(u.Leader)
	if from != u.Leader || u.Term == 0 {
		return
	}
	v.apply(*u)
}

func (v *view) followLeader(host string) {
	v.mu.Lock()
	changed := host != "" && host != v.leader
	if changed {
		v.leader = host
		v.answered = v.gateway.clock.Now()
	}
	v.mu.Unlock()
	if changed {
		v.gateway.log.Info().Str("event", "leaderFound").Str("leader", host).Msg("")
		v.nudge()
	}
}

func (v *view) nudge() {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// apply takes over a leader's word. One of an earlier term comes from a leader that has been replaced.
func (v *view) apply(u wire.FleetUpdate) {
	g := v.gateway
	v.mu.Lock()
	if u.Term < v.term || (u.Term > v.term && !u.Full) || (u.Term == v.term && !u.Full && u.Revision < v.revision) {
		v.mu.Unlock()
		return
	}
	changed := u.Full || u.Revision > v.revision
	if u.Full && u.Term != v.term {
		v.renewed = g.clock.Now()
	}
	v.term, v.revision = u.Term, u.Revision
	v.mu.Unlock()
	g.mu.Lock()
	if changed {
		g.ledger.UpdateEndpoints(u.Full, u.Endpoints, u.Removed)
	}
	if u.Echo != 0 {
		v.takeLoads(u)
	}
	g.mu.Unlock()
	if changed {
		g.log.Debug().Str("event", "endpointsChanged").Uint64("term", u.Term).Uint64("revision", u.Revision).
			Int("changed", len(u.Endpoints)).Strs("removed", u.Removed).Msg("")
	}
	v.takeDocument(u)
	v.confirm(u)
	if changed || u.Echo != 0 {
		v.notify()
	}
}

// takeLoads takes the sums of all entry hosts over; the gateway's mutex is held.
func (v *view) takeLoads(u wire.FleetUpdate) {
	g := v.gateway
	loads, err := fleet.UnpackLoads(u.Loads)
	if err != nil {
		g.log.Warn().Str("event", "loadsUnreadable").Uint64("term", u.Term).Err(err).Msg("")
		return
	}
	g.ledger.SetLoads(g.clock.Now(), loads, u.Entries)
	v.entries.Store(int64(u.Entries))
}

func (v *view) takeDocument(u wire.FleetUpdate) {
	g := v.gateway
	v.mu.Lock()
	newer := len(u.Document) > 0 && u.Version > v.version
	v.mu.Unlock()
	if !newer {
		if u.Version > v.version && u.Echo == 0 {
			v.nudge()
		}
		return
	}
	b, err := codec.Decompress(u.Document)
	if err != nil {
		g.log.Error().Str("event", "documentUnreadable").Uint64("version", u.Version).Err(err).Msg("")
		return
	}
	c, err := g.dialect.ReadDocument(b)
	if err != nil {
		g.log.Error().Str("event", "documentUnreadable").Uint64("version", u.Version).Err(err).Msg("")
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if u.Version <= v.version {
		return
	}
	v.version = u.Version
	g.catalog.Store(c)
	g.log.Info().Str("event", "documentInForce").Uint64("version", u.Version).Msg("")
}

// confirm notes that the leader, under its lease, knew of nothing newer than what is in force here when it
// answered the usage that was sent at u.Echo.
func (v *view) confirm(u wire.FleetUpdate) {
	if u.Echo == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.answered = v.gateway.clock.Now()
	at := time.Unix(0, u.Echo)
	if u.Version == v.version && v.version > 0 && at.After(v.confirmed) {
		v.confirmed = at
	}
}

// age returns for how long the document in force here hasn't been confirmed as the newest.
func (v *view) age() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.gateway.clock.Now().Sub(v.confirmed)
}

// isReady tells whether the balancer should send connections here.
func (g *Gateway) isReady() bool {
	if g.stopping.Load() || g.catalog.Load() == nil {
		return false
	}
	bound := time.Duration(readyPart * float64(instance.Milliseconds(g.settings().KeyRevocationMs)))
	if g.view.age() > bound {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Len() > 0
}
