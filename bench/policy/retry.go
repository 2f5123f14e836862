package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"savorywing.example/savorywing/process/retry"
)

const (
	retryLoad         = 0.75
	retryFailedGroups = 3
	retryTimeout      = 2 * time.Second
	retryAttempts     = 3
	// leaseExpiry is how long hosts keep sending to a domain that is down, until its leases have expired.
	leaseExpiry = 2 * time.Second
)

// retryPolicy decides what follows a failed attempt.
type retryPolicy struct {
	name string
	// retries allows attempts after the first.
	retries bool
	// afterTimeout also allows a retry after an attempt that was too slow.
	afterTimeout bool
	// budget bounds retries to a fraction of the successes.
	budget bool
}

// retryRun simulates one retry policy while a fabric domain fails.
type retryRun struct {
	loop    *eventLoop
	random  *rand.Rand
	engines []*engine
	budget  *retry.Budget
	policy  retryPolicy
	failAt  time.Duration
	// offered, attempts and onTime count requests, attempts at working groups, and responses within the deadline, from
	// the moment the domain fails.
	offered, attempts, onTime int
}

func newRetryRun(seed uint64, p retryPolicy, length time.Duration) *retryRun {
	r := &retryRun{
		loop: newEventLoop(), random: rand.New(rand.NewPCG(seed, 4)), budget: retry.NewBudget(0.1), policy: p, failAt: length / 3,
	}
	for g := range simGroups {
		r.engines = append(r.engines, newEngine(r.loop, fmt.Sprintf("group-%d", g), simSlots, 1))
	}
	r.loop.after(r.failAt, func() {
		for _, e := range r.engines[:retryFailedGroups] {
			e.fail()
		}
	})
	r.scheduleArrival(length)
	return r
}

func (r *retryRun) scheduleArrival(length time.Duration) {
	gap := time.Duration(r.random.ExpFloat64() / (retryLoad * capacity()) * float64(time.Second))
	r.loop.after(gap, func() {
		if r.loop.elapsed() > length {
			return
		}
		if r.loop.elapsed() > r.failAt {
			r.offered++
		}
		req := &simRequest{arrival: r.loop.now, deadline: r.loop.now.Add(retryTimeout), tokens: int(r.random.ExpFloat64()*simMeanTokens) + 1, prefix: r.random.Uint64()}
		r.send(req, 1, -1)
		r.scheduleArrival(length)
	})
}

// send sends one attempt to the less loaded of two random groups, never to the one of the previous attempt, which is
// excluded.
func (r *retryRun) send(req *simRequest, attempt, exclude int) {
	i := r.pick(exclude)
	e := r.engines[i]
	if !e.failed && r.loop.elapsed() > r.failAt {
		r.attempts++
	}
	answered, abandoned := false, false
	j := &job{prefix: req.prefix, tokens: req.tokens}
	j.onFirstToken = func(at time.Time) {
		answered = true
		if !abandoned && !at.After(req.deadline) {
			r.budget.RecordSuccess()
			if req.arrival.Sub(time.Unix(0, 0)) > r.failAt {
				r.onTime++
			}
		}
	}
	j.onDone = func(ok bool) {
		if !ok && !answered && !abandoned {
			abandoned = true
			r.retry(req, attempt, i)
		}
	}
	e.submit(j)
	if !r.policy.afterTimeout {
		return
	}
	r.loop.after(retryTimeout/2, func() {
		if !answered && !abandoned {
			abandoned = true
			j.cancelled = true
			r.retry(req, attempt, i)
		}
	})
}

func (r *retryRun) pick(exclude int) int {
	known := r.loop.elapsed() > r.failAt+leaseExpiry
	for {
		a, b := r.random.IntN(simGroups), r.random.IntN(simGroups)
		if r.engines[b].load() < r.engines[a].load() {
			a = b
		}
		if a != exclude && (!known || !r.engines[a].failed) {
			return a
		}
	}
}

func (r *retryRun) retry(req *simRequest, attempt, i int) {
	if !r.policy.retries || attempt >= retryAttempts || !r.loop.now.Before(req.deadline) {
		return
	}
	if r.policy.budget && !r.budget.Spend() {
		return
	}
	r.send(req, attempt+1, i)
}

// Retries compares retry policies while a fabric domain fails.
func Retries(seed uint64, length time.Duration) *Table {
	t := &Table{
		Title:   fmt.Sprintf("retries: %d of %d groups fail at %.0f%% load, %s, seed %d", retryFailedGroups, simGroups, 100*retryLoad, length, seed),
		Columns: []string{"way", "requests", "attempts at working groups", "load beyond the moved requests", "within deadline"},
		Notes:   []string{"Target: load on the remaining groups rises by at most 0.10 beyond the requests that moved there. Counted from the failure on."},
	}
	for _, p := range []retryPolicy{
		{name: "no retries"},
		{name: "after failures", retries: true},
		{name: "after failures, budget", retries: true, budget: true},
		{name: "after failures and slow attempts", retries: true, afterTimeout: true},
		{name: "after failures and slow attempts, budget", retries: true, afterTimeout: true, budget: true},
	} {
		r := newRetryRun(seed, p, length)
		r.loop.run(2 * length)
		t.add(p.name, r.offered, r.attempts, float64(r.attempts)/float64(max(1, r.offered))-1, float64(r.onTime)/float64(max(1, r.offered)))
	}
	return t
}
