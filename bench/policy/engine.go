package policy

import (
	"time"
)

// work is one request as an engine sees it.
type work struct {
	prefix uint64
	tokens int
	first  func(at time.Time)
	done   func(ok bool)
	gone   bool
}

// engine is a fake of one group: a batch of slots, a queue, and a prefix cache with limited memory.
type engine struct {
	loop  *loop
	id    string
	slots int
	// prefill is the time to the first token without a cached prefix, cached with one.
	prefill, cached, token time.Duration
	// slow multiplies every time.
	slow    float64
	dark    bool
	running int
	queue   []*work
	cache   *lru
	hits    int
	seen    int
	served  int
	// report is the load as last reported, and when.
	report     int
	reportAt   time.Time
	reportKeys []uint64
}

func newEngine(l *loop, id string, slots, cacheSize int) *engine {
	return &engine{
		loop: l, id: id, slots: slots, prefill: 300 * time.Millisecond, cached: 60 * time.Millisecond,
		token: 25 * time.Millisecond, slow: 1, cache: newLRU(cacheSize),
	}
}

func (e *engine) scaled(d time.Duration) time.Duration { return time.Duration(float64(d) * e.slow) }

func (e *engine) load() int { return e.running + len(e.queue) }

// submit gives the engine a request.
func (e *engine) submit(w *work) {
	if e.dark {
		e.loop.after(time.Millisecond, func() { w.done(false) })
		return
	}
	e.queue = append(e.queue, w)
	e.pump()
}

func (e *engine) pump() {
	for e.running < e.slots && len(e.queue) > 0 {
		w := e.queue[0]
		e.queue = e.queue[1:]
		if !w.gone {
			e.start(w)
		}
	}
}

func (e *engine) start(w *work) {
	e.running++
	prefill := e.prefill
	e.seen++
	if e.cache.touch(w.prefix) {
		e.hits++
		prefill = e.cached
	}
	e.loop.after(e.scaled(prefill), func() {
		if !e.dark {
			w.first(e.loop.now)
		}
	})
	e.loop.after(e.scaled(prefill+time.Duration(w.tokens)*e.token), func() {
		e.running--
		e.served++
		w.done(!e.dark)
		e.pump()
	})
}

// goDark ends everything that the engine has.
func (e *engine) goDark() {
	e.dark = true
	for _, w := range e.queue {
		w.done(false)
	}
	e.queue = nil
}

// tell renews the report.
func (e *engine) tell() {
	e.report, e.reportAt, e.reportKeys = e.load(), e.loop.now, e.cache.keys()
}

// lru is a set of limited size that forgets what was not used for longest.
type lru struct {
	size  int
	order []uint64
}

func newLRU(size int) *lru { return &lru{size: size} }

// touch adds a key and tells whether it was there.
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
