package entry

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/state"
	"savorywing.example/savorywing/version/deadline"
	"savorywing.example/savorywing/wire"
)

// silentBackend never responds: it returns once ctx ends. sent receives a value for each request.
type silentBackend struct{ sent chan struct{} }

func (b silentBackend) Send(ctx context.Context, _ savorywing.Target, _ savorywing.Call) (savorywing.BackendResponse, error) {
	b.sent <- struct{}{}
	<-ctx.Done()
	return savorywing.BackendResponse{}, errUnknown
}

func (f *fixture) request(key string) *savorywing.Request {
	return &savorywing.Request{
		ID: savorywing.NewID(), Organisation: "college", Class: "desk", Service: "booking", Method: "POST", Path: "/booking/x",
		IdempotencyKey: key, Body: []byte("body"), Arrival: f.clock.Now(),
		Timeouts: deadline.Timeouts{FirstToken: 10 * time.Second, BetweenTokens: time.Second, CompleteResponse: 30 * time.Second},
	}
}

// serveInBackground returns where the error of a request arrives.
func (f *fixture) serveInBackground(ctx context.Context, r *savorywing.Request) <-chan *savorywing.RequestError {
	served := make(chan *savorywing.RequestError, 1)
	go func() {
		_, err := f.server.Serve(ctx, r)
		if err == nil {
			served <- nil
			return
		}
		served <- savorywing.AsRequestError(err)
	}()
	return served
}

// awaitInFlight waits until n requests are in flight.
func (f *fixture) awaitInFlight(n int) {
	for f.server.InFlight() < n {
		time.Sleep(time.Millisecond)
	}
}

func within(served <-chan *savorywing.RequestError, d time.Duration) *savorywing.RequestError {
	select {
	case err := <-served:
		return err
	case <-time.After(d):
		return savorywing.NewRequestError("none", 0, "no answer")
	}
}

var errTestStop = errors.New("the test stops")

// TestCancelledRequests guards against requests that are still served or queued after they have been cancelled, and against a
// notRun for one that may have run.
func TestCancelledRequests(t *testing.T) {
	Convey("When all requests are cancelled", t, func() {
		f := newFixture("a")
		b := silentBackend{sent: make(chan struct{}, 16)}
		f.server.backend = b
		ctx, cancel := context.WithCancelCause(context.Background())
		var running []<-chan *savorywing.RequestError
		for range 8 {
			running = append(running, f.serveInBackground(ctx, f.request("")))
			<-b.sent
		}
		queued := f.serveInBackground(ctx, f.request(""))
		keyed := f.serveInBackground(ctx, f.request("key"))
		time.Sleep(50 * time.Millisecond)
		So(b.sent, ShouldBeEmpty)
		cancel(errTestStop)
		Convey("one that waits for a slot is told that it did not run", func() {
			err := within(queued, time.Second)
			So(err.Code(), ShouldEqual, savorywing.CodeNotRun)
			So(err.Status(), ShouldEqual, statusUnavailable)
			So(err.Reason(), ShouldContainSubstring, errTestStop.Error())
		})
		Convey("one that waits with a key is told that an earlier one may have run", func() {
			So(within(keyed, time.Second).Code(), ShouldEqual, savorywing.CodeUnknown)
		})
		Convey("those that were sent are told that they may have run", func() {
			for _, served := range running {
				err := within(served, time.Second)
				So(err.Code(), ShouldEqual, savorywing.CodeUnknown)
				So(err.Reason(), ShouldContainSubstring, errTestStop.Error())
			}
		})
		Convey("nothing stays in flight", func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			So(f.server.Drain(ctx), ShouldBeNil)
			So(f.server.InFlight(), ShouldEqual, 0)
		})
	})
}

// heldBackend responds once it is released.
type heldBackend struct {
	fakeBackend
	release chan struct{}
}

func (b *heldBackend) Send(ctx context.Context, t savorywing.Target, call savorywing.Call) (savorywing.BackendResponse, error) {
	<-b.release
	return b.fakeBackend.Send(ctx, t, call)
}

// delayedLog is a log that takes a while for each command.
type delayedLog struct{ *fakeLog }

func (l delayedLog) Propose(ctx context.Context, c wire.Command) (wire.Result, error) {
	time.Sleep(100 * time.Millisecond)
	return l.fakeLog.Propose(ctx, c)
}

// TestDrainServesWhatWaits checks that requests that wait for a slot, or for their claim, when a stop begins are served.
func TestDrainServesWhatWaits(t *testing.T) {
	Convey("When a stop begins", t, func() {
		f := newFixture("a")
		Convey("requests that wait for a slot are served", func() {
			b := &heldBackend{release: make(chan struct{})}
			f.server.backend = b
			var served []<-chan *savorywing.RequestError
			for range 12 {
				served = append(served, f.serveInBackground(context.Background(), f.request("")))
			}
			f.awaitInFlight(12)
			drained := make(chan error, 1)
			go func() { drained <- f.server.Drain(context.Background()) }()
			time.Sleep(20 * time.Millisecond)
			close(b.release)
			for _, s := range served {
				So(within(s, time.Second), ShouldBeNil)
			}
			So(<-drained, ShouldBeNil)
		})
		Convey("a request whose claim is being committed is served and its claim settled", func() {
			f.server.log = delayedLog{f.log}
			served := f.serveInBackground(context.Background(), f.request("key"))
			f.awaitInFlight(1)
			So(f.server.Drain(context.Background()), ShouldBeNil)
			So(within(served, time.Second), ShouldBeNil)
			So(f.claimState("key"), ShouldEqual, state.ClaimDone)
		})
	})
}

// claimState returns the state of a key's claim, as another host would find it.
func (f *fixture) claimState(key string) string {
	r, _ := f.log.Propose(context.Background(), wire.Command{Claim: &wire.Claim{
		Organisation: "college", Key: key, Digest: requestDigest(f.request(key)), Owner: "other", Attempt: "other", KeepMilliseconds: 1000, Limit: 10,
	}})
	if r.Accepted {
		return state.OutcomeNotRun
	}
	return r.Claim.State
}

// slowLog is a log that commits claims only once their caller has given up.
type slowLog struct{ *fakeLog }

func (l slowLog) Propose(ctx context.Context, c wire.Command) (wire.Result, error) {
	if c.Claim == nil {
		return l.fakeLog.Propose(ctx, c)
	}
	<-ctx.Done()
	if _, err := l.fakeLog.Propose(ctx, c); err != nil {
		return wire.Result{}, err
	}
	return wire.Result{}, ctx.Err()
}

// TestClaimsAtTheStop guards against keys that stay claimed for ever since their host has stopped.
func TestClaimsAtTheStop(t *testing.T) {
	Convey("After a stop", t, func() {
		f := newFixture("a")
		Convey("a claim that is committed while its request is cancelled is settled as not run", func() {
			f.server.log = slowLog{f.log}
			ctx, cancel := context.WithCancelCause(context.Background())
			served := f.serveInBackground(ctx, f.request("key"))
			time.Sleep(50 * time.Millisecond)
			cancel(errTestStop)
			So(within(served, time.Second).Code(), ShouldEqual, savorywing.CodeUnknown)
			So(f.server.Drain(context.Background()), ShouldBeNil)
			So(f.claimState("key"), ShouldEqual, state.OutcomeNotRun)
			So(f.backend.sent, ShouldBeEmpty)
		})
		Convey("a request that runs longer than the stop is settled as unknown", func() {
			b := silentBackend{sent: make(chan struct{}, 1)}
			f.server.backend = b
			callerCtx, cancelCaller := context.WithCancelCause(context.Background())
			served := f.serveInBackground(callerCtx, f.request("key"))
			<-b.sent
			cancelCaller(errTestStop)
			So(within(served, time.Second).Code(), ShouldEqual, savorywing.CodeUnknown)
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			So(f.server.Drain(ctx), ShouldNotBeNil)
			So(f.server.InFlight(), ShouldEqual, 0)
			So(f.claimState("key"), ShouldEqual, state.ClaimUnknown)
		})
	})
}
