package soak

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/standin/fleet"
	"savorywing.example/savorywing/version/catalogue"
)

// publish sends a document to the control hosts in turn until one acknowledges it, and reports whether one did in time.
func (r *run) publish(doc catalogue.Document, within time.Duration) bool {
	deadline := time.Now().Add(within)
	for i := 0; time.Now().Before(deadline); i++ {
		status, _ := r.publishOnce(i%r.cfg.Control, func(h *fasthttp.RequestHeader) []byte { return r.cfg.Dialect.WritePublish(h, doc) })
		switch {
		case status == fasthttp.StatusOK:
			return true
		case status >= 400 && status < 500 && status != fasthttp.StatusRequestTimeout:
			r.recordViolation("a valid document of version %d was rejected with status %d", doc.Version, status)
			return false
		}
		time.Sleep(retryInterval)
	}
	return false
}

// checkRead checks that no control host returns a document older than one acknowledged before the read.
func (r *run) checkRead(when string) {
	for i := range r.cfg.Control {
		acked := r.acked.Load()
		status, body := r.publishOnce(i, func(h *fasthttp.RequestHeader) []byte { r.cfg.Dialect.WriteRead(h); return nil })
		if status != fasthttp.StatusOK {
			continue
		}
		var got struct{ Version uint64 }
		if err := json.Unmarshal(body, &got); err != nil {
			r.recordViolation("control host %d answered a read without a valid document: %v", i, err)
			continue
		}
		if got.Version < acked {
			r.recordViolation("%s control host %d returned version %d after version %d was acknowledged", when, i, got.Version, acked)
		}
	}
}

// injectFaults injects faults, which may overlap, for FaultDuration.
func (r *run) injectFaults() {
	for time.Now().Before(r.faultsUntil) {
		time.Sleep(time.Duration(r.random.ExpFloat64() * float64(meanFaultInterval)))
		length := time.Duration(r.random.Int64N(int64(maxFaultDuration)))
		switch x := r.random.IntN(10); {
		case r.cfg.Serve:
			r.freeze(r.processes[x%len(r.processes)], length)
		case x < 4:
			r.faultProcess(length)
		case x < 8:
			r.faultServer(length)
		default:
			r.faultLink(length)
		}
	}
}

// scheduleRepair runs a repair after d; the run waits for all repairs.
func (r *run) scheduleRepair(d time.Duration, repair func()) {
	r.repairs.Add(1)
	go func() {
		defer r.repairs.Done()
		time.Sleep(d)
		repair()
	}()
}

// faultProcess freezes, stops or kills one daemon, or kills it and deletes its data. Fewer than half of the control hosts
// are faulty at once.
func (r *run) faultProcess(d time.Duration) {
	p := r.processes[r.random.IntN(len(r.processes))]
	kind := r.random.IntN(4)
	if !p.running() || p.frozen || !r.acquire(p) {
		return
	}
	switch kind {
	case 0:
		r.freezeAcquired(p, d)
	case 1:
		r.recordFault("%s is stopped with SIGTERM", p.name)
		r.scheduleRepair(0, func() {
			r.stopPlanned(p)
			r.restart(p, d)
		})
	case 2:
		r.recordFault("%s is killed", p.name)
		p.kill()
		r.scheduleRepair(0, func() { r.restart(p, d) })
	default:
		r.loseDisk(p)
		r.scheduleRepair(0, func() { r.restart(p, d) })
	}
}

// freeze freezes a process for d unless it is faulty.
func (r *run) freeze(p *process, d time.Duration) {
	if p.running() && r.acquire(p) {
		r.freezeAcquired(p, d)
	}
}

func (r *run) freezeAcquired(p *process, d time.Duration) {
	r.standStill(p, d, func() { r.release(p) })
}

// standStill freezes a process for d, calls then, and returns at once.
func (r *run) standStill(p *process, d time.Duration, then func()) {
	r.recordFault("%s is frozen for %v", p.name, d)
	p.disruptions.Add(1)
	p.signal(syscall.SIGSTOP)
	r.scheduleRepair(d, func() {
		p.signal(syscall.SIGCONT)
		p.disruptions.Add(1)
		then()
	})
}

// loseDisk kills a process and deletes its data.
func (r *run) loseDisk(p *process) {
	r.recordFault("%s is killed and loses its data", p.name)
	p.kill()
	if err := p.deleteData(); err != nil {
		r.recordViolation("%v", err)
	}
}

// catchUpTime is how long a control host still counts as faulty after its restart.
const catchUpTime = 3 * time.Second

func (r *run) restart(p *process, d time.Duration) {
	time.Sleep(d)
	if err := p.start(false); err != nil {
		r.recordViolation("%v", err)
		return
	}
	if p.control {
		time.Sleep(catchUpTime)
	}
	r.release(p)
}

// acquire marks a process as faulty and reports whether that was allowed: a process has one fault at a time, and fewer
// than half of the control hosts are faulty at once.
func (r *run) acquire(p *process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.faulty || (p.control && r.controlsDown >= r.maxLost()) {
		return false
	}
	p.faulty = true
	if p.control {
		r.controlsDown++
	}
	return true
}

func (r *run) release(p *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.faulty = false
	if p.control {
		r.controlsDown--
	}
}

// faultServer kills an engine, which is replaced by a new one later, or makes a server misbehave for d.
func (r *run) faultServer(d time.Duration) {
	s := r.servers[r.random.IntN(len(r.servers))]
	switch r.random.IntN(5) {
	case 0:
		if !s.Engine {
			return
		}
		r.recordFault("%s is lost for good", s.ID)
		domain := s.FabricDomain
		s.Kill()
		r.scheduleRepair(d, func() {
			if err := r.addServer(engineService, domain, coldTime); err != nil {
				r.recordViolation("%v", err)
			}
		})
	case 1:
		r.faultServerWith(s, "applies orders late", fleet.Faults{OrderDelay: d/4 + time.Second}, d)
	case 2:
		r.faultServerWith(s, "is partitioned from the control hosts", fleet.Faults{DropReports: true}, d)
	case 3:
		f := brokenStreams(d)
		r.faultServerWith(s, fmt.Sprintf("breaks off streams (framing %d, endless %d)", f.Framing, f.Endless), f, d)
	default:
		r.faultServerWith(s, "loses responses", fleet.Faults{LoseResponse: true}, d)
	}
}

// brokenStreams returns a fault of streams. Its kind follows from the duration, so that seeds keep their sequence of draws.
func brokenStreams(d time.Duration) fleet.Faults {
	const kinds = 6
	switch kind := int(d) % kinds; kind {
	case 0:
		return fleet.Faults{TruncateAfter: 5}
	case 1:
		return fleet.Faults{TruncateAfter: 5, PartialEvent: true, Framing: fleet.UntilClose}
	case 2:
		return fleet.Faults{TruncateAfter: 5, PartialEvent: true, Framing: fleet.ChunkedToTheEnd}
	default:
		return fleet.Faults{Endless: []fleet.Endless{fleet.EndlessHeader, fleet.EndlessUnsignedBody, fleet.EndlessEvents}[kind-3]}
	}
}

func (r *run) faultServerWith(s *fleet.Server, what string, f fleet.Faults, d time.Duration) {
	r.recordFault("%s %s for %v", s.ID, what, d)
	s.SetFaults(f)
	r.scheduleRepair(d, func() { s.SetFaults(fleet.Faults{}) })
}

// faultLink delays, stalls, partitions in one direction or resets the connections to one server.
func (r *run) faultLink(d time.Duration) {
	r.mu.Lock()
	rel := r.relays[r.random.IntN(len(r.relays))]
	r.mu.Unlock()
	from := time.Now()
	defer func() { r.recordDisturbed(rel.target, span{from, from.Add(d)}) }()
	names := map[mode]string{delay: "delayed", stalled: "silent", oneWay: "partitioned in one direction"}
	if r.random.IntN(4) == 0 {
		r.recordFault("connections to %s are reset", rel.target)
		rel.reset()
		return
	}
	m := []mode{delay, stalled, oneWay}[r.random.IntN(3)]
	r.recordFault("connections to %s are %s for %v", rel.target, names[m], d)
	rel.setMode(m)
	r.scheduleRepair(d, func() { rel.setMode(pass) })
}
