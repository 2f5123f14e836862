package soak

import (
	"bufio"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"savorywing.example/savorywing/connection/socket"
)

const (
	// meanStopInterval is the mean time between two planned stops, or series of stops.
	meanStopInterval = 2500 * time.Millisecond
	// maxStopGap is the maximum time between the stops of a series, so that stops overlap.
	maxStopGap = 2 * time.Second
	// maxSeries is the maximum number of hosts that are stopped in a series.
	maxSeries = 8
	// maxRestartDelay is the maximum time between the end of a process and its restart.
	maxRestartDelay = time.Second
	// closeAfterStop is when a stopping entry host closes the connections of its callers.
	closeAfterStop = 2600 * time.Millisecond
	// waveSize is the number of kept connections on which requests are sent during a stop; closeSpread is how long before or
	// after the close half of them are.
	waveSize    = 24
	closeSpread = 4 * time.Millisecond
)

// runPlannedStops stops and restarts entry hosts in series that may overlap, and with other faults, for FaultDuration. It has
// its own source of random numbers, so that seeds keep their sequence of faults.
func (r *run) runPlannedStops() {
	random := rand.New(rand.NewPCG(r.cfg.Seed, ^r.cfg.Seed))
	for {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanStopInterval)))
		if !time.Now().Before(r.faultsUntil) {
			return
		}
		hosts := r.entries()
		random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		gap := time.Duration(random.Int64N(int64(maxStopGap)))
		if random.IntN(4) == 0 {
			gap = 0
		}
		for i, p := range hosts[:1+random.IntN(min(maxSeries, len(hosts)))] {
			s := plannedStop{
				process: p, delay: time.Duration(i) * gap, restartDelay: time.Duration(random.Int64N(int64(maxRestartDelay))),
				hangup: time.Duration(random.Int64N(int64(gracePeriod))), again: time.Duration(random.Int64N(int64(gracePeriod))),
				seed: random.Uint64(),
			}
			r.scheduleRepair(s.delay, func() { r.stopUnderLoad(s) })
		}
	}
}

// entries returns the processes of the entry hosts, in the order of their addresses.
func (r *run) entries() []*process {
	var out []*process
	for _, p := range r.processes {
		if !p.control {
			out = append(out, p)
		}
	}
	return out
}

// plannedStop is a stop of an entry host with a restart.
type plannedStop struct {
	process *process
	// delay is the time until the stop, restartDelay that between the end of the process and its restart.
	delay, restartDelay time.Duration
	// hangup and again are the times between the stop and SIGHUP, and a second SIGTERM. Those after the end of the process have
	// no effect.
	hangup, again time.Duration
	seed          uint64
}

// stopUnderLoad stops a host, unless it is faulty, while requests are sent on connections that were open before.
func (r *run) stopUnderLoad(s plannedStop) {
	p := s.process
	if !p.running() || !r.acquire(p) {
		return
	}
	r.recordFault("%s is stopped under load, SIGHUP after %v, SIGTERM again after %v", p.name, s.hangup, s.again)
	var signals, wave sync.WaitGroup
	random := rand.New(rand.NewPCG(s.seed, s.seed))
	kept := r.keepConnections(slices.Index(r.entries(), p))
	calls := r.protocol.calls()
	stopped := p.exit()
	begun := time.Now()
	for _, k := range kept {
		at := time.Duration(random.Int64N(int64(closeAfterStop + time.Second)))
		if random.IntN(2) == 0 {
			at = closeAfterStop - closeSpread + time.Duration(random.Int64N(int64(2*closeSpread)))
		}
		call := calls[random.IntN(len(calls))]
		wave.Go(func() { r.sendAt(begun.Add(at), k, call) })
	}
	signals.Go(func() { p.signalAfter(stopped, s.hangup, syscall.SIGHUP) })
	signals.Go(func() { p.signalAfter(stopped, s.again, syscall.SIGTERM) })
	r.stopPlanned(p)
	signals.Wait()
	wave.Wait()
	r.restart(p, s.restartDelay)
}

// signalAfter sends a signal after d, unless the process has exited by then.
func (p *process) signalAfter(exited <-chan struct{}, d time.Duration, s syscall.Signal) {
	select {
	case <-exited:
	case <-time.After(d):
		p.signal(s)
	}
}

// endedBySignal is the exit code of a process that a signal has ended.
const endedBySignal = -1

// stopPlanned stops a process and checks how it exits.
func (r *run) stopPlanned(p *process) {
	if !p.end(syscall.SIGTERM, gracePeriod+2*time.Second) {
		r.recordViolation("%s did not exit in time after SIGTERM", p.name)
		return
	}
	if code := p.lastExitCode(); code != 0 && (code != endedBySignal || p.control || p.reached.Load()) {
		r.recordViolation("%s exited with code %d after SIGTERM", p.name, code)
	}
}

// keptConnection is a caller's open connection to an entry host.
type keptConnection struct {
	entry int
	conn  net.Conn
	in    *bufio.Reader
	// closing reports whether the last response said that the host closes the connection.
	closing bool
}

// keepConnections opens connections to a host. On half of them, a request is served first.
func (r *run) keepConnections(entry int) []*keptConnection {
	var kept []*keptConnection
	calls := r.protocol.calls()
	for i := range waveSize {
		conn, err := r.dial(entry)
		if err != nil {
			continue
		}
		k := &keptConnection{entry: entry, conn: conn, in: bufio.NewReader(conn)}
		if i%2 == 0 && (!r.exchange(k, calls[len(calls)-1]).ok || !k.isOpen()) {
			_ = conn.Close()
			continue
		}
		kept = append(kept, k)
	}
	return kept
}

// sendAt sends a request at a time if the host hasn't closed the connection by then.
func (r *run) sendAt(at time.Time, k *keptConnection, call request) {
	defer func() { _ = k.conn.Close() }()
	time.Sleep(time.Until(at))
	if !k.isOpen() {
		return
	}
	r.crossing.Add(1)
	r.count(r.exchange(k, call))
}

// isOpen reports whether the caller can't see yet that the host has closed the connection.
func (k *keptConnection) isOpen() bool {
	if k.closing || k.in.Buffered() > 0 {
		return false
	}
	input, err := socket.Peek(k.conn)
	return err == nil && input == socket.InputNone
}
