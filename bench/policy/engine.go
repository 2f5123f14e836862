package policy

import (
	"time"
)

// job is a request at a simulated engine.
type job struct {
	prefix       uint64
	tokens       int
	onFirstToken func(at time.Time)
	onDone       func(ok bool)
	cancelled    bool
}

// engine simulates one group: a batch of slots, a queue, and a prefix cache of limited size.
type engine struct {
	loop  *eventLoop
	id    string
	slots int
	// prefill is the time to the first token without a cached prefix, cachedPrefill with one; tokenTime is the time for
	// each output token.
	prefill, cachedPrefill, tokenTime time.Duration
	// slowdown multiplies every time.
	slowdown     float64
	failed       bool
	running      int
	queue        []*job
	cache        *lru
	cacheHits    int
	cacheLookups int
	completed    int
	// reportedLoad, reportedAt and reportedKeys are the load at the last report, its time, and the cached prefixes in it.
	reportedLoad int
	reportedAt   time.Time
	reportedKeys []uint64
}

func newEngine(l *eventLoop, id string, slots, cacheSize int) *engine {
	return &engine{
		loop: l, id: id, slots: slots, prefill: 300 * time.Millisecond, cachedPrefill: 60 * time.Millisecond,
		tokenTime: 25 * time.Millisecond, slowdown: 1, cache: newLRU(cacheSize),
	}
}

func (e *engine) scaled(d time.Duration) time.Duration { return time.Duration(float64(d) * e.slowdown) }

func (e *engine) load() int { return e.running + len(e.queue) }

// submit sends the engine a request.
func (e *engine) submit(j *job) {
	if e.failed {
		e.loop.after(time.Millisecond, func() { j.onDone(false) })
		return
	}
	e.queue = append(e.queue, j)
	e.startQueued()
}

func (e *engine) startQueued() {
	for e.running < e.slots && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if !j.cancelled {
			e.start(j)
		}
	}
}

func (e *engine) start(j *job) {
	e.running++
	prefill := e.prefill
	e.cacheLookups++
	if e.cache.touch(j.prefix) {
		e.cacheHits++
		prefill = e.cachedPrefill
	}
	e.loop.after(e.scaled(prefill), func() {
		if !e.failed {
			j.onFirstToken(e.loop.now)
		}
	})
	e.loop.after(e.scaled(prefill+time.Duration(j.tokens)*e.tokenTime), func() {
		e.running--
		e.completed++
		j.onDone(!e.failed)
		e.startQueued()
	})
}

// fail takes the engine down: queued requests fail at once, running ones at their end.
func (e *engine) fail() {
	e.failed = true
	for _, j := range e.queue {
		j.onDone(false)
	}
	e.queue = nil
}

// updateReport records the current load and cached prefixes as the latest report.
func (e *engine) updateReport() {
	e.reportedLoad, e.reportedAt, e.reportedKeys = e.load(), e.loop.now, e.cache.keys()
}

// lru is a set of limited size that evicts the least recently used key.
type lru struct {
	size  int
	order []uint64
}

func newLRU(size int) *lru { return &lru{size: size} }

// touch adds a key or marks it as just used, and reports whether it was present.
func (l *lru) touch(key uint64) bool {
	for i, k := range l.order {
		if k == key {
			l.order = append(append(l.order[:i:i], l.order[i+1:]...), key)
			return true
		}
	}
	l.order = append(l.order, key)
	if len(l.order) > l.size {
		l.order = l.order[1:]
	}
	return false
}

func (l *lru) has(key uint64) bool {
	for _, k := range l.order {
		if k == key {
			return true
		}
	}
	return false
}

func (l *lru) keys() []uint64 { return append([]uint64(nil), l.order...) }
