package daemon

import (
	"context"
	"errors"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/wire"
)

// Codes of refused frames.
const (
	codeNotLeader = "notLeader"
	codeNotRun    = "notRun"
	codeUnknown   = "unknown"
	codeMalformed = "malformed"
)

// frames takes what other daemons send.
type frames struct {
	daemon *Daemon
}

// HandleOneWay takes announcements, messages of the log and introductions.
func (f *frames) HandleOneWay(_ string, frame wire.Frame) {
	d := f.daemon
	for _, a := range frame.Announcements {
		d.registry.Observe(a)
	}
	if len(frame.Raft) > 0 && d.node != nil {
		d.node.Step(frame.Raft)
	}
	if frame.Introduction != nil {
		d.introduced.set(*frame.Introduction)
	}
}

// HandleLost does nothing: what a lost daemon told runs out by itself.
func (f *frames) HandleLost(string) {}

// HandleConnected greets a daemon with everything known about backend servers.
func (f *frames) HandleConnected(host string) {
	all := f.daemon.registry.Announcements()
	if len(all) > 0 {
		_ = f.daemon.mesh.Send(host, wire.Frame{Announcements: all})
	}
}

// HandleCall answers proposals, confirmations and formations on control hosts.
func (f *frames) HandleCall(ctx context.Context, _ string, frame wire.Frame) wire.Frame {
	d := f.daemon
	if d.node == nil {
		return refuse(codeNotLeader, "this host is no voter", "")
	}
	switch {
	case frame.AskHistory:
		return wire.Frame{History: d.node.Status().History}
	case frame.Propose != nil && frame.Propose.Command != nil:
		r, err := d.node.Propose(ctx, *frame.Propose.Command)
		if err != nil {
			return f.refuse(err)
		}
		return wire.Frame{Result: &r}
	case frame.Confirm != nil:
		c, err := d.node.Confirm(ctx, *frame.Confirm)
		if err != nil {
			return f.refuse(err)
		}
		return wire.Frame{Confirmed: &c}
	case frame.Formation != nil && frame.Formation.Membership != nil:
		if err := d.node.Bootstrap(ctx, *frame.Formation.Membership); err != nil {
			return f.refuse(err)
		}
		return wire.Frame{}
	}
	return refuse(codeMalformed, "the frame has no part that can be answered", "")
}

func refuse(code, reason, leader string) wire.Frame {
	return wire.Frame{Error: &wire.FrameError{Code: code, Reason: reason, Leader: leader}}
}

func (f *frames) refuse(err error) wire.Frame {
	leader := quorum.HostOf(f.daemon.node.Status().Leader)
	code := codeUnknown
	var refusal *savorywing.RequestError
	switch {
	case errors.Is(err, quorum.ErrNotLeader):
		code = codeNotLeader
	case errors.As(err, &refusal) && refusal.Code() == savorywing.CodeNotRun:
		code = codeNotRun
	}
	return refuse(code, err.Error(), leader)
}
