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
	proposeAttemptTimeout = 1 * time.Second
	proposeRetryInterval  = 50 * time.Millisecond
	statusUnavailable     = 503
)

// proposer sends commands to the leader, on whichever host it is. Commands are idempotent, so one whose response was
// lost is sent again.
type proposer struct {
	daemon *Daemon
}

var _ savorywing.ReplicatedLog = (*proposer)(nil)

// Propose retries until the leader has answered or ctx ends. The error joins that of ctx and that of the last attempt.
func (p *proposer) Propose(ctx context.Context, c wire.Command) (wire.Result, error) {
	var last error
	for attempt := 0; ctx.Err() == nil; attempt++ {
		host := p.daemon.leaderHost(attempt)
		r, err := p.proposeOnce(ctx, host, c)
		if err == nil {
			return r, nil
		}
		last = err
		select {
		case <-ctx.Done():
		case <-p.daemon.clock.After(proposeRetryInterval):
		}
	}
	return wire.Result{}, fmt.Errorf("proposer.Propose: %w", errors.Join(ctx.Err(), last))
}

func (p *proposer) proposeOnce(ctx context.Context, host string, c wire.Command) (wire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeAttemptTimeout)
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

// call sends a frame to a control host and waits for the reply. From the reply, or from an error frame, it learns which
// host leads.
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

// leaderHost returns the leader's host if it is known, and otherwise a control host that rotates with attempt.
func (d *Daemon) leaderHost(attempt int) string {
	if d.node != nil {
		if host := quorum.HostOf(d.node.Status().Leader); host != "" {
			return host
		}
	}
	if host := d.leader.Load(); host != nil && *host != "" {
		return *host
	}
	hosts := d.controlHosts()
	return hosts[(attempt+int(d.bootID%uint64(len(hosts))))%len(hosts)]
}
