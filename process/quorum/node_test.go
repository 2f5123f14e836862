package quorum

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/process/disk"
	"savorywing.example/savorywing/wire"
)

// TestLogClock proves that the log's time goes on from the log, not from a leader's wall clock.
func TestLogClock(t *testing.T) {
	Convey("The log's time", t, func() {
		var c logClock
		now := time.UnixMilli(1_000_000)
		So(c.read(1, 0, now), ShouldEqual, 1_000_000)
		So(c.read(1, 1_000_000, now.Add(2*time.Second)), ShouldEqual, 1_002_000)
		Convey("does not jump with a new leader whose wall clock is a day ahead", func() {
			ahead := now.Add(24 * time.Hour)
			So(c.read(2, 1_002_000, ahead), ShouldEqual, 1_002_000)
			So(c.read(2, 1_002_000, ahead.Add(time.Second)), ShouldEqual, 1_003_000)
		})
	})
}

// TestNodeDiskFails proves that a voter whose disk fails acknowledges nothing any more.
func TestNodeDiskFails(t *testing.T) {
	Convey("A single voter whose disk fails", t, func() {
		d := disk.NewMemory("host/1")
		node, err := NewNode(d, clock.System{}, &local{}, 20*time.Millisecond, zerolog.Nop(), WithSeed(1))
		So(err, ShouldBeNil)
		So(node.form(wire.Membership{Members: []wire.Member{{ID: "host/1", Voter: true}}}), ShouldBeNil)
		node.Start()
		Reset(node.Stop)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		for !node.HasLease() && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		r, err := node.Propose(ctx, claimCommand("before"))
		So(err, ShouldBeNil)
		So(r.Accepted, ShouldBeTrue)
		d.Failing.Store(true)
		_, err = node.Propose(ctx, claimCommand("after"))
		So(errors.Is(err, disk.ErrFull), ShouldBeTrue)
		d.Failing.Store(false)
		_, err = node.Propose(ctx, claimCommand("later"))
		So(err, ShouldNotBeNil)
		So(node.View().Failed, ShouldNotBeEmpty)
		So(savorywing.AsRefusal(err).Code(), ShouldEqual, savorywing.CodeUnknown)
	})
}
