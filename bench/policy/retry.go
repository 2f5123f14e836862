package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"savorywing.example/savorywing/process/retry"
)

const (
	retryLoad     = 0.75
	retryDark     = 3
	retryPatience = 2 * time.Second
	retryAttempts = 3
	// leaseEnds is how long hosts go on sending to a dark domain.
	leaseEnds = 2 * time.Second
)

// retryWay is a rule for what follows a failed attempt.
type retryWay struct {
	name string
	// retries allows attempts after the first.
	retries bool
	// late allows one after an attempt that was too slow.
	late bool
	// budget bounds them to a share of the successes.
	budget bool
}

// retryRun is one way through a domain that goes dark.
type retryRun struct {
	loop    *loop
	random  *rand.Rand
	engines []*engine
	budget  *retry.Budget
	way     retryWay
	darkAt  time.Duration
	// offered, attempts and good count requests, attempts at groups that live, and answers in patience,
	// from the moment the domain goes dark.
	offered, attempts, good int
}

func newRetryRun(seed uint64, w retryWay, length time.Duration) *retryRun {
	r := &retryRun{
		loop: newLoop(), random: rand.New(rand.NewPCG(seed, 4)), budget: retry.NewBudget(0.1), way: w, darkAt: length / 3,
	}
	for g := range simGroups {
		r.engines = append(r.engines, newEngine(r.loop, fmt.Sprintf("group-%d", g), simSlots, 1))
	}
	r.loop.after(r.darkAt, func() {
		for _, e := range r.engines[:retryDark] {
			e.goDark()
		}
	})
	r.arrive(length)
	return r
}

func (r *retryRun) arrive(length time.Duration) {
	gap := time.Duration(r.random.ExpFloat64() / (retryLoad * capacity()) * float64(time.Second))
	r.loop.after(gap, func() {
		if r.loop.elapsed() > length {
			return
		}
		if r.loop.elapsed() > r.darkAt {
			r.offered++
		}
		q := &simRequest{arrival: r.loop.now, deadline: r.loop.now.Add(retryPatience), tokens: int(r.random.ExpFloat64()*simMeanTokens) + 1, prefix: r.random.Uint64()}
		r.try(q, 1, -1)
		r.arrive(length)
	})
}

// try sends one attempt to the less loaded of two groups, never to the one that failed.
func (r *retryRun) try(q *simRequest, attempt, exclude int) {
	i := r.pick(exclude)
	e := r.engines[i]
	if !e.dark && r.loop.elapsed() > r.darkAt {
		r.attempts++
	}
	answered, over := false, false
	w := &work{prefix: q.prefix, tokens: q.tokens}
	w.first = func(at time.Time) {
		answered = true
		if !over && !at.After(q.deadline) {
			r.budget.RecordSuccess()
			if q.arrival.Sub(time.Unix(0, 0)) > r.darkAt {
				r.good++
			}
		}
	}
	w.done = func(ok bool) {
		if !ok && !answered && !over {
			over = true
			r.again(q, attempt, i)
		}
	}
	e.submit(w)
	if !r.way.late {
		return
	}
	r.loop.after(retryPatience/2, func() {
		if !answered && !over {
			over = true
			w.gone = true
			r.again(q, attempt, i)
		}
	})
}

func (r *retryRun) pick(exclude int) int {
	known := r.loop.elapsed() > r.darkAt+leaseEnds
	for {
		a, b := r.random.IntN(simGroups), r.random.IntN(simGroups)
		if r.engines[b].load() < r.engines[a].load() {
			a = b
		}
		if a != exclude && (!known || !r.engines[a].dark) {
			return a
		}
	}
}

func (r *retryRun) again(q *simRequest, attempt, i int) {
	if !r.way.retries || attempt >= retryAttempts || !r.loop.now.Before(q.deadline) {
		return
	}
	if r.way.budget && !r.budget.Spend() {
		return
	}
	r.try(q, attempt+1, i)
}

// Retries compares rules for retries while a fabric domain goes dark.
func Retries(seed uint64, length time.Duration) *Table {
	t := &Table{
		Title:   fmt.Sprintf("retries: %d of %d groups go dark at %.0f%% load, %s, seed %d", retryDark, simGroups, 100*retryLoad, length, seed),
		Columns: []string{"way", "requests", "attempts at living groups", "load beyond the moved requests", "in patience"},
		Notes:   []string{"Target: load on the rest rises by at most 0.10 beyond the requests that moved there. Counted from the loss on."},
	}
	for _, w := range []retryWay{
		{name: "no retries"},
		{name: "after failures", retries: true},
		{name: "after failures, budget", retries: true, budget: true},
		{name: "after failures and slow attempts", retries: true, late: true},
		{name: "after failures and slow attempts, budget", retries: true, late: true, budget: true},
	} {
		r := newRetryRun(seed, w, length)
		r.loop.run(2 * length)
		t.add(w.name, r.offered, r.attempts, float64(r.attempts)/float64(max(1, r.offered))-1, float64(r.good)/float64(max(1, r.offered)))
	}
	return t
}
