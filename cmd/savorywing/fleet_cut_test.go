package main

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	standin "savorywing.example/savorywing/standin/fleet"
)

const (
	// cutGrace is how long after a cut callers may notice it.
	cutGrace = 2 * time.Second
	// cutMeasured is how long the requests are then counted.
	cutMeasured = 4 * time.Second
	// cutShare is how often callers at hosts that are cut off must be served, in relation to those at the other hosts.
	cutShare = 0.98
	// cutRejectTime is the time within which a request must be rejected that no host can serve.
	cutRejectTime = 300 * time.Millisecond
)

// cutResults counts the requests at one host.
type cutResults struct {
	sent, served int
	slowest      time.Duration
	// failed holds up to a few of the responses that were not served.
	failed []fleetResponse
}

// cutLoad asks each entry host for streams and plain requests, at a fixed rate and on new connections.
type cutLoad struct {
	f    *fleetEnv
	stop chan struct{}
	done sync.WaitGroup

	mu      sync.Mutex
	from    time.Time
	until   time.Time
	results map[int]*cutResults
}

const (
	cutInterval = 100 * time.Millisecond
	maxFailures = 4
)

// startCutLoad starts requests of all kinds, or those to some paths only.
func (f *fleetEnv) startCutLoad(paths ...string) *cutLoad {
	l := &cutLoad{f: f, stop: make(chan struct{}), results: map[int]*cutResults{}}
	type kind struct{ path, model string }
	kinds := slices.DeleteFunc([]kind{{"/talk/x", smallModel}, {"/book/x", ""}, {"/talk/x", largeModel}, {"/book/look/x", ""}}, func(k kind) bool {
		return len(paths) > 0 && !slices.Contains(paths, k.path)
	})
	for entry := range f.entries {
		l.done.Go(func() {
			ticker := time.NewTicker(cutInterval)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				case <-ticker.C:
				}
				kind := kinds[n%len(kinds)]
				l.done.Go(func() { l.send(entry, kind.path, kind.model) })
			}
		})
	}
	return l
}

func (l *cutLoad) send(entry int, path, model string) {
	sentAt := time.Now()
	r := l.f.send(entry, path, model, fleetKey, nil)
	took := time.Since(sentAt)
	isServed := r.err == nil && r.status == fasthttp.StatusOK && (model == "" || checkCompleteStream(r.body) == nil)
	l.f.checkRuns(path, r)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.from.IsZero() || sentAt.Before(l.from) || (!l.until.IsZero() && sentAt.After(l.until)) {
		return
	}
	c := l.results[entry]
	if c == nil {
		c = &cutResults{}
		l.results[entry] = c
	}
	c.sent++
	c.slowest = max(c.slowest, took)
	if isServed {
		c.served++
	} else if len(c.failed) < maxFailures {
		r.body = r.body[:min(len(r.body), 60)]
		c.failed = append(c.failed, r)
	}
}

// checkRuns checks that a request that may run once hasn't run more often, and that one that was rejected hasn't run.
func (f *fleetEnv) checkRuns(path string, r fleetResponse) {
	n := f.fleet.RunCount(r.requestID)
	if path == "/book/x" && n > 1 {
		f.t.Errorf("%s ran %d times", r.requestID, n)
	}
	if r.err == nil && r.status == fasthttp.StatusServiceUnavailable && n > 0 {
		f.t.Errorf("%s was rejected as not run and ran %d times", r.requestID, n)
	}
}

// begin counts the requests that are sent from now on.
func (l *cutLoad) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.from, l.until, l.results = time.Now(), time.Time{}, map[int]*cutResults{}
}

// measure counts the requests that are sent from now on for a time.
func (l *cutLoad) measure(d time.Duration) {
	l.begin()
	time.Sleep(d)
	l.stopCounting()
}

// stopCounting leaves out the requests that are sent from now on.
func (l *cutLoad) stopCounting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = time.Now()
}

// sum adds up the results of some hosts, once all requests have ended.
func (l *cutLoad) sum(of func(entry int) bool) cutResults {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum cutResults
	for entry, r := range l.results {
		if of(entry) {
			sum.sent, sum.served = sum.sent+r.sent, sum.served+r.served
			sum.slowest = max(sum.slowest, r.slowest)
			sum.failed = append(sum.failed, r.failed...)
		}
	}
	return sum
}

func (l *cutLoad) end() {
	close(l.stop)
	l.done.Wait()
}

func withPaths(f *fleetEnv) { f.hasPaths = true }

// cutOff cuts off the first n entry hosts.
func (f *fleetEnv) cutOff(n int, cut standin.Cut, spared ...string) {
	for i := range n {
		f.paths[i].Set(cut, spared...)
	}
}

// checkServed checks that callers at the first n hosts are served as often as those at the others.
func (l *cutLoad) checkServed(t *testing.T, what string, n int) {
	t.Helper()
	cut, others := l.sum(func(entry int) bool { return entry < n }), l.sum(func(entry int) bool { return entry >= n })
	t.Logf("%s: %d of %d served at hosts that are cut off, %d of %d at the others", what, cut.served, cut.sent, others.served, others.sent)
	if others.sent == 0 || cut.sent == 0 {
		t.Fatal("no requests at one part of the hosts")
	}
	if share := float64(others.served) / float64(others.sent); share < cutShare || float64(cut.served) < cutShare*share*float64(cut.sent) {
		t.Errorf("%s: %d of %d served at hosts that are cut off, %d of %d at the others, want %v of their share; the first others: %+v %+v",
			what, cut.served, cut.sent, others.served, others.sent, cutShare, cut.failed, others.failed)
	}
}

func killLeader(f *fleetEnv) {
	leader := f.leader()
	leader.Kill()
	f.stopped[leader] = true
}

// TestFleetEntryHostsCutOff guards against callers who aren't served because their entry host has lost its paths to the
// servers while other entry hosts have kept theirs.
func TestFleetEntryHostsCutOff(t *testing.T) {
	for _, tt := range []struct {
		name string
		cut  standin.Cut
		// hosts is the number of the six entry hosts that are cut off.
		hosts int
		// spared is the number of servers that they still reach.
		spared int
		// during happens a second after the cut.
		during func(f *fleetEnv)
	}{
		{"silent", standin.CutSilent, 4, 0, nil},
		{"one way", standin.CutOneWay, 4, 0, nil},
		{"reset", standin.CutReset, 4, 0, nil},
		{"new connections refused", standin.CutRefuse, 4, 0, nil},
		{"all but a few servers", standin.CutSilent, 4, 2, nil},
		{"one host", standin.CutSilent, 1, 0, nil},
		{"accepted and silent", standin.CutAcceptSilent, 4, 0, nil},
		{"accepted and one way", standin.CutAcceptOneWay, 4, 0, nil},
		{"accepted and reset", standin.CutAcceptReset, 4, 0, nil},
		{"accepted and closed", standin.CutAcceptClose, 4, 0, nil},
		{"open ones silent, new ones accepted and reset", standin.CutAcceptSilentThenReset, 4, 0, nil},
		{"open ones reset, new ones accepted and silent", standin.CutAcceptResetThenSilent, 4, 0, nil},
		{"new connections accepted and reset", standin.CutAcceptRefuse, 4, 0, nil},
		{"accepted and silent, one host", standin.CutAcceptSilent, 1, 0, nil},
		{"accepted and silent, all but one host", standin.CutAcceptSilent, 5, 0, nil},
		{"accepted and silent, all but a few servers", standin.CutAcceptSilent, 4, 2, nil},
		{"all but one host", standin.CutReset, 5, 0, nil},
		{"leader lost", standin.CutSilent, 4, 0, killLeader},
		{"accepted and silent, leader lost", standin.CutAcceptSilent, 4, 0, killLeader},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetEnv(t, 3, 6, 20, withPaths)
			f.waitServing()
			l := f.startCutLoad()
			time.Sleep(time.Second)
			var spared []string
			for _, s := range f.fleet.OpenHeads()[:tt.spared] {
				spared = append(spared, s.Address)
			}
			f.cutOff(tt.hosts, tt.cut, spared...)
			if tt.during != nil {
				time.AfterFunc(time.Second, func() { tt.during(f) })
			}
			time.Sleep(cutGrace)
			l.measure(cutMeasured)
			f.cutOff(tt.hosts, standin.NoCut)
			time.Sleep(cutGrace)
			l.end()
			l.checkServed(t, "cut off", tt.hosts)
		})
	}
}

// TestFleetRequestsAsPathsBreak guards against requests that may be sent again and use up their attempts on lost paths before
// the host has noticed the loss.
func TestFleetRequestsAsPathsBreak(t *testing.T) {
	for _, tt := range []struct {
		name string
		cut  standin.Cut
	}{
		{"silent", standin.CutSilent},
		{"reset", standin.CutReset},
		{"accepted and silent", standin.CutAcceptSilent},
		{"accepted and reset", standin.CutAcceptReset},
		{"accepted and closed", standin.CutAcceptClose},
		{"open ones silent, new ones accepted and reset", standin.CutAcceptSilentThenReset},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			const hosts = 3
			// Engines keep the slots of requests on lost connections for a while.
			f := newFleetEnv(t, 3, 6, 40, withPaths)
			f.waitServing()
			l := f.startCutLoad("/talk/x", "/book/look/x")
			time.Sleep(time.Second)
			l.begin()
			time.Sleep(time.Second)
			f.cutOff(hosts, tt.cut)
			time.Sleep(time.Second)
			l.stopCounting()
			time.Sleep(cutGrace)
			f.cutOff(hosts, standin.NoCut)
			l.end()
			l.checkServed(t, "sent in the second before the cut and in that after it", hosts)
		})
	}
}

// TestFleetCutBesideCrash guards against hosts that turn requests of cut-off hosts away because many servers have crashed, while
// they serve their own.
func TestFleetCutBesideCrash(t *testing.T) {
	t.Parallel()
	const hosts = 3
	// leastShare is how often callers at hosts that are cut off must be served, in relation to the others.
	const leastShare = 2.0 / 3
	f := newFleetEnv(t, 3, 6, 20, withPaths)
	f.waitServing()
	l := f.startCutLoad()
	time.Sleep(time.Second)
	f.cutOff(hosts, standin.CutAcceptSilent)
	time.Sleep(time.Second)
	for i, s := range f.fleet.Servers() {
		if s.Engine && i%2 == 0 {
			s.Kill()
		}
	}
	time.Sleep(cutGrace - time.Second)
	l.measure(cutMeasured)
	f.cutOff(hosts, standin.NoCut)
	time.Sleep(cutGrace)
	l.end()
	cut, others := l.sum(func(entry int) bool { return entry < hosts }), l.sum(func(entry int) bool { return entry >= hosts })
	t.Logf("%d of %d served at hosts that are cut off, %d of %d at the others", cut.served, cut.sent, others.served, others.sent)
	if others.served == 0 || float64(cut.served)*float64(others.sent) < leastShare*float64(others.served)*float64(cut.sent) {
		t.Errorf("%d of %d served at hosts that are cut off, %d of %d at the others: %+v", cut.served, cut.sent, others.served, others.sent, cut.failed)
	}
}

// TestFleetAllEntryHostsCutOff guards against requests that are held although no host can serve them.
func TestFleetAllEntryHostsCutOff(t *testing.T) {
	for _, tt := range []struct {
		name string
		cut  standin.Cut
	}{
		{"silent", standin.CutSilent},
		{"reset", standin.CutReset},
		{"accepted and silent", standin.CutAcceptSilent},
		{"accepted and reset", standin.CutAcceptReset},
		{"accepted and closed", standin.CutAcceptClose},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetEnv(t, 3, 4, 20, withPaths)
			f.waitServing()
			l := f.startCutLoad()
			time.Sleep(time.Second)
			f.cutOff(4, tt.cut)
			time.Sleep(cutGrace)
			l.measure(cutMeasured)
			f.cutOff(4, standin.NoCut)
			time.Sleep(cutGrace)
			l.end()
			all := l.sum(func(int) bool { return true })
			t.Logf("%d of %d served, the slowest response after %v", all.served, all.sent, all.slowest)
			if all.slowest > cutRejectTime {
				t.Errorf("a response after %v, want all within %v", all.slowest, cutRejectTime)
			}
			for _, r := range all.failed {
				if r.status != fasthttp.StatusServiceUnavailable || r.retryAfter == "" {
					t.Errorf("%+v, want status 503 and Retry-After", r)
				}
			}
		})
	}
}
