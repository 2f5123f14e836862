// Package closing emulates callers of an HTTP server that send requests at the moment at which it closes its connections.
package closing

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/connection/socket"
)

const (
	// spread is how long before or after the close callers send their requests.
	spread = 2 * time.Millisecond
	// stopDelay is the time between the start of a stop and the close.
	stopDelay = 10 * time.Millisecond
	// dialTimeout bounds the time to connect at the close. A listener that drops handshakes is seen as closed.
	dialTimeout = 50 * time.Millisecond
	// responseTimeout bounds the wait for a response.
	responseTimeout = 5 * time.Second
	// partPause is the pause between the two parts of a request.
	partPause = 3 * time.Millisecond
	// firstPartBytes is the size of the first of two parts.
	firstPartBytes = 20
)

// Load is what callers do around a close.
type Load struct {
	// Callers is the number of callers, each with a connection of its own.
	Callers int
	// Connected makes callers open their connections before the stop; otherwise they do so at the close.
	Connected bool
	// First is a request that callers send on their connections before the stop; empty for none.
	First string
	// Request returns the request that the n-th caller sends at the close.
	Request func(n int) string
	// Split makes callers send it in two parts.
	Split bool
	// Check, unless it is nil, returns an error for a response to the n-th caller that is wrong.
	Check func(n int, resp *fasthttp.Response) error
}

// Server is a server that is to be stopped.
type Server struct {
	Address string
	// Drain, unless it is nil, begins the stop. Close closes the connections, and may return before they have ended.
	Drain, Close func()
}

// Counts is what callers have seen. It is safe for concurrent use while a load runs.
type Counts struct {
	mu sync.Mutex
	// closed counts callers that saw the close before they sent, or could not connect.
	served, rejected, closed int
	errs                     []error
}

// Served returns the number of requests with status 200.
func (c *Counts) Served() int { return c.served }

// Err returns an error if a request had no answer, or a wrong one, though it was sent before its caller could see the close, or
// if none was served.
func (c *Counts) Err() error {
	switch {
	case len(c.errs) > 0:
		return fmt.Errorf("Counts.Err: %d requests got no answer, or a wrong one; the first: %w", len(c.errs), c.errs[0])
	case c.served == 0:
		return errors.New("Counts.Err: no request was served")
	}
	return nil
}

// String describes the counts.
func (c *Counts) String() string {
	return fmt.Sprintf("served %d, rejected %d, saw the close first %d, unanswered or wrong %d", c.served, c.rejected, c.closed, len(c.errs))
}

func (c *Counts) record(status int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.errs = append(c.errs, err)
	case status == fasthttp.StatusOK:
		c.served++
	default:
		c.rejected++
	}
}

func (c *Counts) recordClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed++
}

// Run stops a server under the load and adds what the callers saw to c. An error means that a caller was not served before the
// stop.
func (l Load) Run(c *Counts, s Server) error {
	var ready, callers sync.WaitGroup
	var closeAt time.Time
	errs := make([]error, l.Callers)
	stopping := make(chan struct{})
	ready.Add(l.Callers)
	for n := range l.Callers {
		callers.Go(func() {
			var k *caller
			k, errs[n] = l.open(s.Address)
			ready.Done()
			if errs[n] != nil {
				return
			}
			<-stopping
			time.Sleep(time.Until(closeAt) + rand.N(2*spread) - spread)
			l.send(c, n, k, s.Address)
		})
	}
	ready.Wait()
	closeAt = time.Now().Add(stopDelay)
	if s.Drain != nil {
		s.Drain()
	}
	close(stopping)
	time.Sleep(time.Until(closeAt))
	s.Close()
	callers.Wait()
	for _, err := range errs {
		if err != nil {
			return fmt.Errorf("Load.Run: %w", err)
		}
	}
	return nil
}

// caller is a caller's connection.
type caller struct {
	conn net.Conn
	r    *bufio.Reader
}

func dial(address string, timeout time.Duration) (*caller, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	return &caller{conn: conn, r: bufio.NewReader(conn)}, nil
}

func (k *caller) close() { _ = k.conn.Close() }

func (k *caller) readResponse() (*fasthttp.Response, error) {
	if err := k.conn.SetReadDeadline(time.Now().Add(responseTimeout)); err != nil {
		return nil, err
	}
	resp := &fasthttp.Response{}
	return resp, resp.Read(k.r)
}

// open returns the connection that a caller has when the stop begins, or nil.
func (l Load) open(address string) (*caller, error) {
	if !l.Connected {
		return nil, nil
	}
	k, err := dial(address, responseTimeout)
	if err != nil || l.First == "" {
		return k, err
	}
	if _, err := io.WriteString(k.conn, l.First); err != nil {
		return nil, err
	}
	resp, err := k.readResponse()
	if err != nil {
		return nil, err
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return nil, fmt.Errorf("status %d before the stop", status)
	}
	return k, nil
}

// send sends the n-th caller's request, on a new connection if k is nil.
func (l Load) send(c *Counts, n int, k *caller, address string) {
	if k == nil {
		var err error
		if k, err = dial(address, dialTimeout); err != nil {
			c.recordClosed()
			return
		}
	} else if input, err := socket.Peek(k.conn); err != nil || input != socket.InputNone {
		k.close()
		c.recordClosed()
		return
	}
	defer k.close()
	request := l.Request(n)
	var sendErr error
	if l.Split {
		_, sendErr = io.WriteString(k.conn, request[:firstPartBytes])
		request = request[firstPartBytes:]
		time.Sleep(partPause)
	}
	if sendErr == nil {
		// What has been sent may have an answer even if the rest can't be sent any more.
		_, sendErr = io.WriteString(k.conn, request)
	}
	resp, err := k.readResponse()
	if err != nil {
		c.record(0, fmt.Errorf("no response: %w", errors.Join(sendErr, err)))
		return
	}
	if l.Check != nil {
		err = l.Check(n, resp)
	}
	c.record(resp.StatusCode(), err)
}
