package placement

import (
	"testing"
	"time"

	"savorywing.example/savorywing/process/evacuation"
	"savorywing.example/savorywing/wire"
)

func evacuated(names ...string) *evacuation.Set {
	return evacuation.Restore(&wire.Evacuations{Revision: 1, DataCentres: names})
}

// TestEvacuated checks that requests of any kind, also those that are sent again, go to no server of an evacuated data centre, that those in
// flight there go on, and that callers are rejected with a time to return while no server is left.
func TestEvacuated(t *testing.T) {
	now := time.Unix(1000, 0)
	plain, retry := chatRequest(), chatRequest()
	plain.Engine, plain.Model = nil, ""
	retry.Retry, retry.Excluded = true, []string{"b"}
	for _, tt := range []struct {
		name    string
		request Request
	}{{"engine", chatRequest()}, {"plain service", plain}, {"sent again", retry}} {
		t.Run(tt.name, func(t *testing.T) {
			list := []wire.Endpoint{{ID: "a", Born: 1, Handle: 1, DataCentre: "a"}, {ID: "b", Born: 1, Handle: 2, DataCentre: "b"}, {ID: "c", Born: 1, Handle: 3, DataCentre: "c"}}
			for i := range list {
				list[i].Service, list[i].Model, list[i].Slots = tt.request.Service, tt.request.Model, 17
			}
			b := New(Config{Seed: 1, DataCentre: "a"})
			b.UpdateEndpoints(true, list, nil)
			inFlight := b.Start(now, Decision{ID: "a"}, tt.request)
			b.SetEvacuated(evacuated("a"))
			b.UpdateEndpoints(true, list, nil)
			for range 50 {
				if d := b.Pick(now, tt.request); d.Reason != ReasonNone || d.ID == "a" {
					t.Fatalf("got %q, %s", d.Reason, d.ID)
				}
			}
			if b.Accepts(now, "a") {
				t.Error("a request that was placed before would still be sent")
			}
			if b.IsStalled(now.Add(10*time.Millisecond), "a") || len(b.Usage(now)) != 1 {
				t.Error("the request in flight is no longer counted")
			}
			b.Finish(now, inFlight, Served)
			b.SetEvacuated(evacuated("a", "b", "c"))
			if d := b.Pick(now, tt.request); d.Reason != ReasonEvacuated || d.RetryAfter < evacuatedRetryAfter || d.Reason.IsTransient() {
				t.Errorf("got %q, retry after %v, want a final rejection", d.Reason, d.RetryAfter)
			}
			b.SetEvacuated(evacuated())
			if d := b.Pick(now, tt.request); d.Reason != ReasonNone {
				t.Errorf("got %q after the end of the evacuation", d.Reason)
			}
		})
	}
}

// TestSampleSkipsEvacuated guards against a host that takes its paths for lost since the servers of an evacuated data centre are stopped.
func TestSampleSkipsEvacuated(t *testing.T) {
	b := New(Config{Seed: 1})
	b.UpdateEndpoints(true, []wire.Endpoint{{ID: "a", DataCentre: "a"}, {ID: "b", DataCentre: "b"}}, nil)
	b.SetEvacuated(evacuated("a"))
	if got := b.Sample(1, nil); len(got) != 1 || got[0].ID != "b" {
		t.Errorf("got %v", got)
	}
	if got := b.Sample(2, nil); len(got) != 2 {
		t.Errorf("got %v, want both for want of others", got)
	}
}
