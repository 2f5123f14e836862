package main

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	standin "savorywing.example/savorywing/standin/fleet"
	"savorywing.example/savorywing/version/catalogue"
)

// readinessPath is the path of the readiness check.
const readinessPath = "/v1/readyz"

// get sends a request of the plain service's caller to a port of an entry host.
func (f *fleetEnv) get(entry, port int, path, id string) (int, string, error) {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", f.entryIP(entry), port), time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return 0, "", err
	}
	if _, err := c.Write(bytesCase{method: "GET", target: path, chunks: -1}.encode(id, f.dialect)); err != nil {
		return 0, "", err
	}
	var resp fasthttp.Response
	if err := resp.Read(bufio.NewReader(c)); err != nil {
		return 0, "", err
	}
	return resp.StatusCode(), string(resp.Body()), nil
}

// TestFleetReadinessAtItsOwnAddress guards against a caller's request that the entry host answers itself, since its path
// is that of the readiness check, and against requests of callers that are served at the address of that check.
func TestFleetReadinessAtItsOwnAddress(t *testing.T) {
	f := newFleetEnv(t, 3, 2, 0, withPaths)
	doc := fleetDocument(2)
	doc.Routes = append(doc.Routes, catalogue.Route{Name: "all", Host: fleetHost, Prefix: "/v1/", Kind: catalogue.Idempotent, Timeout: 2 * time.Second,
		Objective: 200 * time.Millisecond, Services: []catalogue.WeightedService{{Service: fleetPlainService, Weight: 1}}, MaxAttempts: 2})
	if status := f.publish(doc); status != fasthttp.StatusOK {
		t.Fatalf("publishing the document: status %d", status)
	}
	n := 0
	ask := func(port int, path string) (status int, body string, ran bool) {
		n++
		id := fmt.Sprintf("ready-%d", n)
		status, body, err := f.get(0, port, path, id)
		if err != nil {
			t.Error(err)
		}
		return status, body, f.fleet.RunCount(id) > 0
	}
	callers, ready := f.port+2, f.port+3
	for _, forwarded := range []bool{false, true} {
		if forwarded {
			f.paths[0].Set(standin.CutReset)
		}
		f.eventually("the route is served", func() bool { status, _, ran := ask(callers, "/v1/other"); return ran && status == fasthttp.StatusOK })
		for _, tt := range []struct {
			path string
			port int
			want int
			ran  bool
		}{
			{readinessPath, callers, fasthttp.StatusOK, true},
			{readinessPath + "?", callers, fasthttp.StatusOK, true},
			{"/metrics", callers, fasthttp.StatusNotFound, false},
			{readinessPath, ready, fasthttp.StatusOK, false},
			{"/v1/other", ready, fasthttp.StatusNotFound, false},
			{"/book/look/x", ready, fasthttp.StatusNotFound, false},
		} {
			status, body, ran := ask(tt.port, tt.path)
			if status != tt.want || ran != tt.ran {
				t.Errorf("%s at port +%d, forwarded %t: status %d, %q, run by a server: %t, want %d and %t", tt.path, tt.port-f.port, forwarded, status, body, ran, tt.want, tt.ran)
			}
		}
	}
}
