package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/platform"
	"savorywing.example/savorywing/process/controller"
)

// publisher publishes documents on kept connections to one control host.
type publisher struct {
	f       *fleetEnv
	address string
	// version is the newest version sent by any publisher, and acknowledged the newest acknowledged one.
	version, acknowledged *atomic.Uint64
	mu                    sync.Mutex
	byStatus              map[int]int
}

// run publishes until stop is closed. Each document must get an answer.
func (p *publisher) run(stop <-chan struct{}) {
	var c net.Conn
	var r *bufio.Reader
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", p.address, 100*time.Millisecond); err != nil {
				c = nil
				continue
			}
			r = bufio.NewReader(c)
		}
		if !p.publishOnce(c, r) {
			_ = c.Close()
			c = nil
		}
	}
}

// publishOnce publishes the next version and reports whether the connection can be used further.
func (p *publisher) publishOnce(c net.Conn, r *bufio.Reader) bool {
	version := p.version.Add(1)
	var req fasthttp.Request
	req.SetBody(platform.Dialect{}.WritePublish(&req.Header, fleetDocument(version)))
	req.Header.SetHost(p.address)
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, sendErr := req.WriteTo(c)
	var resp fasthttp.Response
	if err := resp.Read(r); err != nil {
		p.f.t.Errorf("version %d at %s: send error %v, %v, want an answer", version, p.address, sendErr, err)
		return false
	}
	if resp.StatusCode() < 300 {
		for old := p.acknowledged.Load(); old < version && !p.acknowledged.CompareAndSwap(old, version); old = p.acknowledged.Load() {
			continue
		}
	}
	p.mu.Lock()
	p.byStatus[resp.StatusCode()]++
	p.mu.Unlock()
	return !resp.ConnectionClose()
}

// controlIP returns the address of control host i.
func (f *fleetEnv) controlIP(i int) string {
	f.t.Helper()
	host, _, err := net.SplitHostPort(f.seeds[i])
	if err != nil {
		f.t.Fatal(err)
	}
	return host
}

// restartControl starts control host i again, on an empty disk, and waits until there are three voters.
func (f *fleetEnv) restartControl(i int) {
	f.t.Helper()
	c := f.startControl(f.controlIP(i), f.t.TempDir(), false)
	f.controls = append(f.controls, c)
	f.waitReplaced(c, f.controlIP(i))
}

// waitReplaced waits until c knows of three voters, one of which is a host that has started again at ip.
func (f *fleetEnv) waitReplaced(c *controller.Controller, ip string) {
	f.t.Helper()
	f.eventually("three voters again", func() bool {
		voters, isNew := 0, false
		for _, m := range c.Members() {
			if m.Voter {
				voters++
				isNew = isNew || strings.HasPrefix(m.ID, ip) && !strings.HasSuffix(m.ID, "/first")
			}
		}
		return voters == 3 && isNew
	})
}

// TestFleetControlsStopInSeries checks that each document gets an answer, that the newest one that is acknowledged is in force, and
// that callers' requests are answered.
func TestFleetControlsStopInSeries(t *testing.T) {
	stopControlsInSeries(t, func(r fleetResponse) {
		if r.err != nil {
			t.Errorf("a request meanwhile: error %v, want an answer", r.err)
		}
	})
}

// TestFleetServesWhileControlsStop checks that stops of control hosts don't keep callers' requests from being served.
func TestFleetServesWhileControlsStop(t *testing.T) {
	stopControlsInSeries(t, func(r fleetResponse) {
		if r.err != nil || r.status != fasthttp.StatusOK {
			t.Errorf("a request meanwhile: status %d, error %v, %s, want 200", r.status, r.err, r.body)
		}
	})
}

// stopControlsInSeries stops control hosts one after another, the leader first, while operators publish documents on kept
// connections, backend servers report and a caller sends requests, whose responses check checks.
func stopControlsInSeries(t *testing.T, check func(r fleetResponse)) {
	t.Helper()
	if testing.Short() {
		t.Skip("stops take seconds")
	}
	f := newFleetEnv(t, 3, 1, 10)
	f.waitServing()
	var version, acknowledged atomic.Uint64
	version.Store(1)
	stop := make(chan struct{})
	var running sync.WaitGroup
	var publishers []*publisher
	for _, address := range f.seeds {
		p := &publisher{f: f, address: address, version: &version, acknowledged: &acknowledged, byStatus: map[int]int{}}
		publishers = append(publishers, p)
		for range 2 {
			running.Go(func() { p.run(stop) })
		}
	}
	running.Go(func() { f.callEntryUntil(stop, 0, check) })
	for i, c := range f.controlsLeaderFirst() {
		time.Sleep(500 * time.Millisecond)
		c.Stop()
		f.stopped[c] = true
		newest := acknowledged.Load()
		if got := f.documentVersion(); got < newest {
			t.Errorf("after stop %d, version %d is in force, want at least %d, which was acknowledged", i, got, newest)
		}
		f.restartControl(f.indexOf(c))
	}
	close(stop)
	running.Wait()
	for _, p := range publishers {
		t.Logf("%s: answers by status %v", p.address, p.byStatus)
	}
	if got := f.documentVersion(); got < acknowledged.Load() {
		t.Errorf("version %d is in force at the end, want at least %d", got, acknowledged.Load())
	}
}

// controlsLeaderFirst returns the control hosts, the leader first.
func (f *fleetEnv) controlsLeaderFirst() []*controller.Controller {
	leader := f.leader()
	all := []*controller.Controller{leader}
	for _, c := range f.controls {
		if c != leader {
			all = append(all, c)
		}
	}
	return all
}

// indexOf returns the index of the first control host of the environment that is c.
func (f *fleetEnv) indexOf(c *controller.Controller) int {
	for i, other := range f.controls {
		if other == c {
			return i
		}
	}
	f.t.Fatal("no such control host")
	return 0
}

// documentVersion returns the version of the document in force.
func (f *fleetEnv) documentVersion() uint64 {
	f.t.Helper()
	c, err := f.dialect.ReadDocument([]byte(f.readDocument()))
	if err != nil {
		f.t.Fatal(fmt.Errorf("reading the document in force: %w", err))
	}
	return c.Version()
}

// TestFleetStopControlProcess stops a control host, as a process, with signals in series while operators publish documents on kept
// connections. Each must get an answer.
func TestFleetStopControlProcess(t *testing.T) {
	if testing.Short() {
		t.Skip("stops take seconds")
	}
	tests := []struct {
		name    string
		signals []syscall.Signal
	}{
		{"SIGHUP before the stop", []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM}},
		{"signals during the stop", []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetEnv(t, 3, 1, 10)
			f.waitServing()
			replaced := f.controls[0]
			replaced.Stop()
			f.stopped[replaced] = true
			p := f.startControlProcess(f.controlIP(0))
			f.waitReplaced(f.controls[1], f.controlIP(0))
			var version, acknowledged atomic.Uint64
			version.Store(1)
			publisher := &publisher{f: f, address: f.seeds[0], version: &version, acknowledged: &acknowledged, byStatus: map[int]int{}}
			stop := make(chan struct{})
			var running sync.WaitGroup
			for range 6 {
				running.Go(func() { publisher.run(stop) })
			}
			f.eventually("documents are acknowledged", func() bool { return acknowledged.Load() > 0 })
			for _, signal := range tt.signals {
				p.signal(signal)
				time.Sleep(20 * time.Millisecond)
			}
			if code := p.wait(); code != 0 {
				t.Errorf("the process exited with code %d, want 0: %s", code, tail(p.logText()))
			}
			close(stop)
			running.Wait()
			t.Logf("answers by status %v", publisher.byStatus)
			if got := f.documentVersion(); got < acknowledged.Load() {
				t.Errorf("version %d is in force, want at least %d, which was acknowledged", got, acknowledged.Load())
			}
		})
	}
}
