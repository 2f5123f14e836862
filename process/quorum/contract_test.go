package quorum

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
)

// TestLogContract checks the savorywing.ReplicatedLog interface with one and with three voters.
func TestLogContract(t *testing.T) {
	for _, voters := range []int{1, 3} {
		_, nodes := startNodes(t, voters)
		tests := []struct {
			name     string
			command  wire.Command
			accepted bool
		}{
			{"a claim", claimCommand("a"), true},
			{"the same claim again, as after a lost response", claimCommand("a"), true},
			{"a configuration change", wire.Command{Configuration: &wire.ChangeConfiguration{ChangeID: "x"}}, true},
			{"the same configuration change again", wire.Command{Configuration: &wire.ChangeConfiguration{ChangeID: "x"}}, true},
			{"another configuration change that follows the same number", wire.Command{Configuration: &wire.ChangeConfiguration{ChangeID: "y"}}, false},
			{"an empty command", wire.Command{}, false},
		}
		Convey("A log", t, func() {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			for _, tt := range tests {
				Convey("gives the expected result for "+tt.name, func() {
					r, err := proposeAtLeader(ctx, nodes, tt.command)
					So(err, ShouldBeNil)
					So(r.Accepted, ShouldEqual, tt.accepted)
				})
			}
			Convey("rejects a command as not run at nodes that do not lead", func() {
				rejected := 0
				for _, n := range nodes {
					led := n.Status().Role == Leader
					_, err := n.Propose(ctx, claimCommand("elsewhere"))
					if led || n.Status().Role == Leader {
						continue
					}
					So(err, ShouldNotBeNil)
					So(savorywing.AsRequestError(err).Code(), ShouldEqual, savorywing.CodeNotRun)
					rejected++
				}
				So(rejected, ShouldBeGreaterThanOrEqualTo, voters-2)
			})
			Convey("returns when the caller's context is cancelled", func() {
				cancelled, cancelNow := context.WithCancel(ctx)
				cancelNow()
				_, err := nodes[0].Propose(cancelled, claimCommand("gone"))
				So(err == nil || cancelled.Err() != nil, ShouldBeTrue)
			})
		})
	}
}

// proposeAtLeader proposes a command at the leader until it returns a result. The leadership may change at any time, as when
// a machine is too busy for the heartbeats; the command is then proposed again, as the contract demands of callers.
func proposeAtLeader(ctx context.Context, nodes []*Node, c wire.Command) (wire.Result, error) {
	for {
		var log savorywing.ReplicatedLog
		for _, n := range nodes {
			if n.HasLease() {
				log = n
			}
		}
		if log != nil {
			if r, err := log.Propose(ctx, c); err == nil {
				return r, nil
			}
		}
		select {
		case <-ctx.Done():
			return wire.Result{}, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
}
