package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"savorywing.example/savorywing/connection/engine"
	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/process/reach"
	"savorywing.example/savorywing/wire"
)

const (
	// silenceTimeout is how long a request may wait while no server sends anything before this host's paths are in doubt. It
	// is longer than the usual pauses of a host with a few requests in flight.
	silenceTimeout = 350 * time.Millisecond
	// roundDialTimeout bounds the time to dial a server in a round. TCP sends a lost SYN again after a second, so that more
	// time would seldom change the outcome.
	roundDialTimeout = 300 * time.Millisecond
)

// pathState returns what is known of the paths to the servers.
func (g *Gateway) pathState() reach.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reach.State()
}

// pathsInDoubt reports whether this host's paths may have failed.
func (g *Gateway) pathsInDoubt() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reach.InDoubt()
}

// missesServers reports whether this host doesn't reach the servers, or didn't reach most of those that it last dialled.
func (g *Gateway) missesServers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.reach.IsSettled()
}

// recordResponse records that a server has sent something.
func (g *Gateway) recordResponse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reach.RecordResponse(g.clock.Now())
}

// isPathFailure reports whether the path to a server may be the cause of an error.
func isPathFailure(err error) bool {
	var t net.Error
	return errors.Is(err, engine.ErrNotSent) || isConnectionEnd(err) || (errors.As(err, &t) && t.Timeout())
}

// doubtPaths starts a round that finds out whether this host still reaches the servers, unless one is running or not due.
func (g *Gateway) doubtPaths() {
	g.mu.Lock()
	due := g.balancer.Len() > 0 && g.reach.Begin(g.clock.Now())
	g.mu.Unlock()
	if due {
		go g.runRounds()
	}
}

// doubtIfSilent starts a round if no server has sent anything for silenceTimeout.
func (g *Gateway) doubtIfSilent() {
	g.mu.Lock()
	silent := g.reach.IsSilent(g.clock.Now(), silenceTimeout)
	g.mu.Unlock()
	if silent {
		g.doubtPaths()
	}
}

// runRounds runs a round, and further ones until most servers are reached directly.
func (g *Gateway) runRounds() {
	for {
		r := g.runRound()
		g.mu.Lock()
		changed := g.reach.Conclude(g.clock.Now(), r)
		state, settled := g.reach.State(), g.reach.IsSettled()
		if changed && state == reach.Direct {
			g.balancer.ForgetFailures()
		}
		g.mu.Unlock()
		if changed {
			g.subscription.wakeUp()
		}
		g.logRound(r, state, changed)
		if settled {
			return
		}
		select {
		case <-g.ctx.Done():
			return
		case <-time.After(reach.RoundInterval):
		}
		g.mu.Lock()
		g.reach.Continue()
		g.mu.Unlock()
	}
}

func (g *Gateway) runRound() reach.Round {
	sample, known := g.sample(reach.SampleSize, nil)
	missed := g.dialAll(sample)
	r := reach.Round{Known: known, Dialled: len(sample), Reached: len(sample) - len(missed)}
	var others sync.WaitGroup
	others.Go(func() { r.Elsewhere = g.countElsewhere(missed) })
	if r.Reached == 0 && known > len(sample) {
		skip := map[string]bool{}
		for _, t := range sample {
			skip[t.ID] = true
		}
		wide, _ := g.sample(reach.WideSampleSize, skip)
		r.Dialled += len(wide)
		r.Reached += len(wide) - len(g.dialAll(wide))
	}
	others.Wait()
	return r
}

const (
	// reachTimeout bounds the time to ask another entry host which servers it reaches.
	reachTimeout = roundDialTimeout + 200*time.Millisecond
	// reachHosts is the number of hosts that are asked at the same time, and maxReachHosts that of all in a round. Some may be
	// cut off as well.
	reachHosts    = 3
	maxReachHosts = 12
)

// countElsewhere returns how many of the servers that this host didn't reach another entry host reaches.
func (g *Gateway) countElsewhere(missed []placement.Target) int {
	most := 0
	if len(missed) > 0 {
		g.askOthers(missed, func(reached []string) bool {
			most = max(most, len(reached))
			return len(reached) > 0
		})
	}
	return most
}

// askOthers asks other entry hosts which servers they reach, until isEnough has returned true for an answer. Hosts that are
// cut off give no answer.
func (g *Gateway) askOthers(targets []placement.Target, isEnough func(reached []string) bool) {
	servers := make([]wire.ServerAddress, 0, len(targets))
	for _, t := range targets {
		servers = append(servers, wire.ServerAddress{ID: t.ID, Address: t.Address})
	}
	var asked []string
	for enough := false; !enough && len(asked) < maxReachHosts; {
		hosts := g.pickPeers(reachHosts, asked)
		if len(hosts) == 0 {
			return
		}
		asked = append(asked, hosts...)
		for _, reached := range g.askReach(hosts, servers) {
			if reached != nil && isEnough(reached) {
				enough = true
			}
		}
	}
}

func (g *Gateway) pickPeers(n int, without []string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var hosts []string
	for range n {
		host, found := g.peers.Pick(g.clock.Now(), append(hosts, without...))
		if !found {
			break
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// askReach returns which of the servers each host reaches; nil for a host that gives no answer.
func (g *Gateway) askReach(hosts []string, servers []wire.ServerAddress) [][]string {
	answers := make([][]string, len(hosts))
	var questions sync.WaitGroup
	for i, host := range hosts {
		questions.Go(func() {
			reached, err := g.forwardClient.Reach(g.ctx, host, reachTimeout, servers)
			if err != nil {
				reason := g.avoidPeer(host, err)
				g.log.Debug().Str("event", "reachRefused").Str("peer", host).Str("reason", reason).Err(err).Msg("another entry host doesn't say which servers it reaches")
				return
			}
			answers[i] = append([]string{}, reached...)
		})
	}
	questions.Wait()
	return answers
}

// sample returns servers to dial, and the number of all known ones.
func (g *Gateway) sample(n int, skip map[string]bool) ([]placement.Target, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.Sample(n, skip), g.balancer.Len()
}

// dialAll dials servers at the same time and returns those that it didn't reach. The connections to the others are kept for
// later requests.
func (g *Gateway) dialAll(targets []placement.Target) []placement.Target {
	ctx, cancel := context.WithTimeout(g.ctx, roundDialTimeout)
	defer cancel()
	errs := make([]error, len(targets))
	var dials sync.WaitGroup
	for i, t := range targets {
		dials.Go(func() { errs[i] = g.engines.Probe(ctx, t.Address) })
	}
	dials.Wait()
	var missed []placement.Target
	for i, err := range errs {
		if err != nil {
			g.log.Debug().Str("event", "serverNotReached").Str("server", targets[i].ID).Err(err).Msg("a backend server was not reached")
			missed = append(missed, targets[i])
		}
	}
	return missed
}

func (g *Gateway) logRound(r reach.Round, state reach.State, changed bool) {
	g.telemetry.Count("path_rounds", "state", state.String())
	if !changed && r.Reached == r.Dialled {
		return
	}
	e := g.logProblem("pathRound")
	if changed {
		e = g.log.Warn().Str("event", "pathsChanged")
	}
	e.Stringer("state", state).Int("servers", r.Known).Int("dialled", r.Dialled).Int("reached", r.Reached).Int("elsewhere", r.Elsewhere).
		Msg("checked the paths to the backend servers")
}
