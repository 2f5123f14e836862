package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/process/disk"
	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/version/instance"
	"savorywing.example/savorywing/wire"
)

// TestSlowBootstrap guards against a control host that exits at its first start because its disk syncs slowly.
func TestSlowBootstrap(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := &Controller{ctx: ctx, log: zerolog.Nop()}
	slowDisk := func(ctx context.Context, _ wire.Membership) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(1500 * time.Millisecond):
			return nil
		}
	}
	if err := c.formCluster(wire.Membership{}, slowDisk); err != nil {
		t.Errorf("formCluster: %v, want to wait for the disk", err)
	}
}

// TestBootstrapOnFullDisk guards against a control host that exits at its first start because its disk has no room at that moment.
func TestBootstrapOnFullDisk(t *testing.T) {
	c := &Controller{ctx: t.Context(), log: zerolog.Nop()}
	tries := 0
	fullDisk := func(context.Context, wire.Membership) error {
		if tries++; tries < 3 {
			return fmt.Errorf("%w: %w", quorum.ErrOutage, disk.ErrWriteFailed)
		}
		return nil
	}
	if err := c.formCluster(wire.Membership{}, fullDisk); err != nil || tries != 3 {
		t.Errorf("formCluster: %v after %d tries, want to wait for room on the disk", err, tries)
	}
}

// TestBootstrapWithInvalidSeed guards against one invalid seed that costs the cluster, against first memberships of hosts with
// different seeds whose majorities need not overlap, and against a seed that is a voter twice.
func TestBootstrapWithInvalidSeed(t *testing.T) {
	for _, tt := range []struct {
		name  string
		seeds []string
		want  int
	}{
		{"valid", []string{"127.0.0.1:2", "127.0.0.2:2", "127.0.0.3:2"}, 3},
		{"one of three invalid", []string{"127.0.0.1:2", "127.0.0.2:2", "nowhere:2"}, 2},
		{"two of three invalid", []string{"127.0.0.1:2", "", "nowhere:2"}, 0},
		{"one of two invalid", []string{"127.0.0.1:2", "nowhere:2"}, 0},
		{"one of four invalid", []string{"127.0.0.1:2", "127.0.0.2:2", "127.0.0.3:2", "nowhere:2"}, 0},
		{"one of five invalid", []string{"127.0.0.1:2", "127.0.0.2:2", "127.0.0.3:2", "127.0.0.4:2", "nowhere:2"}, 4},
		{"two of five invalid", []string{"127.0.0.1:2", "127.0.0.2:2", "127.0.0.3:2", "x", "nowhere:2"}, 0},
		{"one twice", []string{"127.0.0.1:2", "127.0.0.2:2", "127.0.0.2:3"}, 2},
	} {
		s := &instance.Settings{Role: "control", IP: "127.0.0.1", PeerPorts: []int{1}, Seeds: tt.seeds, FirstStart: true, DataDir: t.TempDir()}
		s.Defaults()
		folder, err := disk.Open(s.DataDir, s.PeerAddress(), disk.WithIncarnation(firstIncarnation))
		if err != nil {
			t.Fatal(err)
		}
		node, err := quorum.NewNode(folder, clock.Boottime{}, quorum.HostTransport(func(string, wire.Frame) error { return nil }), electionTimeout, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		node.Start()
		c := &Controller{ctx: context.Background(), log: zerolog.Nop(), settings: s, node: node}
		if err := c.bootstrap(); err != nil {
			t.Errorf("%s: %v", tt.name, err)
		}
		time.Sleep(50 * time.Millisecond)
		if got := c.Members(); len(got) != tt.want {
			t.Errorf("%s: members %v, want %d", tt.name, got, tt.want)
		}
		node.Stop()
	}
}
