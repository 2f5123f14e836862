package controller

import (
	"context"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
)

// event is an item of the controller's event queue.
type event interface{ isEvent() }

type (
	// reportsEvent carries reports; done, if not nil, is closed once they have been applied, and, on the leader, the entry
	// hosts have been notified. Instead, refused, which has room for it, receives the reason why a withdrawal among them doesn't hold.
	reportsEvent struct {
		reports []wire.Report
		done    chan<- struct{}
		refused chan<- error
	}
	// withdrawalEvent carries the call of a server that deregisters. identified, which has room for it, receives whose withdrawal it is, and
	// then done is closed as that of a reportsEvent, unless there is an error.
	withdrawalEvent struct {
		server     string
		identified chan<- identifiedWithdrawal
		done       chan<- struct{}
	}
	presenceEvent struct {
		from     string
		presence wire.Presence
	}
	// connectionEvent says that the connection to another control host was opened or lost.
	connectionEvent struct{ host string }
	outcomeEvent    struct {
		order   savorywing.FleetOrder
		outcome savorywing.OrderOutcome
		// leaving names the server's incarnation if the response says that it is leaving.
		leaving []wire.ServerIncarnation
	}
	// evacuationEvent asks whether an order can be proposed; result, which has room for it, receives the answer.
	evacuationEvent struct {
		order  wire.Evacuate
		result chan<- error
	}
)

// identifiedWithdrawal is the withdrawal of one incarnation of a server, or why that can't be told.
type identifiedWithdrawal struct {
	report wire.Report
	err    error
}

// reportEvent is one report that nobody waits for.
type reportEvent struct {
	report wire.Report
	// direct reports whether the backend server sent the report to this host.
	direct bool
}

// replaces reports whether an event makes a waiting one of the same server obsolete. One that a control host has sent on may be older
// than what the server has told this host since, and must not keep that from the other hosts.
func (e reportEvent) replaces(waiting reportEvent) bool {
	r, old := e.report, waiting.report
	switch {
	case r.Born != old.Born:
		return r.Born > old.Born
	case r.Sequence != old.Sequence:
		return r.Sequence > old.Sequence
	}
	return e.direct
}

// putReport queues a report that nobody waits for, unless a newer one of its server waits, and reports whether there was room.
func (c *Controller) putReport(e reportEvent) bool {
	return c.reports.PutNewer(e.report.ID, e, reportEvent.replaces)
}

func (reportsEvent) isEvent()    {}
func (withdrawalEvent) isEvent() {}
func (presenceEvent) isEvent()   {}
func (connectionEvent) isEvent() {}
func (outcomeEvent) isEvent()    {}
func (evacuationEvent) isEvent() {}

// codeRefused is the code of the reply to a withdrawal that doesn't hold.
const codeRefused = "refused"

// frameHandler handles the frames that other daemons send.
type frameHandler struct {
	controller *Controller
}

// HandleOneWay queues the parts of a frame for the components that process them.
func (f *frameHandler) HandleOneWay(from string, frame wire.Frame) {
	c := f.controller
	if len(frame.Raft) > 0 {
		c.node.Step(frame.Raft)
	}
	for _, r := range frame.Reports {
		if isUrgent(r) {
			c.push(reportsEvent{reports: []wire.Report{r}})
			continue
		}
		c.putReport(reportEvent{report: r})
	}
	for _, r := range frame.Repeats {
		c.repeats.PutNewer(r.ID, r, func(r, waiting wire.RepeatedReport) bool {
			return r.Born > waiting.Born || (r.Born == waiting.Born && r.Sequence > waiting.Sequence)
		})
	}
	if frame.Usage != nil {
		c.usage.Put(from, *frame.Usage)
	}
	if frame.Presence != nil {
		c.push(presenceEvent{from: from, presence: *frame.Presence})
	}
}

// isUrgent reports whether a report says that its server stops. Such a report must not be replaced by another one, and
// doesn't wait behind those of other servers.
func isUrgent(r wire.Report) bool { return r.Leaving || r.Gone }

func (c *Controller) push(e event) bool { return c.urgent.Push(e) }

// dropped returns how many events found no room in a queue.
func (c *Controller) dropped() uint64 {
	_, reports := c.reports.Counts()
	_, usage := c.usage.Counts()
	return c.urgent.Rejected() + reports + usage
}

// HandleCall answers proposals to the log, and reports whose sender waits until they have been applied.
func (f *frameHandler) HandleCall(ctx context.Context, _ string, frame wire.Frame) wire.Frame {
	c := f.controller
	switch {
	case frame.Propose != nil && frame.Propose.Command != nil:
		r, err := c.node.Propose(ctx, *frame.Propose.Command)
		if err != nil {
			return wire.Frame{Error: &wire.FrameError{Code: string(savorywing.AsRequestError(err).Code()), Reason: err.Error()}}
		}
		return wire.Frame{Result: &r}
	case len(frame.Reports) > 0:
		done, refused := make(chan struct{}), make(chan error, 1)
		if !c.push(reportsEvent{reports: frame.Reports, done: done, refused: refused}) {
			return wire.Frame{Error: &wire.FrameError{Code: "busy", Reason: "the queue of reports is full"}}
		}
		select {
		case <-done:
			return wire.Frame{}
		case err := <-refused:
			return wire.Frame{Error: &wire.FrameError{Code: codeRefused, Reason: err.Error()}}
		case <-ctx.Done():
			return wire.Frame{Error: &wire.FrameError{Code: "stopped", Reason: ctx.Err().Error()}}
		}
	}
	return wire.Frame{Error: &wire.FrameError{Code: "unknown", Reason: "no such call"}}
}

// HandleConnected logs that a daemon has connected and sends it this host's presence.
func (f *frameHandler) HandleConnected(host string) {
	f.controller.log.Info().Str("event", "peerConnected").Str("peer", host).Msg("connected to a peer")
	f.controller.sendPresenceTo(host)
	f.controller.push(connectionEvent{host})
}

// HandleDisconnected logs that the connection to a daemon was lost.
func (f *frameHandler) HandleDisconnected(host string) {
	f.controller.log.Warn().Str("event", "peerLost").Str("peer", host).Msg("lost the connection to a peer")
	f.controller.push(connectionEvent{host})
}
