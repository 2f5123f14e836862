package main

import (
	"testing"

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
