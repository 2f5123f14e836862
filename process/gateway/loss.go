package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"syscall"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/engine"
	"savorywing.example/savorywing/connection/httpheader"
	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/process/quarantine"
	"savorywing.example/savorywing/wire"
)

// partIDs returns parts of a prompt as the quarantine knows them.
func partIDs(parts []savorywing.PromptPart) []uint64 {
	ids := make([]uint64, len(parts))
	for i, part := range parts {
		ids[i] = uint64(part)
	}
	return ids
}

// partNames returns parts of a prompt as logs show them.
func partNames(parts []savorywing.PromptPart) []string {
	names := make([]string, len(parts))
	for i, part := range parts {
		names[i] = strconv.FormatUint(uint64(part), 16)
	}
	return names
}

// recordEvent records that the attempt got an event, and, once its server has survived the request, that.
func (a *attempt) recordEvent(now time.Time) {
	if a.firstEventAt.IsZero() {
		a.firstEventAt, a.begunAt = now, now
	}
	if now.Sub(a.firstEventAt) >= quarantine.SurvivalTime {
		a.recordSurvival(now)
	}
}

// recordSurvival records that the server of the attempt has survived the request.
func (a *attempt) recordSurvival(now time.Time) {
	if a.survived || a.firstEventAt.IsZero() {
		return
	}
	a.survived = true
	g := a.request.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observer.RecordSurvival(now, a.begunAt, a.request.identity)
}

// recordLoss records that the connection of the attempt ended before its server had survived the request. The first one
// of a server finds out whether it has ended.
func (a *attempt) recordLoss(err error) {
	if a.survived || !isConnectionEnd(err) {
		return
	}
	g, d := a.request.gateway, a.decision
	g.mu.Lock()
	isNew := g.observer.RecordLoss(g.clock.Now(), d.ID, d.Born, a.request.identity)
	g.mu.Unlock()
	if isNew {
		go g.resolveLoss(d)
	}
}

// isConnectionEnd reports whether an attempt failed because its connection ended.
func isConnectionEnd(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, engine.ErrTruncated, errNoEventEnd} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// recordRefused counts and logs a response of a backend server that was refused.
func (g *Gateway) recordRefused(r httpheader.Refused) {
	g.telemetry.Count("refused_responses", "reason", r.Reason)
	g.logProblem("responseRefused").Str("request", r.AttemptID).Str("address", r.Address).Str("reason", r.Reason).Err(r.Err).
		Msg("a backend server sent bytes that are no response, or not a whole one")
}

// referenceServers is the number of other servers by which another host shows that its own paths are sound.
const referenceServers = 4

// isReachedByNobody reports whether another entry host, which reaches other servers, doesn't reach the server of a decision
// either, or whether there is no host to ask. It is not confirmed if no host that reaches others has answered.
func (g *Gateway) isReachedByNobody(d placement.Decision) (nobody, isConfirmed bool) {
	if !g.hasPeers() {
		return true, true
	}
	targets, _ := g.sample(referenceServers, map[string]bool{d.ID: true})
	isReached := false
	// Only an answer of now shows whether the server still runs.
	q := wire.ReachQuery{Servers: []wire.ServerAddress{{ID: d.ID, Address: d.Address}}}
	for _, t := range targets {
		q.Servers = append(q.Servers, wire.ServerAddress{ID: t.ID, Address: t.Address})
	}
	g.askOthers(q, func(reached []string) bool {
		isReached = isReached || slices.Contains(reached, d.ID)
		isConfirmed = isConfirmed || len(reached) > 0
		return isConfirmed
	})
	return isConfirmed && !isReached, isConfirmed
}

const (
	// resolveTimeout bounds the time to find out whether a server has ended.
	resolveTimeout = 500 * time.Millisecond
	// maxResolves and resolveInterval are how often, and after which time, this is tried again while nothing is known for
	// certain.
	maxResolves     = 4
	resolveInterval = 300 * time.Millisecond
)

// resolveLoss finds out whether a server has ended: nothing listens at its address then, or a proxy that finds nobody
// behind it closes the connection, and no other entry host reaches it. Of a server that is unreachable for another
// reason, or that keeps the connection, the leader will know if it starts again.
func (g *Gateway) resolveLoss(d placement.Decision) {
	for range maxResolves {
		if g.tryResolve(d) {
			return
		}
		select {
		case <-g.ctx.Done():
			return
		case <-time.After(resolveInterval):
		}
	}
}

// tryResolve is one try of resolveLoss. It reports whether the result is certain.
func (g *Gateway) tryResolve(d placement.Decision) bool {
	ctx, cancel := context.WithTimeout(g.ctx, resolveTimeout)
	defer cancel()
	err := g.engines.Probe(ctx, d.Address)
	ended, certain := false, err == nil
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, engine.ErrClosedAtOnce) {
		ended, certain = g.isReachedByNobody(d)
	}
	g.mu.Lock()
	g.observer.Resolve(d.ID, d.Born, ended)
	g.mu.Unlock()
	if ended {
		g.subscription.wakeUp()
	}
	g.logProblem("connectionsEnded").Str("server", d.ID).Int64("born", d.Born).Bool("ended", ended).Bool("certain", certain).AnErr("probe", err).
		Msg("connections to a backend server ended before their responses")
	return certain
}
