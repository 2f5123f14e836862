package main

import (
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	standin "savorywing.example/savorywing/standin/fleet"
)

// TestFleetTruncatedStreamNotComplete guards against a stream that broke off inside an event and reached its caller as
// complete. However the engine's response is framed, the stream must continue at another engine or end with an error.
func TestFleetTruncatedStreamNotComplete(t *testing.T) {
	f := newFleetEnv(t, 3, 1, 20)
	f.waitServing()
	for _, tt := range []struct {
		name    string
		framing standin.Framing
	}{
		{"no length, connection closed", standin.UntilClose},
		{"last chunk", standin.ChunkedToTheEnd},
		{"chunks, connection closed", standin.Chunked},
	} {
		t.Run(tt.name, func(t *testing.T) {
			heads := f.headsOf(smallModel)
			for _, s := range f.fleet.OpenHeads() {
				s.SetFaults(standin.Faults{Framing: tt.framing})
			}
			for range 4 {
				if r := f.send(0, "/talk/x", smallModel, fleetKey, nil); r.err != nil || r.status != fasthttp.StatusOK || checkCompleteStream(r.body) != nil {
					t.Errorf("a stream that isn't truncated: status %d, error %v, body %q", r.status, r.err, r.body)
				}
			}
			heads[0].SetFaults(standin.Faults{Framing: tt.framing, TruncateAfter: 4, PartialEvent: true})
			resumed := 0
			for range 30 {
				r := f.send(0, "/talk/x", smallModel, fleetKey, nil)
				if f.fleet.RunCount(r.requestID) > 1 {
					resumed++
				}
				if r.err != nil || r.status != fasthttp.StatusOK {
					continue
				}
				if err := checkCompleteStream(r.body); err != nil {
					t.Errorf("%s was delivered as complete: %v: %q", r.requestID, err, r.body)
				}
			}
			if resumed == 0 {
				t.Error("no stream was resumed at another engine")
			}
		})
	}
}

// TestFleetEndlessResponses guards against responses that never end: they must be recognised long before the caller's
// deadline, their connection must be closed, and nothing of them may reach the caller. The request is served by another
// server.
func TestFleetEndlessResponses(t *testing.T) {
	const longest = 1500 * time.Millisecond
	// A server whose responses fail gets no requests for twice as long each time, up to 16 s.
	const rejoinTime = 20 * time.Second
	// Each case sends several requests again; the retry budget is not what is tested here.
	f := newFleetEnv(t, 3, 1, 20, func(f *fleetEnv) { f.retryBurst = 1000 })
	f.waitServing()
	for _, tt := range []struct {
		name    string
		endless standin.Endless
		stream  bool
	}{
		{"noise for a stream", standin.EndlessNoise, true},
		{"noise for a plain call", standin.EndlessNoise, false},
		{"header of a stream", standin.EndlessHeader, true},
		{"header of a plain call", standin.EndlessHeader, false},
		{"informational responses", standin.EndlessInformational, false},
		{"unsigned body of a plain call", standin.EndlessUnsignedBody, false},
		{"unsigned body for a stream", standin.EndlessUnsignedBody, true},
		{"rejection of a stream", standin.EndlessRejection, true},
		{"rejection of a plain call", standin.EndlessRejection, false},
		{"one event", standin.EndlessEvent, true},
		{"lines that are no events", standin.EndlessEvents, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			server, path, model := f.fleet.PlainServers()[0], "/book/look/x", ""
			if tt.stream {
				server, path, model = f.headsOf(smallModel)[0], "/talk/x", smallModel
			}
			server.SetFaults(standin.Faults{Endless: tt.endless})
			defer server.SetFaults(standin.Faults{})
			began := time.Now()
			for n := 0; n < 6 || (time.Since(began) < rejoinTime && server.LongestEndless() == 0); n++ {
				if n >= 6 {
					time.Sleep(20 * time.Millisecond)
				}
				r := f.send(0, path, model, fleetKey, nil)
				if r.err != nil || r.status != fasthttp.StatusOK {
					t.Errorf("%s: status %d, error %v, body %q", r.requestID, r.status, r.err, r.body[:min(len(r.body), 100)])
				}
				if strings.Contains(r.body, "abcde") {
					t.Errorf("%s: bytes of the endless response reached the caller", r.requestID)
				}
				if tt.stream && r.status == fasthttp.StatusOK && checkCompleteStream(r.body) != nil {
					t.Errorf("%s: the stream is not complete: %q", r.requestID, r.body)
				}
			}
			if got := server.LongestEndless(); got == 0 || got > longest {
				t.Errorf("an endless response was read for %v, want at most %v, and one at least", got, longest)
			}
		})
	}
}
