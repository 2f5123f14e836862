package reach

import (
	"testing"
	"time"
)

// TestEvidence checks what a host tells others of a server without asking it.
func TestEvidence(t *testing.T) {
	const within = 300 * time.Millisecond
	type event struct {
		ago    time.Duration
		record func(a *Answers, at time.Time)
	}
	response := func(a *Answers, at time.Time) { a.Record(at, "s") }
	answered := func(a *Answers, at time.Time) { a.RecordQuery(at, "s", true) }
	missed := func(a *Answers, at time.Time) { a.RecordQuery(at, "s", false) }
	other := func(a *Answers, at time.Time) { a.Record(at, "t") }
	tests := []struct {
		name   string
		events []event
		within time.Duration
		isNew  bool
		want   Evidence
	}{
		{"nothing is known", nil, within, false, Unknown},
		{"another server has answered", []event{{0, other}}, within, false, Unknown},
		{"a response", []event{{within - 1, response}}, within, false, Answered},
		{"an old response", []event{{within, response}}, within, false, Unknown},
		{"a response on a connection that was open, for a host that gets no new one", []event{{0, response}}, within, true, Unknown},
		{"an answered query, for a host that gets no new connection", []event{{0, answered}}, within, true, Answered},
		{"a missed query", []event{{0, missed}}, within, false, Missed},
		{"an old missed query", []event{{within, missed}}, within, false, Unknown},
		{"missed, then a response", []event{{2, missed}, {1, response}}, within, false, Answered},
		{"missed, then a response on a connection that was open", []event{{2, missed}, {1, response}}, within, true, Missed},
		{"a response, then missed", []event{{2, response}, {1, missed}}, within, false, Missed},
		{"an older daemon asks, or the end of a server is in question", []event{{0, answered}}, 0, false, Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(100, 0)
			var a Answers
			for _, e := range tt.events {
				e.record(&a, now.Add(-e.ago))
			}
			if got := a.Evidence(now, "s", tt.within, tt.isNew); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestSilence checks when requests that wait for their servers cast doubt on the paths.
func TestSilence(t *testing.T) {
	const d = 350 * time.Millisecond
	type event struct {
		ago    time.Duration
		server string
		record func(a *Answers, at time.Time, id string)
	}
	sent := func(a *Answers, at time.Time, id string) { a.Send(at, id) }
	ended := func(a *Answers, at time.Time, id string) { a.End(at, id) }
	response := func(a *Answers, at time.Time, id string) { a.Record(at, id) }
	tests := []struct {
		name   string
		events []event
		want   bool
	}{
		{"nothing is sent", nil, false},
		{"a request waits for the only server", []event{{d, "a", sent}}, true},
		{"not for long", []event{{d - 1, "a", sent}}, false},
		{"it has ended", []event{{d, "a", sent}, {1, "a", ended}}, false},
		{"the server answers other requests", []event{{d, "a", sent}, {1, "a", response}}, false},
		{"it did so before", []event{{2 * d, "a", response}, {d, "a", sent}}, true},
		{"one server is silent, another answers", []event{{d, "a", sent}, {1, "b", response}}, false},
		{"most servers are silent", []event{{d, "a", sent}, {d, "b", sent}, {1, "c", response}}, true},
		{"half of the servers are silent", []event{{d, "a", sent}, {d, "b", sent}, {1, "c", response}, {1, "d", response}}, false},
		{"the first of two requests has ended", []event{{d, "a", sent}, {2, "a", sent}, {1, "a", ended}}, true},
		{"a new request after a pause", []event{{3 * d, "a", sent}, {2 * d, "a", ended}, {d - 1, "a", sent}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(100, 0)
			var a Answers
			for _, e := range tt.events {
				e.record(&a, now.Add(-e.ago), e.server)
			}
			if got := a.IsSilent(now, d); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestAnswersAreForgotten checks that servers that have left are not remembered for good.
func TestAnswersAreForgotten(t *testing.T) {
	now := time.Unix(100, 0)
	var a Answers
	a.Record(now, "left")
	a.Send(now, "waits")
	now = now.Add(2 * answerMemory)
	a.Record(now, "other")
	if _, found := a.servers["left"]; found {
		t.Error("a server is remembered that has long answered nothing")
	}
	if _, found := a.servers["waits"]; !found {
		t.Error("a server is forgotten at which a request waits")
	}
}
