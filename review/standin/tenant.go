package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { scenes["tenant"] = tenantScene }

// tenantScene sends requests of one tenant whose headers name another one, in one line without the trouble and in two with it.
func tenantScene(r *record, trouble bool) (bool, error) {
	n, err := newInstallation(r, 3, 2)
	if n != nil {
		defer n.close()
	}
	if err != nil {
		return false, err
	}
	for range 3 {
		if _, err := n.addServer(service, func(*request) answer { return answer{status: 200, body: "done"} }); err != nil {
			return false, err
		}
	}
	if err := n.publish(config); err != nil {
		return false, err
	}
	if err := n.awaitReady(); err != nil {
		return false, err
	}
	lines := []string{"X-Savorywing-Tenant: " + secondTenant}
	if trouble {
		lines = append(lines, "X-Savorywing-Tenant: "+secondTenant)
	}
	served := 0
	for i := range 20 {
		id := nextID()
		got := send(n.callerAddress(i%2), rawRequest(http.MethodPost, "/retire/asset", id, firstKey, []byte("asset 7"), lines...), 1500*time.Millisecond)
		r.add("client: %s with the key of %s and %d lines that name %s: %s", id, firstTenant, len(lines), secondTenant, got)
		if got.status == http.StatusOK {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	broken := false
	for _, s := range n.servers {
		for _, run := range s.allRuns() {
			tenants := run.header.Values("X-Savorywing-Tenant")
			r.add("server %s ran %s for the tenants %q", s.id, run.id(), tenants)
			for _, tenant := range tenants {
				broken = broken || tenant != firstTenant
			}
		}
	}
	return broken, nil
}
