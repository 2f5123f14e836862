package gateway

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/process/reach"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/version/instance"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

const (
	// usageInterval is the time between two reports of this host's requests to the leader, which answers each with
	// the load of all entry hosts. The interval grows by usageIntervalPerHost with each entry host, so that the
	// leader's work grows more slowly than their number.
	usageInterval        = 40 * time.Millisecond
	usageIntervalPerHost = 1 * time.Millisecond
	// idleUsageInterval is the minimum interval while nothing is in flight here.
	idleUsageInterval = 400 * time.Millisecond
	// leaderTimeout is how long the leader may leave usage reports unanswered before other control hosts are
	// tried.
	leaderTimeout = 700 * time.Millisecond
	// readyFraction bounds readiness: a host reports ready until its last confirmation by the leader is older than
	// this fraction of the key revocation bound.
	readyFraction = 0.5
)

// fleetSubscription receives the fleet state from the leader, the endpoints and the newest document, and applies it to
// the gateway. Of the state itself, it keeps only versions and times.
type fleetSubscription struct {
	gateway *Gateway
	wake    chan struct{}
	// entryHosts is the number of entry hosts. A new leader's first answers, which count those it has heard of, don't lower it.
	entryHosts atomic.Int64

	mu     sync.Mutex
	leader string
	// term and revision are those of the last applied update; revision counts the changes of the endpoints in a term.
	term     uint64
	revision uint64
	// forwarderRevision is the revision of the last applied list of entry hosts that take requests.
	forwarderRevision uint64
	// version is the version of the document in force here; 0 if there is none.
	version uint64
	// unreadable is the version of the last document that could not be decoded here.
	unreadable uint64
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

func newFleetSubscription(g *Gateway) *fleetSubscription {
	return &fleetSubscription{gateway: g, wake: make(chan struct{}, 1), changed: make(chan struct{}), startedAt: g.clock.Now()}
}

// settleTime is how long after a start, or after the first update of a new leader, further state is expected to
// arrive: every backend server reports within this time.
const settleTime = 2 * time.Second

// isSettling reports whether missing state is likely to arrive soon. Until the endpoints and a document have arrived, the
// limit is twice settleTime from the start, which includes the time to find the leader.
func (s *fleetSubscription) isSettling(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision == 0 || s.version == 0 {
		return now.Sub(s.startedAt) < 2*settleTime
	}
	return now.Sub(s.fullUpdateAt) < settleTime
}

// changes returns a channel that is closed by the next applied update.
func (s *fleetSubscription) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *fleetSubscription) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// run reports this host's usage to the leader until ctx ends.
func (s *fleetSubscription) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.wake:
		}
		busy := s.sendUsage()
		pause := usageInterval + time.Duration(s.entryHosts.Load())*usageIntervalPerHost
		if !busy {
			pause = max(pause, idleUsageInterval)
		}
		timer.Reset(pause)
	}
}

// sendUsage sends a usage report, and reports whether the next one is due without the idle interval: while requests
// are in flight, state is missing or no control host was reached.
func (s *fleetSubscription) sendUsage() bool {
	g := s.gateway
	now := g.clock.Now()
	host := s.target(now)
	if host == "" {
		return true
	}
	s.mu.Lock()
	u := wire.Usage{SentAt: now.UnixNano(), Term: s.term, Revision: s.revision, Version: s.version, ForwarderRevision: s.forwarderRevision, TakesPacked: true}
	s.mu.Unlock()
	u.ForwardProtocol, u.Addresses = g.forwardProtocol(), g.settings().ListenAddresses()
	g.mu.Lock()
	u.Loads, u.Leaving = g.balancer.Usage(now), g.balancer.Leaving()
	if g.reach.State() != reach.Direct {
		// Requests that make no progress here say nothing about the servers.
		for i := range u.Loads {
			u.Loads[i].Stalled = false
		}
	}
	g.balancer.ReportLimits(now, &u)
	g.observer.Report(now, &u)
	for model, d := range g.demand {
		u.Demand = append(u.Demand, wire.ModelDemand{Model: model, Requests: d.requests, WorkMs: d.workMs})
	}
	g.mu.Unlock()
	sort.Slice(u.Demand, func(i, j int) bool { return u.Demand[i].Model < u.Demand[j].Model })
	if err := g.mesh.Send(host, wire.Frame{Usage: &u}); err != nil {
		s.forgetLeader(host)
		return true
	}
	return len(u.Loads) > 0 || len(u.Leaving) > 0 || len(u.Limits) > 0 || len(u.PermitRequests) > 0 || len(u.Losses) > 0 || len(u.TurnedAway) > 0 || s.isIncomplete()
}

func (s *fleetSubscription) isIncomplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version == 0 || s.revision == 0
}

// target returns the control host to report to: the leader, or, while no leader is known or it doesn't answer,
// each connected control host in rotation.
func (s *fleetSubscription) target(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != "" && now.Sub(s.answeredAt) < leaderTimeout {
		return s.leader
	}
	hosts := s.gateway.mesh.Hosts()
	sort.Strings(hosts)
	for range hosts {
		s.rotation++
		if host := hosts[s.rotation%len(hosts)]; s.gateway.mesh.IsConnected(host) {
			return host
		}
	}
	return ""
}

// forgetLeader forgets the leader if it is the given unreachable host.
func (s *fleetSubscription) forgetLeader(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == host {
		s.leader = ""
	}
}

// HandleConnected implements peer.Handler.
func (s *fleetSubscription) HandleConnected(host string) {
	s.gateway.log.Info().Str("event", "controlConnected").Str("peer", host).Msg("connected to a control host")
	s.wakeUp()
}

// HandleDisconnected implements peer.Handler.
func (s *fleetSubscription) HandleDisconnected(host string) {
	s.gateway.log.Warn().Str("event", "controlLost").Str("peer", host).Msg("lost the connection to a control host")
	s.forgetLeader(host)
	s.wakeUp()
}

// HandleCall implements peer.Handler. An entry host serves no calls of peers.
func (s *fleetSubscription) HandleCall(context.Context, string, wire.Frame) wire.Frame {
	return wire.Frame{Error: &wire.FrameError{Code: "unknown", Reason: "an entry host takes no calls"}}
}

// HandleOneWay implements peer.Handler.
func (s *fleetSubscription) HandleOneWay(from string, f wire.Frame) {
	u := f.Fleet
	if u == nil {
		return
	}
	for _, host := range u.Controls {
		s.gateway.mesh.AddHost(host, host)
	}
	s.followLeader(u.Leader)
	if from != u.Leader || u.Term == 0 {
		return
	}
	s.apply(*u)
}

func (s *fleetSubscription) followLeader(host string) {
	s.mu.Lock()
	changed := host != "" && host != s.leader
	if changed {
		s.leader = host
		s.answeredAt = s.gateway.clock.Now()
	}
	s.mu.Unlock()
	if changed {
		s.gateway.log.Info().Str("event", "leaderFound").Str("leader", host).Msg("found the leader of the control hosts")
		s.wakeUp()
	}
}

func (s *fleetSubscription) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// apply applies a leader's update. An update of an earlier term comes from a leader that has been replaced and is
// ignored.
func (s *fleetSubscription) apply(u wire.FleetUpdate) {
	g := s.gateway
	if !s.unpack(&u) {
		return
	}
	changed, isCurrent := s.advance(u)
	if !isCurrent {
		return
	}
	if s.applyState(u, changed) {
		// The leader waits for what is known here of parts of prompts.
		s.wakeUp()
	}
	if changed {
		g.log.Debug().Str("event", "endpointsChanged").Uint64("term", u.Term).Uint64("revision", u.Revision).
			Int("changed", len(u.Endpoints)).Strs("removed", u.Removed).Msg("endpoints changed")
	}
	s.applyDocument(u)
	s.confirm(u)
	if changed || u.Echo != 0 {
		s.notify()
	}
}

// advance takes over an update's term and revisions, and reports whether the endpoints have changed. It returns false for an update that
// must not be applied.
func (s *fleetSubscription) advance(u wire.FleetUpdate) (changed, isCurrent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.Term < s.term || (u.Term > s.term && !u.Full) || (u.Term == s.term && !u.Full && u.Revision < s.revision) {
		return false, false
	}
	changed = u.Full || u.Revision > s.revision
	if u.Full && u.Term != s.term {
		s.fullUpdateAt = s.gateway.clock.Now()
	}
	s.term, s.revision = u.Term, u.Revision
	if u.ForwarderRevision != 0 {
		s.forwarderRevision = u.ForwarderRevision
	}
	return changed, true
}

// unpack unpacks the endpoints of an update, and returns false if they can't be decoded.
func (s *fleetSubscription) unpack(u *wire.FleetUpdate) bool {
	if len(u.Packed) == 0 {
		return true
	}
	list, err := fleet.UnpackEndpoints(u.Packed, u.Endpoints, u.Removed)
	if err != nil {
		s.gateway.log.Error().Str("event", "endpointsUnreadable").Uint64("term", u.Term).Err(err).Msg("the leader's endpoints can't be decoded")
		return false
	}
	u.Endpoints, u.Removed = list, nil
	return true
}

// applyState applies what requests are placed by, and reports whether the leader lists parts of prompts for the first time
// of which survivals are known here.
func (s *fleetSubscription) applyState(u wire.FleetUpdate, changed bool) bool {
	g := s.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyEvacuations(u)
	if changed {
		g.balancer.UpdateEndpoints(u.Full, u.Endpoints, u.Removed)
	}
	if u.Echo != 0 {
		s.applyLoads(u)
	}
	g.balancer.ApplyLimits(g.clock.Now(), u)
	if u.ForwarderRevision != 0 {
		g.peers.Set(g.clock.Now(), u.Forwarders)
	}
	return g.observer.Apply(g.clock.Now(), u)
}

// applyLoads applies the loads summed over all entry hosts; the caller holds the gateway's mutex.
func (s *fleetSubscription) applyLoads(u wire.FleetUpdate) {
	g := s.gateway
	loads, err := fleet.UnpackLoads(u.Loads)
	if err != nil {
		g.log.Warn().Str("event", "loadsUnreadable").Uint64("term", u.Term).Err(err).Msg("the leader's loads can't be decoded")
		return
	}
	g.balancer.SetLoads(g.clock.Now(), loads, u.Entries)
	s.entryHosts.Store(int64(g.balancer.EntryHosts()))
}

func (s *fleetSubscription) applyDocument(u wire.FleetUpdate) {
	g := s.gateway
	s.mu.Lock()
	newer := len(u.Document) > 0 && u.Version > s.version && u.Version != s.unreadable
	isNext := u.Version > s.version
	s.mu.Unlock()
	if !newer {
		if isNext && u.Echo == 0 {
			s.wakeUp()
		}
		return
	}
	b, err := codec.Decompress(u.Document)
	var c *catalogue.Catalogue
	if err == nil {
		c, err = g.dialect.ReadDocument(b)
	}
	if err != nil {
		s.mu.Lock()
		s.unreadable = u.Version
		s.mu.Unlock()
		g.log.Error().Str("event", "documentUnreadable").Uint64("version", u.Version).Err(err).Msg("the leader's document can't be decoded")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.Version <= s.version {
		return
	}
	s.version = u.Version
	g.catalogue.Store(c)
	g.log.Info().Str("event", "documentInForce").Uint64("version", u.Version).Msg("a new document is in force")
}

// confirm records that the leader, under its lease, knew of nothing newer than the document in force here, and of no other
// evacuated data centres than this update states, when it answered the usage report sent at u.Echo.
func (s *fleetSubscription) confirm(u wire.FleetUpdate) {
	if u.Echo == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredAt = s.gateway.clock.Now()
	at := time.Unix(0, u.Echo)
	if u.Version == s.version && s.version > 0 && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// documentVersion returns the version of the document in force here; 0 if there is none.
func (s *fleetSubscription) documentVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// confirmationAge returns the time since the document in force here was last confirmed as the newest.
func (s *fleetSubscription) confirmationAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gateway.clock.Now().Sub(s.confirmedAt)
}

// isReady reports whether the load balancer should send connections to this host.
func (g *Gateway) isReady() bool {
	if g.stopping.Load() || g.catalogue.Load() == nil {
		return false
	}
	bound := time.Duration(readyFraction * float64(instance.Milliseconds(g.settings().KeyRevocationMs)))
	if g.subscription.confirmationAge() > bound {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.Len() > 0
}
