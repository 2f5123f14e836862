package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/standin"
)

const (
	servePeerPort     = 17350
	serveOperatorPort = 17351
	serveServices     = 3
	serviceTime       = 5 * time.Millisecond
	serviceSlots      = 16
	announceInterval  = 200 * time.Millisecond
)

const serveSettings = `dataCentres:
  a: {region: here}
fabricDomains:
  fabric: {dataCentre: a, checksFencing: true}
organisations:
  one: {share: 1}
classes:
  desk:
    timeZone: UTC
    windows:
      always: {from: "00:00", to: "24:00", firstToken: 3s, betweenTokens: 1s, wholeAnswer: 6s}
services:
  bookings: {prefix: /book}
timing: {election: 500ms, freshness: 4s, confirm: 200ms, lease: 1s, poll: 250ms, longestOrder: 500ms, balancerNotice: 300ms}
`

// assembleServe starts daemons of savorywing serve, all of them voters, and services.
func (r *run) assembleServe() error {
	keys, token := filepath.Join(r.cfg.Dir, "keys"), filepath.Join(r.cfg.Dir, "token")
	if err := errors.Join(os.MkdirAll(r.cfg.Dir, 0o700), os.WriteFile(keys, []byte(apiKey+": {organisation: one, class: desk}\n"), settingsMode),
		os.WriteFile(token, []byte("soak"), settingsMode)); err != nil {
		return err
	}
	hosts := "hosts:\n"
	var callers []string
	for i := range r.cfg.Entry {
		hosts += fmt.Sprintf("  entry-%d: {dataCentre: a, peers: %q, roles: [entry, control]}\n", i, net.JoinHostPort(r.ip(1, i), fmt.Sprint(servePeerPort)))
		callers = append(callers, r.entryAddress(i))
	}
	for i := range r.cfg.Entry {
		dir := filepath.Join(r.cfg.Dir, fmt.Sprintf("entry-%d", i))
		folder := filepath.Join(dir, "settings")
		local := fmt.Sprintf("daemon:\n  host: entry-%d\n  peers: %q\n  callers: %q\n  operators: %q\n  keysFile: %q\n  operatorsFile: %q\n  dataFolder: %q\n",
			i, net.JoinHostPort(r.ip(1, i), fmt.Sprint(servePeerPort)), r.entryAddress(i), net.JoinHostPort(r.ip(1, i), fmt.Sprint(serveOperatorPort)),
			keys, token, filepath.Join(dir, "data"))
		if err := errors.Join(os.MkdirAll(folder, 0o700), os.WriteFile(filepath.Join(folder, "settings.yaml"), []byte(serveSettings+hosts+local), settingsMode)); err != nil {
			return err
		}
		p := &process{name: fmt.Sprintf("entry-%d", i), binary: r.cfg.Binary, dir: dir, serveFolder: folder}
		if err := p.start(true); err != nil {
			return err
		}
		r.processes = append(r.processes, p)
	}
	for i := range serveServices {
		s, err := standin.Start(standin.Config{
			Host: fmt.Sprintf("service-%d", i), Listen: net.JoinHostPort(r.ip(2, i), "0"), DataCentre: "a", Kind: savorywing.KindService, Service: plainService,
			Slots: serviceSlots, FirstToken: serviceTime, AnnounceInterval: announceInterval, EntryHosts: callers,
		})
		if err != nil {
			return err
		}
		r.services = append(r.services, s)
	}
	r.protocol = serveProtocol{r}
	return nil
}

// serveProtocol is the protocol of savorywing serve. Each request has an Idempotency-Key of its own, which is its ID.
type serveProtocol struct{ run *run }

func (serveProtocol) calls() []request { return []request{{path: "/book/x"}} }

func (serveProtocol) writeRequest(req *fasthttp.Request, id string, _ request) {
	req.Header.SetHost(callerHost)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Idempotency-Key", id)
	req.SetBodyString("a booking")
}

func (serveProtocol) check(string, request, *fasthttp.Response) error { return nil }

func (serveProtocol) statesNotRun(resp *fasthttp.Response) bool {
	return resp.StatusCode() != fasthttp.StatusOK && strings.Contains(string(resp.Body()), "notRun")
}

func (p serveProtocol) runCount(id string) int {
	n := 0
	for _, s := range p.run.services {
		n += s.Stats().Executions[id]
	}
	return n
}
