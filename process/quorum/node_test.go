package quorum

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/process/disk"
	"savorywing.example/savorywing/process/state"
	"savorywing.example/savorywing/wire"
)

// TestLogClock checks that timestamps continue from the newest one in the log, not from the leader's wall clock.
func TestLogClock(t *testing.T) {
	Convey("The timestamp of a command", t, func() {
		var c logClock
		now := time.UnixMilli(1_000_000)
		So(c.read(1, 0, now), ShouldEqual, 1_000_000)
		So(c.read(1, 1_000_000, now.Add(2*time.Second)), ShouldEqual, 1_002_000)
		Convey("does not jump when the wall clock of a new leader is a day ahead", func() {
			ahead := now.Add(24 * time.Hour)
			So(c.read(2, 1_002_000, ahead), ShouldEqual, 1_002_000)
			So(c.read(2, 1_002_000, ahead.Add(time.Second)), ShouldEqual, 1_003_000)
		})
	})
}

// TestNodeDiskFails checks that a voter acknowledges nothing after a failed disk write, even if single writes succeed again,
// until its whole state has been written anew, and that nothing it has acknowledged is lost then.
func TestNodeDiskFails(t *testing.T) {
	Convey("A single voter whose disk fails", t, func() {
		d := disk.NewMemory("host/1")
		node, err := NewNode(d, clock.System{}, &localTransport{}, 20*time.Millisecond, zerolog.Nop(), WithSeed(1))
		So(err, ShouldBeNil)
		So(node.bootstrap(wire.Membership{Members: []wire.Member{{ID: "host/1", Voter: true}}}), ShouldBeNil)
		node.Start()
		Reset(node.Stop)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		awaitLease := func() {
			for !node.HasLease() && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
		}
		awaitLease()
		r, err := node.Propose(ctx, claimCommand("before"))
		So(err, ShouldBeNil)
		So(r.Accepted, ShouldBeTrue)
		d.FailWrites.Store(true)
		_, err = node.Propose(ctx, claimCommand("after"))
		So(errors.Is(err, disk.ErrWriteFailed), ShouldBeTrue)
		So(savorywing.AsRequestError(err).Code(), ShouldEqual, savorywing.CodeUnknown)
		time.Sleep(100 * time.Millisecond)
		_, err = node.Propose(ctx, claimCommand("later"))
		So(savorywing.AsRequestError(err).Code(), ShouldEqual, savorywing.CodeNotRun)
		So(node.Status().FailureReason, ShouldNotBeEmpty)
		So(node.HasLease(), ShouldBeFalse)
		d.FailWrites.Store(false)
		awaitLease()
		So(node.Status().FailureReason, ShouldBeEmpty)
		So(node.Status().Outages, ShouldEqual, 1)
		r, err = node.Propose(ctx, claimCommand("before"))
		So(err, ShouldBeNil)
		So(r.Claim.State, ShouldEqual, state.ClaimRunning)
	})
}

// TestNodeCompacts checks that the log stays bounded, and that a voter that starts from the snapshot and the
// entries after it has the same state.
func TestNodeCompacts(t *testing.T) {
	Convey("A voter that compacts its log", t, func() {
		const maxEntries, claims = 50, 400
		folder, err := disk.Open(t.TempDir(), "host")
		So(err, ShouldBeNil)
		start := func(d savorywing.Disk) *Node {
			n, err := NewNode(d, clock.System{}, &localTransport{}, 20*time.Millisecond, zerolog.Nop(), WithSeed(1), WithCompaction(maxEntries))
			So(err, ShouldBeNil)
			return n
		}
		node := start(folder)
		So(node.bootstrap(wire.Membership{Members: []wire.Member{{ID: node.Status().ID, Voter: true}}}), ShouldBeNil)
		node.Start()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		for !node.HasLease() && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		longest := 0
		for i := range claims {
			r, err := node.Propose(ctx, claimCommand(fmt.Sprint(i)))
			So(err, ShouldBeNil)
			So(r.Accepted, ShouldBeTrue)
			longest = max(longest, node.Status().LogLength)
		}
		So(longest, ShouldBeLessThanOrEqualTo, maxEntries)
		commit := node.Status().CommitIndex
		node.Stop()

		reopened, err := disk.Open(folder.Dir(), "host")
		So(err, ShouldBeNil)
		restarted := start(reopened)
		restarted.Start()
		defer restarted.Stop()
		for !restarted.HasLease() && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		So(restarted.Status().CommitIndex, ShouldBeGreaterThanOrEqualTo, commit)
		So(restarted.Status().ClaimCount, ShouldEqual, claims)
		r, err := restarted.Propose(ctx, claimCommand("0"))
		So(err, ShouldBeNil)
		So(r.Claim.State, ShouldEqual, state.ClaimRunning)
	})
}

// TestNodeCompactsLargeEntries guards against disks that fill on all voters at once, since the log is compacted by its number of
// entries alone, however large they are.
func TestNodeCompactsLargeEntries(t *testing.T) {
	const maxBytes, documentBytes, documents = 1 << 20, 100 << 10, 100
	folder, err := disk.Open(t.TempDir(), "host")
	if err != nil {
		t.Fatal(err)
	}
	node, err := NewNode(folder, clock.System{}, &localTransport{}, 20*time.Millisecond, zerolog.Nop(), WithSeed(1), WithCompactionBytes(maxBytes))
	if err != nil {
		t.Fatal(err)
	}
	node.Start()
	defer node.Stop()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := node.Bootstrap(ctx, wire.Membership{Members: []wire.Member{{ID: node.Status().ID, Voter: true}}}); err != nil {
		t.Fatal(err)
	}
	for !node.HasLease() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	for i := range uint64(documents) {
		if _, err := node.Propose(ctx, wire.Command{Publish: &wire.Publish{Version: i + 1, Document: make([]byte, documentBytes)}}); err != nil {
			t.Fatal(err)
		}
		if got := folderBytes(t, folder.Dir()); got > 2*maxBytes {
			t.Fatalf("after %d documents of %d bytes the folder has %d bytes, want at most %d", i+1, documentBytes, got, 2*maxBytes)
		}
	}
}

func folderBytes(t *testing.T, dir string) int64 {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	bytes := int64(0)
	for _, e := range entries {
		// A file may be replaced by a newer one meanwhile.
		if info, err := e.Info(); err == nil {
			bytes += info.Size()
		}
	}
	return bytes
}
