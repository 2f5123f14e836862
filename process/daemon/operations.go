package daemon

import (
	"context"
	"fmt"
	"sort"
	"time"

	"savorywing.example/savorywing/connection/operator"
	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/version/settings"
	"savorywing.example/savorywing/wire"
)

const (
	millisecond  = float64(time.Millisecond)
	maxNoteBytes = 256
)

// operations implements the operators' API.
type operations struct {
	daemon *Daemon
}

var _ operator.Operations = (*operations)(nil)

// Status returns the state of the cluster as known to this daemon.
func (o *operations) Status() operator.Status {
	d := o.daemon
	s := operator.Status{
		Host: d.settings.Daemon.Host, Roles: d.self().Roles, UptimeSeconds: d.sinceStart().Seconds(),
		Configuration: d.registry.VersionNumbers().Configuration, IsFresh: d.registry.IsFresh(), Histograms: d.metrics.Rows(), RefusedResponses: d.metrics.Refused(),
	}
	s.Control.Peers = d.mesh.Traffic()
	u := d.memory.Usage()
	s.Held = operator.HeldStatus{Bytes: u.Bytes, MaxBytes: u.Limits.Bytes, Connections: u.Conns, MaxConnections: u.Limits.MaxConns, TurnedAway: u.TurnedAway}
	s.Control.PollsSent, s.Control.PollsReceived = d.pollClient.Traffic()
	if host := d.leader.Load(); host != nil {
		s.Leader = *host
	}
	if d.entry != nil {
		s.InFlight = d.entry.InFlight()
	}
	for _, host := range d.mesh.Hosts() {
		s.Peers = append(s.Peers, operator.PeerStatus{Host: host, Connected: d.mesh.IsConnected(host)})
	}
	sort.Slice(s.Peers, func(i, j int) bool { return s.Peers[i].Host < s.Peers[j].Host })
	if d.node != nil {
		s.Voter = voterStatus(d.node.Status(), d.node.HasLease())
		s.Leader = quorum.HostOf(d.node.Status().Leader)
	}
	s.Alarms = o.alarms(s)
	return s
}

func voterStatus(v quorum.Status, lease bool) *operator.VoterStatus {
	s := &operator.VoterStatus{
		ID: v.ID, Role: v.Role.String(), Term: v.Term, Commit: v.CommitIndex, LogLength: v.LogLength, Claims: v.ClaimCount,
		Failed: v.FailureReason, Syncs: v.Syncs, SyncMillis: float64(v.SyncTime) / millisecond, HasLease: lease, ConfigurationNumber: v.ConfigurationNumber,
	}
	for _, m := range v.Members.Members {
		name := m.ID
		if !m.Voter {
			name += " (learner)"
		}
		s.Members = append(s.Members, name)
	}
	return s
}

// alarms returns the conditions that need an operator's attention.
func (o *operations) alarms(s operator.Status) []string {
	var alarms []string
	if !s.IsFresh {
		alarms = append(alarms, "notFresh: the newest configuration can't be confirmed; nothing new is admitted")
	}
	if s.Voter != nil && s.Voter.Failed != "" {
		alarms = append(alarms, "diskFailed: "+s.Voter.Failed)
	}
	for _, p := range s.Peers {
		if !p.Connected {
			alarms = append(alarms, "peerLost: "+p.Host)
		}
	}
	for _, g := range o.Groups() {
		if !g.HasLease {
			alarms = append(alarms, fmt.Sprintf("groupDown: %s is %s and has no serving lease here", g.ID, g.Phase))
		}
	}
	return alarms
}

// Groups returns the groups as known to this daemon.
func (o *operations) Groups() []operator.GroupStatus {
	var list []operator.GroupStatus
	for _, g := range o.daemon.registry.Table().Groups {
		list = append(list, operator.GroupStatus{Group: g, HasLease: o.daemon.registry.GroupServing(g.ID)})
	}
	return list
}

// Hosts returns the backend servers as known to this daemon.
func (o *operations) Hosts() []operator.HostStatus {
	owners := map[string]wire.Ownership{}
	for _, h := range o.daemon.registry.Table().Hosts {
		owners[h.Host] = h
	}
	var list []operator.HostStatus
	for _, a := range o.daemon.registry.Announcements() {
		s := operator.HostStatus{Announcement: a, Group: owners[a.Host].Group, Draining: owners[a.Host].Draining, AgeSeconds: -1}
		if response, requestedAt, known := o.daemon.registry.LatestPollResponse(a.Host); known {
			s.Announcement = response
			s.AgeSeconds = o.daemon.clock.Now().Sub(requestedAt).Seconds()
		}
		list = append(list, s)
	}
	return list
}

// Configuration returns the configuration in force on this daemon.
func (o *operations) Configuration() (operator.ConfigurationStatus, error) {
	text, err := o.daemon.registry.Settings().ConfigurationYAML()
	if err != nil {
		return operator.ConfigurationStatus{}, fmt.Errorf("operations.Configuration: %w", err)
	}
	return operator.ConfigurationStatus{Number: o.daemon.registry.VersionNumbers().Configuration, Text: string(text)}, nil
}

// History returns the accepted configuration changes, oldest first, as known to the local voter. On a host without a
// voter, it asks a control host, and returns nothing if that call fails.
func (o *operations) History() []wire.Configuration {
	d := o.daemon
	if d.node != nil {
		return d.node.Status().History
	}
	ctx, cancel := context.WithTimeout(d.ctx, proposeAttemptTimeout)
	defer cancel()
	reply, err := d.call(ctx, d.leaderHost(0), wire.Frame{AskHistory: true})
	if err != nil {
		return nil
	}
	return reply.History
}

// Apply validates a configuration and proposes it.
func (o *operations) Apply(ctx context.Context, c wire.ChangeConfiguration) (wire.Result, error) {
	if c.ChangeID == "" || len(c.ChangeID) > maxNoteBytes || len(c.Operator) > maxNoteBytes {
		return wire.Result{Reason: "a change needs a changeId of at most 256 bytes"}, nil
	}
	if problem := o.validate(c); problem != "" {
		return wire.Result{Reason: problem}, nil
	}
	c.At = o.daemon.clock.Now().UnixMilli()
	return o.daemon.proposer.Propose(ctx, wire.Command{Configuration: &c})
}

// validate returns what is wrong with a change's text, or an empty string.
func (o *operations) validate(c wire.ChangeConfiguration) string {
	s, err := settings.Parse("change "+c.ChangeID, []byte(c.Text))
	if err != nil {
		return err.Error()
	}
	return o.checkImmutable(s)
}

// checkImmutable returns an error text if a change modifies a setting that can't be changed while the system runs, or an
// empty string.
func (o *operations) checkImmutable(s *settings.Settings) string {
	current := o.daemon.settings
	if s.Timing.ElectionTimeout != current.Timing.ElectionTimeout {
		return "timing.election can't be changed while the system runs"
	}
	for name, h := range current.Hosts {
		if other, known := s.Hosts[name]; known && other.PeerAddress != h.PeerAddress {
			return "hosts." + name + ".peers can't be changed while the system runs"
		}
	}
	return ""
}

// Drain marks a backend server's host as draining, or as in service again.
func (o *operations) Drain(ctx context.Context, dr wire.DrainHost) (wire.Result, error) {
	for _, a := range o.daemon.registry.Announcements() {
		if a.Host == dr.Host {
			return o.daemon.proposer.Propose(ctx, wire.Command{Drain: &dr})
		}
	}
	for _, h := range o.daemon.registry.Table().Hosts {
		if h.Host == dr.Host {
			return o.daemon.proposer.Propose(ctx, wire.Command{Drain: &dr})
		}
	}
	return wire.Result{Reason: "no backend server has announced itself as " + dr.Host}, nil
}
