package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	standin "savorywing.example/savorywing/standin/fleet"
)

const (
	lethalBody = "lethal"
	// lethalRequestBound is the time after the third crash from which a request that crashes servers may reach servers no
	// more than maxLethalArrivals times.
	lethalRequestBound = 3 * time.Second
)

// checkLethalRequests fails the test if a lethal request reached servers too often after its third crash.
func (f *fleetEnv) checkLethalRequests() {
	f.t.Helper()
	arrivals, crashes := f.fleet.LethalTimes()
	late := 0
	for _, at := range arrivals {
		if len(crashes) >= 3 && at.Sub(crashes[2]) > lethalRequestBound {
			late++
		}
	}
	f.t.Logf("%d crashes on the lethal request, %d arrivals, %d of them late", len(crashes), len(arrivals), late)
	if late > maxLethalArrivals {
		f.t.Errorf("the lethal request reached servers %d times later than %v after the third crash, want at most %d", late, lethalRequestBound, maxLethalArrivals)
	}
}

// requestLoad is a load in which one request comes again and again, beside sound ones.
type requestLoad struct {
	f       *fleetEnv
	tt      lethalRequestCase
	stop    chan struct{}
	callers sync.WaitGroup
	mu      sync.Mutex
	// sound and popular count the sound requests and those with one body that all repeat; servedSound and servedPopular count
	// those of them that were served. rejected counts the rejections of the lethal request.
	sound, servedSound, popular, servedPopular, rejected int
}

// lethalRequestCase is a case of TestFleetLethalRequest.
type lethalRequestCase struct {
	name, path string
	models     []string
	// setBody sets the body of a lethal request.
	setBody func(req *fasthttp.Request, n int)
}

func (f *fleetEnv) startRequestLoad(tt lethalRequestCase) *requestLoad {
	l := &requestLoad{f: f, tt: tt, stop: make(chan struct{})}
	for n := range 2 * len(f.entries) {
		l.repeat(100*time.Millisecond, func(i int) { l.sendLethal(n, i) })
		l.repeat(20*time.Millisecond, func(i int) { l.sendSound(n, i, fmt.Sprintf("sound %d %d", n, i), &l.sound, &l.servedSound) })
		l.repeat(20*time.Millisecond, func(i int) { l.sendSound(n, i, "popular", &l.popular, &l.servedPopular) })
	}
	return l
}

func (l *requestLoad) repeat(interval time.Duration, send func(i int)) {
	l.callers.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-l.stop:
				return
			case <-time.After(interval):
			}
			send(i)
		}
	})
}

// metadata returns the metadata of a request; its parts differ from those of all others.
func (l *requestLoad) metadata(n, i int) savorywing.CallerMetadata {
	return savorywing.CallerMetadata{
		APIKey: fleetKey, Timeout: 3 * time.Second, Model: l.tt.models[i%len(l.tt.models)], PromptTokens: 200, MaxOutputTokens: 60, LastEventID: -1,
		SharedParts: []savorywing.PromptPart{commonPart, savorywing.PromptPart(1_000_000*n + i)},
	}
}

func (l *requestLoad) sendLethal(n, i int) {
	r := l.f.sendBody(n%len(l.f.entries), l.tt.path, nil, l.metadata(1000+n, i), func(req *fasthttp.Request) { l.tt.setBody(req, i) })
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.status == fasthttp.StatusServiceUnavailable && strings.Contains(r.body, "quarantined") && r.retryAfter != "" {
		l.rejected++
	}
}

func (l *requestLoad) sendSound(n, i int, body string, sent, served *int) {
	r := l.f.sendBody(n%len(l.f.entries), l.tt.path, nil, l.metadata(n, i), func(req *fasthttp.Request) { req.SetBodyString(body) })
	l.mu.Lock()
	defer l.mu.Unlock()
	*sent++
	if r.err == nil && r.status == fasthttp.StatusOK {
		*served++
	}
}

// reset starts to count anew.
func (l *requestLoad) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sound, l.servedSound, l.popular, l.servedPopular, l.rejected = 0, 0, 0, 0, 0
}

// check checks that sound requests, the popular one among them, are served, and that the lethal one is rejected.
func (l *requestLoad) check() {
	l.f.t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.f.t.Logf("%d of %d sound and %d of %d popular requests were served, %d lethal ones rejected", l.servedSound, l.sound, l.servedPopular, l.popular, l.rejected)
	if l.servedSound < l.sound*9/10 || l.servedPopular < l.popular*9/10 {
		l.f.t.Error("want nine tenths of the sound and of the popular requests served")
	}
	if l.rejected == 0 {
		l.f.t.Error("the lethal request was never rejected as such, with a time")
	}
}

func (l *requestLoad) end() {
	close(l.stop)
	l.callers.Wait()
}

func setLethalBody(req *fasthttp.Request, _ int) { req.SetBodyString(lethalBody) }

// TestFleetLethalRequest guards against requests of any kind that crash each server which runs them and come again: all
// hosts must reject them, and serve sound requests, also one that many repeat.
func TestFleetLethalRequest(t *testing.T) {
	long := strings.Repeat(lethalBody, 100_000)
	for _, tt := range []lethalRequestCase{
		{"idempotent", "/book/look/x", []string{""}, setLethalBody},
		{"not idempotent", "/book/x", []string{""}, setLethalBody},
		{"stream with other parts each time", "/talk/x", []string{smallModel, largeModel}, setLethalBody},
		{"long body, chunked or not", "/book/x", []string{""}, func(req *fasthttp.Request, i int) {
			if i%2 == 0 {
				req.SetBodyString(long)
				return
			}
			req.SetBodyStream(strings.NewReader(long), -1)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetEnv(t, 3, 3, 30)
			f.addPlainServers(1)
			f.waitServing()
			l := f.startRequestLoad(tt)
			defer l.end()
			time.Sleep(time.Second)
			var probe fasthttp.Request
			tt.setBody(&probe, 0)
			f.fleet.SetLethalBody(string(probe.Body()))
			time.Sleep(6 * time.Second)
			l.reset()
			time.Sleep(4 * time.Second)
			f.checkLethalRequests()
			l.check()
		})
	}
}

// addPlainServers adds servers of the plain service.
func (f *fleetEnv) addPlainServers(n int) {
	for i := range n {
		host, _, _ := net.SplitHostPort(f.fleet.PlainServers()[0].Address)
		ip := host[:strings.LastIndex(host, ".")]
		f.addServer(standin.ServerConfig{ID: fmt.Sprintf("plain-more-%d", i), Service: fleetPlainService, Slots: 6, Address: fmt.Sprintf("%s.%d:0", ip, 145+i), DataCentre: "a"})
	}
}

// TestFleetLethalRequestKept checks that what is known of a lethal request outlives an entry host and the leader.
func TestFleetLethalRequestKept(t *testing.T) {
	f := newFleetEnv(t, 3, 3, 20)
	f.addPlainServers(1)
	f.waitServing()
	f.fleet.SetLethalBody(lethalBody)
	l := f.startRequestLoad(lethalRequestCase{"", "/book/look/x", []string{""}, setLethalBody})
	defer l.end()
	f.eventually("the lethal request is rejected", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.rejected > 20
	})
	f.fleet.SetLethalBody(lethalBody)
	f.restartEntry(1)
	leader := f.leader()
	leader.Kill()
	f.stopped[leader] = true
	time.Sleep(4 * time.Second)
	arrivals, _ := f.fleet.LethalTimes()
	if len(arrivals) > maxLethalArrivals {
		t.Errorf("the lethal request reached servers %d times after restarts, want at most %d", len(arrivals), maxLethalArrivals)
	}
	l.reset()
	time.Sleep(3 * time.Second)
	l.check()
}

// TestFleetLethalBehindProxy checks that crashes are recognised where a proxy accepts connections whether or not the server
// behind it runs, and closes them at once, or keeps them open.
func TestFleetLethalBehindProxy(t *testing.T) {
	for _, tt := range []struct {
		name string
		open bool
	}{{"accepts and closes", false}, {"accepts and says nothing", true}} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetEnv(t, 3, 3, 0)
			for i := range 3 {
				f.addProxied(standin.ServerConfig{ID: fmt.Sprintf("proxied-plain-%d", i), Service: fleetPlainService, Slots: 6}, func(r *relay) { r.keepsOpen = tt.open })
			}
			for i := range 30 {
				f.addProxied(standin.ServerConfig{ID: fmt.Sprintf("proxied-%d", i), Service: fleetEngineService, Engine: true, Slots: 8, FabricDomain: fmt.Sprintf("d%d", i/10)}, func(r *relay) { r.keepsOpen = tt.open })
			}
			f.killUnproxied()
			f.waitServing()
			l := f.startRequestLoad(lethalRequestCase{"", "/talk/x", []string{smallModel, largeModel}, setLethalBody})
			defer l.end()
			time.Sleep(time.Second)
			f.fleet.SetLethalBody(lethalBody)
			time.Sleep(7 * time.Second)
			l.reset()
			time.Sleep(4 * time.Second)
			f.checkLethalRequests()
			l.check()
		})
	}
}

// addProxied adds a server that is reached through a proxy only.
func (f *fleetEnv) addProxied(cfg standin.ServerConfig, set func(r *relay)) {
	cfg.Address, cfg.DataCentre = freeAddresses(f.t, 1)[0], "a"
	r := newRelay(f.t, cfg.Address)
	set(r)
	cfg.Advertised = r.address()
	f.addServer(cfg)
}

// killUnproxied kills the plain servers that are reached directly.
func (f *fleetEnv) killUnproxied() {
	for _, s := range f.fleet.PlainServers() {
		if !strings.HasPrefix(s.ID, "proxied") {
			s.Kill()
		}
	}
}

// TestFleetLethalRequestAnswersUnderWay guards against answers that are still on their way when servers begin to crash: they
// don't show that the request is sound.
func TestFleetLethalRequestAnswersUnderWay(t *testing.T) {
	// The third lives of the servers begin later than lethalRequestBound.
	f := newFleetEnv(t, 3, 3, 30, func(f *fleetEnv) { f.restartTime = 2 * time.Second })
	for i := range 3 {
		f.addProxied(standin.ServerConfig{ID: fmt.Sprintf("proxied-plain-%d", i), Service: fleetPlainService, Slots: 6},
			func(r *relay) { r.answerDelay = 400 * time.Millisecond })
	}
	f.killUnproxied()
	f.waitServing()
	l := f.startRequestLoad(lethalRequestCase{"", "/book/x", []string{""}, setLethalBody})
	defer l.end()
	time.Sleep(time.Second)
	// The answers to these are under way when servers crash under the next ones.
	l.sendLethalAtOnce(2 * len(f.entries))
	time.Sleep(100 * time.Millisecond)
	f.fleet.SetLethalBody(lethalBody)
	l.sendLethalAtOnce(4 * len(f.entries))
	time.Sleep(6 * time.Second)
	l.reset()
	time.Sleep(4 * time.Second)
	f.checkLethalRequests()
	l.check()
}

// sendLethalAtOnce sends lethal requests at the same time, and doesn't wait for responses.
func (l *requestLoad) sendLethalAtOnce(n int) {
	for i := range n {
		l.callers.Go(func() { l.sendLethal(n+i, 0) })
	}
}

// TestFleetLethalRequestLeaderLost guards against a new leader that doesn't know of the crashes which the one before it was told
// of.
func TestFleetLethalRequestLeaderLost(t *testing.T) {
	f := newFleetEnv(t, 3, 3, 20, func(f *fleetEnv) { f.restartTime = 2 * time.Second })
	f.addPlainServers(1)
	f.waitServing()
	l := f.startRequestLoad(lethalRequestCase{"", "/book/x", []string{""}, setLethalBody})
	defer l.end()
	time.Sleep(time.Second)
	f.fleet.SetLethalBody(lethalBody)
	f.eventually("all plain servers have crashed", func() bool {
		_, crashes := f.fleet.LethalTimes()
		return len(crashes) >= 3
	})
	time.Sleep(300 * time.Millisecond)
	leader := f.leader()
	leader.Kill()
	f.stopped[leader] = true
	time.Sleep(6 * time.Second)
	l.reset()
	time.Sleep(4 * time.Second)
	f.checkLethalRequests()
	l.check()
}

// TestFleetCrashProvenLater guards against crashes that count for nothing because no other host could be asked at that moment.
func TestFleetCrashProvenLater(t *testing.T) {
	log := &logRecorder{}
	f := newFleetEnv(t, 3, 3, 20, withPaths, func(f *fleetEnv) { f.logOutput, f.restartTime = log, time.Minute })
	f.waitServing()
	f.fleet.SetLethalBody(lethalBody)
	for _, p := range f.peerPaths {
		p.Set(standin.CutRefuse, f.seeds...)
	}
	for _, s := range f.plainServers("") {
		addr := s.Address
		f.eventually("the server has crashed", func() bool {
			f.sendBody(0, "/book/x", nil, savorywing.CallerMetadata{APIKey: fleetKey, Timeout: time.Second, LastEventID: -1}, func(req *fasthttp.Request) { setLethalBody(req, 0) })
			c, err := net.DialTimeout("tcp", addr, time.Second)
			if err == nil {
				_ = c.Close()
			}
			return err != nil
		})
	}
	time.Sleep(300 * time.Millisecond)
	for _, p := range f.peerPaths {
		p.Set(standin.NoCut)
	}
	f.eventually("the leader knows that both servers have ended", func() bool {
		ended := map[any]bool{}
		for _, line := range log.lines(t) {
			if line["event"] == "serverEnded" && line["proven"] == true {
				ended[line["server"]] = true
			}
		}
		return len(ended) == 2
	})
}
