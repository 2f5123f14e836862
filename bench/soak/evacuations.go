package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"savorywing.example/savorywing/connection/controlapi"
	"savorywing.example/savorywing/wire"
)

const (
	// evacuatedDataCentre has the servers of every second fabric domain.
	evacuatedDataCentre = "b"
	// evacuationBound is the bound in the daemons' settings.
	evacuationBound = 1500 * time.Millisecond
	// heldUp bounds how long a request may be on its way to a server: the longest fault of a link or a process.
	heldUp = maxFaultDuration + 500*time.Millisecond
	// minEvacuation and evacuationSpread are the times for which it is checked that no request arrives: the shortest, and the spread.
	minEvacuation    = 2 * time.Second
	evacuationSpread = 3 * time.Second
)

// dataCentreOf returns the data centre of a server by its fabric domain, or, of a plain server, by its number.
func dataCentreOf(domain string, n int) string {
	even := n%2 == 0
	if domain != "" {
		even = (domain[len(domain)-1]-'0')%2 == 0
	}
	if even {
		return "a"
	}
	return evacuatedDataCentre
}

// runEvacuations evacuates a data centre again and again until no more faults begin. Once an order is acknowledged and its bound has passed, no
// request may arrive there until the order to finish is sent.
func (r *run) runEvacuations() {
	random := rand.New(rand.NewPCG(r.cfg.Seed, 1))
	for time.Now().Before(r.faultsUntil) {
		if r.orderEvacuation(true, publishTimeout) {
			r.recordFault("data centre %s is evacuated", evacuatedDataCentre)
			since := time.Now().Add(evacuationBound + heldUp)
			r.fleet.SetEvacuated(evacuatedDataCentre, since)
			time.Sleep(time.Until(since.Add(minEvacuation + time.Duration(random.Int64N(int64(evacuationSpread))))))
			r.fleet.SetEvacuated(evacuatedDataCentre, time.Time{})
		}
		// An order without an acknowledgement may have taken effect.
		if !r.orderEvacuation(false, recoveryTimeout) {
			r.recordViolation("no control host acknowledged the end of an evacuation within %v", recoveryTimeout)
			return
		}
		r.recordFault("data centre %s serves again", evacuatedDataCentre)
		time.Sleep(time.Duration(random.Int64N(int64(evacuationSpread))))
	}
}

// orderEvacuation gives an operator's order and reports whether it was acknowledged in time.
func (r *run) orderEvacuation(on bool, within time.Duration) bool {
	var addresses []string
	for i := range r.cfg.Control {
		addresses = append(addresses, r.controlAddress(i))
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return controlapi.NewClient(r.cfg.Dialect, addresses).Evacuate(ctx, wire.Evacuate{DataCentre: evacuatedDataCentre, On: on}) == nil
}
