package engine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/version/catalogue"
)

// echoDialect reads only the attempt ID of a response.
type echoDialect struct{}

func (echoDialect) ReadCallerMetadata(*fasthttp.RequestHeader) savorywing.CallerMetadata {
	return savorywing.CallerMetadata{}
}
func (echoDialect) WriteBackendMetadata(*fasthttp.RequestHeader, savorywing.BackendMetadata) error {
	return nil
}
func (echoDialect) WriteStatusQuery(*fasthttp.RequestHeader, string)      {}
func (echoDialect) StripConnectionHeaders(*fasthttp.ResponseHeader) error { return nil }
func (echoDialect) WriteErrorHeaders(*fasthttp.ResponseHeader, string)    {}
func (echoDialect) ReadDocument([]byte) (*catalogue.Catalogue, error)     { return nil, nil }
func (echoDialect) IsReadyCheck(*fasthttp.RequestHeader) bool             { return false }
func (echoDialect) ReadResponseMetadata(h *fasthttp.ResponseHeader) savorywing.ResponseMetadata {
	return savorywing.ResponseMetadata{AttemptID: string(h.Peek("Number"))}
}

// serveScript responds to the n-th request of each connection with the n-th text. "RESET" at the end of a text then
// resets the connection, and "CLOSE" closes it normally. The attempt ID n1 in a text stands for that of the request, if it
// carries one.
func serveScript(t *testing.T, texts ...string) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(c)
				for _, text := range texts {
					var req fasthttp.Request
					if req.Read(r) != nil {
						break
					}
					requests.Add(1)
					if id := string(req.Header.Peek("Number")); id != "" {
						text = strings.ReplaceAll(text, "n1", id)
					}
					body, reset := strings.CutSuffix(text, "RESET")
					body, closes := strings.CutSuffix(body, "CLOSE")
					if _, err := io.WriteString(c, body); err != nil || closes {
						break
					}
					if reset {
						_ = c.(*net.TCPConn).SetLinger(0)
						break
					}
				}
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String(), &requests
}

func call(address string, maxIdle time.Duration) Call {
	h := &fasthttp.RequestHeader{}
	h.SetMethod(fasthttp.MethodPost)
	h.SetHost("x")
	h.SetContentLength(2)
	return Call{Address: address, Header: h, Body: []byte("hi"), AttemptID: "n1", MaxIdle: maxIdle, HeaderDeadline: clock.Boottime{}.Now().Add(time.Second)}
}

const (
	complete   = "HTTP/1.1 200 OK\r\nNumber: n1\r\nContent-Length: 5\r\n\r\nhello"
	stale      = "HTTP/1.1 200 OK\r\nNumber: n0\r\nContent-Length: 3\r\n\r\nold"
	chunked    = "HTTP/1.1 200 OK\r\nNumber: n1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	untilClose = "HTTP/1.1 200 OK\r\nNumber: n1\r\n\r\nhello"
)

func TestResponses(t *testing.T) {
	tests := []struct {
		name, text string
		want       string
		err        error
		// sent reports whether the request was handed to a connection.
		sent bool
	}{
		{"length", complete, "hello", nil, true},
		{"chunked", chunked, "hello", nil, true},
		{"until the connection is closed", untilClose + "CLOSE", "hello", nil, true},
		{"a late response to an earlier request comes first", stale + complete, "hello", nil, true},
		{"shorter than its stated length", complete[:len(complete)-2] + "CLOSE", "", ErrTruncated, true},
		{"truncated between chunks", strings.TrimSuffix(chunked, "0\r\n\r\n") + "CLOSE", "", ErrTruncated, true},
		{"reset, without a length", untilClose + "RESET", "", ErrTruncated, true},
		{"only another request's response", strings.ReplaceAll(complete, "n1", "n9") + "CLOSE", "", nil, true},
		{"not HTTP", "garbage\r\n\r\n" + "CLOSE", "", nil, true},
		{"status 000", strings.Replace(complete, "200", "000", 1), "", nil, true},
		{"a status of one digit", strings.Replace(complete, "200", "0", 1), "", nil, true},
		{"a status of four digits", strings.Replace(complete, "200", "2000", 1), "", nil, true},
		{"a status with a sign", strings.Replace(complete, "200", "+20", 1), "", nil, true},
		{"status 099", strings.Replace(complete, "200", "099", 1), "", nil, true},
		{"status 600", strings.Replace(complete, "200", "600", 1), "", nil, true},
		{"status 999", strings.Replace(complete, "200", "999", 1), "", nil, true},
		{"status 599", strings.Replace(complete, "200", "599", 1), "hello", nil, true},
		{"a version that doesn't exist", strings.Replace(complete, "1.1", "9.9", 1), "", nil, true},
		{"version 1.0", strings.Replace(complete, "1.1", "1.0", 1), "hello", nil, true},
		{"informational responses first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + complete, "hello", nil, true},
		{"an empty line first", "\r\n" + complete, "hello", nil, true},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + complete, "", nil, true},
		{"status 000 after an informational response", "HTTP/1.1 100 Continue\r\n\r\n" + strings.Replace(complete, "200", "000", 1), "", nil, true},
		{"status 000 of an earlier request's response", strings.Replace(stale, "200", "000", 1) + complete, "", nil, true},
		{"without an attempt ID", strings.Replace(complete, "Number: n1\r\n", "", 1), "", ErrWrongAttempt, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, requests := serveScript(t, tt.text)
			c := New(clock.Boottime{}, echoDialect{})
			response, err := c.Do(context.Background(), call(address, time.Minute))
			var body []byte
			if err == nil {
				defer response.Close()
				body, err = io.ReadAll(response)
			}
			if tt.want != "" && (err != nil || string(body) != tt.want || !response.Complete()) {
				t.Errorf("body %q, error %v", body, err)
			}
			if tt.want == "" && err == nil {
				t.Errorf("no error with body %q", body)
			}
			if tt.err != nil && !errors.Is(err, tt.err) {
				t.Errorf("error %v, want %v", err, tt.err)
			}
			if errors.Is(err, ErrNotSent) || requests.Load() != 1 {
				t.Errorf("%d requests reached the server, want 1; error %v", requests.Load(), err)
			}
		})
	}
}

// TestReuse checks which idle connections are reused for another request.
func TestReuse(t *testing.T) {
	tests := []struct {
		name    string
		first   string
		pause   time.Duration
		maxIdle time.Duration
		// second is the attempt ID of the second request; that of the first is n1.
		second string
		opened uint64
	}{
		{"kept", complete, 0, time.Minute, "n2", 1},
		{"after chunks", chunked, 0, time.Minute, "n2", 1},
		{"idle for too long", complete, 30 * time.Millisecond, 10 * time.Millisecond, "n2", 2},
		{"a new one is required", complete, 0, 0, "n2", 2},
		{"the server sends Connection: close", strings.Replace(complete, "Number", "Connection: close\r\nNumber", 1), 0, time.Minute, "n2", 2},
		{"the server has closed", complete + "CLOSE", 30 * time.Millisecond, time.Minute, "n2", 2},
		{"unexpected bytes", complete + "more", 30 * time.Millisecond, time.Minute, "n2", 2},
		{"after a late response to an earlier request", stale + complete, 0, time.Minute, "n2", 2},
		{"the same attempt ID", complete, 0, time.Minute, "n1", 2},
		{"no attempt ID", complete, 0, time.Minute, "", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, _ := serveScript(t, tt.first, complete)
			c := New(clock.Boottime{}, echoDialect{})
			for i, id := range []string{"n1", tt.second} {
				call := numberedCall(address, id)
				call.MaxIdle = tt.maxIdle
				response, err := c.Do(context.Background(), call)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadAll(response); err != nil {
					t.Fatal(err)
				}
				// The header is passed on without the fields of this connection, and so changed before the response is closed.
				response.Header.Del("Connection")
				response.Close()
				if i == 0 {
					time.Sleep(tt.pause)
				}
			}
			if got := c.ConnectionsOpened(); got != tt.opened {
				t.Errorf("%d connections opened, want %d", got, tt.opened)
			}
		})
	}
}

func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	if _, err := New(clock.Boottime{}, echoDialect{}).Do(context.Background(), call(address, 0)); !errors.Is(err, ErrNotSent) {
		t.Errorf("error for a refused connection: %v, want ErrNotSent", err)
	}
}

// TestCancelledRequestNotSent checks that a request that is cancelled before its attempt begins isn't sent on a pooled connection.
func TestCancelledRequestNotSent(t *testing.T) {
	address, requests := serveScript(t, complete, complete)
	c := New(clock.Boottime{}, echoDialect{})
	response, err := c.Do(context.Background(), numberedCall(address, "n1"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(response); err != nil {
		t.Fatal(err)
	}
	response.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := c.Do(ctx, numberedCall(address, "n2")); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v, want ErrNotSent", err)
	}
	time.Sleep(50 * time.Millisecond)
	if got := requests.Load(); got != 1 {
		t.Errorf("the server got %d requests, want 1", got)
	}
}

// TestCallerDisconnects checks that cancelling the context closes the connection while the client waits for the response.
func TestCallerDisconnects(t *testing.T) {
	address, _ := serveScript(t, "")
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	start := time.Now()
	_, err := New(clock.Boottime{}, echoDialect{}).Do(ctx, call(address, 0))
	if err == nil || errors.Is(err, ErrNotSent) || time.Since(start) > 500*time.Millisecond {
		t.Errorf("error %v after %v, want an error other than ErrNotSent within 500 ms", err, time.Since(start))
	}
}

// TestProbe checks which connections count as closed at once, and that any other is usable afterwards.
func TestProbe(t *testing.T) {
	for _, tt := range []struct {
		name   string
		accept func(c *net.TCPConn) error
		want   error
	}{
		{"closed", func(c *net.TCPConn) error { return c.Close() }, ErrClosedAtOnce},
		{"reset", func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) }, nil},
		{"kept open", func(*net.TCPConn) error { return nil }, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if err := tt.accept(c.(*net.TCPConn)); err != nil {
						t.Error(err)
					}
				}
			}()
			c := New(clock.Boottime{}, echoDialect{})
			err = c.Probe(context.Background(), l.Addr().String())
			if got := errors.Is(err, ErrClosedAtOnce); got != (tt.want != nil) {
				t.Errorf("%v, want %v", err, tt.want)
			}
			if tt.name == "kept open" {
				link := c.pool.take(l.Addr().String(), "n1", time.Second)
				if err != nil || link == nil {
					t.Errorf("%v, want the connection in the pool", err)
				}
			}
		})
	}
}

// TestSilentServerKept guards against connections to sound servers that are closed after a silence of little more than a
// second: TCP_USER_TIMEOUT also ends connections whose keep-alive probes are unanswered, whatever their number.
func TestSilentServerKept(t *testing.T) {
	const silence = 2 * time.Second
	address, _ := serveScript(t, complete)
	c := New(clock.Boottime{}, echoDialect{})
	l, err := c.connect(context.Background(), call(address, 0))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.conn.Close() }()
	raw, err := l.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(level, name int) time.Duration {
		var n int
		var optionErr error
		if err := raw.Control(func(fd uintptr) { n, optionErr = unix.GetsockoptInt(int(fd), level, name) }); err != nil || optionErr != nil {
			t.Fatal(err, optionErr)
		}
		return time.Duration(n)
	}
	firstProbe := option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE) * time.Second
	userTimeout := option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) * time.Millisecond
	// The server may become silent just before the first probe.
	if got := userTimeout - firstProbe; got < silence {
		t.Errorf("a silence of %v ends the connection, want at least %v", got, silence)
	}
	probes := option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
	if limit := firstProbe + probes*option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)*time.Second; limit != userTimeout {
		t.Errorf("probes end a connection after %v, the user timeout after %v, want the same", limit, userTimeout)
	}
}

// TestReuseBounded checks that connections of many requests are replaced.
func TestReuseBounded(t *testing.T) {
	const requests = 2*maxRequestsPerLink + 1
	texts := make([]string, requests)
	for i := range texts {
		texts[i] = complete
	}
	address, _ := serveScript(t, texts...)
	c := New(clock.Boottime{}, echoDialect{})
	for n := range requests {
		if status, _, err := exchange(c, numberedCall(address, fmt.Sprint(n))); err != nil || status != fasthttp.StatusOK {
			t.Fatalf("request %d: status %d, error %v", n, status, err)
		}
	}
	if got := c.ConnectionsOpened(); got != 3 {
		t.Errorf("%d connections for %d requests, want 3", got, requests)
	}
}

// TestIdleEndsAsRequestBegins guards against requests that fail, since the connection on which they begin is ended as idle by
// other requests to the same server, or has just been kept by a probe.
func TestIdleEndsAsRequestBegins(t *testing.T) {
	const callers, requests = 4, 200
	texts := make([]string, requests*callers)
	for i := range texts {
		texts[i] = complete
	}
	address, arrived := serveScript(t, texts...)
	c := New(clock.Boottime{}, echoDialect{})
	stop := make(chan struct{})
	var others, group sync.WaitGroup
	for _, f := range []func(){
		func() { c.CloseIdle(address) },
		func() { c.pool.sweepAt(c.clock.Now()) },
		func() { _ = c.Probe(context.Background(), address) },
	} {
		others.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					f()
					time.Sleep(100 * time.Microsecond)
				}
			}
		})
	}
	for caller := range callers {
		group.Go(func() {
			for n := range requests {
				call := numberedCall(address, fmt.Sprint(caller, "-", n))
				call.HeaderDeadline = c.clock.Now().Add(time.Minute) // a slow machine must not end the request
				if status, body, err := exchange(c, call); err != nil || body != "hello" {
					t.Errorf("request %d: status %d, body %q, error %v", n, status, body, err)
				}
			}
		})
	}
	group.Wait()
	close(stop)
	others.Wait()
	if arrived.Load() != callers*requests {
		t.Errorf("%d requests arrived, want %d", arrived.Load(), callers*requests)
	}
	t.Logf("%d connections for %d requests", c.ConnectionsOpened(), callers*requests)
}

// sweepAt sweeps the pool as if it hadn't been done for a while.
func (p *pool) sweepAt(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSweep = time.Time{}
	p.sweep(now)
}

// TestIdleEndsUnnoticed guards against requests that count as not sent, or are sent twice, when the server closes an idle
// connection as the request is written on it.
func TestIdleEndsUnnoticed(t *testing.T) {
	const requests = 300
	var arrived atomic.Int64
	address := serveConns(t, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for n := 0; ; n++ {
			var req fasthttp.Request
			if n > 0 {
				if err := conn.SetReadDeadline(time.Now().Add(rand.N(200 * time.Microsecond))); err != nil {
					return
				}
			}
			if req.Read(r) != nil {
				return
			}
			arrived.Add(1)
			if _, err := io.WriteString(conn, strings.ReplaceAll(complete, "n1", string(req.Header.Peek("Number")))); err != nil {
				return
			}
		}
	})
	c := New(clock.Boottime{}, echoDialect{})
	served, lost := 0, 0
	for n := range requests {
		before := arrived.Load()
		status, _, err := exchange(c, numberedCall(address, fmt.Sprint(n)))
		got := arrived.Load() - before
		switch {
		case err == nil && status == fasthttp.StatusOK && got == 1:
			served++
		case err != nil && !errors.Is(err, ErrNotSent) && got <= 1:
			lost++
		default:
			t.Errorf("request %d: status %d, error %v, arrived %d times", n, status, err, got)
		}
		time.Sleep(rand.N(200 * time.Microsecond))
	}
	t.Logf("%d served, %d lost, %d connections", served, lost, c.ConnectionsOpened())
	if served == 0 {
		t.Error("no request was served")
	}
}
