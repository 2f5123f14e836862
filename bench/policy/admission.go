package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"savorywing.example/savorywing/process/admission"
)

// Split is a policy for dividing a group's slots among entry hosts that share no queue.
type Split int

// Splits.
const (
	// SplitNone lets every entry host send all its requests; the engines queue them.
	SplitNone Split = iota
	// SplitEven gives every entry host an equal part of each group's slots, rounded up.
	SplitEven
	// SplitPartitioned gives every entry host slots of its own; together they are exactly the group's slots.
	SplitPartitioned
	// SplitBorrowing is SplitPartitioned, and each entry host may also borrow slots that are free according to the
	// last reports, as limited by admission.LendableSlots and admission.MaxInFlight.
	SplitBorrowing
	// SplitSingleHost is the baseline: a single entry host that knows the current load of every group.
	SplitSingleHost
)

// String returns the split's name.
func (s Split) String() string {
	return [...]string{"none", "even", "owned", "lent", "one queue"}[s]
}

const (
	simGroups      = 15
	simSlots       = 16
	simHosts       = 12
	simMeanTokens  = 100
	reportInterval = 500 * time.Millisecond
	simTick        = 5 * time.Millisecond
)

// organisationLoad is one organisation's part of the offered load.
type organisationLoad struct {
	name   string
	weight float64
	// rate is its offered load as a fraction of the capacity.
	rate float64
}

// scenario is an offered load with its faults.
type scenario struct {
	name          string
	organisations []organisationLoad
	// slowdown multiplies the engines' times; failedGroups is how many groups are down for the middle third of the run.
	slowdown     float64
	failedGroups int
	// skew is the fraction of all requests that the balancer sends to one entry host on top of its equal part.
	skew float64
}

// scenarios returns the loads of the comparison, with their faults.
func scenarios() []scenario {
	even := func(total float64) []organisationLoad {
		list := []organisationLoad{{"large-1", 4, 0}, {"large-2", 4, 0}, {"large-3", 3, 0}}
		for i := range 7 {
			list = append(list, organisationLoad{fmt.Sprintf("small-%d", i+1), 1, 0})
		}
		for i := range list {
			list[i].rate = total * list[i].weight / 18
		}
		return list
	}
	greedy := even(0.8)
	greedy[0].rate *= 10
	return []scenario{
		// 1.5 times the capacity.
		{"all organisations at 1.5", even(1.5), 1, 0, 0},
		// 0.8 times the capacity, but one organisation sends ten times its part.
		{"one organisation at ten times its load", greedy, 1, 0, 0},
		// 0.75 times the full capacity, which is 1.5 times that of the slowed engines.
		{"engines at half speed", even(0.75), 2, 0, 0},
		// 1.2 times the full capacity, which is 1.5 times that of the 12 groups left during the outage.
		{"a domain down at 1.2", even(1.2), 1, 3, 0},
		// Below capacity, unevenly spread over the entry hosts.
		{"0.6, a third at one entry host", even(0.6), 1, 0, 0.3},
	}
}

// admissionRun simulates one queueing policy and one split under one scenario.
type admissionRun struct {
	loop              *eventLoop
	random            *rand.Rand
	policy            admission.Policy
	split             Split
	hosts             []*simEntryHost
	engines           []*engine
	offered           map[string]int
	onTime            map[string]int
	completed         int
	rejected          int
	maxRejectionDelay time.Duration
	length            time.Duration
	skew              float64
}

// simEntryHost is a simulated entry host: the real admission queue in front of simulated engines.
type simEntryHost struct {
	run      *admissionRun
	index    int
	queue    *admission.Queue
	inFlight []int
	// unreportedSent counts, for each engine, the requests sent since its last report.
	unreportedSent []int
	running        int
	waiting        map[string]*simRequest
}

type simRequest struct {
	organisation string
	arrival      time.Time
	deadline     time.Time
	tokens       int
	prefix       uint64
	started      time.Time
}

func newAdmissionRun(seed uint64, policy admission.Policy, split Split, s scenario, length time.Duration) *admissionRun {
	r := &admissionRun{
		loop: newEventLoop(), random: rand.New(rand.NewPCG(seed, 1)), policy: policy, split: split,
		offered: map[string]int{}, onTime: map[string]int{}, length: length, skew: s.skew,
	}
	weights := map[string]float64{}
	for _, o := range s.organisations {
		weights[o.name] = o.weight
	}
	for g := range simGroups {
		e := newEngine(r.loop, fmt.Sprintf("group-%d", g), simSlots, 1)
		e.slowdown = s.slowdown
		r.engines = append(r.engines, e)
	}
	n := simHosts
	if split == SplitSingleHost {
		n = 1
	}
	for index := range n {
		r.hosts = append(r.hosts, &simEntryHost{
			run: r, index: index, inFlight: make([]int, simGroups), unreportedSent: make([]int, simGroups), waiting: map[string]*simRequest{},
			queue: admission.NewQueue(policy, admission.WithWeights(weights), admission.WithInitialEstimates(2800*time.Millisecond, 300*time.Millisecond)),
		})
	}
	r.schedule(s)
	return r
}

// capacity returns how many requests all engines together finish in a second at full speed.
func capacity() float64 {
	service := 0.3 + simMeanTokens*0.025
	return simGroups * simSlots / service
}

func (r *admissionRun) schedule(s scenario) {
	for _, o := range s.organisations {
		r.scheduleArrival(o)
	}
	for i, e := range r.engines {
		r.loop.after(time.Duration(i)*reportInterval/simGroups, func() {
			r.loop.every(reportInterval, func() bool {
				r.updateReport(i)
				return r.loop.elapsed() < r.length
			})
		})
		if i < s.failedGroups {
			r.loop.after(r.length/3, e.fail)
			r.loop.after(2*r.length/3, func() { e.failed = false })
		}
	}
	for _, h := range r.hosts {
		r.loop.every(simTick, func() bool {
			h.expire()
			h.dispatch()
			return r.loop.elapsed() < 2*r.length
		})
	}
}

func (r *admissionRun) updateReport(i int) {
	r.engines[i].updateReport()
	for _, h := range r.hosts {
		h.unreportedSent[i] = 0
	}
}

func (r *admissionRun) scheduleArrival(o organisationLoad) {
	gap := time.Duration(r.random.ExpFloat64() / (o.rate * capacity()) * float64(time.Second))
	r.loop.after(gap, func() {
		if r.loop.elapsed() > r.length {
			return
		}
		r.submit(o.name)
		r.scheduleArrival(o)
	})
}

func (r *admissionRun) submit(organisation string) {
	timeout := []time.Duration{time.Second, 1500 * time.Millisecond, 5 * time.Second}[r.random.IntN(3)]
	req := &simRequest{
		organisation: organisation, arrival: r.loop.now, deadline: r.loop.now.Add(timeout),
		tokens: int(r.random.ExpFloat64()*simMeanTokens) + 1, prefix: r.random.Uint64(),
	}
	r.offered[organisation]++
	h := r.hosts[r.random.IntN(len(r.hosts))]
	if r.random.Float64() < r.skew {
		h = r.hosts[0]
	}
	h.admit(fmt.Sprint(r.random.Uint64()), req)
}

// ownSlots returns how many slots of a group belong to this host.
func (h *simEntryHost) ownSlots(i int) int {
	e := h.run.engines[i]
	switch {
	case e.failed:
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

// lendableSlots returns how many slots of a group can be borrowed, given its last report and what this host sent since.
func (h *simEntryHost) lendableSlots(i int) int {
	e := h.run.engines[i]
	if e.failed {
		return 0
	}
	return admission.LendableSlots(e.slots, e.reportedLoad+h.unreportedSent[i])
}

// maxInFlight returns how many requests this host may have in flight over all groups.
func (h *simEntryHost) maxInFlight() int {
	n, all, free := 0, 0, 0
	for i, e := range h.run.engines {
		if !e.failed {
			all += e.slots
			n += h.ownSlots(i)
			free += h.lendableSlots(i)
		}
	}
	switch h.run.split {
	case SplitNone:
		return all / simHosts
	case SplitBorrowing:
		return admission.MaxInFlight(n, all, free, simHosts)
	}
	return n
}

// hasCapacity reports whether this host may send one more request to a group.
func (h *simEntryHost) hasCapacity(i int) bool {
	if h.inFlight[i] < h.ownSlots(i) {
		return true
	}
	return h.run.split == SplitBorrowing && h.lendableSlots(i) > 0 && h.running < h.maxInFlight()
}

func (h *simEntryHost) admit(id string, req *simRequest) {
	h.queue.SetSlots(h.maxInFlight())
	decision := h.queue.Admit(h.run.loop.now, h.running, admission.Item{ID: id, Organisation: req.organisation, Deadline: req.deadline, Arrival: req.arrival})
	if decision.Rejected {
		h.run.rejected++
		return
	}
	h.waiting[id] = req
	h.dispatch()
}

func (h *simEntryHost) expire() {
	minFirstToken := 300 * time.Millisecond
	for _, item := range h.queue.Expire(h.run.loop.now) {
		h.run.rejected++
		delete(h.waiting, item.ID)
		h.run.maxRejectionDelay = max(h.run.maxRejectionDelay, h.run.loop.now.Sub(item.Deadline.Add(-minFirstToken)))
	}
}

func (h *simEntryHost) dispatch() {
	for h.queue.Len() > 0 {
		i := h.pick()
		if i < 0 {
			return
		}
		item, ok := h.queue.Next(h.running)
		if !ok {
			return
		}
		req := h.waiting[item.ID]
		delete(h.waiting, item.ID)
		h.send(i, req)
	}
}

// pick returns the least loaded group with free capacity, or -1 if there is none.
func (h *simEntryHost) pick() int {
	best, bestLoad := -1, 0
	start := h.run.random.IntN(simGroups)
	for n := range simGroups {
		i := (start + n) % simGroups
		load := h.run.engines[i].reportedLoad + h.unreportedSent[i]
		if h.run.split == SplitSingleHost {
			load = h.run.engines[i].load()
		}
		if h.hasCapacity(i) && (best < 0 || load < bestLoad) {
			best, bestLoad = i, load
		}
	}
	return best
}

func (h *simEntryHost) send(i int, req *simRequest) {
	r := h.run
	h.inFlight[i]++
	h.unreportedSent[i]++
	h.running++
	req.started = r.loop.now
	var firstToken time.Time
	r.engines[i].submit(&job{
		prefix: req.prefix, tokens: req.tokens,
		onFirstToken: func(at time.Time) { firstToken = at },
		onDone: func(ok bool) {
			h.inFlight[i]--
			h.running--
			if ok {
				r.completed++
				h.queue.RecordCompletion(r.loop.now.Sub(req.started), firstToken.Sub(req.started))
				if !firstToken.After(req.deadline) {
					r.onTime[req.organisation]++
				}
			}
			h.dispatch()
		},
	})
}

// result returns the goodput relative to the available capacity, averaged over the run. It also returns the lowest fraction
// of requests answered within the deadline, with its organisation. That fraction covers only organisations that offered no
// more than their weighted part of the capacity that remains during the fault.
func (r *admissionRun) result(s scenario) (goodput, worst float64, worstName string) {
	total, weights := 0, 0.0
	for _, o := range s.organisations {
		total += r.onTime[o.name]
		weights += o.weight
	}
	available := capacity() / s.slowdown * (1 - float64(s.failedGroups)/simGroups/3)
	goodput = float64(total) / (available * r.length.Seconds())
	worst = 1
	reduced := capacity() / s.slowdown * (1 - float64(s.failedGroups)/simGroups)
	for _, o := range s.organisations {
		if o.rate*capacity() > o.weight/weights*reduced {
			continue
		}
		if p := float64(r.onTime[o.name]) / float64(max(1, r.offered[o.name])); p < worst {
			worst, worstName = p, o.name
		}
	}
	return goodput, worst, worstName
}

// Admission compares queueing policies and splits of slots under every scenario, each for length of virtual time.
func Admission(seed uint64, length time.Duration) *Table {
	t := &Table{
		Title:   fmt.Sprintf("admission: %d entry hosts, %d groups of %d slots, %s of virtual time, seed %d", simHosts, simGroups, simSlots, length, seed),
		Columns: []string{"load", "order", "split", "goodput", "worst in share", "refused", "rejection ms", "waste"},
		Notes: []string{
			"goodput: responses within the deadline / capacity (target 0.95 where the load is above capacity). worst in share: lowest fraction",
			"of requests answered in time, among organisations within their share (target 0.95; 1 where none is). rejection ms: longest delay",
			"between the moment a request can no longer be in time and its rejection (target 10). waste: fraction of the responses that came too late.",
		},
	}
	policies := []struct {
		policy admission.Policy
		split  Split
	}{
		{admission.FirstComeFirstServed, SplitNone}, {admission.FirstComeFirstServed, SplitPartitioned}, {admission.EarliestDeadline, SplitPartitioned},
		{admission.FairDeadline, SplitEven}, {admission.FairDeadline, SplitPartitioned},
		{admission.FairDeadline, SplitBorrowing}, {admission.FairDeadline, SplitSingleHost},
	}
	for _, s := range scenarios() {
		for _, p := range policies {
			r := newAdmissionRun(seed, p.policy, p.split, s, length)
			r.loop.run(2 * length)
			goodput, worst, _ := r.result(s)
			total := 0
			for _, n := range r.onTime {
				total += n
			}
			t.add(s.name, p.policy, p.split, goodput, worst, r.rejected, r.maxRejectionDelay, 1-float64(total)/float64(max(1, r.completed)))
		}
	}
	return t
}
