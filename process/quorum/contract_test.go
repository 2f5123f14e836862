package quorum

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
)

// TestLogContract drives the replicated log, of one and of three voters, as its users see it.
func TestLogContract(t *testing.T) {
	for _, voters := range []int{1, 3} {
		leader, nodes := newNodes(t, voters)
		var log savorywing.ReplicatedLog = leader
		tests := []struct {
			name     string
			command  wire.Command
			accepted bool
		}{
			{"a claim", claimCommand("a"), true},
			{"the same claim again, for its answer was lost", claimCommand("a"), true},
			{"a change", wire.Command{Configuration: &wire.ChangeConfiguration{ChangeID: "x"}}, true},
			{"the same change again", wire.Command{Configuration: &wire.ChangeConfiguration{ChangeID: "x"}}, true},
			{"another change of the same number", wire.Command{Configuration: &wire.ChangeConfiguration{ChangeID: "y"}}, false},
			{"a command without a part", wire.Command{}, false},
		}
		Convey("A log", t, func() {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			for _, tt := range tests {
				Convey("takes "+tt.name, func() {
					r, err := log.Propose(ctx, tt.command)
					So(err, ShouldBeNil)
					So(r.Accepted, ShouldEqual, tt.accepted)
				})
			}
			Convey("tells that nothing was proposed where nobody leads", func() {
				for _, n := range nodes {
					if n == leader {
						continue
					}
					_, err := n.Propose(ctx, claimCommand("elsewhere"))
					So(savorywing.AsRequestError(err).Code(), ShouldEqual, savorywing.CodeNotRun)
				}
			})
			Convey("returns when its caller gives up", func() {
				gone, giveUp := context.WithCancel(ctx)
				giveUp()
				_, err := log.Propose(gone, claimCommand("gone"))
				So(err == nil || gone.Err() != nil, ShouldBeTrue)
			})
		})
	}
}
