package controller

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/process/disk"
	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/version/instance"
	"savorywing.example/savorywing/wire"
)

// TestVoterWithFailedDisk guards against a control host that keeps its vote for good, while another host waits for one, since it
// goes on announcing itself although its disk has failed.
func TestVoterWithFailedDisk(t *testing.T) {
	const self, failing, waiting = "127.0.0.1:1", "127.0.0.2:1", "127.0.0.4:1"
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		name     string
		failsFor time.Duration
		waits    bool
		want     bool
	}{
		{"sound", 0, true, true},
		{"for a moment", replaceVoterAfter / 2, true, true},
		{"for long", 2 * replaceVoterAfter, true, false},
		{"for long, without a host that waits", 2 * replaceVoterAfter, false, true},
	} {
		c := newTestController(t, self, failing, "127.0.0.3:1")
		announce := func(host string, at time.Time, failed bool) {
			c.presence[host] = c.presence[host].updated(at, wire.Presence{ID: host + "/1", DiskFailed: failed})
		}
		announce(failing, now.Add(-tt.failsFor), false)
		if tt.failsFor > 0 {
			announce(failing, now, true)
		}
		announce("127.0.0.3:1", now, false)
		if tt.waits {
			announce(waiting, now, false)
		}
		if _, got := c.decideMembers(now).Aim().Hosts()[failing]; got != tt.want {
			t.Errorf("%s: the host whose disk has failed is wanted as a voter: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestVoterNotHeardYet guards against a leader that takes the vote from a sound host, which it hasn't heard since it started, was
// suspended or was out of reach, for another one that it has heard first.
func TestVoterNotHeardYet(t *testing.T) {
	const self, quiet, waiting = "127.0.0.1:1", "127.0.0.2:1", "127.0.0.4:1"
	start := time.Unix(1000, 0)
	for _, tt := range []struct {
		name string
		// heardAt is when the voter was last heard; zero for never.
		heardAt time.Time
		// gapAt is when a gap ended; zero for none.
		gapAt time.Time
		now   time.Time
		want  bool
	}{
		{"just after a start", time.Time{}, time.Time{}, start.Add(time.Second), true},
		{"long after a start", time.Time{}, time.Time{}, start.Add(replaceVoterAfter), false},
		{"just after a suspension", start, start.Add(4 * time.Second), start.Add(5 * time.Second), true},
		{"long after a suspension", start, start.Add(4 * time.Second), start.Add(4*time.Second + replaceVoterAfter), false},
		{"silent while this host listened", start, time.Time{}, start.Add(replaceVoterAfter), false},
	} {
		c := newTestController(t, self, quiet, "127.0.0.3:1")
		c.listening.Observe(start, true)
		announce := func(host string, at time.Time) {
			c.presence[host] = c.presence[host].updated(at, wire.Presence{ID: host + "/1"})
		}
		if !tt.heardAt.IsZero() {
			announce(quiet, tt.heardAt)
		}
		if !tt.gapAt.IsZero() {
			c.listening.Observe(tt.gapAt, true)
		}
		announce("127.0.0.3:1", tt.now)
		announce(waiting, tt.now)
		if _, got := c.decideMembers(tt.now).Aim().Hosts()[quiet]; got != tt.want {
			t.Errorf("%s: the host that hasn't been heard is wanted as a voter: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// newTestController returns a controller, of which nothing is started but its node, on the first of the hosts that are voters.
func newTestController(t *testing.T, hosts ...string) *Controller {
	t.Helper()
	s := &instance.Settings{Role: "control", IP: "127.0.0.1", PeerPorts: []int{1}}
	s.Defaults()
	node, err := quorum.NewNode(disk.NewMemory(hosts[0]+"/1"), clock.Boottime{}, quorum.HostTransport(func(string, wire.Frame) error { return nil }), electionTimeout, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	var m wire.Membership
	for _, host := range hosts {
		m.Members = append(m.Members, wire.Member{ID: host + "/1", Voter: true})
	}
	node.Start()
	t.Cleanup(node.Stop)
	if err := node.Bootstrap(context.Background(), m); err != nil {
		t.Fatal(err)
	}
	for range 1000 {
		if len(node.Status().Members.Members) == len(hosts) {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return &Controller{settings: s, node: node, log: zerolog.Nop(), clock: clock.Boottime{}, presence: map[string]peerPresence{}}
}
