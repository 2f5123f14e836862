package main

import (
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// keepCalling sends requests on one connection until the host closes it, and then on new ones until the host refuses them. Each
// must be answered, the last one on a connection included.
func (f *fleetEnv) keepCalling(entry int, path, model string, answered *atomic.Int64) {
	var k *keptCaller
	for {
		if k == nil {
			var err error
			if k, err = f.newKeptCaller(entry); err != nil {
				return
			}
		}
		r := k.send(path, model)
		if r.err != nil {
			f.t.Errorf("%s to %s: %v, want an answer", r.requestID, path, r.err)
			return
		}
		answered.Add(1)
		if r.closes {
			_ = k.conn.Close()
			k = nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestFleetStopProcesses stops entry hosts, as processes, under load in several ways. Their callers use open connections until
// the host closes them, and every request must be answered.
func TestFleetStopProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("stops take seconds")
	}
	tests := []struct {
		name string
		stop func(f *fleetEnv, hosts []*process)
	}{
		{"one after another", func(_ *fleetEnv, hosts []*process) {
			for _, p := range hosts {
				p.signal(syscall.SIGTERM)
				time.Sleep(400 * time.Millisecond)
			}
		}},
		{"at once, a second signal", func(_ *fleetEnv, hosts []*process) {
			for range 2 {
				for _, p := range hosts {
					p.signal(syscall.SIGTERM)
				}
				time.Sleep(700 * time.Millisecond)
			}
		}},
		{"SIGHUP and a new document meanwhile", func(f *fleetEnv, hosts []*process) {
			hosts[0].signal(syscall.SIGTERM)
			for version := range 4 {
				time.Sleep(500 * time.Millisecond)
				hosts[0].signal(syscall.SIGHUP)
				hosts[1].signal(syscall.SIGHUP)
				f.publish(fleetDocument(uint64(version + 2)))
			}
			hosts[1].signal(syscall.SIGTERM)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleetEnv(t, 3, 1, 20)
			var hosts []*process
			for i := range 2 {
				p, _ := f.startEntryProcess(i + 1)
				hosts = append(hosts, p)
				f.eventually("the process serves", func() bool { return f.send(i+1, "/book/look/x", "", fleetKey, nil).status == fasthttp.StatusOK })
			}
			f.waitServing()
			var answered atomic.Int64
			var callers sync.WaitGroup
			for i := range hosts {
				for range 6 {
					callers.Go(func() { f.keepCalling(i+1, "/book/look/x", "", &answered) })
					callers.Go(func() { f.keepCalling(i+1, "/talk/x", smallModel, &answered) })
				}
			}
			time.Sleep(500 * time.Millisecond)
			tt.stop(f, hosts)
			callers.Wait()
			for _, p := range hosts {
				if code := p.wait(); code != 0 {
					t.Errorf("the process exited with code %d, want 0", code)
				}
				if !strings.Contains(p.logText(), `"event":"stopped","cutOff":0`) {
					t.Errorf("the process cut requests off, or didn't say: %s", tail(p.logText()))
				}
			}
			if answered.Load() == 0 {
				t.Error("no request was answered")
			}
			t.Logf("%d requests were answered", answered.Load())
		})
	}
}
