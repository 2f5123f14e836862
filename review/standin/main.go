// Command scene plays the cases of the review: it starts the project's daemons as processes on loopback, and is the servers, the
// clients and the operator around them. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	host    = "ficu95.example"
	service = "wuno96b"
)

// config is that of a small deployment with one plain service. Its routes state what may be repeated.
const config = `{"version":VERSION,"routes":[
{"name":"r-retire","host":"ficu95.example","path_prefix":"/retire/","type":"non_idempotent","timeout_ms":800,"slo_ms":100,"priority":2,"service":"wuno96b","max_attempts":1,"public":false},
{"name":"r-lookup","host":"ficu95.example","path_prefix":"/lookup/","type":"idempotent","timeout_ms":800,"slo_ms":100,"priority":2,"service":"wuno96b","max_attempts":2,"public":false}],
"services":[{"name":"wuno96b","health_path":"/healthz","max_conns":208,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1},{"name":"zamo114","api_keys":["kq7vx0d31l5h8t2y6w4p"],"priority":1}]}`

const (
	firstTenant, firstKey   = "hule930", "n2ctnfzs989anu6wsjnb"
	secondTenant, secondKey = "zamo114", "kq7vx0d31l5h8t2y6w4p"
)

// scene plays a case and reports whether its rule was broken.
type scene func(r *record, trouble bool) (broken bool, err error)

var scenes = map[string]scene{}

func main() {
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scene NAME FOLDER")
		os.Exit(2)
	}
	os.Exit(play(scenes[os.Args[1]], filepath.Join(os.Args[2], "record.txt")))
}

func play(s scene, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "scene:", err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("trouble: %t", trouble)
	broken, err := s(r, trouble)
	switch {
	case err != nil:
		r.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "scene:", err)
		return 2
	case broken:
		r.add("the rule was broken")
		return 1
	}
	r.add("the rule held")
	return 0
}
