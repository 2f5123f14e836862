package main

import (
	"bufio"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/wire"
)

// TestFleetLateWithdrawal guards against a server that is never used again, since a control host that stood still, or that a link held the call
// up to, handles the withdrawal of its earlier incarnation after the restart.
func TestFleetLateWithdrawal(t *testing.T) {
	for _, tt := range []struct {
		name string
		// toLeader reports whether the leader stands still, and closes whether the server closes the connection of the call that it gave up.
		toLeader, closes bool
		// held reports whether no host stands still, and a link holds the call up until after the restart.
		held bool
	}{
		{"a follower, connection open", false, false, false},
		{"a follower, connection closed", false, true, false},
		{"the leader, connection open", true, false, false},
		{"held up on the way to a follower", false, false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			program, err := os.Executable()
			if err != nil {
				t.Fatal(err)
			}
			f := newFleetEnv(t, 3, 2, 0, func(f *fleetEnv) { f.program = program })
			f.eventually("a booking", func() bool { return f.send(0, "/book/x", "", fleetKey, nil).status == fasthttp.StatusOK })
			s := f.addCounting("counting", 180)
			isUsed := func() bool {
				before := s.requests.Load()
				for range 4 {
					f.send(0, "/book/look/x", "", fleetKey, nil)
					f.send(1, "/book/look/x", "", fleetKey, nil)
				}
				return s.requests.Load() > before
			}
			leader := f.leadingProcess()
			var frozen *daemonProcess
			var frozenAddress, address string
			for i, p := range f.controlProcesses {
				if (p == leader) == tt.toLeader && frozen == nil {
					frozen, frozenAddress = p, f.seeds[i]
				} else {
					address = f.seeds[i]
				}
			}
			reporting := f.keepReporting(s, address)
			f.eventually("the server gets requests", isUsed)
			reporting.stop()
			frozenAt := time.Now()
			s.report.Gone = true
			if !tt.held {
				frozen.signal(syscall.SIGSTOP)
				f.callInVain(frozenAddress, s.report, tt.closes)
			}
			f.eventually("the withdrawal is acknowledged", func() bool { return f.tell(address, s, func(*wire.Report) {}) == fasthttp.StatusOK })
			time.Sleep(2 * time.Second)
			if isUsed() {
				t.Error("a server that has withdrawn got a request")
			}
			s.report.Gone, s.report.Born, s.report.Sequence = false, time.Now().UnixMilli(), 0
			reporting = f.keepReporting(s, address)
			defer reporting.stop()
			f.eventually("the restarted server gets requests", isUsed)
			time.Sleep(time.Until(frozenAt.Add(4 * time.Second)))
			if tt.held {
				f.callInVain(frozenAddress, wire.Report{ID: s.report.ID, Gone: true}, true)
			}
			frozen.signal(syscall.SIGCONT)
			time.Sleep(1500 * time.Millisecond)
			for range 5 {
				if !isUsed() {
					t.Error("the restarted server gets no requests once the host that stood still goes on")
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
}

// callInVain sends a call of a server to a control host that stands still, and returns after the time for which servers wait for an answer.
func (f *fleetEnv) callInVain(address string, r wire.Report, closes bool) {
	f.t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		f.t.Fatal(err)
	}
	var req fasthttp.Request
	req.SetBody(f.dialect.WriteReport(&req.Header, r))
	req.Header.SetHost(address)
	w := bufio.NewWriter(c)
	if err := req.Write(w); err != nil || w.Flush() != nil {
		f.t.Fatalf("the call can't be sent: %v", err)
	}
	time.Sleep(time.Second)
	if closes {
		_ = c.Close()
		return
	}
	f.t.Cleanup(func() { _ = c.Close() })
}

// reporter sends the reports of a server.
type reporter struct {
	stopped chan struct{}
	sending sync.WaitGroup
}

func (r *reporter) stop() {
	close(r.stopped)
	r.sending.Wait()
}

// keepReporting sends the reports of a server to a control host until stop.
func (f *fleetEnv) keepReporting(s *countingServer, address string) *reporter {
	r := &reporter{stopped: make(chan struct{})}
	r.sending.Go(func() {
		for {
			f.tell(address, s, func(*wire.Report) {})
			select {
			case <-r.stopped:
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	})
	return r
}
