package controller

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/process/evacuation"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/version/instance"
	"savorywing.example/savorywing/version/residency"
	"savorywing.example/savorywing/wire"
)

// TestEvacuationView checks when a host takes itself to know all data centres, and which other hosts' versions hold an order up.
func TestEvacuationView(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		name     string
		settings residency.Map
		uptime   time.Duration
		silence  time.Duration
		complete bool
		formats  []int
	}{
		{"just started", nil, time.Second, 0, false, []int{0}},
		{"just started, with names in the settings", residency.Map{"a": "here"}, time.Second, 0, true, []int{0}},
		{"up for long", nil, time.Minute, 0, true, []int{0}},
		{"beside a host that has ended", nil, time.Minute, 2 * serverRetention, true, nil},
	} {
		c := &Controller{settings: &instance.Settings{Regions: tt.settings}, startedAt: now.Add(-tt.uptime), presence: map[string]peerPresence{"old": {soundAt: now.Add(-tt.silence)}}}
		c.settings.Defaults()
		if v := c.evacuationView(now); v.Complete != tt.complete || !slices.Equal(v.Formats, tt.formats) {
			t.Errorf("%s: got %v, %v", tt.name, v.Complete, v.Formats)
		}
	}
}

// TestEvacuatedLoggedOnce guards against lines for sets that are equal, such as one that was restored from a snapshot.
func TestEvacuatedLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	c := &Controller{log: zerolog.New(&lines)}
	for range 3 {
		c.updateEvacuated(time.Unix(1000, 0), evacuation.Restore(&wire.Evacuations{Revision: 7, DataCentres: []string{"a"}}))
	}
	if n := strings.Count(lines.String(), "evacuationsInForce"); n != 1 || !c.changed {
		t.Errorf("logged %d times, want once; a step is due: %v", n, c.changed)
	}
}

// TestTakenBackIsCold guards against servers of a data centre that get the requests of warm ones before they have said that they are cold.
func TestTakenBackIsCold(t *testing.T) {
	now := time.Unix(1000, 0)
	c := &Controller{settings: &instance.Settings{}, table: fleet.NewTable()}
	c.settings.Defaults()
	for _, dataCentre := range []string{"a", "b"} {
		r := wire.Report{ID: "i-" + dataCentre, Sequence: 1, Service: "s", Address: dataCentre + ":1", DataCentre: dataCentre}
		if _, err := c.table.Apply(now, r); err != nil {
			t.Fatal(err)
		}
	}
	c.updateEvacuated(now, evacuation.Restore(&wire.Evacuations{Revision: 7, DataCentres: []string{"a"}}))
	if c.table.Server("i-a").IsCold(now) {
		t.Error("a server counts as cold as its data centre is evacuated")
	}
	c.updateEvacuated(now, evacuation.Restore(&wire.Evacuations{Revision: 9}))
	if !c.table.Server("i-a").IsCold(now.Add(instance.Milliseconds(c.settings.ReportIntervalMs))) || c.table.Server("i-b").IsCold(now) {
		t.Error("only the servers of the data centre that is taken back count as cold, until their next reports")
	}
}

// TestNothingProposedLate guards against an order that a host proposes after it was suspended, in which time its operator has gone on.
func TestNothingProposedLate(t *testing.T) {
	c := &Controller{clock: clock.Boottime{}}
	// A proposal would need a node.
	if _, err := c.proposeUntil(context.Background(), c.clock.Now(), wire.Command{}); err == nil {
		t.Error("an order was proposed after its time")
	}
}
