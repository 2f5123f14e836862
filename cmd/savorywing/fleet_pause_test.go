package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/version/catalogue"
)

var (
	pauseSeed  = flag.Uint64("pause-seed", 1, "seed of TestFleetDocumentsWhileProcessesPause")
	pauseSteps = flag.Int("pause-steps", 20, "number of documents of TestFleetDocumentsWhileProcessesPause")
)

// seriesDocument returns the n-th document of a series. Each adds a route and replaces the one that is its own.
func seriesDocument(n uint64) catalogue.Document {
	doc := fleetDocument(n)
	route := func(name string) catalogue.Route {
		return catalogue.Route{Name: name, Host: fleetHost, Prefix: "/" + name + "/", Kind: catalogue.Idempotent, Timeout: 2 * time.Second,
			Objective: 200 * time.Millisecond, Services: []catalogue.WeightedService{{Service: fleetPlainService, Weight: 1}}, MaxAttempts: 2}
	}
	for i := uint64(2); i <= n; i++ {
		doc.Routes = append(doc.Routes, route(fmt.Sprintf("added-%d", i)))
	}
	doc.Routes = append(doc.Routes, route(fmt.Sprintf("only-%d", n)))
	return doc
}

// acknowledgements holds when each document of a series was acknowledged.
type acknowledgements struct {
	mu sync.Mutex
	at map[uint64]time.Time
	// sent is the newest version that was sent.
	sent uint64
}

func (a *acknowledgements) record(version uint64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[version] = at
}

// newest returns the newest version that was acknowledged by a time.
func (a *acknowledgements) newest(by time.Time) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	newest := uint64(0)
	for v, at := range a.at {
		if !at.After(by) {
			newest = max(newest, v)
		}
	}
	return newest
}

// pausedFleet is a fleet of processes of which some are paused.
type pausedFleet struct {
	*fleetEnv
	// random draws the pauses.
	random *rand.Rand
	acks   acknowledgements
}

// publishSeries publishes a document at one control host after the other until one acknowledges it.
func (p *pausedFleet) publishSeries(version uint64) {
	p.acks.mu.Lock()
	p.acks.sent = version
	p.acks.mu.Unlock()
	for n := range 200 {
		status, body, err := p.callControl(p.seeds[(int(version)+n)%len(p.seeds)], func(h *fasthttp.RequestHeader) []byte { return p.dialect.WritePublish(h, seriesDocument(version)) })
		switch {
		case err == nil && status == fasthttp.StatusOK:
			p.acks.record(version, time.Now())
			return
		case err == nil && status < fasthttp.StatusInternalServerError && status != fasthttp.StatusRequestTimeout:
			p.t.Errorf("version %d: status %d, %s", version, status, body)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.t.Errorf("version %d was not acknowledged", version)
}

// pauseSome pauses processes, one to three at a time and at most a minority of the control hosts, until stop is closed.
func (p *pausedFleet) pauseSome(stop <-chan struct{}) {
	var pauses sync.WaitGroup
	defer pauses.Wait()
	for {
		paused := map[*daemonProcess]bool{}
		for range 1 + p.random.IntN(2) {
			paused[p.controlProcesses[p.random.IntN(len(p.controlProcesses))]] = true
		}
		if p.random.IntN(3) == 0 {
			paused[p.entryProcesses[p.random.IntN(len(p.entryProcesses))]] = true
		}
		for d := range paused {
			length := time.Duration(300+p.random.IntN(1700)) * time.Millisecond
			pauses.Go(func() {
				d.signal(syscall.SIGSTOP)
				time.Sleep(length)
				d.signal(syscall.SIGCONT)
			})
		}
		pauses.Wait()
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(p.random.IntN(400)) * time.Millisecond):
		}
	}
}

// propagation is how long a document may take to be in force on all hosts, with a margin for the answer's way back.
const propagation = 2*time.Second + 100*time.Millisecond

// checkEntry checks that an entry host handles no request as only a document allows that has been replaced for long.
func (p *pausedFleet) checkEntry(entry, n int) {
	sentAt := time.Now()
	version := p.acks.newest(sentAt.Add(-propagation))
	if version < 3 {
		return
	}
	id := fmt.Sprintf("pause-%d-%d", entry, n)
	if n%2 == 0 {
		if status, body, err := p.get(entry, p.port+2, fmt.Sprintf("/added-%d/x", version), id); err == nil && status == fasthttp.StatusNotFound {
			p.t.Errorf("entry host %d: route of version %d, in force for long: status %d, %s", entry, version, status, body)
		}
		return
	}
	if status, _, err := p.get(entry, p.port+2, fmt.Sprintf("/only-%d/x", version-1), id); err == nil && status == fasthttp.StatusOK {
		p.t.Errorf("entry host %d: the route that version %d has removed is served", entry, version)
	}
}

// checkRead checks that a control host returns no older document than was acknowledged before it was asked.
func (p *pausedFleet) checkRead(n int) {
	want := p.acks.newest(time.Now())
	status, body, err := p.callControl(p.seeds[n%len(p.seeds)], func(h *fasthttp.RequestHeader) []byte { p.dialect.WriteRead(h); return nil })
	if err != nil || status != fasthttp.StatusOK {
		return
	}
	c, err := p.dialect.ReadDocument([]byte(body))
	if err != nil {
		p.t.Errorf("read back: %v", err)
		return
	}
	p.acks.mu.Lock()
	sent := p.acks.sent
	p.acks.mu.Unlock()
	if c.Version() < want || c.Version() > sent {
		p.t.Errorf("read back version %d; %d was acknowledged before, and %d sent", c.Version(), want, sent)
	}
}

// TestFleetDocumentsWhileProcessesPause guards against documents that are confirmed and not in force in time, come back
// older, or are lost, while real processes stand still for up to two seconds: a leader between the commit and its reply,
// hosts that confirm with an old leader, and hosts that connect again.
func TestFleetDocumentsWhileProcessesPause(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d", *pauseSeed)
	p := &pausedFleet{random: rand.New(rand.NewPCG(*pauseSeed, 1)), acks: acknowledgements{at: map[uint64]time.Time{}}}
	p.fleetEnv = newFleetEnv(t, 5, 3, 0, func(f *fleetEnv) { f.program = program })
	for entry := range p.entryProcesses {
		p.eventually("a booking", func() bool { return p.send(entry, "/book/x", "", fleetKey, nil).status == fasthttp.StatusOK })
	}
	stop := make(chan struct{})
	var checks sync.WaitGroup
	checks.Go(func() { p.pauseSome(stop) })
	repeat := func(check func(n int)) {
		checks.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				check(n)
			}
		})
	}
	for entry := range p.entryProcesses {
		repeat(func(n int) { p.checkEntry(entry, n) })
	}
	repeat(p.checkRead)
	random := rand.New(rand.NewPCG(*pauseSeed, 2))
	for version := range uint64(*pauseSteps) {
		p.publishSeries(version + 2)
		time.Sleep(time.Duration(100+random.IntN(600)) * time.Millisecond)
	}
	close(stop)
	checks.Wait()
	newest := p.acks.newest(time.Now())
	c, err := p.dialect.ReadDocument([]byte(p.readDocument()))
	if err != nil || c.Version() != newest {
		t.Errorf("at the end version %d is read back, error %v, want %d", c.Version(), err, newest)
	}
	for entry := range p.entryProcesses {
		p.eventually("the newest route is served", func() bool {
			status, _, err := p.get(entry, p.port+2, fmt.Sprintf("/only-%d/x", newest), fmt.Sprintf("end-%d-%d", entry, time.Now().UnixNano()))
			return err == nil && status == fasthttp.StatusOK
		})
	}
}
