package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/connection/engine"
	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/process/reach"
	"savorywing.example/savorywing/version/residency"
	"savorywing.example/savorywing/wire"
)

const (
	// silenceTimeout is how long a request may wait while most servers send nothing before this host's paths are in doubt. It
	// is longer than the usual pauses of a host with a few requests in flight.
	silenceTimeout = 350 * time.Millisecond
	// queryTimeout bounds the time in which a server must answer a status query of a round. TCP sends a lost SYN again after a
	// second, so that more time would seldom change the outcome.
	queryTimeout = 300 * time.Millisecond
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

// hasSoundPaths reports whether this host is known to reach the servers, or those that anybody reaches.
func (g *Gateway) hasSoundPaths() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reach.IsSound()
}

// hasHeard reports whether any server has sent bytes within a time before now.
func (g *Gateway) hasHeard(now time.Time, within time.Duration) bool {
	return now.Sub(time.Unix(0, g.heardAt.Load())) < within
}

// recordAnswer records that a server has sent bytes of a response.
func (g *Gateway) recordAnswer(server string) {
	now := g.clock.Now()
	g.heardAt.Store(now.UnixNano())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reach.RecordResponse(now)
	g.answers.Record(now, server)
}

// startWait records that an attempt waits for a server's answer, and doubts this host's paths if it and most others wait too
// long. The function that it returns ends the wait.
func (g *Gateway) startWait(server string) (end func()) {
	g.mu.Lock()
	g.answers.Send(g.clock.Now(), server)
	g.mu.Unlock()
	timer := time.AfterFunc(silenceTimeout, g.doubtIfSilent)
	return func() {
		timer.Stop()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.answers.End(g.clock.Now(), server)
	}
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
	if due {
		g.doubt = make(chan struct{})
	}
	g.mu.Unlock()
	if due {
		go g.runRounds()
	}
}

// endDoubt ends the doubt that doubtPaths began.
func (g *Gateway) endDoubt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.doubt != nil {
		close(g.doubt)
		g.doubt = nil
	}
}

// isInDoubt reports whether it is open whether this host's paths are lost.
func (g *Gateway) isInDoubt() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.doubt != nil
}

// maxDoubtWait bounds how long a request waits for the end of a round.
const maxDoubtWait = queryTimeout + reachTimeout

// awaitDoubt waits while it is open whether this host's paths are lost, and reports whether another host must serve the request
// since they are. Attempts that are made meanwhile would be lost as well.
func (r *callerRequest) awaitDoubt(ctx context.Context) bool {
	g := r.gateway
	g.mu.Lock()
	doubt := g.doubt
	g.mu.Unlock()
	remaining := r.deadline.Sub(g.clock.Now()) - minAttemptTime
	if doubt == nil || remaining <= 0 || (!r.forwarded && !r.mayAskOthers()) {
		return false
	}
	awaitUpdate(ctx, doubt, min(remaining, maxDoubtWait))
	return r.isCutOff() || r.handBack() != handBackNone
}

// doubtIfSilent starts a round if requests have waited at most servers for silenceTimeout.
func (g *Gateway) doubtIfSilent() {
	g.mu.Lock()
	silent := g.answers.IsSilent(g.clock.Now(), silenceTimeout)
	g.mu.Unlock()
	if silent {
		g.doubtPaths()
	}
}

// runRounds runs a round, and further ones until most servers are reached directly.
func (g *Gateway) runRounds() {
	rounds := pathRounds{gateway: g}
	for {
		r := rounds.run()
		g.mu.Lock()
		changed := g.reach.Conclude(g.clock.Now(), r)
		state, settled := g.reach.State(), g.reach.IsSettled()
		if changed && state == reach.Direct {
			g.balancer.ForgetFailures()
		}
		g.mu.Unlock()
		if changed {
			if state != reach.Direct {
				// A connection of before may stay silent after the cut.
				g.engines.CloseAllIdle()
			}
			g.subscription.wakeUp()
		}
		g.endDoubt()
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

// pathRounds is a series of rounds.
type pathRounds struct {
	gateway *Gateway
	// elsewhere is what other hosts answered at askedAt; zero if none has reached a server.
	elsewhere int
	askedAt   time.Time
}

// elsewhereMemory is how long other hosts' answers are used again while this host reaches no server.
const elsewhereMemory = 1 * time.Second

func (p *pathRounds) run() reach.Round {
	g := p.gateway
	sample, known := g.sample(reach.SampleSize, nil)
	var answered atomic.Int64
	missed := g.askServers(sample, func() {
		if reach.RulesOutLoss(len(sample), int(answered.Add(1))) {
			g.endDoubt()
		}
	})
	r := reach.Round{Known: known, Asked: len(sample), Reached: len(sample) - len(missed)}
	if r.Reached == 0 && p.elsewhere > 0 && g.clock.Now().Sub(p.askedAt) < elsewhereMemory {
		r.Elsewhere = min(p.elsewhere, len(missed))
		return r
	}
	var others sync.WaitGroup
	others.Go(func() { r.Elsewhere = g.countElsewhere(missed) })
	if r.Reached == 0 {
		p.widen(&r, sample)
	}
	others.Wait()
	if r.IsMixed() {
		// A few servers of which some are reached tell nothing of the others.
		r.Elsewhere += g.countElsewhere(p.widen(&r, sample))
	}
	p.elsewhere, p.askedAt = r.Elsewhere, g.clock.Now()
	return r
}

// widen asks further servers, and returns those that didn't answer.
func (p *pathRounds) widen(r *reach.Round, sample []placement.Target) []wire.ServerAddress {
	g := p.gateway
	skip := map[string]bool{}
	for _, t := range sample {
		skip[t.ID] = true
	}
	wide, _ := g.sample(reach.WideSampleSize, skip)
	missed := g.askServers(wide, func() {})
	r.Asked += len(wide)
	r.Reached += len(wide) - len(missed)
	return missed
}

const (
	// reachTimeout bounds the time to ask another entry host which servers it reaches.
	reachTimeout = queryTimeout + 200*time.Millisecond
	// reachHosts is the number of hosts that are asked first, and maxReachHosts that of all in a round. Some may be cut off as
	// well.
	reachHosts    = 3
	maxReachHosts = 12
)

// countElsewhere returns how many of the servers that this host didn't reach another entry host reaches.
func (g *Gateway) countElsewhere(missed []wire.ServerAddress) int {
	most := 0
	if len(missed) > 0 {
		q := wire.ReachQuery{Servers: missed, WithinMs: queryTimeout.Milliseconds()}
		g.askOthers(q, func(reached []string) bool {
			most = max(most, len(reached))
			return len(reached) > 0
		})
	}
	return most
}

// askOthers asks other entry hosts which servers they reach, a few and then more until isEnough has returned true for an
// answer. Hosts that are cut off give no answer.
func (g *Gateway) askOthers(q wire.ReachQuery, isEnough func(reached []string) bool) {
	var asked []string
	for _, n := range []int{reachHosts, maxReachHosts - reachHosts} {
		hosts := g.pickPeers(n, asked)
		asked = append(asked, hosts...)
		enough := false
		for _, reached := range g.askReach(hosts, q) {
			if reached != nil && isEnough(reached) {
				enough = true
			}
		}
		if enough {
			return
		}
	}
}

func (g *Gateway) pickPeers(n int, without []string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var hosts []string
	for range n {
		host, found := g.peers.Pick(g.clock.Now(), append(hosts, without...), residency.Area{})
		if !found {
			break
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// askReach returns which of the servers each host reaches; nil for a host that gives no answer.
func (g *Gateway) askReach(hosts []string, q wire.ReachQuery) [][]string {
	answers := make([][]string, len(hosts))
	var questions sync.WaitGroup
	for i, host := range hosts {
		questions.Go(func() {
			reached, err := g.forwardClient.Reach(g.ctx, host, reachTimeout, q)
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

// sample returns servers to ask, and the number of all known ones.
func (g *Gateway) sample(n int, skip map[string]bool) ([]placement.Target, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.Sample(n, skip), g.balancer.Len()
}

// askServers asks servers for their status at the same time and returns those that didn't answer. answered is called for each
// answer, from several goroutines.
func (g *Gateway) askServers(targets []placement.Target, answered func()) []wire.ServerAddress {
	ctx, cancel := context.WithTimeout(g.ctx, queryTimeout)
	defer cancel()
	errs := make([]error, len(targets))
	var queries sync.WaitGroup
	for i, t := range targets {
		queries.Go(func() {
			errs[i] = g.askServer(ctx, t)
			g.mu.Lock()
			g.answers.RecordQuery(g.clock.Now(), t.ID, errs[i] == nil)
			g.mu.Unlock()
			if errs[i] == nil {
				g.heardAt.Store(g.clock.Now().UnixNano())
				answered()
			}
		})
	}
	queries.Wait()
	var missed []wire.ServerAddress
	for i, t := range targets {
		if err := errs[i]; err != nil {
			g.log.Debug().Str("event", "serverNotReached").Str("server", t.ID).Err(err).Msg("a backend server didn't answer a status query")
			refused := ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded)
			missed = append(missed, wire.ServerAddress{ID: t.ID, Address: t.Address, Refused: refused})
		}
	}
	return missed
}

// askServer asks a server for its status on a new connection. An error of a gateway is no answer, since it may come from a
// proxy that doesn't reach the server.
func (g *Gateway) askServer(ctx context.Context, t placement.Target) error {
	h := &fasthttp.RequestHeader{}
	g.dialect.WriteStatusQuery(h, t.Address)
	response, err := g.engines.Do(ctx, engine.Call{Address: t.Address, Header: h})
	if err != nil {
		return fmt.Errorf("Gateway.askServer: %w", err)
	}
	defer response.Close()
	if status := response.Header.StatusCode(); status >= fasthttp.StatusInternalServerError {
		return fmt.Errorf("Gateway.askServer: status %d", status)
	}
	if err := response.Drain(); err != nil {
		return fmt.Errorf("Gateway.askServer: %w", err)
	}
	return nil
}

func (g *Gateway) logRound(r reach.Round, state reach.State, changed bool) {
	g.telemetry.Count("path_rounds", "state", state.String())
	if !changed && r.Reached == r.Asked {
		return
	}
	e := g.logProblem("pathRound")
	if changed {
		e = g.log.Warn().Str("event", "pathsChanged")
	}
	e.Stringer("state", state).Int("servers", r.Known).Int("asked", r.Asked).Int("reached", r.Reached).Int("elsewhere", r.Elsewhere).
		Msg("checked the paths to the backend servers")
}
