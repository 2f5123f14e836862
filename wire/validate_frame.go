package wire

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

const (
	// maxTokens and maxRequests bound counts of tokens and requests, so that sums over many hosts can't overflow.
	maxTokens   = 1 << 40
	maxRequests = 1 << 20
	// maxAgeMs is more than 30 years. An age that was read just before its event is slightly negative.
	maxAgeMs = 1 << 40
	minAgeMs = -60 * 1000
	// maxRate bounds a rate in requests per second.
	maxRate = 1e6
	// maxBytes bounds the size of a request.
	maxBytes = 1 << 30
	// maxTerm and maxIndex are reached after more than 30 years with one election, and a million entries, a millisecond.
	maxTerm  = 1 << 40
	maxIndex = 1 << 60
	// maxControls bounds the control hosts that one frame names.
	maxControls = 128
	// maxReached bounds the servers of a ReachQuery.
	maxReached = 64
)

// RemoveInvalid removes from a frame of another daemon the entries that are invalid, so that one of them doesn't cost the
// others. It returns an error that names the first one of each list.
func (f *Frame) RemoveInvalid() error {
	errs := []error{
		keepValid("report", &f.Reports, (*Report).Validate),
		keepValid("repeated report", &f.Repeats, (*RepeatedReport).Validate),
		keepValid("announcement", &f.Announcements, (*Announcement).Validate),
		keepValid("message of the log", &f.Raft, (*RaftMessage).Validate),
		removePart("presence", &f.Presence, (*Presence).Validate),
		removePart("forward offer", &f.ForwardOffer, (*ForwardOffer).Validate),
		removePart("forwarded request", &f.ForwardedRequest, (*ForwardedRequest).Validate),
		removePart("hello", &f.Hello, (*Hello).Validate),
		removePart("formation", &f.Formation, (*Formation).Validate),
	}
	if u := f.Fleet; u != nil {
		errs = append(errs, u.removeInvalid(), removePart("fleet update", &f.Fleet, (*FleetUpdate).Validate))
	}
	if u := f.Usage; u != nil {
		errs = append(errs, u.removeInvalid())
	}
	if q := f.ReachQuery; q != nil {
		q.Servers = q.Servers[:min(len(q.Servers), maxReached)]
		errs = append(errs, keepValid("server", &q.Servers, (*ServerAddress).Validate))
	}
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("Frame.RemoveInvalid: %w", err)
	}
	return nil
}

func (u *FleetUpdate) removeInvalid() error {
	return errors.Join(
		keepValid("endpoint", &u.Endpoints, (*Endpoint).Validate),
		u.removeInvalidControls(),
		keepValid("limit", &u.Limits, (*ServerLimit).Validate),
		keepValid("permit", &u.Permits, (*PermitGrant).Validate),
		keepValid("forwarder", &u.Forwarders, (*Forwarder).Validate),
		keepValid("quarantined part", &u.Quarantine, (*QuarantinedPart).Validate),
		u.Evacuations.removeInvalid(),
	)
}

func (e *Evacuations) removeInvalid() error {
	if e == nil {
		return nil
	}
	return keepValid("evacuated data centre", &e.DataCentres, func(s *string) error { return checkName("data centre", *s) })
}

// removeInvalidControls also bounds the control hosts, each of which is dialled for ever.
func (u *FleetUpdate) removeInvalidControls() error {
	err := keepValid("control host", &u.Controls, func(s *string) error { return CheckAddress(*s) })
	u.Controls = u.Controls[:min(len(u.Controls), maxControls)]
	return err
}

func (u *Usage) removeInvalid() error {
	return errors.Join(
		keepValid("load", &u.Loads, (*EndpointLoad).Validate),
		keepValid("limit", &u.Limits, (*ServerLimit).Validate),
		keepValid("permit request", &u.PermitRequests, (*PermitRequest).Validate),
		keepValid("loss", &u.Losses, (*Loss).Validate),
		keepValid("survival", &u.Survivals, (*Survival).Validate),
		keepValid("quarantined part", &u.Quarantine, (*QuarantinedPart).Validate),
		keepValid("demand", &u.Demand, (*ModelDemand).Validate),
		keepValid("address", &u.Addresses, func(s *string) error { return CheckAddress(*s) }),
	)
}

// keepValid removes the entries of a list that check rejects and returns the first error.
func keepValid[T any](kind string, list *[]T, check func(*T) error) error {
	var first error
	kept := 0
	for i := range *list {
		if err := check(&(*list)[i]); err != nil {
			if first == nil {
				first = err
			}
			continue
		}
		if kept != i {
			(*list)[kept] = (*list)[i]
		}
		kept++
	}
	if first == nil {
		return nil
	}
	removed := len(*list) - kept
	*list = (*list)[:kept]
	return fmt.Errorf("%s, %d removed: %w", kind, removed, first)
}

// removePart removes a part of a frame that check rejects.
func removePart[T any](kind string, part **T, check func(*T) error) error {
	if *part == nil {
		return nil
	}
	if err := check(*part); err != nil {
		*part = nil
		return fmt.Errorf("%s: %w", kind, err)
	}
	return nil
}

// Validate checks an endpoint. The error wraps ErrInvalid.
func (e *Endpoint) Validate() error {
	return firstError("Endpoint.Validate", checkID(e.ID), CheckAddress(e.Address), checkName("service", e.Service),
		checkText("model", e.Model), checkText("data centre", e.DataCentre), checkText("group", e.Group),
		checkRange("slots", e.Slots, 0, maxSlots), checkRange("cold time", e.ColdMs, 0, maxColdMs), checkRate(e.ColdShare), checkRange("slots on pace", e.PaceSlots, 0, maxSlots),
		checkRange("start time", e.Born, 0, maxUnixMs))
}

// Validate checks the parts of an update other than its lists. The error wraps ErrInvalid.
func (u *FleetUpdate) Validate() error {
	var leader error
	if u.Leader != "" {
		leader = CheckAddress(u.Leader)
	}
	return firstError("FleetUpdate.Validate", leader, checkRange("entry hosts", u.Entries, 0, maxRequests))
}

// Validate checks a load. The error wraps ErrInvalid.
func (l *EndpointLoad) Validate() error {
	return firstError("EndpointLoad.Validate", checkID(l.ID), checkRange("in flight", l.InFlight, 0, maxRequests),
		checkRange("waiting tokens", l.WaitingTokens, 0, maxTokens), checkRange("times", l.Times, 0, maxRequests), checkRate(l.Slowness),
		checkRange("served", l.Served, 0, maxRequests), checkRange("refused", l.Refused, 0, maxRequests))
}

// Validate checks a limit. The error wraps ErrInvalid.
func (l *ServerLimit) Validate() error {
	return firstError("ServerLimit.Validate", checkID(l.ID), checkRate(l.PerSecond), checkRange("start time", l.Born, 0, maxUnixMs),
		checkRange("age", l.AgeMs, minAgeMs, maxAgeMs))
}

func checkRate(perSecond float64) error {
	if math.IsNaN(perSecond) || perSecond < 0 || perSecond > maxRate {
		return fmt.Errorf("rate: %w: %v", ErrInvalid, perSecond)
	}
	return nil
}

// Validate checks a request for permits. The error wraps ErrInvalid.
func (r *PermitRequest) Validate() error {
	return firstError("PermitRequest.Validate", checkName("service", r.Service), checkText("model", r.Model),
		checkRange("waiting", r.Waiting, 0, maxRequests), checkRange("ahead", r.Ahead, 0, maxRequests))
}

// Validate checks a grant. The error wraps ErrInvalid.
func (g *PermitGrant) Validate() error {
	return firstError("PermitGrant.Validate", checkName("service", g.Service), checkText("model", g.Model),
		checkRange("wait", g.WaitMs, 0, maxAgeMs))
}

// Validate checks an entry of the forwarders. The error wraps ErrInvalid.
func (f *Forwarder) Validate() error {
	return firstError("Forwarder.Validate", CheckAddress(f.Address), checkText("data centre", f.DataCentre))
}

// Validate checks a quarantined part. The error wraps ErrInvalid.
func (p *QuarantinedPart) Validate() error {
	return firstError("QuarantinedPart.Validate", checkRange("time until a retry", p.RetryMs, minAgeMs, maxAgeMs))
}

// Validate checks a loss. The error wraps ErrInvalid.
func (l *Loss) Validate() error {
	return firstError("Loss.Validate", checkID(l.Server), checkRange("start time", l.Born, 0, maxUnixMs),
		checkRange("age", l.AgeMs, minAgeMs, maxAgeMs))
}

// Validate checks a survival. The error wraps ErrInvalid.
func (s *Survival) Validate() error {
	return firstError("Survival.Validate", checkRange("age", s.BegunMs, minAgeMs, maxAgeMs))
}

// Validate checks the demand for a model. The error wraps ErrInvalid.
func (d *ModelDemand) Validate() error {
	return firstError("ModelDemand.Validate", checkText("model", d.Model), checkRange("work", d.WorkMs, 0, math.MaxInt64))
}

// Validate checks the announcement of a control host. Of its addresses, it removes those that are invalid, since the host
// takes part in the log without them. The error wraps ErrInvalid.
func (p *Presence) Validate() error {
	if CheckAddress(p.ControlAddress) != nil {
		p.ControlAddress = ""
	}
	p.Peers = slices.DeleteFunc(p.Peers, func(s string) bool { return CheckAddress(s) != nil })
	p.Peers = p.Peers[:min(len(p.Peers), maxControls)]
	return firstError("Presence.Validate", checkID(p.ID))
}

// Validate checks a repeated report. The error wraps ErrInvalid.
func (r *RepeatedReport) Validate() error {
	return firstError("RepeatedReport.Validate", checkID(r.ID), checkRange("sequence", r.Sequence, 0, maxSequence),
		checkRange("start time", r.Born, 0, maxUnixMs))
}

// Validate checks the start of a connection. The error wraps ErrInvalid.
func (h *Hello) Validate() error {
	return firstError("Hello.Validate", checkName("host", h.Host), checkText("data centre", h.DataCentre))
}

// Validate checks an offer. The error wraps ErrInvalid.
func (o *ForwardOffer) Validate() error {
	return firstError("ForwardOffer.Validate", checkName("host", o.Host), checkRange("size", o.Bytes, 0, maxBytes))
}

// Validate checks a forwarded request without its header. The error wraps ErrInvalid.
func (r *ForwardedRequest) Validate() error {
	return firstError("ForwardedRequest.Validate", checkRange("elapsed time", r.ElapsedMs, minAgeMs, maxAgeMs),
		checkRange("sends", r.Sends, 0, maxRequests), checkRange("size", len(r.Body), 0, maxBytes))
}

// Validate checks the address of a server. The error wraps ErrInvalid.
func (a *ServerAddress) Validate() error {
	return firstError("ServerAddress.Validate", checkID(a.ID), CheckAddress(a.Address))
}

// Validate checks the indexes and the terms of a message, whose entries must follow its index without gaps. The error wraps
// ErrInvalid.
func (m *RaftMessage) Validate() error {
	var entries, snapshot error
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) || e.Term > m.Term {
			entries = fmt.Errorf("entry %d: %w", i, ErrInvalid)
			break
		}
	}
	if m.Snapshot != nil {
		snapshot = firstError("snapshot", checkRange("index", m.Snapshot.Index, 0, maxIndex), checkRange("term", m.Snapshot.Term, 0, m.Term))
	}
	return firstError("RaftMessage.Validate", checkRange("term", m.Term, 0, maxTerm), checkRange("index", m.Index, 0, maxIndex), entries, snapshot)
}

// Validate checks the first membership of a cluster. The error wraps ErrInvalid.
func (f *Formation) Validate() error {
	if f.Membership == nil {
		return fmt.Errorf("Formation.Validate: membership: %w", ErrInvalid)
	}
	return firstError("Formation.Validate", f.Membership.Validate())
}

// Validate checks that a membership has voters, and no member twice. The error wraps ErrInvalid.
func (m *Membership) Validate() error {
	voters, seen := 0, map[string]bool{}
	for _, member := range m.Members {
		if err := checkID(member.ID); err != nil || seen[member.ID] {
			return fmt.Errorf("Membership.Validate: member %.100q: %w", member.ID, ErrInvalid)
		}
		seen[member.ID] = true
		if member.Voter {
			voters++
		}
	}
	return firstError("Membership.Validate", checkRange("voters", voters, 1, maxControls))
}
