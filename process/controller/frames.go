package controller

import (
	"context"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
)

// event is what the controller's thread takes from its queue.
type event interface{ isEvent() }

type (
	// reportsEvent brings reports; done, if any, is closed when they are taken over.
	reportsEvent struct {
		reports []wire.Report
		// direct tells that a backend server sent them here.
		direct bool
		done   chan<- struct{}
	}
	usageEvent struct {
		from  string
		usage wire.Usage
	}
	presenceEvent struct {
		from     string
		presence wire.Presence
	}
	outcomeEvent struct {
		order   savorywing.FleetOrder
		outcome savorywing.OrderOutcome
	}
)

func (reportsEvent) isEvent()  {}
func (usageEvent) isEvent()    {}
func (presenceEvent) isEvent() {}
func (outcomeEvent) isEvent()  {}

// frames takes what other daemons send.
type frames struct {
	controller *Controller
}

// HandleOneWay sorts frames into queues.
func (f *frames) HandleOneWay(from string, frame wire.Frame) {
	c := f.controller
	if len(frame.Raft) > 0 {
		c.node.Step(frame.Raft)
	}
	if len(frame.Reports) > 0 {
		c.push(reportsEvent{reports: frame.Reports})
	}
	if frame.Usage != nil {
		c.push(usageEvent{from: from, usage: *frame.Usage})
	}
	if frame.Presence != nil {
		c.push(presenceEvent{from: from, presence: *frame.Presence})
	}
}

func (c *Controller) push(e event) bool {
	if c.events.Push(e) {
		return true
	}
	c.log.Warn().Str("event", "ringFull").Uint64("refused", c.events.Refused()).Msg("")
	return false
}

// HandleCall answers commands for the log and reports that must have been taken over.
func (f *frames) HandleCall(ctx context.Context, _ string, frame wire.Frame) wire.Frame {
	c := f.controller
	switch {
	case frame.Propose != nil && frame.Propose.Command != nil:
		r, err := c.node.Propose(ctx, *frame.Propose.Command)
		if err != nil {
			return wire.Frame{Error: &wire.FrameError{Code: string(savorywing.AsRequestError(err).Code()), Reason: err.Error()}}
		}
		return wire.Frame{Result: &r}
	case len(frame.Reports) > 0:
		done := make(chan struct{})
		if !c.push(reportsEvent{reports: frame.Reports, done: done}) {
			return wire.Frame{Error: &wire.FrameError{Code: "busy", Reason: "the queue of reports is full"}}
		}
		select {
		case <-done:
			return wire.Frame{}
		case <-ctx.Done():
			return wire.Frame{Error: &wire.FrameError{Code: "stopped", Reason: ctx.Err().Error()}}
		}
	}
	return wire.Frame{Error: &wire.FrameError{Code: "unknown", Reason: "no such call"}}
}

// HandleConnected logs a regained daemon and greets it.
func (f *frames) HandleConnected(host string) {
	f.controller.log.Info().Str("event", "peerConnected").Str("peer", host).Msg("")
	f.controller.greet(host)
}

// HandleLost logs a lost daemon.
func (f *frames) HandleLost(host string) {
	f.controller.log.Warn().Str("event", "peerLost").Str("peer", host).Msg("")
}
