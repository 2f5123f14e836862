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

// sent counts a candidate's requests of this host.
type sent struct {
	inFlight int
	// recent holds the send times that the newest load report can't contain yet.
	recent []time.Time
}

// lane is the queue of one model or plain service, with what runs from it.
type lane struct {
	queue    *admission.Queue
	router   *router.Router
	detector *straggler.Detector
	// waiting holds the offers in the queue by their requests' numbers.
	waiting map[string]offerEvent
	sent    map[string]*sent
	running int
}

func newLane(shares map[string]float64, seed uint64) *lane {
	return &lane{
		queue:    admission.NewQueue(admission.FairDeadline, admission.WithShares(shares)),
		router:   router.New(router.Affinity, seed),
		detector: straggler.NewDetector(),
		waiting:  map[string]offerEvent{}, sent: map[string]*sent{},
	}
}

// place is this host's place among the entry hosts that are up.
type place struct {
	index, hosts int
}

// slotsOf is the number of requests that all entry hosts together may have in flight at a candidate.
func slotsOf(c registry.Candidate, most int) int { return max(1, min(int(c.Load.Slots), most)) }

// own is the number of a candidate's slots that belong to this host.
func (p place) own(now time.Time, c registry.Candidate, most int) int {
	return admission.OwnSlots(slotsOf(c, most), c.ID, p.index, p.hosts, now.Unix())
}

// free is the number of a candidate's slots that may be lent by a fresh report and what was sent since.
func (l *lane) free(now time.Time, c registry.Candidate, most int) int {
	if now.Sub(c.RequestedAt) > admission.MaxLendingReportAge {
		return 0
	}
	return admission.LendableSlots(slotsOf(c, most), int(c.Load.Running+c.Load.Waiting)+int(l.unreported(c)))
}

// slots is the number of requests that this host may have in flight over all candidates.
func (l *lane) slots(now time.Time, candidates []registry.Candidate, p place, most int) int {
	own, free := 0, 0
	for _, c := range candidates {
		own += p.own(now, c, most)
		free += l.free(now, c, most)
	}
	return max(1, own+admission.BorrowableSlots(free, p.hosts))
}

// room lists the candidates that may be given one more request: those with an own slot left, and, while
// the host may borrow, those with free slots to lend.
func (l *lane) room(now time.Time, candidates []registry.Candidate, p place, most int, exclude map[string]bool) []registry.Candidate {
	mayBorrow := l.running < l.slots(now, candidates, p, most)
	var found []registry.Candidate
	for _, c := range candidates {
		inFlight := 0
		if s := l.sent[c.ID]; s != nil {
			inFlight = s.inFlight
		}
		fits := inFlight < p.own(now, c, most) || (mayBorrow && l.free(now, c, most) > 0)
		if fits && !exclude[c.ID] && l.detector.Usable(now, c.ID) {
			found = append(found, c)
		}
	}
	return found
}

// pick chooses among candidates with room.
func (l *lane) pick(free []registry.Candidate, prefix uint64) registry.Candidate {
	options := make([]router.Candidate, len(free))
	for i, c := range free {
		options[i] = router.Candidate{
			ID: c.ID, ReportedLoad: float64(c.Load.Running + c.Load.Waiting), UnreportedSent: l.unreported(c),
			Slots: float64(max(1, c.Load.Slots)), Local: c.Local, Cached: contains(c.Prefixes, prefix),
		}
	}
	return free[l.router.Pick(options, prefix)]
}

func contains(list []uint64, v uint64) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return false
}

// unreported counts what was sent after the candidate's last load report was requested.
func (l *lane) unreported(c registry.Candidate) float64 {
	s := l.sent[c.ID]
	if s == nil {
		return 0
	}
	first := sort.Search(len(s.recent), func(i int) bool { return s.recent[i].After(c.RequestedAt) })
	s.recent = s.recent[first:]
	return float64(len(s.recent))
}

// begin counts an attempt.
func (l *lane) begin(now time.Time, id string) {
	s := l.sent[id]
	if s == nil {
		s = &sent{}
		l.sent[id] = s
	}
	s.inFlight++
	s.recent = append(s.recent, now)
	l.running++
	l.detector.RecordProbe(now, id)
}

// end takes an attempt out of the counts.
func (l *lane) end(id string) {
	l.running--
	if s := l.sent[id]; s != nil {
		s.inFlight--
		if s.inFlight == 0 {
			delete(l.sent, id)
		}
	}
}
