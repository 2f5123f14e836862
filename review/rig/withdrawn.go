package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the sheet of the asset ledger for its application service.
const (
	registerSlots = 6
	registerWork  = 15 * time.Millisecond
	registerLimit = 1500 * time.Millisecond
	retiresPerS   = 14
	lookupsPerS   = 5.57
	drainTime     = 2 * time.Second
	graceTime     = 8 * time.Second
	// freezeTime is how long a control host stands still.
	freezeTime = 4 * time.Second
)

const registerLimits = `  reportEveryMs: 1200
  drainMs: 2000
  graceSeconds: 8
  revokeMs: 5000
  configMs: 2000
  stallMs: 5000
  retryShare: 0.2
  retryWindowSeconds: 10
  retrySlack: 223
`

// register returns a config with two application services: retirements go to one, lookups to the other.
func register() map[string]any {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "ledger.example", "path_prefix": prefix, "type": kind, "timeout_ms": registerLimit.Milliseconds(), "slo_ms": 100,
			"priority": 2, "service": service, "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 208, "protocol": "h1", "tls": false}
	}
	return map[string]any{
		"routes":   []any{route("tag-retire", "/retire/", "non_idempotent", "register-api"), route("stock-lookup", "/lookup/", "idempotent", "stock-api")},
		"services": []any{service("register-api"), service("stock-api")},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "college", "api_keys": []string{"key-college"}, "priority": 1}},
	}
}

// startRegister starts an installation with three servers for retirements and one for lookups, which is returned.
func startRegister(rec *record) (*deployment, *server, error) {
	d, err := newDeployment(rec, registerLimits, 2)
	if err != nil {
		return nil, nil, err
	}
	if err := d.start(5, 4); err != nil {
		return d, nil, err
	}
	for i := range zones {
		if err := d.newServer(fmt.Sprintf("i-retire-%d", i+1), "register-api", zones[i], registerSlots, registerWork).start(false); err != nil {
			return d, nil, err
		}
	}
	s := d.newServer("i-lookup", "stock-api", zones[0], registerSlots, registerWork)
	if err := s.start(false); err != nil {
		return d, nil, err
	}
	if err := d.publish(register()); err != nil {
		return d, nil, err
	}
	return d, s, d.awaitReady(15 * time.Second)
}

// withdrawn restarts the server of the lookups in place, as planned work: it deregisters, serves on for the time to drain, ends, and starts
// again under its id. The control host to which it reports stands still meanwhile, and gets the call of before as it goes on.
func withdrawn(ctx context.Context, rec *record, trouble bool) (verdict, error) {
	d, s, err := startRegister(rec)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	retires, lookups := newClients(d, "retire", "ledger.example", "key-college"), newClients(d, "lookup", "ledger.example", "key-college")
	traffic, end := context.WithTimeout(ctx, 50*time.Second)
	defer end()
	var sending sync.WaitGroup
	sending.Go(func() { retires.run(traffic, http.MethodPost, "/retire/x", retiresPerS, registerLimit) })
	sending.Go(func() { lookups.run(traffic, http.MethodGet, "/lookup/x", lookupsPerS, registerLimit) })
	defer sending.Wait()
	time.Sleep(4 * time.Second)
	s.awaitReport()
	frozen := d.controlAt(s.reportAddress())
	if frozen == nil {
		end()
		return verdict{}, errors.New("the server was told no address for its reports")
	}
	var thaw sync.WaitGroup
	if trouble {
		rec.add("trouble", "%s stands still", frozen.name)
		frozen.signal(syscall.SIGSTOP)
		thaw.Go(func() {
			time.Sleep(freezeTime)
			frozen.signal(syscall.SIGCONT)
			rec.add("trouble", "%s goes on", frozen.name)
		})
	}
	if _, err := s.deregister(); err != nil {
		end()
		return verdict{}, err
	}
	time.Sleep(drainTime + 100*time.Millisecond)
	s.crash("it has drained")
	if err := s.start(false); err != nil {
		end()
		return verdict{}, err
	}
	thaw.Wait()
	sending.Wait()
	served, sent := lookups.counts()
	servedRetires, sentRetires := retires.counts()
	share, all := float64(served)/float64(sent), float64(served+servedRetires)/float64(sent+sentRetires)
	return verdict{share < all/4, fmt.Sprintf("%d of %d lookups were served (%.2f), and %.2f of all requests; a quarter of that is the least", served, sent, share, all)}, nil
}

// controlAt returns the control host with a control address, or nil.
func (d *deployment) controlAt(address string) *daemon {
	for _, c := range d.controls {
		if fmt.Sprintf("%s:%d", c.ip, d.controlPort) == address {
			return c
		}
	}
	return nil
}

// reportAddress returns the control address to which the server reports; empty if none was named.
func (s *server) reportAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reportTo
}
