package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.yaml.in/yaml/v3"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/controlapi"
	"savorywing.example/savorywing/wire"
)

// envPrevious is the environment variable with the path of an earlier version's program.
const envPrevious = "SAVORYWING_PREVIOUS"

// daemonProcess is a daemon of the fleet that runs as a process.
type daemonProcess struct {
	*process
	role, ip, dataDir, file string
}

// startProcesses starts all daemons as processes of f.program.
func (f *fleetEnv) startProcesses(subnet, controls, entries int) {
	for i := range controls {
		f.controlProcesses = append(f.controlProcesses, f.newDaemonProcess(savorywing.RoleControl, fmt.Sprintf("127.%d.%d.%d", processOctet(), subnet, 10+i)))
	}
	for i := range entries {
		f.entryProcesses = append(f.entryProcesses, f.newDaemonProcess(savorywing.RoleEntry, fmt.Sprintf("127.%d.%d.%d", processOctet(), subnet, 100+i)))
	}
}

func (f *fleetEnv) newDaemonProcess(role, ip string) *daemonProcess {
	f.t.Helper()
	d := &daemonProcess{role: role, ip: ip, file: filepath.Join(f.t.TempDir(), "settings.yaml")}
	if role == savorywing.RoleControl {
		d.dataDir = f.t.TempDir()
	}
	f.startDaemon(d, f.program, true)
	f.t.Cleanup(func() { d.kill() })
	return d
}

// startDaemon starts a daemon with a program; an empty one is the test binary.
func (f *fleetEnv) startDaemon(d *daemonProcess, program string, first bool) {
	f.t.Helper()
	s := f.settings(d.role, d.ip, first)
	s.DataDir = d.dataDir
	b, err := yaml.Marshal(s)
	if err != nil {
		f.t.Fatal(err)
	}
	f.writeFile(d.file, string(b))
	d.process = &process{t: f.t, name: s.Name, program: program, args: []string{"run", "--settings", d.file}, env: envProgram + "=1"}
	d.start()
}

// replace stops a daemon and starts it again with this version's program.
func (f *fleetEnv) replace(d *daemonProcess) {
	f.t.Helper()
	d.signal(syscall.SIGTERM)
	if code := d.wait(); code != 0 {
		f.t.Errorf("%s exited with code %d, want 0: %s", d.name, code, tail(d.logText()))
	}
	f.startDaemon(d, "", false)
}

// TestFleetUpgrade replaces the daemons of an earlier version, one after another, by this one under load. Both versions run side
// by side meanwhile. The earlier version's entry hosts may lose requests when they stop; no other request may fail.
func TestFleetUpgrade(t *testing.T) {
	previous := os.Getenv(envPrevious)
	if previous == "" {
		t.Skipf("%s names no program of an earlier version", envPrevious)
	}
	tests := []struct {
		name         string
		controlFirst bool
	}{
		{"control hosts first", true},
		{"entry hosts first", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleetEnv(t, 3, 3, 20, func(f *fleetEnv) { f.program = previous })
			f.waitServing()
			stop := make(chan struct{})
			var served, failed atomic.Int64
			var callers sync.WaitGroup
			var replaced [3]atomic.Bool
			for i := range f.entryProcesses {
				callers.Go(func() { f.callThroughUpgrade(stop, i, &replaced[i], &served, &failed) })
			}
			controls := func() {
				for i, d := range f.controlProcesses {
					f.replace(d)
					time.Sleep(1500 * time.Millisecond)
					if i+1 < len(f.controlProcesses) {
						f.checkNotEvacuated(i)
					}
				}
			}
			entries := func() {
				for i, d := range f.entryProcesses {
					replaced[i].Store(true)
					f.replace(d)
					f.eventually("the replaced host serves", func() bool { return f.send(i, "/talk/x", smallModel, fleetKey, nil).status == fasthttp.StatusOK })
					replaced[i].Store(false)
				}
			}
			steps := []func(){controls, entries}
			if !tt.controlFirst {
				steps[0], steps[1] = entries, controls
			}
			if status := f.publish(fleetDocument(2)); status != fasthttp.StatusOK {
				t.Errorf("status %d for a document before the upgrade", status)
			}
			steps[0]()
			before := f.readDocument()
			if status := f.publish(fleetDocument(3)); status != fasthttp.StatusOK {
				t.Errorf("status %d for a document in the middle of the upgrade", status)
			}
			steps[1]()
			close(stop)
			callers.Wait()
			if after := f.readDocument(); after == before {
				t.Error("the document that was accepted in the middle of the upgrade is lost")
			}
			f.evacuate("a", true)
			f.eventually("rejections", func() bool {
				return f.send(0, "/book/look/x", "", fleetKey, nil).status == fasthttp.StatusServiceUnavailable
			})
			f.evacuate("a", false)
			f.waitServing()
			t.Logf("%d requests were served, %d were not", served.Load(), failed.Load())
			if n := failed.Load(); n > 0 {
				t.Errorf("%d requests at hosts that were not being replaced failed, want 0", n)
			}
		})
	}
}

// checkNotEvacuated checks that a control host that has been replaced acknowledges no evacuation while others haven't been: they would
// lose it.
func (f *fleetEnv) checkNotEvacuated(control int) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := controlapi.NewClient(f.dialect, f.seeds[control:control+1]).Evacuate(ctx, wire.Evacuate{DataCentre: "a", On: true}); err == nil {
		f.t.Error("an evacuation was acknowledged beside control hosts that would lose it")
	}
}

// callThroughUpgrade sends requests to one entry host until stop is closed. Those around its own replacement don't count.
func (f *fleetEnv) callThroughUpgrade(stop <-chan struct{}, entry int, replaced *atomic.Bool, served, failed *atomic.Int64) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		path, model := "/book/look/x", ""
		if n%3 == 0 {
			path, model = "/talk/x", smallModel
		}
		before := replaced.Load()
		r := f.send(entry, path, model, fleetKey, nil)
		switch {
		case before || replaced.Load():
		case r.err == nil && r.status == fasthttp.StatusOK:
			served.Add(1)
		default:
			failed.Add(1)
			f.t.Logf("host %d, %s: status %d, error %v: %s", entry, path, r.status, r.err, tail(r.body))
		}
	}
}
