package entry

import (
	"sort"
	"time"

	"savorywing.example/savorywing/process/admission"
	"savorywing.example/savorywing/process/registry"
	"savorywing.example/savorywing/process/router"
	"savorywing.example/savorywing/process/straggler"
)

// grant is the permission to send one attempt to a candidate.
type grant struct {
	candidate registry.Candidate
	grantedAt time.Time
}

// sendCount counts the requests that this host has sent to a candidate.
type sendCount struct {
	inFlight int
	// recent holds the send times of requests that the newest load report can't contain yet.
	recent []time.Time
}

// requestQueue is the queue of one model or plain service, with the state of its requests in flight.
type requestQueue struct {
	admission *admission.Queue
	router    *router.Router
	detector  *straggler.Detector
	// waiting holds the submitted requests in the queue by request ID.
	waiting map[string]submitEvent
	sent    map[string]*sendCount
	running int
}

func newRequestQueue(weights map[string]float64, seed uint64) *requestQueue {
	return &requestQueue{
		admission: admission.NewQueue(admission.FairDeadline, admission.WithWeights(weights)),
		router:    router.New(router.Affinity, seed),
		detector:  straggler.NewDetector(),
		waiting:   map[string]submitEvent{}, sent: map[string]*sendCount{},
	}
}

// hostIndex is this host's index among the entry hosts that are up, and their number.
type hostIndex struct {
	index, hosts int
}

// usableSlots is the number of requests that all entry hosts together may have in flight at a candidate.
func usableSlots(c registry.Candidate, maxRequests int) int {
	return max(1, min(int(c.Load.Slots), maxRequests))
}

// ownSlots is the number of a candidate's slots that are assigned to this host.
func (host hostIndex) ownSlots(now time.Time, c registry.Candidate, maxRequests int) int {
	return admission.OwnSlots(usableSlots(c, maxRequests), c.ID, host.index, host.hosts, now.Unix())
}

// lendableSlots is the number of a candidate's slots that hosts may borrow, by a recent load report and the
// requests sent since. It is 0 if the report is older than MaxLendingReportAge.
func (q *requestQueue) lendableSlots(now time.Time, c registry.Candidate, maxRequests int) int {
	if now.Sub(c.RequestedAt) > admission.MaxLendingReportAge {
		return 0
	}
	return admission.LendableSlots(usableSlots(c, maxRequests), int(c.Load.Running+c.Load.Waiting)+int(q.unreportedSent(c)))
}

// slots is the number of requests that this host may have in flight over all candidates.
func (q *requestQueue) slots(now time.Time, candidates []registry.Candidate, host hostIndex, maxRequests int) int {
	own, all, free := 0, 0, 0
	for _, c := range candidates {
		all += usableSlots(c, maxRequests)
		own += host.ownSlots(now, c, maxRequests)
		free += q.lendableSlots(now, c, maxRequests)
	}
	return max(1, admission.MaxInFlight(own, all, free, host.hosts))
}

// available lists the candidates that may get one more request: those with a free slot of this host and, while the
// host may borrow, those with lendable slots.
func (q *requestQueue) available(now time.Time, candidates []registry.Candidate, host hostIndex, maxRequests int, exclude map[string]bool) []registry.Candidate {
	mayBorrow := q.running < q.slots(now, candidates, host, maxRequests)
	var found []registry.Candidate
	for _, c := range candidates {
		inFlight := 0
		if s := q.sent[c.ID]; s != nil {
			inFlight = s.inFlight
		}
		fits := inFlight < host.ownSlots(now, c, maxRequests) || (mayBorrow && q.lendableSlots(now, c, maxRequests) > 0)
		if fits && !exclude[c.ID] && q.detector.Usable(now, c.ID) {
			found = append(found, c)
		}
	}
	return found
}

// pick chooses among candidates with free slots.
func (q *requestQueue) pick(free []registry.Candidate, prefix uint64) registry.Candidate {
	options := make([]router.Candidate, len(free))
	for i, c := range free {
		options[i] = router.Candidate{
			ID: c.ID, ReportedLoad: float64(c.Load.Running + c.Load.Waiting), UnreportedSent: q.unreportedSent(c),
			Slots: float64(max(1, c.Load.Slots)), Local: c.Local, Cached: contains(c.Prefixes, prefix),
		}
	}
	return free[q.router.Pick(options, prefix)]
}

func contains(list []uint64, v uint64) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return false
}

// unreportedSent counts the requests sent after the candidate's last load report was requested.
func (q *requestQueue) unreportedSent(c registry.Candidate) float64 {
	s := q.sent[c.ID]
	if s == nil {
		return 0
	}
	first := sort.Search(len(s.recent), func(i int) bool { return s.recent[i].After(c.RequestedAt) })
	s.recent = s.recent[first:]
	return float64(len(s.recent))
}

// recordStart counts an attempt.
func (q *requestQueue) recordStart(now time.Time, id string) {
	s := q.sent[id]
	if s == nil {
		s = &sendCount{}
		q.sent[id] = s
	}
	s.inFlight++
	s.recent = append(s.recent, now)
	q.running++
	q.detector.RecordProbe(now, id)
}

// recordEnd removes an attempt from the counts.
func (q *requestQueue) recordEnd(id string) {
	q.running--
	if s := q.sent[id]; s != nil {
		s.inFlight--
		if s.inFlight == 0 {
			delete(q.sent, id)
		}
	}
}
