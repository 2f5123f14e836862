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

// waiting is one request in a lane's queue.
type waiting struct {
	offer offerEvent
	item  admission.Item
}

// sent counts a candidate's requests of this host.
type sent struct {
	inFlight int
	// recent holds the send times that the newest load report can't contain yet.
	recent []time.Time
}

// lane is the queue of one model or plain service, with what runs from it.
type lane struct {
	queue     *admission.Queue
	router    *router.Router
	detector  *straggler.Detector
	waiting   map[string]waiting
	sent      map[string]*sent
	running   int
	inService bool
}

func newLane(shares map[string]float64, inService bool, seed uint64) *lane {
	return &lane{
		queue:    admission.NewQueue(admission.FairDeadline, admission.WithShares(shares)),
		router:   router.New(router.Affinity, seed),
		detector: straggler.NewDetector(),
		waiting:  map[string]waiting{}, sent: map[string]*sent{}, inService: inService,
	}
}

// limit is the number of requests that this host may have in flight at one candidate: its part of the
// slots, and its part of what the last report shows free.
func limit(c registry.Candidate, entryHosts, groupRequests int) int {
	slots := min(int(c.Load.Slots), groupRequests)
	return max(1, admission.HostLimit(slots, int(c.Load.Running+c.Load.Waiting), entryHosts))
}

// room lists the candidates that may be given one more request.
func (l *lane) room(now time.Time, candidates []registry.Candidate, entryHosts, groupRequests int, exclude map[string]bool) []registry.Candidate {
	var free []registry.Candidate
	for _, c := range candidates {
		inFlight := 0
		if s := l.sent[c.ID]; s != nil {
			inFlight = s.inFlight
		}
		if inFlight < limit(c, entryHosts, groupRequests) && !exclude[c.ID] && l.detector.Usable(now, c.ID) {
			free = append(free, c)
		}
	}
	return free
}

// slots is the number of requests that this host may have in flight over all candidates.
func (l *lane) slots(candidates []registry.Candidate, entryHosts, groupRequests int) int {
	n := 0
	for _, c := range candidates {
		n += limit(c, entryHosts, groupRequests)
	}
	return n
}

// pick chooses among candidates with room.
func (l *lane) pick(free []registry.Candidate, prefix uint64) registry.Candidate {
	options := make([]router.Candidate, len(free))
	for i, c := range free {
		options[i] = router.Candidate{
			ID: c.ID, Reported: float64(c.Load.Running + c.Load.Waiting), Sent: l.unreported(c),
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

// unreported counts what was sent after the candidate's last load report was read.
func (l *lane) unreported(c registry.Candidate) float64 {
	s := l.sent[c.ID]
	if s == nil {
		return 0
	}
	read := time.UnixMilli(c.Load.ReadAt)
	first := sort.Search(len(s.recent), func(i int) bool { return s.recent[i].After(read) })
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
	l.detector.Probed(now, id)
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
