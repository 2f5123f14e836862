package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/connection/controlapi"
	standin "savorywing.example/savorywing/standin/fleet"
	"savorywing.example/savorywing/wire"
)

const (
	testEvacuationMs = 1500
	emptied          = "b"
)

// operator returns an operator's client of the fleet.
func (f *fleetEnv) operator() *controlapi.Client { return controlapi.NewClient(f.dialect, f.seeds) }

// evacuate gives an operator's order, which must be acknowledged.
func (f *fleetEnv) evacuate(dataCentre string, on bool) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), fleetTimeout)
	defer cancel()
	if err := f.operator().Evacuate(ctx, wire.Evacuate{DataCentre: dataCentre, On: on}); err != nil {
		f.t.Fatal(err)
	}
}

// arrivalsIn returns how many requests have arrived at the servers of a data centre since a time.
func (f *fleetEnv) arrivalsIn(dataCentre string, since time.Time) int {
	n := 0
	for _, s := range f.fleet.Servers() {
		if s.DataCentre != dataCentre {
			continue
		}
		for _, at := range s.Arrivals() {
			if at.After(since) {
				n++
			}
		}
	}
	return n
}

// newEvacuationEnv starts a fleet of processes with backend servers in two data centres.
func newEvacuationEnv(t *testing.T, opts ...func(f *fleetEnv)) *fleetEnv {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	f := newFleetEnv(t, 3, 2, 10, append(opts, func(f *fleetEnv) { f.program, f.evacuationMs = program, testEvacuationMs })...)
	for i := range 10 {
		f.addServer(standin.ServerConfig{ID: fmt.Sprintf("emptied-%d", i), Service: fleetEngineService, Engine: true, Slots: 8,
			Address: fmt.Sprintf("127.%d.%d.%d:0", processOctet(), (f.port-21000)/10, 170+i), DataCentre: emptied, FabricDomain: "far"})
	}
	f.addServer(standin.ServerConfig{ID: "emptied-plain", Service: fleetPlainService, Slots: 6,
		Address: fmt.Sprintf("127.%d.%d.%d:0", processOctet(), (f.port-21000)/10, 190), DataCentre: emptied})
	f.waitServing()
	return f
}

// leadingProcess returns the process that leads the control hosts.
func (f *fleetEnv) leadingProcess() *daemonProcess {
	f.t.Helper()
	var leader *daemonProcess
	f.eventually("a leader", func() bool {
		for i, address := range f.seeds {
			if s, err := controlapi.NewClient(f.dialect, []string{address}).Status(); err == nil && s.Leading {
				leader = f.controlProcesses[i]
			}
		}
		return leader != nil
	})
	return leader
}

// TestFleetEvacuation evacuates a data centre under load. Once the bound has passed after the acknowledgement, no request may reach a server
// there, although the leader is killed, a server there has just started, an entry host has just started, and all daemons are killed and one disk is
// lost, until the evacuation is finished.
func TestFleetEvacuation(t *testing.T) {
	f := newEvacuationEnv(t)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	defer callers.Wait()
	defer close(stop)
	for entry := range f.entryProcesses {
		for _, path := range []string{"/talk/x", "/book/look/x"} {
			callers.Go(func() { f.callThroughKills(stop, entry, path) })
		}
	}
	start := time.Now()
	f.eventually("requests in the data centre", func() bool { return f.arrivalsIn(emptied, start) > 20 })
	f.evacuate(emptied, true)
	inForce := time.Now().Add(testEvacuationMs * time.Millisecond)
	f.evacuate(emptied, true)
	f.leadingProcess().kill()
	time.Sleep(time.Until(inForce))
	f.addServer(standin.ServerConfig{ID: "emptied-late", Service: fleetPlainService, Slots: 6,
		Address: fmt.Sprintf("127.%d.%d.%d:0", processOctet(), (f.port-21000)/10, 191), DataCentre: emptied})
	f.restart(f.entryProcesses[0])
	f.waitServing()
	var killed sync.WaitGroup
	for _, d := range append(f.controlProcesses, f.entryProcesses...) {
		killed.Go(d.kill)
	}
	killed.Wait()
	if err := os.RemoveAll(f.controlProcesses[0].dataDir); err != nil {
		t.Fatal(err)
	}
	for _, d := range append(f.controlProcesses, f.entryProcesses...) {
		f.startDaemon(d, "", false)
	}
	f.waitServing()
	if n := f.arrivalsIn(emptied, inForce); n > 0 {
		t.Errorf("%d requests reached the evacuated data centre", n)
	}
	var s controlapi.Status
	f.eventually("the status", func() (ok bool) { s, _ = f.operator().Status(); return len(s.Evacuated) > 0 })
	if strings.Join(s.Evacuated, " ") != emptied {
		t.Errorf("the status has %v", s.Evacuated)
	}
	f.evacuate(emptied, false)
	f.evacuate(emptied, false)
	finished := time.Now()
	f.eventually("requests in the data centre that is back", func() bool { return f.arrivalsIn(emptied, finished) > 20 })
}

// callThroughKills sends requests of one kind to an entry host until stop is closed, whatever becomes of them.
func (f *fleetEnv) callThroughKills(stop <-chan struct{}, entry int, path string) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
			f.send(entry, path, []string{largeModel, smallModel}[n%2], fleetKey, nil)
		}
	}
}

func (f *fleetEnv) restart(d *daemonProcess) {
	d.kill()
	f.startDaemon(d, "", false)
}

// TestFleetAllEvacuated checks, with a control host lost, what callers get while all data centres are evacuated, and what operators get for
// orders that can't be obeyed.
func TestFleetAllEvacuated(t *testing.T) {
	f := newEvacuationEnv(t)
	f.controlProcesses[0].kill()
	for _, dataCentre := range []string{"a", emptied} {
		f.evacuate(dataCentre, true)
	}
	for _, path := range []string{"/talk/x", "/book/x"} {
		var r fleetResponse
		f.eventually("a rejection", func() bool { r = f.send(0, path, smallModel, fleetKey, nil); return r.status != fasthttp.StatusOK })
		if after, err := strconv.ParseFloat(r.retryAfter, 64); r.status != fasthttp.StatusServiceUnavailable || err != nil || after <= 0 {
			t.Errorf("%s: status %d, Retry-After %q, error %v", path, r.status, r.retryAfter, r.err)
		}
	}
	for _, dataCentre := range []string{"a", emptied} {
		f.evacuate(dataCentre, false)
	}
	f.waitServing()
	for _, name := range []string{"nowhere", strings.Repeat("x", 300), "\x01"} {
		ctx, cancel := context.WithTimeout(context.Background(), fleetTimeout)
		if err := f.operator().Evacuate(ctx, wire.Evacuate{DataCentre: name, On: true}); !errors.Is(err, controlapi.ErrRefused) {
			t.Errorf("%.10q: got %v, want a refusal", name, err)
		}
		cancel()
	}
	var out bytes.Buffer
	root := newRoot()
	root.SetOut(&out)
	root.SetArgs([]string{"evacuate", "begin", "nowhere", "--control", strings.Join(f.seeds, ",")})
	if err := root.Execute(); !errors.Is(err, controlapi.ErrRefused) {
		t.Errorf("the command for an unknown data centre: %v", err)
	}
	root.SetArgs([]string{"evacuate", "begin", emptied, "--control", strings.Join(f.seeds, ",")})
	if err := root.Execute(); err != nil {
		t.Error(err)
	}
	root.SetArgs([]string{"status", "--control", strings.Join(f.seeds, ",")})
	f.eventually("a confirmed status", func() bool {
		out.Reset()
		return root.Execute() == nil && strings.Contains(out.String(), "confirmed: true")
	})
	if !strings.Contains(out.String(), "evacuated: "+emptied) {
		t.Errorf("the status after the command:\n%s", out.String())
	}
}

// TestFleetEvacuationUnheard guards against an entry host that loses its paths to the control hosts just before an evacuation, and goes on sending
// requests to the data centre as long as it may go on with its document.
func TestFleetEvacuationUnheard(t *testing.T) {
	f := newFleetEnv(t, 3, 1, 10, withPaths, func(f *fleetEnv) { f.evacuationMs = testEvacuationMs })
	f.addServer(standin.ServerConfig{ID: "emptied-plain", Service: fleetPlainService, Slots: 6,
		Address: fmt.Sprintf("127.%d.%d.%d:0", processOctet(), (f.port-21000)/10, 190), DataCentre: emptied})
	f.waitServing()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	defer callers.Wait()
	defer close(stop)
	callers.Go(func() { f.callThroughKills(stop, 0, "/book/look/x") })
	start := time.Now()
	f.eventually("requests in the data centre", func() bool { return f.arrivalsIn(emptied, start) > 5 })
	f.peerPaths[0].Set(standin.CutSilent)
	f.evacuate(emptied, true)
	inForce := time.Now().Add(testEvacuationMs * time.Millisecond)
	time.Sleep(time.Until(inForce.Add(time.Second)))
	f.peerPaths[0].Set(standin.NoCut)
	f.waitServing()
	if n := f.arrivalsIn(emptied, inForce); n > 0 {
		t.Errorf("%d requests reached the evacuated data centre", n)
	}
}
