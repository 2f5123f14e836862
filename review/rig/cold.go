package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the sheet of the Lisbon fleet for its dispatch service.
const (
	coldPerSecond     = 17
	coldTime          = 3 * time.Second
	coldOverageTenths = 15
	coldSlack         = 5
	dispatchSlots     = 6
	dispatchWork      = 30 * time.Millisecond
	dispatchLimit     = 2500 * time.Millisecond
	// crashRate is the number of requests in a second beyond which the stand-in of a cold server crashes: well above coldPerSecond.
	crashRate = 2 * coldPerSecond
)

// coldBound is the most requests that a cold server may get in a second.
func coldBound() int { return coldPerSecond*coldOverageTenths/10 + coldSlack }

const coldLimits = `  reportEveryMs: 1200
  drainMs: 2500
  graceSeconds: 8
  revokeMs: 5000
  configMs: 2500
  evacuateMs: 5000
  stallMs: 6000
  retryShare: 0.2
  retryWindowSeconds: 10
  retrySlack: 459
  coldOverage: 1.5
  coldSlack: 5
`

// dispatch returns a config with the dispatch service.
func dispatch() map[string]any {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "push.example", "path_prefix": prefix, "type": kind, "timeout_ms": dispatchLimit.Milliseconds(), "slo_ms": 200,
			"priority": 1, "service": "dispatch", "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
		}
	}
	return map[string]any{
		"routes": []any{route("send-commit", "/commit/", "non_idempotent"), route("status-lookup", "/status/", "idempotent")},
		"services": []any{map[string]any{
			"name": "dispatch", "health_path": "/healthz", "max_conns": 845, "protocol": "h1", "tls": false, "cold_s": coldTime.Seconds(), "cold_per_s": coldPerSecond,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "merchant", "api_keys": []string{"key-merchant"}, "priority": 1}},
	}
}

// startDispatch starts an installation with servers of the dispatch service in turn in three zones.
func startDispatch(rec *record, servers int) (*deployment, []*server, error) {
	d, err := newDeployment(rec, coldLimits, 2)
	if err != nil {
		return nil, nil, err
	}
	if err := d.start(5, 4); err != nil {
		return d, nil, err
	}
	var list []*server
	for i := range servers {
		s := d.newServer(fmt.Sprintf("i-%02d", i+1), "dispatch", zones[i%len(zones)], dispatchSlots, dispatchWork)
		s.coldFor, s.crashAt = coldTime, crashRate
		if err := s.start(false); err != nil {
			return d, nil, err
		}
		list = append(list, s)
	}
	if err := d.publish(dispatch()); err != nil {
		return d, nil, err
	}
	return d, list, d.awaitReady(15 * time.Second)
}

// sendDispatch sends commits and lookups at a rate that gives each server perServer requests a second, until ctx ends.
func sendDispatch(ctx context.Context, c *clients, perServer float64, servers int) {
	rate := perServer * float64(servers)
	var lookups sync.WaitGroup
	defer lookups.Wait()
	lookups.Go(func() { c.run(ctx, http.MethodGet, "/status/x", 0.2*rate, dispatchLimit) })
	c.run(ctx, http.MethodPost, "/commit/x", 0.8*rate, dispatchLimit)
}

// reborn cuts one of five servers off from the control hosts. Behind the cut it crashes and starts again under its id.
func reborn(ctx context.Context, rec *record, trouble bool) (verdict, error) {
	const servers, perServer = 5, 40
	d, list, err := startDispatch(rec, servers)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	c := newClients(d, "r", "push.example", "key-merchant")
	traffic, end := context.WithTimeout(ctx, 16*time.Second)
	defer end()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		sendDispatch(traffic, c, perServer, servers)
	}()
	time.Sleep(6 * time.Second)
	s := list[0]
	if trouble {
		s.awaitReport()
		rec.add("trouble", "%s is cut off from the control hosts", s.id)
		s.mu.Lock()
		s.reportsHeld = true
		s.mu.Unlock()
		s.crash("crash behind the cut")
		time.Sleep(500 * time.Millisecond)
		if err := s.start(true); err != nil {
			return verdict{}, err
		}
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		s.reportsHeld = false
		s.mu.Unlock()
		rec.add("trouble", "%s reaches the control hosts again", s.id)
	}
	<-ended
	most := s.mostInSecond()
	return verdict{most > coldBound(), fmt.Sprintf("%s got %d requests in a second while it was cold, at most %d are allowed; answers by status %v", s.id, most, coldBound(), c.answers)}, nil
}

// takeback evacuates a zone and takes it back. Its servers have become cold shortly before, and their reports of that arrive late.
func takeback(ctx context.Context, rec *record, trouble bool) (verdict, error) {
	const servers, perServer = 6, 40
	d, list, err := startDispatch(rec, servers)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	c := newClients(d, "r", "push.example", "key-merchant")
	traffic, end := context.WithTimeout(ctx, 24*time.Second)
	defer end()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		sendDispatch(traffic, c, perServer, servers)
	}()
	time.Sleep(5 * time.Second)
	if err := d.order(http.MethodPost, "/v1/evacuations/"+zones[0]+"/begin", nil, 5*time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(8 * time.Second)
	var zone []*server
	for _, s := range list {
		if s.zone == zones[0] {
			zone = append(zone, s)
			s.awaitReport()
			s.mu.Lock()
			s.coldUntil = time.Now().Add(coldTime)
			if trouble {
				s.reportDelay = 3 * time.Second
			}
			s.mu.Unlock()
			rec.add("trouble", "%s becomes cold; its reports arrive late: %t", s.id, trouble)
		}
	}
	if err := d.order(http.MethodPost, "/v1/evacuations/"+zones[0]+"/finish", nil, 5*time.Second); err != nil {
		return verdict{}, err
	}
	<-ended
	most := 0
	for _, s := range zone {
		most = max(most, s.mostInSecond())
	}
	return verdict{most > coldBound(), fmt.Sprintf("a server got %d requests in a second while it was cold, at most %d are allowed; answers by status %v", most, coldBound(), c.answers)}, nil
}
