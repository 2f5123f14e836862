package daemon

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/wire"
)

const (
	proposeTry        = 1 * time.Second
	proposePause      = 50 * time.Millisecond
	statusUnavailable = 503
)

// proposer hands commands to the leader, wherever it is. Commands are idempotent, so one whose
// answer was lost is handed over again.
type proposer struct {
	daemon *Daemon
}

var _ savorywing.ReplicatedLog = (*proposer)(nil)

// Propose tries until the leader has answered or the context ends.
func (p *proposer) Propose(ctx context.Context, c wire.Command) (wire.Result, error) {
	var last error
	for n := 0; ctx.Err() == nil; n++ {
		host := p.daemon.leaderHost(n)
		r, err := p.try(ctx, host, c)
		if err == nil {
			return r, nil
		}
		last = err
		select {
		case <-ctx.Done():
		case <-p.daemon.clock.After(proposePause):
		}
	}
	return wire.Result{}, fmt.Errorf("proposer.Propose: %w", errors.Join(ctx.Err(), last))
}

func (p *proposer) try(ctx context.Context, host string, c wire.Command) (wire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTry)
	defer cancel()
	if host == p.daemon.settings.Daemon.Host {
		return p.daemon.node.Propose(ctx, c)
	}
	reply, err := p.daemon.call(ctx, host, wire.Frame{Propose: &wire.Propose{Command: &c}})
	if err != nil {
		return wire.Result{}, err
	}
	if reply.Result == nil {
		return wire.Result{}, errors.New("the leader's reply has no result")
	}
	return *reply.Result, nil
}

// call sends a frame to a control host and learns from its refusal who leads.
func (d *Daemon) call(ctx context.Context, host string, f wire.Frame) (wire.Frame, error) {
	reply, err := d.mesh.Call(ctx, host, f)
	if err != nil {
		d.setLeader("")
		return reply, err
	}
	if reply.Error != nil {
		d.setLeader(reply.Error.Leader)
		return reply, fmt.Errorf("%s: %s: %s", host, reply.Error.Code, reply.Error.Reason)
	}
	d.setLeader(host)
	return reply, nil
}

func (d *Daemon) setLeader(host string) { d.leader.Store(&host) }

// controlHosts returns the names of the control hosts, sorted.
func (d *Daemon) controlHosts() []string {
	var hosts []string
	for name, h := range d.settings.Hosts {
		if h.HasRole(savorywing.RoleControl) {
			hosts = append(hosts, name)
		}
	}
	sort.Strings(hosts)
	return hosts
}

// leaderHost returns the leader's host as far as known, and the control hosts in turn while it is not.
func (d *Daemon) leaderHost(turn int) string {
	if d.node != nil {
		if host := quorum.HostOf(d.node.Status().Leader); host != "" {
			return host
		}
	}
	if host := d.leader.Load(); host != nil && *host != "" {
		return *host
	}
	hosts := d.controlHosts()
	return hosts[(turn+int(d.boot%uint64(len(hosts))))%len(hosts)]
}
