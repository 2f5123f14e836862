package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"savorywing.example/savorywing/process/admission"
)

// Split is a way to split a group's slots among entry hosts that share no queue.
type Split int

// Splits.
const (
	// SplitNone lets every entry host send all it has; the engines queue.
	SplitNone Split = iota
	// SplitEven gives every entry host its even part of each group, rounded up.
	SplitEven
	// SplitPartitioned gives every entry host slots of its own, whose parts add up to all slots.
	SplitPartitioned
	// SplitBorrowing gives own slots and lends an even part of those that the last reports show free.
	SplitBorrowing
	// SplitSingleHost is the baseline: one entry host that sees everything.
	SplitSingleHost
)

// String returns the split's name.
func (s Split) String() string {
	return [...]string{"none", "even", "owned", "lent", "one queue"}[s]
}

const (
	simGroups     = 15
	simSlots      = 16
	simHosts      = 12
	simMeanTokens = 100
	reportEvery   = 500 * time.Millisecond
	simTick       = 5 * time.Millisecond
)

// organisationLoad is one organisation's part of a load.
type organisationLoad struct {
	name  string
	share float64
	// rate is its part of the capacity.
	rate float64
}

// scenario is one load with its faults.
type scenario struct {
	name          string
	organisations []organisationLoad
	// slow multiplies the engines' times; dark is how many groups go dark for the middle third.
	slow float64
	dark int
	// skew is the part of all callers that the balancer sends to one entry host beyond its even part.
	skew float64
}

// scenarios returns the loads of the comparison, at about 1.5 times capacity in all.
func scenarios() []scenario {
	even := func(total float64) []organisationLoad {
		list := []organisationLoad{{"large-1", 4, 0}, {"large-2", 4, 0}, {"large-3", 3, 0}}
		for i := range 7 {
			list = append(list, organisationLoad{fmt.Sprintf("small-%d", i+1), 1, 0})
		}
		for i := range list {
			list[i].rate = total * list[i].share / 18
		}
		return list
	}
	greedy := even(0.8)
	greedy[0].rate *= 10
	return []scenario{
		{"audit morning at 1.5", even(1.5), 1, 0, 0},
		{"one at ten times its share", greedy, 1, 0, 0},
		{"engines at half speed", even(0.75), 2, 0, 0},
		{"a domain dark at 1.2", even(1.2), 1, 3, 0},
		{"0.6, a third at one entry host", even(0.6), 1, 0, 0.3},
	}
}

// admissionRun is one way under one scenario.
type admissionRun struct {
	loop     *loop
	random   *rand.Rand
	order    admission.Policy
	split    Split
	hosts    []*entryFake
	engines  []*engine
	offered  map[string]int
	good     map[string]int
	answered int
	refused  int
	late     time.Duration
	length   time.Duration
	skew     float64
}

// entryFake is one entry host: the real queue with fake engines behind it.
type entryFake struct {
	run      *admissionRun
	index    int
	queue    *admission.Queue
	inFlight []int
	// sent counts, for each engine, what the newest report can't contain.
	sent    []int
	running int
	waiting map[string]*simRequest
}

type simRequest struct {
	organisation string
	arrival      time.Time
	deadline     time.Time
	tokens       int
	prefix       uint64
	started      time.Time
}

func newAdmissionRun(seed uint64, order admission.Policy, split Split, s scenario, length time.Duration) *admissionRun {
	r := &admissionRun{
		loop: newLoop(), random: rand.New(rand.NewPCG(seed, 1)), order: order, split: split,
		offered: map[string]int{}, good: map[string]int{}, length: length, skew: s.skew,
	}
	shares := map[string]float64{}
	for _, o := range s.organisations {
		shares[o.name] = o.share
	}
	for g := range simGroups {
		e := newEngine(r.loop, fmt.Sprintf("group-%d", g), simSlots, 1)
		e.slow = s.slow
		r.engines = append(r.engines, e)
	}
	n := simHosts
	if split == SplitSingleHost {
		n = 1
	}
	for index := range n {
		r.hosts = append(r.hosts, &entryFake{
			run: r, index: index, inFlight: make([]int, simGroups), sent: make([]int, simGroups), waiting: map[string]*simRequest{},
			queue: admission.NewQueue(order, admission.WithShares(shares), admission.WithInitialEstimates(2800*time.Millisecond, 300*time.Millisecond)),
		})
	}
	r.schedule(s)
	return r
}

// capacity is the number of requests that all engines finish in a second at full speed.
func capacity() float64 {
	service := 0.3 + simMeanTokens*0.025
	return simGroups * simSlots / service
}

func (r *admissionRun) schedule(s scenario) {
	for _, o := range s.organisations {
		r.arrivals(o)
	}
	for i, e := range r.engines {
		r.loop.after(time.Duration(i)*reportEvery/simGroups, func() {
			r.loop.every(reportEvery, func() bool {
				r.report(i)
				return r.loop.elapsed() < r.length
			})
		})
		if i < s.dark {
			r.loop.after(r.length/3, e.goDark)
			r.loop.after(2*r.length/3, func() { e.dark = false })
		}
	}
	for _, h := range r.hosts {
		r.loop.every(simTick, func() bool {
			h.expire()
			h.pump()
			return r.loop.elapsed() < 2*r.length
		})
	}
}

func (r *admissionRun) report(i int) {
	r.engines[i].tell()
	for _, h := range r.hosts {
		h.sent[i] = 0
	}
}

func (r *admissionRun) arrivals(o organisationLoad) {
	gap := time.Duration(r.random.ExpFloat64() / (o.rate * capacity()) * float64(time.Second))
	r.loop.after(gap, func() {
		if r.loop.elapsed() > r.length {
			return
		}
		r.offer(o.name)
		r.arrivals(o)
	})
}

func (r *admissionRun) offer(organisation string) {
	patience := []time.Duration{time.Second, 1500 * time.Millisecond, 5 * time.Second}[r.random.IntN(3)]
	q := &simRequest{
		organisation: organisation, arrival: r.loop.now, deadline: r.loop.now.Add(patience),
		tokens: int(r.random.ExpFloat64()*simMeanTokens) + 1, prefix: r.random.Uint64(),
	}
	r.offered[organisation]++
	h := r.hosts[r.random.IntN(len(r.hosts))]
	if r.random.Float64() < r.skew {
		h = r.hosts[0]
	}
	h.offer(fmt.Sprint(r.random.Uint64()), q)
}

// own is how many slots of a group belong to this host.
func (h *entryFake) own(i int) int {
	e := h.run.engines[i]
	switch {
	case e.dark:
		return 0
	case h.run.split == SplitNone:
		return 1 << 20
	case h.run.split == SplitEven:
		return (e.slots + simHosts - 1) / simHosts
	case h.run.split == SplitSingleHost:
		return e.slots
	}
	return admission.OwnSlots(e.slots, e.id, h.index, simHosts, 0)
}

// free is how many slots of a group may be lent by the last report and what was sent since.
func (h *entryFake) free(i int) int {
	e := h.run.engines[i]
	if e.dark {
		return 0
	}
	return admission.LendableSlots(e.slots, e.report+h.sent[i])
}

// slots is what this host may have in flight in all.
func (h *entryFake) slots() int {
	n, all, free := 0, 0, 0
	for i, e := range h.run.engines {
		if !e.dark {
			all += e.slots
			n += h.own(i)
			free += h.free(i)
		}
	}
	switch h.run.split {
	case SplitNone:
		return all / simHosts
	case SplitBorrowing:
		return n + admission.BorrowableSlots(free, simHosts)
	}
	return n
}

// room tells whether this host may send one more request to a group.
func (h *entryFake) room(i int) bool {
	if h.inFlight[i] < h.own(i) {
		return true
	}
	return h.run.split == SplitBorrowing && h.free(i) > 0 && h.running < h.slots()
}

func (h *entryFake) offer(id string, q *simRequest) {
	h.queue.SetSlots(h.slots())
	v := h.queue.Admit(h.run.loop.now, h.running, admission.Item{ID: id, Organisation: q.organisation, Deadline: q.deadline, Arrival: q.arrival})
	if v.Refused {
		h.run.refused++
		return
	}
	h.waiting[id] = q
	h.pump()
}

func (h *entryFake) expire() {
	first := 300 * time.Millisecond
	for _, item := range h.queue.Expire(h.run.loop.now) {
		h.run.refused++
		delete(h.waiting, item.ID)
		h.run.late = max(h.run.late, h.run.loop.now.Sub(item.Deadline.Add(-first)))
	}
}

func (h *entryFake) pump() {
	for h.queue.Len() > 0 {
		i := h.pick()
		if i < 0 {
			return
		}
		item, ok := h.queue.Next(h.running)
		if !ok {
			return
		}
		q := h.waiting[item.ID]
		delete(h.waiting, item.ID)
		h.send(i, q)
	}
}

// pick returns the least loaded group with room.
func (h *entryFake) pick() int {
	best, bestLoad := -1, 0
	start := h.run.random.IntN(simGroups)
	for n := range simGroups {
		i := (start + n) % simGroups
		load := h.run.engines[i].report + h.sent[i]
		if h.run.split == SplitSingleHost {
			load = h.run.engines[i].load()
		}
		if h.room(i) && (best < 0 || load < bestLoad) {
			best, bestLoad = i, load
		}
	}
	return best
}

func (h *entryFake) send(i int, q *simRequest) {
	r := h.run
	h.inFlight[i]++
	h.sent[i]++
	h.running++
	q.started = r.loop.now
	var first time.Time
	r.engines[i].submit(&work{
		prefix: q.prefix, tokens: q.tokens,
		first: func(at time.Time) { first = at },
		done: func(ok bool) {
			h.inFlight[i]--
			h.running--
			if ok {
				r.answered++
				h.queue.RecordCompletion(r.loop.now.Sub(q.started), first.Sub(q.started))
				if !first.After(q.deadline) {
					r.good[q.organisation]++
				}
			}
			h.pump()
		},
	})
}

// result returns goodput against capacity, and the worst share in patience among organisations that
// stayed within their share of the capacity that was there.
func (r *admissionRun) result(s scenario) (goodput, worst float64, who string) {
	total, weights := 0, 0.0
	for _, o := range s.organisations {
		total += r.good[o.name]
		weights += o.share
	}
	available := capacity() / s.slow * (1 - float64(s.dark)/simGroups/3)
	goodput = float64(total) / (available * r.length.Seconds())
	worst = 1
	low := capacity() / s.slow * (1 - float64(s.dark)/simGroups)
	for _, o := range s.organisations {
		if o.rate*capacity() > o.share/weights*low {
			continue
		}
		if p := float64(r.good[o.name]) / float64(max(1, r.offered[o.name])); p < worst {
			worst, who = p, o.name
		}
	}
	return goodput, worst, who
}

// Admission compares orders and splits under every scenario.
func Admission(seed uint64, length time.Duration) *Table {
	t := &Table{
		Title:   fmt.Sprintf("admission: %d entry hosts, %d groups of %d slots, %s of virtual time, seed %d", simHosts, simGroups, simSlots, length, seed),
		Columns: []string{"load", "order", "split", "goodput", "worst in share", "refused", "refusal ms", "waste"},
		Notes: []string{
			"goodput: answers within patience / capacity (target 0.95 where the load is above capacity). worst in share: lowest part in",
			"patience of an organisation within its share (target 0.95; 1 where none is). refusal ms: longest time from certainty to",
			"refusal (target 10). waste: part of the answers that came too late.",
		},
	}
	ways := []struct {
		order admission.Policy
		split Split
	}{
		{admission.FirstCome, SplitNone}, {admission.FirstCome, SplitPartitioned}, {admission.EarliestDeadline, SplitPartitioned},
		{admission.FairDeadline, SplitEven}, {admission.FairDeadline, SplitPartitioned},
		{admission.FairDeadline, SplitBorrowing}, {admission.FairDeadline, SplitSingleHost},
	}
	for _, s := range scenarios() {
		for _, w := range ways {
			r := newAdmissionRun(seed, w.order, w.split, s, length)
			r.loop.run(2 * length)
			goodput, worst, _ := r.result(s)
			total := 0
			for _, n := range r.good {
				total += n
			}
			t.add(s.name, w.order, w.split, goodput, worst, r.refused, r.late, 1-float64(total)/float64(max(1, r.answered)))
		}
	}
	return t
}
