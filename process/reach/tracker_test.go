package reach

import (
	"testing"
	"time"
)

func TestRounds(t *testing.T) {
	at := time.Unix(100, 0)
	all := SampleSize + WideSampleSize
	tests := []struct {
		name   string
		rounds []Round
		// response is how long before the first round a response arrived.
		response time.Duration
		want     []State
	}{
		{"all servers are reached", []Round{{60, 5, 5, 0}}, time.Hour, []State{Direct}},
		{"one silent server", []Round{{60, 5, 4, 1}, {60, 5, 5, 0}}, 0, []State{Direct, Direct}},
		{"cut off", []Round{{60, 5, 0, 5}}, 0, []State{Lost}},
		{"cut off from all but a few", []Round{{60, 5, 1, 4}, {60, 5, 1, 4}}, 0, []State{Lost, Lost}},
		{"cut off from the only server", []Round{{1, 1, 0, 1}}, 0, []State{Lost}},
		{"a crash of many", []Round{{60, 5, 1, 0}, {60, 5, 2, 0}}, 0, []State{Direct, Direct}},
		{"a crash of all that were asked first", []Round{{60, all, 3, 0}}, 0, []State{Direct}},
		{"a crash of many while the host is cut off", []Round{{60, 5, 0, 2}}, 0, []State{Lost}},
		{"all hosts are cut off", []Round{{60, all, 0, 0}}, time.Hour, []State{Isolated}},
		{"established connections go on, and no host opens new ones", []Round{{60, all, 0, 0}}, time.Millisecond, []State{Direct}},
		{"too few servers asked", []Round{{60, 5, 0, 0}}, time.Hour, []State{Direct}},
		{"two rounds restore", []Round{{60, 5, 0, 5}, {60, 5, 5, 0}, {60, 5, 5, 0}}, 0, []State{Lost, Lost, Direct}},
		{"a path that flaps", []Round{{60, 5, 0, 5}, {60, 5, 5, 0}, {60, 5, 0, 5}, {60, 5, 5, 0}}, 0, []State{Lost, Lost, Lost, Lost}},
		{"half of the paths", []Round{{60, 5, 0, 5}, {60, 5, 3, 2}, {60, 5, 2, 3}}, 0, []State{Lost, Lost, Lost}},
		{"half of the paths, seen from the other side", []Round{{60, 5, 3, 2}, {60, 5, 2, 3}}, 0, []State{Direct, Direct}},
		{"servers end during the cut, which ends", []Round{{60, 5, 0, 5}, {60, 5, 2, 0}, {60, 5, 2, 0}}, 0, []State{Lost, Lost, Direct}},
		{"others lose their paths too", []Round{{60, 5, 0, 5}, {60, all, 0, 0}, {60, 5, 0, 4}}, time.Hour, []State{Lost, Isolated, Lost}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var tr Tracker
			now := at
			tr.RecordResponse(now.Add(-tt.response))
			for i, r := range tt.rounds {
				if !tr.IsSettled() {
					tr.Continue()
				} else if !tr.Begin(now) {
					t.Fatalf("round %d doesn't begin", i)
				}
				tr.Conclude(now, r)
				if got := tr.State(); got != tt.want[i] {
					t.Errorf("after round %d: %v, want %v", i, got, tt.want[i])
				}
				now = now.Add(soundInterval)
			}
		})
	}
}

// TestRoundsAreLimited checks that failures don't start a round each.
func TestRoundsAreLimited(t *testing.T) {
	at := time.Unix(100, 0)
	tests := []struct {
		name  string
		round Round
		pause time.Duration
	}{
		{"sound", Round{60, 5, 5, 0}, soundInterval},
		{"in doubt", Round{60, 5, 4, 0}, doubtInterval},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var tr Tracker
			if !tr.Begin(at) || tr.Begin(at) {
				t.Error("want one round at a time")
			}
			tr.Conclude(at, tt.round)
			if tr.Begin(at.Add(tt.pause - 1)) {
				t.Error("the next round begins too soon")
			}
			if !tr.Begin(at.Add(tt.pause)) {
				t.Error("the next round doesn't begin")
			}
		})
	}
	for name, round := range map[string]Round{"lost": {60, 5, 0, 5}, "most servers down": {60, 5, 1, 0}} {
		t.Run(name, func(t *testing.T) {
			var tr Tracker
			tr.Begin(at)
			tr.Conclude(at, round)
			if tr.IsSettled() || tr.Begin(at.Add(time.Hour)) {
				t.Error("a failure starts a second series of rounds")
			}
			for range restoringRounds {
				tr.Continue()
				tr.Conclude(at, Round{60, 5, 4, 0})
			}
			if !tr.IsSettled() || tr.InDoubt() {
				t.Error("rounds that reach the servers settle nothing")
			}
		})
	}
}

// TestRulesOutLoss checks that requests wait for a round only while its outcome is open.
func TestRulesOutLoss(t *testing.T) {
	for asked := range SampleSize + 1 {
		for answered := range asked + 1 {
			var tr Tracker
			now := time.Unix(100, 0)
			tr.Begin(now)
			tr.Conclude(now, Round{Known: 60, Asked: asked, Reached: answered, Elsewhere: asked - answered})
			if got := RulesOutLoss(asked, answered); got && tr.State() == Lost {
				t.Errorf("%d of %d answered: ruled out, and paths count as lost", answered, asked)
			}
		}
	}
	if !RulesOutLoss(SampleSize, 2) || RulesOutLoss(SampleSize, 1) {
		t.Error("want two answers of five to rule out that paths are lost, and not one")
	}
}

// TestMixedRound guards against a host that doesn't notice for seconds that it is cut off from all servers but a few,
// since a round happens to ask those few: such a round asks further servers, of which it then is clear.
func TestMixedRound(t *testing.T) {
	for _, tt := range []struct {
		name  string
		round Round
		want  bool
		// after is the state by the round with the further servers, and wantState the state.
		after     Round
		wantState State
	}{
		{"both of the few of nine", Round{9, 5, 2, 3}, true, Round{9, 9, 2, 7}, Lost},
		{"two of two", Round{2, 2, 1, 1}, false, Round{2, 2, 1, 1}, Direct},
		{"cut off", Round{60, 5, 1, 4}, false, Round{60, 5, 1, 4}, Lost},
		{"sound", Round{60, 5, 4, 1}, false, Round{60, 5, 4, 1}, Direct},
		{"servers that nobody reaches", Round{60, 5, 2, 0}, false, Round{60, 5, 2, 0}, Direct},
		{"half of the paths", Round{60, 5, 2, 3}, true, Round{60, 17, 8, 9}, Direct},
	} {
		if got := tt.round.IsMixed(); got != tt.want {
			t.Errorf("%s: mixed %v, want %v", tt.name, got, tt.want)
		}
		var tr Tracker
		tr.Begin(time.Unix(100, 0))
		tr.Conclude(time.Unix(100, 0), tt.after)
		if got := tr.State(); got != tt.wantState {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.wantState)
		}
	}
}
