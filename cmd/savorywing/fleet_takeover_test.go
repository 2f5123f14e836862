package main

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/wire"
)

// countingServer is a plain server that a test registers itself, and that counts the requests that it gets.
type countingServer struct {
	report   wire.Report
	requests atomic.Int64
	// work is called with the attempt ID of each request before it is answered, unless it is nil.
	work func(id string)
}

// addCounting starts a server that answers each request, at the address of a plain server of the fleet.
func (f *fleetEnv) addCounting(id string, octet int) *countingServer {
	f.t.Helper()
	s := &countingServer{report: wire.Report{
		ID: id, Born: time.Now().UnixMilli(), Service: fleetPlainService, DataCentre: "a", Release: "v1", Slots: 50,
		Address: fmt.Sprintf("127.%d.%d.%d:%d", processOctet(), (f.port-21000)/10, octet, f.port+5),
	}}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if f.dialect.IsStatusQuery(&ctx.Request.Header) {
			return
		}
		s.requests.Add(1)
		id := f.dialect.ReadCallerMetadata(&ctx.Request.Header).AttemptID
		if s.work != nil {
			s.work(id)
		}
		f.dialect.SignResponse(&ctx.Response.Header, id, "s")
		ctx.SetBodyString("ok")
	}}
	go func() { _ = server.ListenAndServe(s.report.Address) }()
	f.t.Cleanup(func() { _ = server.Shutdown() })
	return s
}

// tell sends a report to a control host and returns the status of the answer.
func (f *fleetEnv) tell(address string, s *countingServer, change func(r *wire.Report)) int {
	f.t.Helper()
	s.report.Sequence++
	change(&s.report)
	status, _, err := f.callControl(address, func(h *fasthttp.RequestHeader) []byte { return f.dialect.WriteReport(h, s.report) })
	if err != nil {
		f.t.Error(err)
	}
	return status
}

// TestFleetLeavingKnownToSuccessor guards against a new leader that lists a server whose leaving, or withdrawal, the former leader
// has acknowledged: the entry hosts would send requests to it again.
func TestFleetLeavingKnownToSuccessor(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(r *wire.Report)
		// toLeader reports whether the leader gets the report, or another control host.
		toLeader bool
	}{
		{"leaving, told to the leader", func(r *wire.Report) { r.Leaving = true }, true},
		{"leaving, told to another host", func(r *wire.Report) { r.Leaving = true }, false},
		{"withdrawn, told to the leader", func(r *wire.Report) { r.Gone = true }, true},
		{"withdrawn, told to another host", func(r *wire.Report) { r.Gone = true }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetEnv(t, 3, 2, 0)
			f.eventually("a booking", func() bool { return f.send(0, "/book/x", "", fleetKey, nil).status == fasthttp.StatusOK })
			s := f.addCounting("counting", 180)
			for _, seed := range f.seeds {
				if status := f.tell(seed, s, func(*wire.Report) {}); status != fasthttp.StatusOK {
					t.Fatalf("registering: status %d", status)
				}
			}
			f.eventually("the server gets requests", func() bool {
				f.send(0, "/book/look/x", "", fleetKey, nil)
				f.send(1, "/book/look/x", "", fleetKey, nil)
				return s.requests.Load() > 4
			})
			leader := f.leader()
			address := ""
			for i, c := range f.controls {
				if (c == leader) == tt.toLeader {
					address = f.seeds[i]
				}
			}
			if status := f.tell(address, s, tt.change); status != fasthttp.StatusOK {
				t.Fatalf("status %d", status)
			}
			leader.Kill()
			f.stopped[leader] = true
			time.Sleep(200 * time.Millisecond)
			before := s.requests.Load()
			stop := make(chan struct{})
			callers := f.callUntil(stop, 6, "/book/look/x", "", nil)
			f.leader()
			time.Sleep(2500 * time.Millisecond)
			close(stop)
			callers.Wait()
			if got := s.requests.Load() - before; got > 0 {
				t.Errorf("the server got %d requests after its leaving was acknowledged", got)
			}
		})
	}
}
