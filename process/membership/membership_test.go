package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"savorywing.example/savorywing/wire"
)

// members returns a membership of voters, and of learners, whose ids begin with a question mark.
func members(ids string) wire.Membership {
	var m wire.Membership
	for _, id := range strings.Fields(ids) {
		name, learns := strings.CutPrefix(id, "?")
		m.Members = append(m.Members, wire.Member{ID: name, Voter: !learns})
	}
	return m
}

// apply applies a change.
func apply(m wire.Membership, c Change) wire.Membership {
	var out wire.Membership
	for _, member := range m.Members {
		if member.ID != c.id {
			out.Members = append(out.Members, member)
		}
	}
	if c.kind != Remove {
		out.Members = append(out.Members, wire.Member{ID: c.id, Voter: c.kind == Promote})
	}
	return out
}

// TestNext checks the order of the changes. It guards against a voter that loses its vote before its replacement has one, so that the log
// bears fewer losses for as long as that one doesn't catch up.
func TestNext(t *testing.T) {
	for _, tt := range []struct {
		name, members, aim, caughtUp string
		want                         []string
		// spare is the number of hosts in the aim beyond that of voters.
		spare int
	}{
		{"nothing to do", "a/1 b/1 c/1", "a/1 b/1 c/1", "", nil, 0},
		{"a replacement", "a/1 b/1 c/1 d/1 v/1", "a/1 b/1 c/1 d/1 w/1", "w/1", []string{"addLearner w/1", "promote w/1", "remove v/1"}, 0},
		{"a replacement that never catches up", "a/1 b/1 c/1 d/1 v/1", "a/1 b/1 c/1 d/1 w/1", "", []string{"addLearner w/1"}, 0},
		{"one of two candidates catches up", "a/1 b/1 c/1 d/1 v/1", "a/1 b/1 c/1 d/1 w/1 x/1", "x/1", []string{"addLearner w/1", "addLearner x/1", "promote x/1", "remove v/1"}, 1},
		{"two replacements, one after the other", "a/1 b/1 c/1 u/1 v/1", "a/1 b/1 c/1 w/1 x/1", "w/1 x/1", []string{
			"addLearner w/1", "promote w/1", "remove u/1", "addLearner x/1", "promote x/1", "remove v/1",
		}, 0},
		{"a lost disk", "a/1 b/1 c/1 d/1 e/1", "a/1 b/1 c/1 d/1 e/2", "e/2", []string{"addLearner e/2", "remove e/1", "promote e/2"}, 0},
		{"a lost disk whose host doesn't catch up", "a/1 b/1 c/1 d/1 e/1", "a/1 b/1 c/1 d/1 e/2", "", []string{"addLearner e/2"}, 0},
		{"two lost disks", "a/1 b/1 c/1 d/1 e/1", "a/1 b/1 c/1 d/2 e/2", "d/2 e/2", []string{
			"addLearner d/2", "remove d/1", "promote d/2", "addLearner e/2", "remove e/1", "promote e/2",
		}, 0},
		{"a lost disk amid a replacement", "a/1 b/1 c/1 d/1 v/1 w/1 ?d/2", "a/1 b/1 c/1 d/2 w/1", "d/2", []string{"remove d/1", "promote d/2", "remove v/1"}, 0},
		{"a voter that makes way without a replacement", "a/1 b/1 c/1 d/1 v/1 w/1", "a/1 b/1 c/1 d/1 w/1", "", []string{"remove v/1"}, 0},
		{"learners that nobody wants any more", "a/1 b/1 c/1 ?b/0 ?x/1", "a/1 b/1 c/1", "x/1", []string{"remove b/0", "remove x/1"}, 0},
		{"an old incarnation, as announced by a frame that was late", "a/1 b/2 c/1", "a/1 b/1 c/1", "", []string{"addLearner b/1"}, 0},
		{"growth", "a/1 b/1 c/1", "a/1 b/1 c/1 d/1 e/1", "d/1 e/1", []string{"addLearner d/1", "promote d/1", "addLearner e/1", "promote e/1"}, 0},
		{"an unknown disk", "a/1 b/1 c/1 ?d/1", "a/1 b/1 c/1 d/", "d/1", nil, 0},
		{"the leader is never removed", "a/1 b/1 c/1 d/1", "b/1 c/1 d/1", "", nil, 0},
	} {
		hosts := map[string]string{}
		for _, id := range strings.Fields(tt.aim) {
			if hosts[HostOf(id)] = id; strings.HasSuffix(id, "/") {
				hosts[HostOf(id)] = ""
			}
		}
		m := members(tt.members)
		a := NewAim(1, time.Time{}, len(hosts)-tt.spare, hosts)
		var got []string
		for range 20 {
			c := a.Next(m, "a/1", func(id string) bool { return slices.Contains(strings.Fields(tt.caughtUp), id) })
			if c.Kind() == None {
				break
			}
			got = append(got, fmt.Sprint(c.Kind(), " ", c.ID()))
			m = apply(m, c)
		}
		if !slices.Equal(got, tt.want) {
			t.Errorf("%s: changes %q, want %q", tt.name, got, tt.want)
		}
	}
}

// TestDecide checks who is to vote.
func TestDecide(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const silentAfter = 2 * time.Second
	for _, tt := range []struct {
		name, members string
		// heard lists ids with the seconds since they were heard.
		heard string
		// listening is for how long the leader a has listened, in seconds.
		listening                  int
		voters                     int
		outgoing, candidates, aims string
	}{
		{"all are heard", "a/1 b/1 c/1", "b/1:0 c/1:1", 9, 3, "", "", "a/1 b/1 c/1"},
		{"a silent voter, and nobody waits", "a/1 b/1 c/1", "b/1:0 c/1:5", 9, 3, "", "", "a/1 b/1 c/1"},
		{"a silent voter, and one waits", "a/1 b/1 c/1", "b/1:0 c/1:5 d/1:0", 9, 3, "c", "d", "a/1 b/1 d/1"},
		{"all that wait are candidates", "a/1 b/1 c/1", "b/1:0 c/1:5 d/1:0 e/1:1", 9, 3, "c", "d e", "a/1 b/1 d/1 e/1"},
		{"who was silent for longest goes first", "a/1 b/1 c/1", "b/1:4 c/1:3 d/1:0", 9, 3, "b", "d", "a/1 c/1 d/1"},
		{"one that waits is silent too", "a/1 b/1 c/1", "b/1:0 c/1:5 d/1:3", 9, 3, "", "", "a/1 b/1 c/1"},
		{"the leader hasn't listened for long", "a/1 b/1 c/1", "b/1:0 c/1:5 d/1:0", 1, 3, "", "", "a/1 b/1 c/1"},
		{"a voter that was never heard", "a/1 b/1 c/1", "b/1:0 d/1:0", 2, 3, "c", "d", "a/1 b/1 d/1"},
		{"a lost disk", "a/1 b/1 c/1", "b/1:0 c/2:0", 9, 3, "", "", "a/1 b/1 c/2"},
		{"a disk that was lost long ago", "a/1 b/1 c/1", "b/1:0 c/2:5", 9, 3, "", "", "a/1 b/1 c/1"},
		{"places are free", "a/1 b/1 c/1", "b/1:0 c/1:5 d/1:0", 9, 5, "", "d", "a/1 b/1 c/1 d/1"},
		{"more wait than places are free", "a/1 b/1 c/1", "b/1:0 c/1:5 d/1:0 e/1:0 f/1:0", 9, 5, "c", "d e f", "a/1 b/1 d/1 e/1 f/1"},
		{"between the two changes of a replacement", "a/1 b/1 c/1 d/1", "b/1:0 c/1:5 d/1:0", 9, 3, "c", "", "a/1 b/1 d/1"},
		{"the same, and the silent one is back", "a/1 b/1 c/1 d/1", "b/1:0 c/1:0 d/1:0", 9, 3, "d", "", "a/1 b/1 c/1"},
		{"a learner stays a candidate", "a/1 b/1 c/1 ?d/1", "b/1:0 c/1:5 d/1:0", 9, 3, "c", "d", "a/1 b/1 d/1"},
		{"a learner that is no longer needed", "a/1 b/1 c/1 ?d/1", "b/1:0 c/1:0 d/1:0", 9, 3, "", "", "a/1 b/1 c/1"},
		{"first members that are more than needed stay", "a/1 b/1 c/1", "b/1:0 c/1:0", 9, 1, "", "", "a/1 b/1 c/1"},
	} {
		v := View{Term: 7, Now: now, Self: "a", Members: members(tt.members), Voters: tt.voters, Hosts: map[string]Host{}, SilentAfter: silentAfter}
		v.ListeningSince = now.Add(-time.Duration(tt.listening) * time.Second)
		for _, text := range strings.Fields(tt.heard) {
			id, age, _ := strings.Cut(text, ":")
			v.Hosts[HostOf(id)] = Host{ID: id, SoundAt: now.Add(-time.Duration(age[0]-'0') * time.Second)}
		}
		d := Decide(v)
		var ids []string
		for _, id := range d.Aim().Hosts() {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		if got := strings.Join(ids, " "); got != tt.aims || d.Aim().Term() != 7 {
			t.Errorf("%s: aims at %q, want %q", tt.name, got, tt.aims)
		}
		if out, cand := strings.Join(d.Outgoing(), " "), strings.Join(d.Candidates(), " "); out != tt.outgoing || cand != tt.candidates {
			t.Errorf("%s: outgoing %q, candidates %q, want %q and %q", tt.name, out, cand, tt.outgoing, tt.candidates)
		}
	}
}

// TestAimHolds checks that an aim holds in its term and for a limited time.
func TestAimHolds(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a := NewAim(3, now, 1, map[string]string{"a": "a/1"})
	for _, tt := range []struct {
		term uint64
		age  time.Duration
		want bool
	}{{3, 0, true}, {3, MaxAge, true}, {3, MaxAge + 1, false}, {2, 0, false}, {4, 0, false}} {
		if got := a.HoldsIn(tt.term, now.Add(tt.age)); got != tt.want {
			t.Errorf("in term %d after %s: holds %v, want %v", tt.term, tt.age, got, tt.want)
		}
	}
	if (Aim{}).HoldsIn(0, time.Time{}) {
		t.Error("the zero aim holds")
	}
}
