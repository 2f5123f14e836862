package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"savorywing.example/savorywing/connection/controlapi"
	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

const (
	// reportTime is how long a backend server waits for an acknowledgement, less the way.
	reportTime = 800 * time.Millisecond
	// callTime bounds an operator's call; operators wait a second, longer for large bodies.
	callTime     = 1500 * time.Millisecond
	proposeTry   = 900 * time.Millisecond
	proposePause = 40 * time.Millisecond
)

var errNoLeader = errors.New("no leader is known")

// Report takes a report over. One that a backend server is leaving is acknowledged only after the leader,
// and through it the entry hosts, have been told.
func (c *Controller) Report(ctx context.Context, r wire.Report) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	if err := c.takeReport(ctx, r, r.Leaving); err != nil {
		return "", err
	}
	if address := c.leaderControl.Load(); address != nil && *address != c.settings.ControlAddress {
		return *address, nil
	}
	return "", nil
}

// Withdraw takes over that a backend server ends.
func (c *Controller) Withdraw(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	return c.takeReport(ctx, wire.Report{ID: id, Gone: true}, true)
}

func (c *Controller) takeReport(ctx context.Context, r wire.Report, leaving bool) error {
	done := make(chan struct{})
	if !c.push(reportsEvent{reports: []wire.Report{r}, direct: !leaving, done: done}) {
		return fmt.Errorf("Controller.takeReport: %w", controlapi.ErrNoQuorum)
	}
	select {
	case <-done:
	case <-ctx.Done():
		return fmt.Errorf("Controller.takeReport: %w", ctx.Err())
	}
	if !leaving {
		return nil
	}
	return c.tellLeader(ctx, r)
}

// tellLeader makes sure that the leader has taken a report over.
func (c *Controller) tellLeader(ctx context.Context, r wire.Report) error {
	for {
		view := c.node.Status()
		host := quorum.HostOf(view.Leader)
		switch {
		case view.Role == quorum.Leader:
			if c.node.HasLease() {
				return nil
			}
		case host != "":
			reply, err := c.mesh.Call(ctx, host, wire.Frame{Reports: []wire.Report{r}})
			if err == nil && reply.Error == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("Controller.tellLeader: %w: %w", controlapi.ErrNoQuorum, ctx.Err())
		case <-time.After(proposePause):
		}
	}
}

// Publish makes a document the newest if its version is the highest.
func (c *Controller) Publish(ctx context.Context, document []byte) error {
	catalogue, err := c.dialect.ReadDocument(document)
	if err != nil {
		c.log.Info().Str("event", "documentRefused").Int("bytes", len(document)).Err(err).Msg("")
		return fmt.Errorf("Controller.Publish: %w: %w", controlapi.ErrInvalidDocument, err)
	}
	packed, err := codec.Compress(document)
	if err != nil {
		return fmt.Errorf("Controller.Publish: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	_, err = c.propose(ctx, wire.Command{Publish: &wire.Publish{Version: catalogue.Version(), Document: packed}})
	c.log.Info().Str("event", "documentPublished").Uint64("version", catalogue.Version()).Int("bytes", len(document)).Err(err).Msg("")
	if err != nil {
		return fmt.Errorf("Controller.Publish: %w: %w", controlapi.ErrNoQuorum, err)
	}
	return nil
}

// Read returns the newest document. It is read through the log, so that a majority confirms it after the call began.
func (c *Controller) Read(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	r, err := c.propose(ctx, wire.Command{Barrier: true})
	if err != nil {
		return nil, fmt.Errorf("Controller.Read: %w: %w", controlapi.ErrNoQuorum, err)
	}
	if r.Published == nil {
		return nil, fmt.Errorf("Controller.Read: %w: there is no document yet", controlapi.ErrNoQuorum)
	}
	return codec.Decompress(r.Published.Document)
}

// propose hands a command to the leader, wherever it is, until it answers. Commands of this host may be
// carried out twice without harm.
func (c *Controller) propose(ctx context.Context, command wire.Command) (wire.Result, error) {
	last := errNoLeader
	for ctx.Err() == nil {
		r, err := c.tryPropose(ctx, command)
		if err == nil {
			return r, nil
		}
		last = err
		select {
		case <-ctx.Done():
		case <-time.After(proposePause):
		}
	}
	return wire.Result{}, fmt.Errorf("Controller.propose: %w", last)
}

func (c *Controller) tryPropose(ctx context.Context, command wire.Command) (wire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTry)
	defer cancel()
	view := c.node.Status()
	if view.Role == quorum.Leader {
		return c.node.Propose(ctx, command)
	}
	host := quorum.HostOf(view.Leader)
	if host == "" {
		return wire.Result{}, errNoLeader
	}
	reply, err := c.mesh.Call(ctx, host, wire.Frame{Propose: &wire.Propose{Command: &command}})
	if err != nil {
		return wire.Result{}, err
	}
	if reply.Error != nil {
		return wire.Result{}, errors.New(reply.Error.Reason)
	}
	if reply.Result == nil {
		return wire.Result{}, errors.New("the leader's reply has no result")
	}
	return *reply.Result, nil
}
