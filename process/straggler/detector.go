// Package straggler finds groups that are slow against their peers. It is pure.
package straggler

import (
	"sort"
	"time"
)

const (
	// slowRatio is how far above the median a group's time is called slow, and backRatio how near
	// to it the group must come again.
	slowRatio = 2.0
	backRatio = 1.3
	// slowFor is how long a group must be slow before it is ejected.
	slowFor = 3 * time.Second
	// probeEvery is how often an ejected group is given one request, to see whether it has recovered.
	probeEvery = 2 * time.Second
	// ejectedShare is the largest share of groups that may be ejected at once.
	ejectedShare = 0.2
	smoothing    = 0.3
	minGroups    = 3
	// forgetAfter is how long a group without requests counts as a peer.
	forgetAfter = time.Minute
)

type record struct {
	// time is the running average of the time between tokens, in seconds.
	time      float64
	slowSince time.Time
	ejected   bool
	lastProbe time.Time
	seen      time.Time
}

// Detector compares the groups of one model.
type Detector struct {
	records map[string]*record
}

// NewDetector returns a detector that knows no group.
func NewDetector() *Detector {
	return &Detector{records: map[string]*record{}}
}

// Observe takes one measured time between tokens of a group.
func (d *Detector) Observe(now time.Time, group string, between time.Duration) {
	r := d.records[group]
	if r == nil {
		r = &record{time: between.Seconds()}
		d.records[group] = r
	}
	r.seen = now
	r.time += smoothing * (between.Seconds() - r.time)
	d.forget(now)
	d.judge(now, r)
}

// forget drops groups that were not heard of for long, so that they no longer count as peers.
func (d *Detector) forget(now time.Time) {
	for name, r := range d.records {
		if now.Sub(r.seen) > forgetAfter {
			delete(d.records, name)
		}
	}
}

func (d *Detector) judge(now time.Time, r *record) {
	median := d.median()
	switch {
	case r.ejected:
		if r.time <= median*backRatio {
			r.ejected = false
			r.slowSince = time.Time{}
		}
	case r.time <= median*slowRatio || len(d.records) < minGroups:
		r.slowSince = time.Time{}
	case r.slowSince.IsZero():
		r.slowSince = now
	case now.Sub(r.slowSince) >= slowFor && d.mayEject():
		r.ejected = true
		r.lastProbe = now
	}
}

func (d *Detector) median() float64 {
	times := make([]float64, 0, len(d.records))
	for _, r := range d.records {
		times = append(times, r.time)
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
	return n == 0 || float64(n+1) <= ejectedShare*float64(len(d.records))
}

// Usable tells whether a group may be given a request; an ejected group gets a probe now and then.
func (d *Detector) Usable(now time.Time, group string) bool {
	r := d.records[group]
	return r == nil || !r.ejected || now.Sub(r.lastProbe) >= probeEvery
}

// RecordProbe records that an ejected group was given its probe.
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
