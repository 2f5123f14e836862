package daemon

import (
	"context"
	"errors"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/wire"
)

// Codes of error frames.
const (
	codeNotLeader = "notLeader"
	codeNotRun    = "notRun"
	codeUnknown   = "unknown"
	codeMalformed = "malformed"
)

// frameHandler handles the frames that other daemons send.
type frameHandler struct {
	daemon *Daemon
}

// HandleOneWay handles announcements, messages of the replicated log and introductions.
func (f *frameHandler) HandleOneWay(from string, frame wire.Frame) {
	d := f.daemon
	for _, a := range frame.Announcements {
		d.registry.Observe(a)
	}
	if len(frame.Raft) > 0 && d.node != nil {
		d.node.Step(frame.Raft)
	}
	// A host introduces only itself. What another one says of it could form a cluster without it.
	if in := frame.Introduction; in != nil && quorum.HostOf(in.ID) == from {
		d.introductions.set(d.clock.Now(), *in)
	}
}

// HandleDisconnected does nothing: the state received from a lost daemon expires by itself.
func (f *frameHandler) HandleDisconnected(string) {}

// HandleConnected sends all known announcements of backend servers to a daemon that has just connected.
func (f *frameHandler) HandleConnected(host string) {
	all := f.daemon.registry.Announcements()
	if len(all) > 0 {
		_ = f.daemon.mesh.Send(host, wire.Frame{Announcements: all})
	}
}

// HandleCall answers proposals and requests for confirmation, bootstrapping and history on control hosts.
func (f *frameHandler) HandleCall(ctx context.Context, _ string, frame wire.Frame) wire.Frame {
	d := f.daemon
	if d.node == nil {
		return errorFrame(codeNotLeader, "this host is no voter", "")
	}
	switch {
	case frame.AskHistory:
		return wire.Frame{History: d.node.Status().History}
	case frame.Propose != nil && frame.Propose.Command != nil:
		r, err := d.node.Propose(ctx, *frame.Propose.Command)
		if err != nil {
			return f.errorReply(err)
		}
		return wire.Frame{Result: &r}
	case frame.Confirm != nil:
		c, err := d.node.Confirm(ctx, *frame.Confirm)
		if err != nil {
			return f.errorReply(err)
		}
		return wire.Frame{Confirmed: &c}
	case frame.Formation != nil && frame.Formation.Membership != nil:
		if err := d.node.Bootstrap(ctx, *frame.Formation.Membership); err != nil {
			return f.errorReply(err)
		}
		return wire.Frame{}
	}
	return errorFrame(codeMalformed, "the frame has no part that can be answered", "")
}

func errorFrame(code, reason, leader string) wire.Frame {
	return wire.Frame{Error: &wire.FrameError{Code: code, Reason: reason, Leader: leader}}
}

func (f *frameHandler) errorReply(err error) wire.Frame {
	leader := quorum.HostOf(f.daemon.node.Status().Leader)
	code := codeUnknown
	var requestErr *savorywing.RequestError
	switch {
	case errors.Is(err, quorum.ErrNotLeader):
		code = codeNotLeader
	case errors.As(err, &requestErr) && requestErr.Code() == savorywing.CodeNotRun:
		code = codeNotRun
	}
	return errorFrame(code, err.Error(), leader)
}
