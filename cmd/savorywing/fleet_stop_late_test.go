package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/wire"
)

const slowService = "slow"

// lateCaller sends requests on one connection after the other until no connection can be opened any more.
type lateCaller struct {
	f     *fleetEnv
	path  string
	name  string
	mu    *sync.Mutex
	lost  []string
	ended map[int]int
}

// run sends requests, with a pause between them.
func (l *lateCaller) run(pause time.Duration) {
	for n := 0; ; {
		c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", l.f.entryIP(0), l.f.port+2), 200*time.Millisecond)
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		for {
			n++
			id := fmt.Sprintf("%s-%d", l.name, n)
			if _, err := c.Write(bytesCase{method: "POST", target: l.path, body: "x", timeout: 6 * time.Second}.encode(id, l.f.dialect)); err != nil {
				break
			}
			_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
			var resp fasthttp.Response
			err := resp.Read(r)
			l.record(id, resp.StatusCode(), err)
			if err != nil {
				break
			}
			// "Connection: close" is ignored, as a caller may that has sent the next request already.
			time.Sleep(pause)
		}
		_ = c.Close()
		time.Sleep(pause)
	}
}

// record records how a request has ended. One that has no answer, or that ran although its answer says that it hasn't, is lost.
func (l *lateCaller) record(id string, status int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ran := l.f.ranSlow(id)
	switch {
	case err != nil && ran:
		l.lost = append(l.lost, fmt.Sprintf("%s ran and has no answer: %v", id, err))
	case err == nil && ran && (status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusRequestTimeout):
		l.lost = append(l.lost, fmt.Sprintf("%s ran and was answered with %d", id, status))
	}
	if err != nil {
		status = 0
	}
	l.ended[status]++
}

// slowRuns holds the IDs of the requests that slow servers have run.
var slowRuns sync.Map

func (f *fleetEnv) ranSlow(id string) bool {
	_, ran := slowRuns.Load(fmt.Sprint(f.port, id))
	return ran
}

// addSlow starts a server of slowService that takes a time for each request.
func (f *fleetEnv) addSlow(takes time.Duration) {
	f.t.Helper()
	s := f.addCounting("slow-0", 180)
	s.report.Service = slowService
	s.work = func(id string) {
		slowRuns.Store(fmt.Sprint(f.port, id), true)
		time.Sleep(takes)
	}
	for _, seed := range f.seeds {
		if status := f.tell(seed, s, func(*wire.Report) {}); status != fasthttp.StatusOK {
			f.t.Fatalf("registering: status %d", status)
		}
	}
}

// TestFleetStopLateRequests guards against requests that are taken late in the grace time of a planned stop, passed on,
// and cut at its end: whatever is taken is answered, and whatever isn't has not run. Callers use open connections until
// the process is gone.
func TestFleetStopLateRequests(t *testing.T) {
	for _, takes := range []time.Duration{20 * time.Millisecond, 900 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(takes.String(), func(t *testing.T) {
			t.Parallel()
			f := newFleetEnv(t, 3, 2, 0)
			doc := fleetDocument(2)
			doc.Services = append(doc.Services, catalogue.Service{Name: slowService, HealthPath: "/healthz", MaxConnections: 200})
			for path, kind := range map[string]catalogue.RouteKind{"/slow/": catalogue.NonIdempotent, "/slow/look/": catalogue.Idempotent} {
				doc.Routes = append(doc.Routes, catalogue.Route{Name: "slow" + path, Host: fleetHost, Prefix: path, Kind: kind, Timeout: 6 * time.Second, Objective: 3 * time.Second,
					Services: []catalogue.WeightedService{{Service: slowService, Weight: 1}}, MaxAttempts: 2})
			}
			if status := f.publish(doc); status != fasthttp.StatusOK {
				t.Fatalf("publishing the document: status %d", status)
			}
			f.addSlow(takes)
			f.eventually("the slow service answers", func() bool { return f.send(0, "/slow/x", "", fleetKey, nil).status == fasthttp.StatusOK })
			var mu sync.Mutex
			var callers []*lateCaller
			var done sync.WaitGroup
			for n := range 24 {
				l := &lateCaller{f: f, path: []string{"/slow/x", "/slow/look/x"}[n%2], name: fmt.Sprintf("late-%d", n), mu: &mu, ended: map[int]int{}}
				callers = append(callers, l)
				done.Go(func() { l.run(time.Duration(1+n*7) * time.Millisecond) })
			}
			time.Sleep(time.Second)
			f.stopped[f.entries[0]] = true
			f.entries[0].Stop()
			done.Wait()
			ended := map[int]int{}
			for _, l := range callers {
				for _, text := range l.lost {
					t.Error(text)
				}
				for status, n := range l.ended {
					ended[status] += n
				}
			}
			t.Logf("answers by status, 0 for a closed connection: %v", ended)
			if ended[fasthttp.StatusOK] == 0 {
				t.Error("no request was served")
			}
		})
	}
}
