// Package straggler detects groups that are slower than their peers. It does no I/O.
package straggler

import (
	"sort"
	"time"
)

const (
	// slowRatio is the ratio of a group's mean time between tokens to the median above which it is slow; recoveryRatio
	// is the ratio up to which an ejected group counts as recovered.
	slowRatio     = 2.0
	recoveryRatio = 1.3
	// slowDuration is how long a group must be slow before it is ejected.
	slowDuration = 3 * time.Second
	// probeInterval is the interval at which an ejected group gets one request, to find out whether it has recovered.
	probeInterval = 2 * time.Second
	// maxEjectedFraction is the largest fraction of groups that may be ejected at once; one always may.
	maxEjectedFraction = 0.2
	// smoothingFactor is the weight of a new sample in moving averages.
	smoothingFactor = 0.3
	// minGroups is the number of groups from which they are compared.
	minGroups = 3
	// peerTimeout is how long a group without requests counts as a peer.
	peerTimeout = time.Minute
)

// record is the state of one group.
type record struct {
	// interToken is the moving average of the time between tokens, in seconds.
	interToken float64
	slowSince  time.Time
	ejected    bool
	lastProbe  time.Time
	lastSeen   time.Time
}

// Detector compares the groups of one model.
type Detector struct {
	records map[string]*record
}

// NewDetector returns a detector without groups.
func NewDetector() *Detector {
	return &Detector{records: map[string]*record{}}
}

// Observe records one time between two tokens of a group, and ejects the group or ends its ejection accordingly.
func (d *Detector) Observe(now time.Time, group string, interToken time.Duration) {
	r := d.records[group]
	if r == nil {
		r = &record{interToken: interToken.Seconds()}
		d.records[group] = r
	}
	r.lastSeen = now
	r.interToken += smoothingFactor * (interToken.Seconds() - r.interToken)
	d.expire(now)
	d.evaluate(now, r)
}

// expire deletes groups without observations for peerTimeout, so that they no longer count as peers.
func (d *Detector) expire(now time.Time) {
	for name, r := range d.records {
		if now.Sub(r.lastSeen) > peerTimeout {
			delete(d.records, name)
		}
	}
}

// evaluate updates whether a group is slow or ejected.
func (d *Detector) evaluate(now time.Time, r *record) {
	median := d.median()
	switch {
	case r.ejected:
		if r.interToken <= median*recoveryRatio {
			r.ejected = false
			r.slowSince = time.Time{}
		}
	case r.interToken <= median*slowRatio || len(d.records) < minGroups:
		r.slowSince = time.Time{}
	case r.slowSince.IsZero():
		r.slowSince = now
	case now.Sub(r.slowSince) >= slowDuration && d.mayEject():
		r.ejected = true
		r.lastProbe = now
	}
}

func (d *Detector) median() float64 {
	times := make([]float64, 0, len(d.records))
	for _, r := range d.records {
		times = append(times, r.interToken)
	}
	sort.Float64s(times)
	return times[(len(times)-1)/2]
}

func (d *Detector) mayEject() bool {
	n := 0
	for _, r := range d.records {
		if r.ejected {
			n++
		}
	}
	return n == 0 || float64(n+1) <= maxEjectedFraction*float64(len(d.records))
}

// Usable reports whether a group may get a request; an ejected group may get one as a probe once every probeInterval.
func (d *Detector) Usable(now time.Time, group string) bool {
	r := d.records[group]
	return r == nil || !r.ejected || now.Sub(r.lastProbe) >= probeInterval
}

// RecordProbe records that a probe was sent to an ejected group.
func (d *Detector) RecordProbe(now time.Time, group string) {
	if r := d.records[group]; r != nil && r.ejected {
		r.lastProbe = now
	}
}

// Ejected returns the names of the groups that are ejected, sorted.
func (d *Detector) Ejected() []string {
	var names []string
	for name, r := range d.records {
		if r.ejected {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
