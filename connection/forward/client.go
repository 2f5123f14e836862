package forward

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
)

const (
	// maxIdle and maxIdlePerHost bound the connections that are kept for further requests.
	maxIdle        = 10 * time.Second
	maxIdlePerHost = 32
)

// RefusedError is the answer of a host that takes no request now.
type RefusedError struct{ Reason string }

// Error implements error.
func (e RefusedError) Error() string { return "refused: " + e.Reason }

// errUnexpected means that the other host sent a frame that is no answer.
var errUnexpected = errors.New("an unexpected frame")

// DialFunc opens a connection to a host.
type DialFunc func(ctx context.Context, address string) (*Conn, error)

// Client offers requests to other entry hosts and keeps its connections. It is safe for concurrent use.
type Client struct {
	clock savorywing.Clock
	dial  DialFunc

	mu   sync.Mutex
	idle map[string][]*Session
}

// NewClient returns a client without connections.
func NewClient(clock savorywing.Clock, dial DialFunc) *Client {
	return &Client{clock: clock, dial: dial, idle: map[string][]*Session{}}
}

// Session is a connection to a host that has accepted an offer.
type Session struct {
	client    *Client
	conn      *Conn
	address   string
	idleSince time.Time
}

// Offer asks a host whether it takes a request. The error is a RefusedError if it doesn't.
func (c *Client) Offer(ctx context.Context, address string, timeout time.Duration, offer wire.ForwardOffer) (*Session, error) {
	s, _, err := c.ask(ctx, address, timeout, wire.Frame{ForwardOffer: &offer})
	return s, err
}

// Reach asks a host which servers it reaches, and returns their IDs. The error is a RefusedError if it doesn't know.
func (c *Client) Reach(ctx context.Context, address string, timeout time.Duration, q wire.ReachQuery) ([]string, error) {
	s, reply, err := c.ask(ctx, address, timeout, wire.Frame{ReachQuery: &q})
	if err != nil {
		return nil, err
	}
	s.Release()
	return reply.Reached, nil
}

// ask sends a question and returns the answer. A kept connection that fails is replaced by a new one, since questions may be
// repeated.
func (c *Client) ask(ctx context.Context, address string, timeout time.Duration, f wire.Frame) (*Session, *wire.ForwardReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for s := c.take(address); s != nil; s = c.take(address) {
		reply, err := s.ask(ctx, f)
		if err == nil {
			return s, reply, nil
		}
		if errors.As(err, new(RefusedError)) {
			return nil, nil, err
		}
		s.Close()
		if ctx.Err() != nil {
			return nil, nil, fmt.Errorf("Client.ask: %w", err)
		}
	}
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, nil, fmt.Errorf("Client.ask: %w", err)
	}
	s := &Session{client: c, conn: conn, address: address}
	reply, err := s.ask(ctx, f)
	if errors.As(err, new(RefusedError)) {
		return nil, nil, err
	}
	if err != nil {
		s.Close()
		return nil, nil, fmt.Errorf("Client.ask: %w", err)
	}
	return s, reply, nil
}

func (s *Session) ask(ctx context.Context, f wire.Frame) (*wire.ForwardReply, error) {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	if err := s.conn.Send(f); err != nil {
		return nil, err
	}
	answer, err := s.conn.Receive(0)
	if err != nil {
		return nil, err
	}
	if answer.ForwardReply == nil {
		return nil, errUnexpected
	}
	if answer.ForwardReply.Reason != "" {
		s.Release()
		return nil, RefusedError{answer.ForwardReply.Reason}
	}
	return answer.ForwardReply, nil
}

// Send hands over the request. After an error the host has not received it.
func (s *Session) Send(r wire.ForwardedRequest) error {
	return s.conn.Send(wire.Frame{ForwardedRequest: &r})
}

// Next returns the next part of the response. After an error, the request may have run.
func (s *Session) Next(timeout time.Duration) (wire.ForwardedPart, error) {
	f, err := s.conn.Receive(timeout)
	if err != nil {
		return wire.ForwardedPart{}, err
	}
	if f.ForwardedPart == nil {
		return wire.ForwardedPart{}, fmt.Errorf("Session.Next: %w", errUnexpected)
	}
	return *f.ForwardedPart, nil
}

// Close closes the connection. The host ends what it does for the request.
func (s *Session) Close() {
	// An error means that the connection is closed already.
	_ = s.conn.Close()
}

// Release keeps the connection for another request. The response must be complete.
func (s *Session) Release() {
	s.idleSince = s.client.clock.Now()
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	if len(s.client.idle[s.address]) >= maxIdlePerHost {
		s.Close()
		return
	}
	s.client.idle[s.address] = append(s.client.idle[s.address], s)
}

// take returns the connection to a host that was used last, or nil. It closes those that have been idle for too long.
func (c *Client) take(address string) *Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for host, list := range c.idle {
		for len(list) > 0 && now.Sub(list[0].idleSince) > maxIdle {
			list[0].Close()
			list = list[1:]
		}
		if c.idle[host] = list; len(list) == 0 {
			delete(c.idle, host)
		}
	}
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	s := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return s
}

// CloseIdle closes the connections that carry no request.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		for _, s := range list {
			s.Close()
		}
	}
	c.idle = map[string][]*Session{}
}
