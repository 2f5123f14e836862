package backend_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/backend"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/standin"
	"savorywing.example/savorywing/wire"
)

// TestControlContract checks polls and orders against backend servers with and without faults.
func TestControlContract(t *testing.T) {
	load := func(fence uint64) wire.Order {
		return wire.Order{Kind: savorywing.OrderLoad, Group: "g", Fence: fence, Model: "m", Version: "1"}
	}
	tests := []struct {
		name   string
		checks bool
		faults standin.Faults
		orders []wire.Order
		// failed is the number of orders whose reply is lost, rejected the number of those not accepted.
		failed, rejected int
		// heldFence is the fencing token that the host announces in the end; 0 if it holds nothing.
		heldFence uint64
	}{
		{"nothing ordered", true, standin.Faults{}, nil, 0, 0, 0},
		{"one order", true, standin.Faults{}, []wire.Order{load(5)}, 0, 0, 5},
		{"the same order twice", true, standin.Faults{}, []wire.Order{load(5), load(5)}, 0, 0, 5},
		{"a stale order, fencing tokens checked", true, standin.Faults{}, []wire.Order{load(5), load(4)}, 0, 1, 5},
		{"a stale order, fencing tokens ignored", false, standin.Faults{}, []wire.Order{load(5), load(4)}, 0, 0, 4},
		{"a lost reply, order sent again", true, standin.Faults{LoseOrderReply: true, Times: 1}, []wire.Order{load(5), load(5)}, 1, 0, 5},
		{"an unload", true, standin.Faults{}, []wire.Order{load(5), {Kind: savorywing.OrderUnload, Group: "g", Fence: 5}}, 0, 0, 0},
		{"an unload of another group", true, standin.Faults{}, []wire.Order{load(5), {Kind: savorywing.OrderUnload, Group: "h", Fence: 6}}, 0, 0, 5},
	}
	for _, tt := range tests {
		Convey("With "+tt.name, t, func() {
			s, err := standin.Start(standin.Config{Host: "engine", Listen: "127.0.0.1:0", Kind: savorywing.KindEngine, Slots: 1, ChecksFencing: tt.checks, AnnounceInterval: time.Hour})
			So(err, ShouldBeNil)
			Reset(func() { _ = s.Stop() })
			s.SetFaults(tt.faults)
			c := backend.NewControlClient(backend.New(clock.System{}), time.Second)
			failed, rejected := 0, 0
			for _, o := range tt.orders {
				r, err := c.Order(context.Background(), s.Address(), o)
				if err != nil {
					failed++
				} else if !r.Accepted {
					rejected++
				}
			}
			So(failed, ShouldEqual, tt.failed)
			So(rejected, ShouldEqual, tt.rejected)
			a, err := c.Poll(context.Background(), s.Address())
			So(err, ShouldBeNil)
			heldFence := uint64(0)
			if a.Holding != nil {
				heldFence = a.Holding.Fence
			}
			So(heldFence, ShouldEqual, tt.heldFence)
		})
	}
	Convey("Polling a backend server that does not respond fails within the timeout", t, func() {
		s, err := standin.Start(standin.Config{Host: "engine", Listen: "127.0.0.1:0", Kind: savorywing.KindEngine, Slots: 1, AnnounceInterval: time.Hour})
		So(err, ShouldBeNil)
		Reset(func() { _ = s.Stop() })
		s.SetFaults(standin.Faults{Mute: true})
		_, err = backend.NewControlClient(backend.New(clock.System{}), 100*time.Millisecond).Poll(context.Background(), s.Address())
		So(err, ShouldNotBeNil)
	})
}
