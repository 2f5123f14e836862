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
		leader, nodes := startNodes(t, voters)
		var log savorywing.ReplicatedLog = leader
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
					r, err := log.Propose(ctx, tt.command)
					So(err, ShouldBeNil)
					So(r.Accepted, ShouldEqual, tt.accepted)
				})
			}
			Convey("rejects a command as not run at nodes that do not lead", func() {
				for _, n := range nodes {
					if n == leader {
						continue
					}
					_, err := n.Propose(ctx, claimCommand("elsewhere"))
					So(savorywing.AsRequestError(err).Code(), ShouldEqual, savorywing.CodeNotRun)
				}
			})
			Convey("returns when the caller's context is cancelled", func() {
				cancelled, cancelNow := context.WithCancel(ctx)
				cancelNow()
				_, err := log.Propose(cancelled, claimCommand("gone"))
				So(err == nil || cancelled.Err() != nil, ShouldBeTrue)
			})
		})
	}
}
