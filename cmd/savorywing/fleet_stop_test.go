package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/socket"
	standin "savorywing.example/savorywing/standin/fleet"
)

// stopWave is what callers do around the moment at which a stopping entry host closes its connections.
type stopWave struct {
	path, model string
	// newConnections makes callers connect at that moment; otherwise they keep a connection that was idle before the stop.
	newConnections bool
}

// stopResult counts what the callers of a wave saw.
type stopResult struct {
	mu                       sync.Mutex
	served, rejected, closed int
	unanswered               []string
}

func (n *stopResult) add(r fleetResponse, what string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case r.err != nil:
		n.unanswered = append(n.unanswered, fmt.Sprintf("%s, %s: %v", r.requestID, what, r.err))
	case r.status == fasthttp.StatusOK:
		n.served++
	default:
		n.rejected++
	}
}

func (n *stopResult) addClosed() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed++
}

// keptCaller is a caller with a connection of its own to an entry host.
type keptCaller struct {
	f     *fleetEnv
	entry int
	conn  net.Conn
	r     *bufio.Reader
}

func (f *fleetEnv) newKeptCaller(entry int) (*keptCaller, error) {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", f.entryIP(entry), f.port+2), 200*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return &keptCaller{f: f, entry: entry, conn: c, r: bufio.NewReader(c)}, nil
}

// send sends a request on the caller's connection.
func (k *keptCaller) send(path, model string) fleetResponse {
	k.f.mu.Lock()
	k.f.lastCall++
	r := fleetResponse{requestID: fmt.Sprintf("call-%d", k.f.lastCall)}
	k.f.mu.Unlock()
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetRequestURI(path)
	req.Header.SetHost(fleetHost)
	k.f.dialect.WriteCallerMetadata(&req.Header, savorywing.CallerMetadata{
		AttemptID: r.requestID, APIKey: fleetKey, Timeout: 8 * time.Second, Model: model, PromptTokens: 500, MaxOutputTokens: 60, LastEventID: -1,
	})
	req.SetBodyString("what is to be done")
	_ = k.conn.SetDeadline(time.Now().Add(12 * time.Second))
	if _, err := req.WriteTo(k.conn); err != nil {
		// What the host sent before it closed the connection may still be read.
		r.err = err
	}
	var resp fasthttp.Response
	r.err = resp.Read(k.r)
	r.status, r.body, r.closes = resp.StatusCode(), string(resp.Body()), resp.ConnectionClose()
	return r
}

// TestFleetStopsInSeries stops entry hosts one after another while callers send requests on connections that were idle before
// the stop, and on new ones, at the moment at which the host closes them. Each must be answered.
func TestFleetStopsInSeries(t *testing.T) {
	if testing.Short() {
		t.Skip("stops take seconds")
	}
	tests := []struct {
		name string
		wave stopWave
	}{
		{"plain requests on kept connections", stopWave{path: "/book/look/x"}},
		{"requests that may run once on kept connections", stopWave{path: "/book/x"}},
		{"streams on kept connections", stopWave{path: "/talk/x", model: smallModel}},
		{"plain requests on new connections", stopWave{path: "/book/look/x", newConnections: true}},
	}
	const hosts, callers = 4, 60
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetEnv(t, 3, hosts+1, 20)
			f.waitServing()
			var n stopResult
			var stops sync.WaitGroup
			for host := range hosts {
				f.stopped[f.entries[host]] = true
				stops.Go(func() {
					time.Sleep(time.Duration(host) * 300 * time.Millisecond)
					f.stopUnderWave(host, callers, tt.wave, &n)
				})
			}
			stops.Wait()
			t.Logf("served %d, rejected %d, saw the close first %d, unanswered %d", n.served, n.rejected, n.closed, len(n.unanswered))
			if len(n.unanswered) > 0 {
				t.Errorf("%d requests got no answer, want 0; the first: %s", len(n.unanswered), n.unanswered[0])
			}
			if n.served == 0 {
				t.Error("no request was served around the close")
			}
		})
	}
}

// stopUnderWave stops one host while callers send.
func (f *fleetEnv) stopUnderWave(host, callers int, wave stopWave, n *stopResult) {
	const listenTime, spread = 2600 * time.Millisecond, 3 * time.Millisecond
	var kept []*keptCaller
	for range callers {
		if wave.newConnections {
			break
		}
		k, err := f.newKeptCaller(host)
		if err != nil {
			f.t.Errorf("connecting before the stop: %v", err)
			return
		}
		if r := k.send("/book/look/x", ""); r.err != nil {
			f.t.Errorf("a request before the stop: %v", r.err)
			return
		}
		kept = append(kept, k)
	}
	closeAt := time.Now().Add(listenTime)
	var done sync.WaitGroup
	done.Go(f.entries[host].Stop)
	for i := range callers {
		done.Go(func() {
			time.Sleep(time.Until(closeAt) + rand.N(2*spread) - spread)
			var k *keptCaller
			if wave.newConnections {
				var err error
				if k, err = f.newKeptCaller(host); err != nil {
					n.addClosed()
					return
				}
			} else {
				k = kept[i]
				if input, err := socket.Peek(k.conn); err != nil || input != socket.InputNone {
					n.addClosed()
					return
				}
			}
			defer func() { _ = k.conn.Close() }()
			n.add(k.send(wave.path, wave.model), fmt.Sprintf("host %d", host))
		})
	}
	done.Wait()
}

// TestFleetStopAnswersWhatIsLeft checks that a request that is at a silent server when the grace time of its host ends is answered,
// and that the response doesn't say that it wasn't run.
func TestFleetStopAnswersWhatIsLeft(t *testing.T) {
	f := newFleetEnv(t, 3, 2, 20)
	f.waitServing()
	k, err := f.newKeptCaller(0)
	if err != nil {
		t.Fatal(err)
	}
	if r := k.send("/book/x", ""); r.status != fasthttp.StatusOK {
		t.Fatalf("status %d, error %v before the stop", r.status, r.err)
	}
	for _, s := range f.fleet.PlainServers() {
		s.SetFaults(standin.Faults{Unresponsive: true})
	}
	f.stopped[f.entries[0]] = true
	start := time.Now()
	var stop sync.WaitGroup
	stop.Go(f.entries[0].Stop)
	time.Sleep(2500 * time.Millisecond)
	r := k.send("/book/x", "")
	stop.Wait()
	if r.err != nil || (r.status != fasthttp.StatusBadGateway && r.status != fasthttp.StatusGatewayTimeout) {
		t.Errorf("status %d, error %v, want 502 or 504", r.status, r.err)
	}
	if took, grace := time.Since(start), 5*time.Second; took > grace {
		t.Errorf("the stop took %s, want at most the grace time of %s", took, grace)
	}
}
