package controller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"savorywing.example/savorywing/connection/controlapi"
	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

const (
	// reportTimeout is how long a backend server waits for an acknowledgement, less the network delay.
	reportTimeout = 800 * time.Millisecond
	// operatorCallTimeout bounds an operator's call. Operators wait for a second, and longer for large bodies.
	operatorCallTimeout   = 1500 * time.Millisecond
	proposeAttemptTimeout = 900 * time.Millisecond
	proposeRetryInterval  = 40 * time.Millisecond
)

var errNoLeader = errors.New("no leader is known")

// HandleReport applies a backend server's report and returns the control address for its later reports.
// A report that the server is leaving is acknowledged only after the leader, and through it the entry hosts, have been
// notified.
func (c *Controller) HandleReport(ctx context.Context, r wire.Report) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if !isUrgent(r) {
		if !c.putReport(reportEvent{report: r, direct: true}) {
			return "", fmt.Errorf("Controller.HandleReport: too many reports are waiting: %w", controlapi.ErrNoQuorum)
		}
	} else if err := c.submitUrgentReport(ctx, r); err != nil {
		return "", err
	}
	if c.isolated.Load() {
		// The server calls another control host, from which a leader learns of it. This host has its report in any case.
		return "", fmt.Errorf("Controller.HandleReport: no majority of the control hosts is in reach: %w", controlapi.ErrNoQuorum)
	}
	return c.reportAddress(r), nil
}

// spreadTimeout bounds the time in which the other control hosts are told of a server that stops. One that is frozen must not
// keep the server from its acknowledgement.
const spreadTimeout = 300 * time.Millisecond

// submitUrgentReport returns once this host, the leader and all other control hosts that can be reached have applied a report, so
// that whichever leads next knows what was acknowledged.
func (c *Controller) submitUrgentReport(ctx context.Context, r wire.Report) error {
	done := make(chan struct{})
	if !c.push(reportsEvent{reports: []wire.Report{r}, done: done}) {
		return fmt.Errorf("Controller.takeReport: %w", controlapi.ErrNoQuorum)
	}
	return c.shareUrgentReport(ctx, r, done)
}

// shareUrgentReport is submitUrgentReport for a report whose effect here shows when done is closed.
func (c *Controller) shareUrgentReport(ctx context.Context, r wire.Report, done <-chan struct{}) error {
	select {
	case <-done:
	case <-ctx.Done():
		return fmt.Errorf("Controller.takeReport: %w", ctx.Err())
	}
	if err := c.spread(ctx, r); err != nil {
		return fmt.Errorf("Controller.takeReport: %w: %w", controlapi.ErrNoQuorum, err)
	}
	return c.forwardToLeader(ctx, r)
}

// spread returns once the control hosts that can be reached have applied a report, or after spreadTimeout. It returns errOtherIncarnation if
// one of them refuses it.
func (c *Controller) spread(ctx context.Context, r wire.Report) error {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	var calls sync.WaitGroup
	var refused atomic.Bool
	for _, host := range c.mesh.Hosts() {
		if !c.mesh.IsConnected(host) {
			continue
		}
		calls.Go(func() {
			err := c.tell(ctx, host, r)
			if err != nil {
				c.log.Info().Str("event", "reportNotSpread").Str("peer", host).Str("server", r.ID).Err(err).Msg("a control host doesn't know yet that a backend server stops")
			}
			if errors.Is(err, errOtherIncarnation) {
				refused.Store(true)
			}
		})
	}
	calls.Wait()
	if refused.Load() {
		return errOtherIncarnation
	}
	return nil
}

// tell returns once another control host has applied a report. It returns errOtherIncarnation if the host refuses it.
func (c *Controller) tell(ctx context.Context, host string, r wire.Report) error {
	reply, err := c.mesh.Call(ctx, host, wire.Frame{Reports: []wire.Report{r}})
	switch {
	case err != nil:
		return err
	case reply.Error == nil:
		return nil
	case reply.Error.Code == codeRefused:
		return fmt.Errorf("%w: %s", errOtherIncarnation, reply.Error.Reason)
	}
	return errors.New(reply.Error.Reason)
}

// forwardToLeader returns once the leader has applied a report, or with ErrNoQuorum when ctx ends or the leader refuses the report.
func (c *Controller) forwardToLeader(ctx context.Context, r wire.Report) error {
	for {
		status := c.node.Status()
		host := quorum.HostOf(status.Leader)
		var err error
		switch {
		case status.Role == quorum.Leader:
			if c.node.HasLease() {
				return nil
			}
		case host != "":
			if err = c.tell(ctx, host, r); err == nil {
				return nil
			}
		}
		if errors.Is(err, errOtherIncarnation) {
			return fmt.Errorf("Controller.tellLeader: %w: %w", controlapi.ErrNoQuorum, err)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("Controller.tellLeader: %w: %w", controlapi.ErrNoQuorum, ctx.Err())
		case <-time.After(proposeRetryInterval):
		}
	}
}

// PublishDocument commits a document, which becomes the newest if its version is the highest. It returns
// ErrInvalidDocument if the document is invalid, and ErrNoQuorum if it was not committed in time.
func (c *Controller) PublishDocument(ctx context.Context, document []byte) error {
	catalogue, packed, err := c.checkDocument(document)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	_, err = c.propose(ctx, wire.Command{Publish: &wire.Publish{Version: catalogue.Version(), Document: packed}})
	c.log.Info().Str("event", "documentPublished").Uint64("version", catalogue.Version()).Int("bytes", len(document)).Err(err).Msg("proposed a document")
	if err != nil {
		return fmt.Errorf("Controller.Publish: %w: %w", controlapi.ErrNoQuorum, err)
	}
	return nil
}

// checkDocument returns a document that is valid, with its compressed form. Documents are checked one at a time, since one in use takes
// several times its size.
func (c *Controller) checkDocument(document []byte) (*catalogue.Catalogue, []byte, error) {
	c.checking.Lock()
	defer c.checking.Unlock()
	checked, err := c.dialect.CheckDocument(document)
	if err != nil {
		c.log.Info().Str("event", "documentRefused").Int("bytes", len(document)).Err(err).Msg("rejected an invalid document")
		return nil, nil, fmt.Errorf("Controller.Publish: %w: %w", controlapi.ErrInvalidDocument, err)
	}
	packed, err := codec.Compress(document)
	if err != nil {
		return nil, nil, fmt.Errorf("Controller.Publish: %w", err)
	}
	return checked, packed, nil
}

// ReadDocument returns the newest document, which must not be modified. It reads through the log, so that a majority confirms the document after the call
// began. It returns ErrNoQuorum if that fails, or if no document has been published yet.
func (c *Controller) ReadDocument(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	r, err := c.propose(ctx, wire.Command{Barrier: true})
	if err != nil {
		return nil, fmt.Errorf("Controller.Read: %w: %w", controlapi.ErrNoQuorum, err)
	}
	if r.Published == nil {
		return nil, fmt.Errorf("Controller.Read: %w: there is no document yet", controlapi.ErrNoQuorum)
	}
	return c.documentText.of(r.Published)
}

// documentText holds the text of the newest document that was read, for all that read it: callers who read slowly would otherwise make
// this host hold a copy each. It is never modified.
type documentText struct {
	mu     sync.Mutex
	packed []byte
	text   []byte
}

// of returns the text of a document.
func (d *documentText) of(p *wire.Publish) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.packed != nil && bytes.Equal(d.packed, p.Document) {
		return d.text, nil
	}
	text, err := codec.Decompress(p.Document)
	if err != nil {
		return nil, err
	}
	d.packed, d.text = p.Document, text
	return text, nil
}

// propose sends a command to the leader, on whichever host it is, and retries until it is answered or ctx ends. The
// commands that are proposed here are idempotent.
func (c *Controller) propose(ctx context.Context, command wire.Command) (wire.Result, error) {
	return c.proposeUntil(ctx, time.Time{}, command)
}

// proposeUntil is propose that proposes nothing after a time, unless it is zero: ctx may end later than that by the clock if this
// host was suspended.
func (c *Controller) proposeUntil(ctx context.Context, until time.Time, command wire.Command) (wire.Result, error) {
	last := errNoLeader
	for ctx.Err() == nil && (until.IsZero() || c.clock.Now().Before(until)) {
		r, err := c.tryPropose(ctx, command)
		if err == nil {
			return r, nil
		}
		last = err
		select {
		case <-ctx.Done():
		case <-time.After(proposeRetryInterval):
		}
	}
	return wire.Result{}, fmt.Errorf("Controller.propose: %w", last)
}

func (c *Controller) tryPropose(ctx context.Context, command wire.Command) (wire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeAttemptTimeout)
	defer cancel()
	status := c.node.Status()
	if status.Role == quorum.Leader {
		return c.node.Propose(ctx, command)
	}
	host := quorum.HostOf(status.Leader)
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
