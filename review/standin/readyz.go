package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { scenes["readyz"] = readyzScene }

// readyzScene reads what a server offers below /v1/ on a route with that prefix: /v1/stock without the trouble, and /v1/readyz with
// it.
func readyzScene(r *record, trouble bool) (bool, error) {
	n, err := newInstallation(r, 3, 2)
	if n != nil {
		defer n.close()
	}
	if err != nil {
		return false, err
	}
	const body = `{"register":"closed for stocktaking"}`
	for range 3 {
		if _, err := n.addServer(service, func(*request) answer { return answer{status: 200, body: body} }); err != nil {
			return false, err
		}
	}
	if err := n.publish(strings.Replace(config, `"path_prefix":"/lookup/"`, `"path_prefix":"/v1/"`, 1)); err != nil {
		return false, err
	}
	if err := n.awaitReady(); err != nil {
		return false, err
	}
	path := "/v1/stock"
	if trouble {
		path = "/v1/readyz"
	}
	broken, served := false, 0
	for i := range 20 {
		id := nextID()
		got := send(n.callerAddress(i%2), rawRequest(http.MethodGet, path, id, firstKey, nil), 1500*time.Millisecond)
		signature := got.header.Get("X-Savorywing-Server-Signature")
		r.add("client: %s GET %s: %s, signature %q, body %q", id, path, got, signature, got.body)
		if got.status/100 == 2 {
			served++
			broken = broken || signature == "" || string(got.body) != body
		}
		time.Sleep(20 * time.Millisecond)
	}
	ran := 0
	for _, s := range n.servers {
		for _, run := range s.allRuns() {
			ran++
			r.add("server %s ran %s, %s", s.id, run.id(), run.line)
		}
	}
	r.add("the servers ran %d requests", ran)
	if served == 0 {
		return false, fmt.Errorf("no request was answered with success")
	}
	return broken, nil
}
