package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/wire"
)

// TestFleetReportOfOwnAddress guards against a report with an address of a daemon: requests sent there come back, or go
// round among the entry hosts.
func TestFleetReportOfOwnAddress(t *testing.T) {
	f := newFleetEnv(t, 3, 2, 10)
	f.waitServing()
	addresses := map[string]string{
		"callers":   fmt.Sprintf("%s:%d", f.entryIP(0), f.port+2),
		"readiness": fmt.Sprintf("%s:%d", f.entryIP(0), f.port+3),
		"peers":     fmt.Sprintf("%s:%d", f.entryIP(0), f.port),
		"control":   f.seeds[0],
	}
	for round := range uint64(20) {
		for name, address := range addresses {
			f.sendReport(wire.Report{ID: "own-" + name, Born: time.Now().UnixMilli(), Sequence: round + 1, Service: fleetPlainService, DataCentre: "a", Slots: 6, Address: address}, nil, fasthttp.StatusOK)
		}
	}
	time.Sleep(500 * time.Millisecond)
	var served, sent atomic.Int64
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			for range 25 {
				sent.Add(1)
				r := f.send(i%2, []string{"/book/x", "/book/look/x"}[i/2%2], "", fleetKey, nil)
				if r.err == nil && r.status == fasthttp.StatusOK {
					served.Add(1)
				} else {
					t.Logf("%d %.80q %v", r.status, r.body, r.err)
				}
			}
		})
	}
	callers.Wait()
	if served.Load() != sent.Load() {
		t.Errorf("%d of %d requests were served", served.Load(), sent.Load())
	}
}
