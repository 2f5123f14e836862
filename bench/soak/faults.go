package soak

import (
	"encoding/json"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/standin/fleet"
	"savorywing.example/savorywing/version/catalogue"
)

// publish sends a document to the control hosts in turn and tells whether one acknowledged it.
func (r *run) publish(p catalogue.Document, within time.Duration) bool {
	deadline := time.Now().Add(within)
	for i := 0; time.Now().Before(deadline); i++ {
		status, _ := r.publishOnce(i%r.cfg.Control, func(h *fasthttp.RequestHeader) []byte { return r.cfg.Dialect.WritePublish(h, p) })
		switch {
		case status == fasthttp.StatusOK:
			return true
		case status >= 400 && status < 500:
			r.violate("a valid document of version %d was refused with %d", p.Version, status)
			return false
		}
		time.Sleep(servePause)
	}
	return false
}

// checkRead demands that no control host answers with a document older than one acknowledged before the call.
func (r *run) checkRead(when string) {
	for i := range r.cfg.Control {
		acked := r.acked.Load()
		status, body := r.publishOnce(i, func(h *fasthttp.RequestHeader) []byte { r.cfg.Dialect.WriteRead(h); return nil })
		if status != fasthttp.StatusOK {
			continue
		}
		var got struct{ Version uint64 }
		if err := json.Unmarshal(body, &got); err != nil {
			r.violate("control host %d answered a read with no document: %v", i, err)
			continue
		}
		if got.Version < acked {
			r.violate("%s control host %d reads version %d after %d was acknowledged", when, i, got.Version, acked)
		}
	}
}

// trouble injects faults, in series and overlapping, for the length of the run.
func (r *run) trouble() {
	for time.Since(r.start) < r.cfg.FaultDuration {
		time.Sleep(time.Duration(r.random.ExpFloat64() * float64(faultPause)))
		length := time.Duration(r.random.Int64N(int64(longestHarm)))
		switch x := r.random.IntN(10); {
		case x < 4:
			r.harmProcess(length)
		case x < 8:
			r.harmServer(length)
		default:
			r.harmLink(length)
		}
	}
}

// later carries a repair out after a time; the run waits for all of them.
func (r *run) later(d time.Duration, repair func()) {
	r.harm.Add(1)
	go func() {
		defer r.harm.Done()
		time.Sleep(d)
		repair()
	}()
}

// harmProcess stops, kills or freezes one daemon. Fewer than half of the control hosts are harmed at once.
func (r *run) harmProcess(d time.Duration) {
	p := r.processes[r.random.IntN(len(r.processes))]
	kind := r.random.IntN(4)
	if !p.running() || p.frozen || !r.reserve(p) {
		return
	}
	switch kind {
	case 0:
		r.note("%s is frozen for %v", p.name, d)
		p.signal(syscall.SIGSTOP)
		r.later(d, func() {
			p.signal(syscall.SIGCONT)
			r.release(p)
		})
	case 1:
		r.note("%s is stopped in order", p.name)
		r.later(0, func() {
			if !p.end(syscall.SIGTERM, grace+2*time.Second) {
				r.violate("%s does not end after SIGTERM", p.name)
			}
			r.restart(p, d)
		})
	case 2:
		r.note("%s is killed", p.name)
		p.end(syscall.SIGKILL, time.Second)
		r.later(0, func() { r.restart(p, d) })
	default:
		r.note("%s is killed and loses its disk", p.name)
		p.end(syscall.SIGKILL, time.Second)
		if err := p.wipe(); err != nil {
			r.violate("%v", err)
		}
		r.later(0, func() { r.restart(p, d) })
	}
}

// catchUp is how long a control host that is back still counts as lost.
const catchUp = 3 * time.Second

func (r *run) restart(p *process, d time.Duration) {
	time.Sleep(d)
	if err := p.start(false); err != nil {
		r.violate("%v", err)
		return
	}
	if p.control {
		time.Sleep(catchUp)
	}
	r.release(p)
}

// reserve tells whether a process may be harmed now: one at a time, and few enough control hosts at once.
func (r *run) reserve(p *process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.harmed || (p.control && r.controlsDown >= (r.cfg.Control-1)/2) {
		return false
	}
	p.harmed = true
	if p.control {
		r.controlsDown++
	}
	return true
}

func (r *run) release(p *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.harmed = false
	if p.control {
		r.controlsDown--
	}
}

// harmServer kills an engine, whose place an empty one takes, or makes a server misbehave.
func (r *run) harmServer(d time.Duration) {
	s := r.servers[r.random.IntN(len(r.servers))]
	switch r.random.IntN(5) {
	case 0:
		if !s.Engine {
			return
		}
		r.note("%s is lost for good", s.ID)
		domain := s.FabricDomain
		s.Kill()
		r.later(d, func() {
			if err := r.addServer(engineService, domain); err != nil {
				r.violate("%v", err)
			}
		})
	case 1:
		r.harmWith(s, "carries orders out late", fleet.Faults{OrderDelay: d/4 + time.Second}, d)
	case 2:
		r.harmWith(s, "is cut off from control", fleet.Faults{DropReports: true}, d)
	case 3:
		r.harmWith(s, "breaks streams off", fleet.Faults{TruncateAfter: 5}, d)
	default:
		r.harmWith(s, "loses answers", fleet.Faults{LoseAnswer: true}, d)
	}
}

func (r *run) harmWith(s *fleet.Server, what string, f fleet.Faults, d time.Duration) {
	r.note("%s %s for %v", s.ID, what, d)
	s.SetFaults(f)
	r.later(d, func() { s.SetFaults(fleet.Faults{}) })
}

// harmLink delays, silences, cuts one way or resets the connections to one server.
func (r *run) harmLink(d time.Duration) {
	r.mu.Lock()
	rel := r.relays[r.random.IntN(len(r.relays))]
	r.mu.Unlock()
	names := map[mode]string{delay: "delayed", silence: "silent", oneWay: "cut one way"}
	if r.random.IntN(4) == 0 {
		r.note("connections to %s are reset", rel.target)
		rel.reset()
		return
	}
	m := []mode{delay, silence, oneWay}[r.random.IntN(3)]
	r.note("connections to %s are %s for %v", rel.target, names[m], d)
	rel.set(m)
	r.later(d, func() { rel.set(pass) })
}
