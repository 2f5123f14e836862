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
	// usageInterval is the time between two reports of this host's requests to the leader, which answers each with
	// the load of all entry hosts. The interval grows by usageIntervalPerHost with each entry host, so that the
	// leader's work grows more slowly than their number.
	usageInterval        = 100 * time.Millisecond
	usageIntervalPerHost = 1 * time.Millisecond
	// idleUsageInterval is the minimum interval while nothing is in flight here.
	idleUsageInterval = 400 * time.Millisecond
	// leaderTimeout is how long the leader may leave usage reports unanswered before other control hosts are
	// tried.
	leaderTimeout = 700 * time.Millisecond
	// readyFraction is the fraction of the key revocation bound for which a host may go without confirmation by
	// the leader and still report ready.
	readyFraction = 0.5
)

// leaderFollower keeps the fleet state received from the leader: the endpoints and the newest document.
type leaderFollower struct {
	gateway *Gateway
	wake    chan struct{}
	// entryHosts is the number of entry hosts that report to the leader.
	entryHosts atomic.Int64

	mu       sync.Mutex
	leader   string
	term     uint64
	revision uint64
	version  uint64
	// confirmedAt is the send time of the latest usage report to which a leader answered that the document in
	// force here is the newest. It never decreases.
	confirmedAt time.Time
	// answeredAt is when the leader last answered a usage report, or when it was found.
	answeredAt time.Time
	rotation   int
	startedAt  time.Time
	// fullUpdateAt is when the first full update of the current leader arrived.
	fullUpdateAt time.Time
	// changed is closed, and replaced, after each applied update.
	changed chan struct{}
}

func newLeaderFollower(g *Gateway) *leaderFollower {
	return &leaderFollower{gateway: g, wake: make(chan struct{}, 1), changed: make(chan struct{}), startedAt: g.clock.Now()}
}

// settleTime is how long after a start, or after the first update of a new leader, further state is expected to
// arrive: every backend server reports within this time.
const settleTime = 2 * time.Second

// isSettling reports whether missing state is likely to arrive soon.
func (l *leaderFollower) isSettling(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.revision == 0 || l.version == 0 {
		return now.Sub(l.startedAt) < 2*settleTime
	}
	return now.Sub(l.fullUpdateAt) < settleTime
}

// changes returns a channel that is closed by the next applied update.
func (l *leaderFollower) changes() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *leaderFollower) notify() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// run reports this host's usage to the leader until ctx ends.
func (l *leaderFollower) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-l.wake:
		}
		busy := l.sendUsage()
		pause := usageInterval + time.Duration(l.entryHosts.Load())*usageIntervalPerHost
		if !busy {
			pause = max(pause, idleUsageInterval)
		}
		timer.Reset(pause)
	}
}

// sendUsage sends a usage report, and reports whether the next one is due without the idle interval: while requests
// are in flight, state is missing or no control host was reached.
func (l *leaderFollower) sendUsage() bool {
	g := l.gateway
	now := g.clock.Now()
	host := l.target(now)
	if host == "" {
		return true
	}
	l.mu.Lock()
	u := wire.Usage{SentAt: now.UnixNano(), Term: l.term, Revision: l.revision, Version: l.version}
	l.mu.Unlock()
	g.mu.Lock()
	u.Loads = g.balancer.Usage(now)
	for model, d := range g.demand {
		u.Demand = append(u.Demand, wire.ModelDemand{Model: model, Requests: d.requests, WorkMs: d.workMs})
	}
	g.mu.Unlock()
	sort.Slice(u.Demand, func(i, j int) bool { return u.Demand[i].Model < u.Demand[j].Model })
	if err := g.mesh.Send(host, wire.Frame{Usage: &u}); err != nil {
		l.forgetLeader(host)
		return true
	}
	return len(u.Loads) > 0 || l.isIncomplete()
}

func (l *leaderFollower) isIncomplete() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version == 0 || l.revision == 0
}

// target returns the control host to report to: the leader, or, while no leader is known or it doesn't answer,
// each connected control host in rotation.
func (l *leaderFollower) target(now time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != "" && now.Sub(l.answeredAt) < leaderTimeout {
		return l.leader
	}
	hosts := l.gateway.mesh.Hosts()
	sort.Strings(hosts)
	for range hosts {
		l.rotation++
		if host := hosts[l.rotation%len(hosts)]; l.gateway.mesh.IsConnected(host) {
			return host
		}
	}
	return ""
}

// forgetLeader forgets the leader if it is the given unreachable host.
func (l *leaderFollower) forgetLeader(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader == host {
		l.leader = ""
	}
}

// HandleConnected implements peer.Handler.
func (l *leaderFollower) HandleConnected(host string) {
	l.gateway.log.Info().Str("event", "controlConnected").Str("peer", host).Msg("connected to a control host")
	l.wakeUp()
}

// HandleDisconnected implements peer.Handler.
func (l *leaderFollower) HandleDisconnected(host string) {
	l.gateway.log.Warn().Str("event", "controlLost").Str("peer", host).Msg("lost the connection to a control host")
	l.forgetLeader(host)
	l.wakeUp()
}

// HandleCall implements peer.Handler. An entry host serves no calls of peers.
func (l *leaderFollower) HandleCall(context.Context, string, wire.Frame) wire.Frame {
	return wire.Frame{Error: &wire.FrameError{Code: "unknown", Reason: "an entry host takes no calls"}}
}

// HandleOneWay implements peer.Handler.
func (l *leaderFollower) HandleOneWay(from string, f wire.Frame) {
	u := f.Fleet
	if u == nil {
		return
	}
	for _, host := range u.Controls {
		l.gateway.mesh.AddHost(host, host)
	}
	l.followLeader(u.Leader)
	if from != u.Leader || u.Term == 0 {
		return
	}
	l.apply(*u)
}

func (l *leaderFollower) followLeader(host string) {
	l.mu.Lock()
	changed := host != "" && host != l.leader
	if changed {
		l.leader = host
		l.answeredAt = l.gateway.clock.Now()
	}
	l.mu.Unlock()
	if changed {
		l.gateway.log.Info().Str("event", "leaderFound").Str("leader", host).Msg("found the leader of the control hosts")
		l.wakeUp()
	}
}

func (l *leaderFollower) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// apply applies a leader's update. An update of an earlier term comes from a leader that has been replaced and is
// ignored.
func (l *leaderFollower) apply(u wire.FleetUpdate) {
	g := l.gateway
	l.mu.Lock()
	if u.Term < l.term || (u.Term > l.term && !u.Full) || (u.Term == l.term && !u.Full && u.Revision < l.revision) {
		l.mu.Unlock()
		return
	}
	changed := u.Full || u.Revision > l.revision
	if u.Full && u.Term != l.term {
		l.fullUpdateAt = g.clock.Now()
	}
	l.term, l.revision = u.Term, u.Revision
	l.mu.Unlock()
	g.mu.Lock()
	if changed {
		g.balancer.UpdateEndpoints(u.Full, u.Endpoints, u.Removed)
	}
	if u.Echo != 0 {
		l.applyLoads(u)
	}
	g.mu.Unlock()
	if changed {
		g.log.Debug().Str("event", "endpointsChanged").Uint64("term", u.Term).Uint64("revision", u.Revision).
			Int("changed", len(u.Endpoints)).Strs("removed", u.Removed).Msg("endpoints changed")
	}
	l.applyDocument(u)
	l.confirm(u)
	if changed || u.Echo != 0 {
		l.notify()
	}
}

// applyLoads applies the loads summed over all entry hosts; the caller holds the gateway's mutex.
func (l *leaderFollower) applyLoads(u wire.FleetUpdate) {
	g := l.gateway
	loads, err := fleet.UnpackLoads(u.Loads)
	if err != nil {
		g.log.Warn().Str("event", "loadsUnreadable").Uint64("term", u.Term).Err(err).Msg("the leader's loads can't be decoded")
		return
	}
	g.balancer.SetLoads(g.clock.Now(), loads, u.Entries)
	l.entryHosts.Store(int64(u.Entries))
}

func (l *leaderFollower) applyDocument(u wire.FleetUpdate) {
	g := l.gateway
	l.mu.Lock()
	newer := len(u.Document) > 0 && u.Version > l.version
	l.mu.Unlock()
	if !newer {
		if u.Version > l.version && u.Echo == 0 {
			l.wakeUp()
		}
		return
	}
	b, err := codec.Decompress(u.Document)
	if err != nil {
		g.log.Error().Str("event", "documentUnreadable").Uint64("version", u.Version).Err(err).Msg("the leader's document can't be decompressed")
		return
	}
	c, err := g.dialect.ReadDocument(b)
	if err != nil {
		g.log.Error().Str("event", "documentUnreadable").Uint64("version", u.Version).Err(err).Msg("the leader's document is invalid")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if u.Version <= l.version {
		return
	}
	l.version = u.Version
	g.catalog.Store(c)
	g.log.Info().Str("event", "documentInForce").Uint64("version", u.Version).Msg("a new document is in force")
}

// confirm records that the leader, under its lease, knew of nothing newer than the document in force here when it
// answered the usage report sent at u.Echo.
func (l *leaderFollower) confirm(u wire.FleetUpdate) {
	if u.Echo == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answeredAt = l.gateway.clock.Now()
	at := time.Unix(0, u.Echo)
	if u.Version == l.version && l.version > 0 && at.After(l.confirmedAt) {
		l.confirmedAt = at
	}
}

// confirmationAge returns the time since the document in force here was last confirmed as the newest.
func (l *leaderFollower) confirmationAge() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gateway.clock.Now().Sub(l.confirmedAt)
}

// isReady reports whether the load balancer should send connections to this host.
func (g *Gateway) isReady() bool {
	if g.stopping.Load() || g.catalog.Load() == nil {
		return false
	}
	bound := time.Duration(readyFraction * float64(instance.Milliseconds(g.settings().KeyRevocationMs)))
	if g.follower.confirmationAge() > bound {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.Len() > 0
}
