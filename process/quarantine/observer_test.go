package quarantine

import (
	"testing"
	"time"

	"savorywing.example/savorywing/wire"
)

func prompt(parts ...uint64) Identity { return Identity{Service: "s", Organisation: "o", Parts: parts} }

func list(keys ...wire.PartKey) []wire.QuarantinedPart {
	var out []wire.QuarantinedPart
	for _, k := range keys {
		out = append(out, wire.QuarantinedPart{Key: k, Blocked: true, RetryMs: 9000})
	}
	return out
}

func TestBlocked(t *testing.T) {
	tests := []struct {
		name   string
		listed []wire.QuarantinedPart
		probes []wire.PartKey
		prompt Identity
		want   bool
	}{
		{"nothing listed", nil, nil, prompt(common, lethal), false},
		{"another part", list(key("o", lethal)), nil, prompt(common), false},
		{"a blocked part", list(key("o", lethal)), nil, prompt(common, lethal), true},
		{"blocked for another organisation", list(key("p", lethal)), nil, prompt(common, lethal), false},
		{"blocked for all", list(key(AllOrganisations, lethal)), nil, prompt(common, lethal), true},
		{"only suspected", []wire.QuarantinedPart{{Key: key("o", lethal)}}, nil, prompt(lethal), false},
		{"a probe", list(key("o", lethal)), []wire.PartKey{key("o", lethal)}, prompt(common, lethal), false},
		{"a probe of one of two", list(key("o", lethal), key("o", common)), []wire.PartKey{key("o", lethal)}, prompt(common, lethal), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := NewObserver()
			o.Apply(start, wire.FleetUpdate{Term: 1, Echo: 1, Quarantine: tt.listed, Probes: tt.probes})
			retryAfter, got := o.Blocked(start, tt.prompt)
			if got != tt.want || (got && retryAfter != 9*time.Second) {
				t.Errorf("blocked %v, retry after %v; want %v", got, retryAfter, tt.want)
			}
			o.RecordSend(tt.prompt)
			if _, again := o.Blocked(start, tt.prompt); len(tt.listed) > 0 && tt.name == "a probe" && !again {
				t.Error("the permission was used twice")
			}
		})
	}
}

// TestLossReports checks which losses are reported, and until when.
func TestLossReports(t *testing.T) {
	o := NewObserver()
	if !o.RecordLoss(start, "a", 1, prompt(common, lethal)) || o.RecordLoss(start, "a", 1, prompt(common)) || !o.RecordLoss(start, "b", 1, prompt(common)) {
		t.Fatal("only the first loss of a server is to be resolved")
	}
	losses := func(sentAt int64) int {
		u := wire.Usage{SentAt: sentAt}
		o.Report(start, &u)
		for _, l := range u.Losses {
			if l.Ended != (l.Server == "a") {
				t.Errorf("%+v: only the server a is known to have ended", l)
			}
		}
		return len(u.Losses)
	}
	if n := losses(1); n != 0 {
		t.Errorf("%d losses before any is resolved", n)
	}
	o.Resolve("a", 1, true)
	o.Resolve("b", 1, false)
	if n := losses(2); n != 2 {
		t.Errorf("%d losses, want 2: the leader finds out about the other server", n)
	}
	o.RecordLoss(start, "a", 1, prompt(7))
	o.Apply(start, wire.FleetUpdate{Term: 1, Echo: 2})
	if n := losses(3); n != 1 {
		t.Errorf("%d losses, want 1: a request was lost after the report", n)
	}
	o.Apply(start, wire.FleetUpdate{Term: 1, Echo: 3})
	if n := losses(4); n != 0 {
		t.Errorf("%d losses after the leader has acknowledged them", n)
	}
}

// TestLossesForNewLeader guards against a new leader that doesn't know of the losses which the one before it was told of.
func TestLossesForNewLeader(t *testing.T) {
	o := NewObserver()
	report := func(now time.Time, sentAt int64) (servers string) {
		u := wire.Usage{SentAt: sentAt}
		o.Report(now, &u)
		for _, l := range u.Losses {
			servers += l.Server
		}
		return servers
	}
	lose := func(now time.Time, server string, ended bool) bool {
		isNew := o.RecordLoss(now, server, 1, prompt(lethal))
		if isNew {
			o.Resolve(server, 1, ended)
		}
		return isNew
	}
	lose(start, "a", true)
	lose(start, "b", false)
	sentAt := int64(0)
	for _, tt := range []struct {
		name string
		// after is the time since the losses.
		after time.Duration
		// update is applied before the report.
		update wire.FleetUpdate
		// urgent is whether the leader waits for the report.
		urgent bool
		want   string
	}{
		{"no leader knows", 0, wire.FleetUpdate{}, false, "ab"},
		{"the leader knows", time.Second, wire.FleetUpdate{Term: 1, Echo: 1}, false, ""},
		{"a new leader that has answered no report", time.Second, wire.FleetUpdate{Term: 2}, false, ""},
		{"a new leader's first answer", time.Second, wire.FleetUpdate{Term: 2, Echo: 4}, true, "ab"},
		{"an answer of the leader before it", time.Second, wire.FleetUpdate{Term: 1, Echo: 4}, false, "ab"},
		{"an answer to a report before that", time.Second, wire.FleetUpdate{Term: 2, Echo: 4}, false, "ab"},
		{"the new leader knows", time.Second, wire.FleetUpdate{Term: 2, Echo: 6}, false, ""},
		{"another leader, long after", lossRetention + time.Second, wire.FleetUpdate{Term: 3, Echo: 7}, false, ""},
	} {
		if got := o.Apply(start.Add(tt.after), tt.update); got != tt.urgent {
			t.Errorf("%s: the leader waits: %v, want %v", tt.name, got, tt.urgent)
		}
		sentAt++
		if got := report(start.Add(tt.after), sentAt); got != tt.want {
			t.Errorf("%s: losses of %q, want of %q", tt.name, got, tt.want)
		}
	}
	lose(start, "a", true)
	lose(start, "b", false)
	o.Apply(start, wire.FleetUpdate{Term: 3, Echo: sentAt})
	report(start, 20)
	o.Apply(start, wire.FleetUpdate{Term: 3, Echo: 20})
	if lose(start, "a", true) || !lose(start, "b", true) {
		t.Error("a known loss of a server that has ended is to be resolved again, or one of another server isn't")
	}
}

// TestLateProof checks that the leader is told if it turns out later that a server has ended.
func TestLateProof(t *testing.T) {
	o := NewObserver()
	o.RecordLoss(start, "a", 1, prompt(lethal))
	for i, tt := range []struct {
		name        string
		ended, want bool
	}{
		{"nothing is known", false, false},
		{"the server has ended", true, true},
		{"that is certain", false, true},
	} {
		o.Resolve("a", 1, tt.ended)
		u := wire.Usage{SentAt: int64(i + 1)}
		o.Report(start, &u)
		if len(u.Losses) != 1 && i < 2 || len(u.Losses) == 1 && u.Losses[0].Ended != tt.want {
			t.Errorf("%s: reported %+v, want ended %v", tt.name, u.Losses, tt.want)
		}
		o.Apply(start, wire.FleetUpdate{Term: 1, Echo: u.SentAt})
	}
}

// TestListOfNewLeader checks that the list of a new leader holds only from its first answer to a report of this host.
func TestListOfNewLeader(t *testing.T) {
	o := NewObserver()
	o.Apply(start, wire.FleetUpdate{Term: 1, Echo: 1, Quarantine: list(key("o", lethal))})
	o.Apply(start, wire.FleetUpdate{Term: 2})
	if _, blocked := o.Blocked(start, prompt(lethal)); !blocked {
		t.Error("the list is forgotten before the new leader knows it")
	}
	o.Apply(start, wire.FleetUpdate{Term: 2, Echo: 2})
	o.Apply(start, wire.FleetUpdate{Term: 1, Echo: 1, Quarantine: list(key("o", lethal))})
	if _, blocked := o.Blocked(start, prompt(lethal)); blocked {
		t.Error("the list of an earlier leader holds")
	}
}

// TestObserverMemory checks that any number of parts and losses takes bounded memory.
func TestObserverMemory(t *testing.T) {
	o := NewObserver()
	for n := range uint64(20 * maxSurvivals) {
		o.RecordSurvival(start, start, prompt(n, n+1<<40))
		o.RecordLoss(start, "server", int64(n), prompt(n))
		o.RecordLoss(start, "server", 0, prompt(n))
	}
	if n := len(o.newer) + len(o.older); n > 2*(maxSurvivals+2) || len(o.losses) > maxLosses || len(o.losses[incarnation{"server", 0}].requests) > maxLostRequests {
		t.Errorf("%d survivals, %d losses", n, len(o.losses))
	}
}
