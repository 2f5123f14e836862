package main

import (
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
)

// Parts of prompts in these tests: all requests of an organisation begin with a common one.
const (
	commonPart savorywing.PromptPart = 0x100
	lethalPart savorywing.PromptPart = 0xdead
)

// lethalLoad is a load of requests, some of which have a lethal part of a prompt.
type lethalLoad struct {
	f       *fleetEnv
	stop    chan struct{}
	callers sync.WaitGroup
	mu      sync.Mutex
	// sound and served count the requests without the lethal part; refused are the responses to those with it that
	// state that they have not run.
	sound, served, refused int
}

// startLethalLoad sends requests through all entry hosts until stop is called: sound ones, and ones with the lethal part
// at intervals. No two have the same parts otherwise.
func (f *fleetEnv) startLethalLoad(interval time.Duration) *lethalLoad {
	l := &lethalLoad{f: f, stop: make(chan struct{})}
	for n := range 2 * len(f.entries) {
		l.run(n, interval, true)
		l.run(n, 10*time.Millisecond, false)
		l.run(n, 10*time.Millisecond, false)
	}
	return l
}

func (l *lethalLoad) run(n int, interval time.Duration, lethal bool) {
	l.callers.Add(1)
	go func() {
		defer l.callers.Done()
		for i := 0; ; i++ {
			select {
			case <-l.stop:
				return
			case <-time.After(interval):
			}
			l.send(n, i, lethal)
		}
	}()
}

func (l *lethalLoad) send(n, i int, lethal bool) {
	own := savorywing.PromptPart(1000 + 100*n + i%20)
	parts := []savorywing.PromptPart{commonPart, own}
	if lethal {
		parts = []savorywing.PromptPart{commonPart, own << 32, lethalPart}
	}
	model := []string{smallModel, largeModel}[n/len(l.f.entries)%2]
	r := l.f.sendParts(n%len(l.f.entries), "/talk/x", model, fleetKey, nil, parts...)
	l.mu.Lock()
	defer l.mu.Unlock()
	if lethal {
		if r.status == fasthttp.StatusServiceUnavailable {
			l.refused++
		}
		return
	}
	l.sound++
	if r.err == nil && r.status == fasthttp.StatusOK && checkCompleteStream(r.body) == nil {
		l.served++
	}
}

// reset returns the counts of sound requests and starts to count anew.
func (l *lethalLoad) reset() (sound, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sound, served = l.sound, l.served
	l.sound, l.served = 0, 0
	return sound, served
}

func (l *lethalLoad) end() {
	close(l.stop)
	l.callers.Wait()
}

const (
	// lethalBound is the time after the fifth crash from which requests with the lethal part may reach engines no more
	// than maxLethalArrivals times.
	lethalBound       = 1 * time.Second
	maxLethalArrivals = 3
)

// checkLethalArrivals fails the test if too many requests with the lethal part reached engines after the fifth crash.
func (f *fleetEnv) checkLethalArrivals() {
	f.t.Helper()
	arrivals, crashes := f.fleet.LethalTimes()
	if len(crashes) < 5 {
		f.t.Logf("%d crashes on the lethal part, %d arrivals", len(crashes), len(arrivals))
		return
	}
	late := 0
	for _, at := range arrivals {
		if at.Sub(crashes[4]) > lethalBound {
			late++
		}
	}
	f.t.Logf("%d crashes on the lethal part, %d arrivals, %d of them late", len(crashes), len(arrivals), late)
	if late > maxLethalArrivals {
		f.t.Errorf("%d requests with the lethal part reached engines later than %v after the fifth crash, want at most %d", late, lethalBound, maxLethalArrivals)
	}
}

// TestFleetLethalPart guards against requests that crash every engine that takes them. Their common part must be found,
// and rejected by all entry hosts; sound requests that share their caller and all other parts must be served.
func TestFleetLethalPart(t *testing.T) {
	f := newFleetEnv(t, 3, 3, 30)
	f.waitServing()
	l := f.startLethalLoad(100 * time.Millisecond)
	defer l.end()
	time.Sleep(2 * time.Second)
	f.fleet.SetLethal(lethalPart)
	time.Sleep(5 * time.Second)
	l.reset()
	time.Sleep(5 * time.Second)
	f.checkLethalArrivals()
	if sound, served := l.reset(); served < sound/2 {
		t.Errorf("%d of %d sound requests were served, want half at least", served, sound)
	}
	if l.refused == 0 {
		t.Error("no request with the lethal part was rejected")
	}
}

// TestFleetLethalPartKept checks that what is known of a lethal part outlives an entry host and the leader.
func TestFleetLethalPartKept(t *testing.T) {
	f := newFleetEnv(t, 3, 3, 30)
	f.waitServing()
	f.fleet.SetLethal(lethalPart)
	l := f.startLethalLoad(100 * time.Millisecond)
	defer l.end()
	f.eventually("requests with the lethal part are rejected", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.refused > 20
	})
	f.checkLethalArrivals()
	f.fleet.SetLethal(lethalPart)
	f.restartEntry(1)
	leader := f.leader()
	leader.Kill()
	f.stopped[leader] = true
	time.Sleep(4 * time.Second)
	arrivals, _ := f.fleet.LethalTimes()
	if len(arrivals) > maxLethalArrivals {
		t.Errorf("%d requests with the lethal part reached engines after restarts, want at most %d", len(arrivals), maxLethalArrivals)
	}
	f.waitServing()
	l.reset()
	time.Sleep(3 * time.Second)
	if sound, served := l.reset(); served < sound/2 {
		t.Errorf("%d of %d sound requests were served, want half at least", served, sound)
	}
}
