package main

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	standin "savorywing.example/savorywing/standin/fleet"
)

// silenceResults counts the requests of one kind by how they ended.
type silenceResults struct {
	sent, whole int
	// rejected is the number with status 503, and lost that of the others without a whole answer.
	rejected, lost int
	examples       map[string]int
}

func (r *silenceResults) add(response fleetResponse, isWhole bool) {
	r.sent++
	switch {
	case isWhole:
		r.whole++
		return
	case response.err == nil && response.status == fasthttp.StatusServiceUnavailable:
		r.rejected++
	default:
		r.lost++
	}
	if r.examples == nil {
		r.examples = map[string]int{}
	}
	if response.status == fasthttp.StatusOK {
		response.body = "…"
	}
	r.examples[fmt.Sprintf("%d %q %v", response.status, response.body, response.err)]++
}

// silenceLoad sends requests of all kinds to all entry hosts until stop is closed, 90 a second.
func (f *fleetEnv) silenceLoad(stop <-chan struct{}) func() map[string]*silenceResults {
	kinds := []struct{ path, model string }{{"/talk/x", smallModel}, {"/book/x", ""}, {"/talk/x", largeModel}, {"/book/look/x", ""}}
	results := map[string]*silenceResults{}
	for _, kind := range kinds {
		results[kind.path] = &silenceResults{}
	}
	var mu sync.Mutex
	var done sync.WaitGroup
	done.Go(func() {
		ticker := time.NewTicker(time.Second / 90)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			kind, entry := kinds[n%len(kinds)], n/len(kinds)%len(f.entries)
			done.Go(func() {
				r := f.send(entry, kind.path, kind.model, fleetKey, nil)
				f.checkRuns(kind.path, r)
				mu.Lock()
				defer mu.Unlock()
				results[kind.path].add(r, r.err == nil && r.status == fasthttp.StatusOK && (kind.model == "" || checkCompleteStream(r.body) == nil))
			})
		}
	})
	return func() map[string]*silenceResults {
		done.Wait()
		return results
	}
}

// TestFleetServersSilent guards against answers that are ended, and requests without one, since sound servers fall silent for a
// moment while the configuration changes.
func TestFleetServersSilent(t *testing.T) {
	for _, tt := range []struct {
		name  string
		pause time.Duration
		// spared is the number of open heads that aren't silent.
		spared int
		during func(f *fleetEnv)
	}{
		{"all for 1.3 s", 1300 * time.Millisecond, 0, nil},
		{"most for 1 s", time.Second, 4, nil},
		{"all for 1.3 s, leader lost", 1300 * time.Millisecond, 0, killLeader},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetEnv(t, 3, 4, 24, withPaths)
			f.waitServing()
			stop := make(chan struct{})
			results := f.silenceLoad(stop)
			for i := range uint64(3) {
				time.Sleep(2 * time.Second)
				if status := f.publish(fleetDocument(2 + i)); status != fasthttp.StatusOK {
					t.Errorf("publishing version %d: status %d", 2+i, status)
				}
				time.Sleep(600 * time.Millisecond)
				var spared []string
				for _, s := range f.fleet.OpenHeads()[:tt.spared] {
					spared = append(spared, s.Address)
				}
				for _, p := range f.paths {
					p.Set(standin.CutPause, spared...)
				}
				if i == 1 && tt.during != nil {
					tt.during(f)
				}
				time.Sleep(tt.pause)
				for _, p := range f.paths {
					p.Set(standin.NoCut)
				}
			}
			time.Sleep(time.Second)
			close(stop)
			for path, r := range results() {
				t.Logf("%s: %+v", path, *r)
				if r.lost > 0 {
					t.Errorf("%s: %d of %d requests were lost", path, r.lost, r.sent)
				}
			}
		})
	}
}
