package controller

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

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
