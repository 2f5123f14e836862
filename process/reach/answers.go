package reach

import "time"

// Answers records which servers have answered this host. Bytes of any response count: a connection may be opened by a proxy
// that doesn't reach the server. It is not safe for concurrent use.
type Answers struct {
	servers map[string]*serverAnswers
	sweptAt time.Time
}

type serverAnswers struct {
	// answeredAt is when bytes of a response last arrived, on any connection.
	answeredAt time.Time
	// openedAt is when a status query on a new connection was last answered, and missedAt when one ended without an answer.
	openedAt, missedAt time.Time
	// waiting is the number of attempts that wait for the header of their response; never negative. waitingSince is when the
	// first of them was sent, or the server's latest answer if that was later.
	waiting      int
	waitingSince time.Time
}

// answerMemory is how long a server is remembered that nothing is sent to.
const answerMemory = 10 * time.Second

func (a *Answers) server(now time.Time, id string) *serverAnswers {
	if a.servers == nil {
		a.servers = map[string]*serverAnswers{}
	}
	if now.Sub(a.sweptAt) > answerMemory {
		a.sweptAt = now
		for id, s := range a.servers {
			if s.waiting == 0 && now.Sub(s.latest()) > answerMemory {
				delete(a.servers, id)
			}
		}
	}
	s := a.servers[id]
	if s == nil {
		s = &serverAnswers{}
		a.servers[id] = s
	}
	return s
}

func (s *serverAnswers) latest() time.Time {
	latest := s.answeredAt
	for _, t := range []time.Time{s.openedAt, s.missedAt} {
		if t.After(latest) {
			latest = t
		}
	}
	return latest
}

// Send records that an attempt begins to wait for the header of its response, until End.
func (a *Answers) Send(now time.Time, id string) {
	s := a.server(now, id)
	if s.waiting == 0 {
		s.waitingSince = now
	}
	s.waiting++
}

// End ends what Send began.
func (a *Answers) End(now time.Time, id string) {
	s := a.server(now, id)
	s.waiting = max(0, s.waiting-1)
}

// Record records that bytes of a response arrived.
func (a *Answers) Record(now time.Time, id string) {
	s := a.server(now, id)
	s.answeredAt, s.waitingSince = now, now
}

// RecordQuery records how a status query on a new connection has ended.
func (a *Answers) RecordQuery(now time.Time, id string, answered bool) {
	s := a.server(now, id)
	if answered {
		s.answeredAt, s.openedAt = now, now
		return
	}
	s.missedAt = now
}

// IsSilent reports whether attempts have waited for d at most servers, without an answer since, while few others have answered
// in that time.
func (a *Answers) IsSilent(now time.Time, d time.Duration) bool {
	silent, answering := 0, 0
	for _, s := range a.servers {
		switch {
		case s.waiting > 0 && now.Sub(s.waitingSince) >= d:
			silent++
		case now.Sub(s.answeredAt) < d:
			answering++
		}
	}
	return silent > 0 && silent >= majority*answering
}

// HasAnswered reports whether a server has sent bytes of a response within a time before now.
func (a *Answers) HasAnswered(now time.Time, id string, within time.Duration) bool {
	s := a.servers[id]
	return s != nil && now.Sub(s.answeredAt) < within
}

// Evidence is what is known of a server without asking it.
type Evidence int

// Kinds of evidence.
const (
	// Unknown means that only the server can tell.
	Unknown Evidence = iota
	// Answered means that the server has answered this host.
	Answered
	// Missed means that the server hasn't answered this host's latest status query.
	Missed
)

// Evidence returns what is known of a server by what happened within a time before now. isNew asks for an answer on a new
// connection: a server may serve those that are open, and open no others.
func (a *Answers) Evidence(now time.Time, id string, within time.Duration, isNew bool) Evidence {
	s := a.servers[id]
	if s == nil {
		return Unknown
	}
	answeredAt := s.answeredAt
	if isNew {
		answeredAt = s.openedAt
	}
	switch {
	case now.Sub(answeredAt) < within && !s.missedAt.After(answeredAt):
		return Answered
	case now.Sub(s.missedAt) < within && s.missedAt.After(answeredAt):
		return Missed
	}
	return Unknown
}
