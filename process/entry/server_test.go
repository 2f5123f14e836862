package entry

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/process/metrics"
	"savorywing.example/savorywing/process/registry"
	"savorywing.example/savorywing/process/state"
	"savorywing.example/savorywing/version/deadline"
	"savorywing.example/savorywing/version/settings"
	"savorywing.example/savorywing/wire"
)

const settingsText = `
daemon: {host: one, callers: "127.0.0.1:1", peers: "127.0.0.1:2", operators: "127.0.0.1:3", keysFile: k, operatorsFile: t, dataFolder: d}
dataCentres: {centre: {region: here}}
hosts: {one: {dataCentre: centre, peers: "127.0.0.1:2", roles: [entry, control]}}
organisations: {college: {share: 1}}
classes: {desk: {timeZone: UTC, windows: {always: {from: "00:00", to: "24:00", firstToken: 10s, betweenTokens: 1s, wholeAnswer: 30s}}}}
services: {booking: {prefix: /booking}}
limits: {claims: 2}
`

// fakeBackend is a backend whose response depends on the host name.
type fakeBackend struct {
	mu   sync.Mutex
	errs map[string]error
	sent []string
	// before runs before each response.
	before func()
}

func (b *fakeBackend) Send(_ context.Context, t savorywing.Target, _ savorywing.Call) (savorywing.BackendResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.before != nil {
		b.before()
	}
	b.sent = append(b.sent, t.Host)
	if err := b.errs[t.Host]; err != nil {
		return savorywing.BackendResponse{}, err
	}
	return savorywing.BackendResponse{Status: 200, Stream: &body{strings.NewReader("answer of " + t.Host)}}, nil
}

type body struct{ *strings.Reader }

func (*body) SetIdleTimeout(time.Duration) {}
func (*body) Close() error                 { return nil }

// fakeLog is a log of one voter. With loseResults, it commits a command without returning its result.
type fakeLog struct {
	mu          sync.Mutex
	machine     *state.Machine
	loseResults bool
}

func (l *fakeLog) Propose(_ context.Context, c wire.Command) (wire.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.machine.Apply(1, c)
	if l.loseResults {
		return wire.Result{}, errors.New("the result is lost")
	}
	return r, nil
}

// skewedClock is the system's clock, set ahead by some nanoseconds.
type skewedClock struct {
	clock.System
	ahead atomic.Int64
}

func (c *skewedClock) Now() time.Time { return c.System.Now().Add(time.Duration(c.ahead.Load())) }

// fixture is an entry host with the given hosts of a plain service.
type fixture struct {
	clock    *skewedClock
	server   *Server
	registry *registry.Registry
	backend  *fakeBackend
	log      *fakeLog
}

func newFixture(hosts ...string) *fixture {
	s, err := settings.ParseWithDaemon("test", []byte(settingsText))
	So(err, ShouldBeNil)
	clk := &skewedClock{}
	r, err := registry.New(clk, s)
	So(err, ShouldBeNil)
	So(r.RecordConfirmation(time.Now(), wire.Confirmed{}), ShouldBeNil)
	for _, h := range hosts {
		r.RecordPollResponse(time.Now(), wire.Announcement{
			Host: h, Boot: 1, Sequence: 1, Kind: savorywing.KindService, Service: "booking", Load: &wire.Load{Slots: 8},
		})
	}
	pool, err := ants.NewPool(64, ants.WithNonblocking(true))
	So(err, ShouldBeNil)
	f := &fixture{clock: clk, registry: r, backend: &fakeBackend{errs: map[string]error{}}, log: &fakeLog{machine: state.New()}}
	f.server = New(clk, r, f.backend, f.log, metrics.New(), pool, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	go f.server.Run(ctx)
	Reset(func() {
		cancel()
		pool.Release()
	})
	return f
}

func (f *fixture) send(key string, idempotent bool) (savorywing.Response, *savorywing.RequestError) {
	response, err := f.server.Serve(context.Background(), &savorywing.Request{
		ID: savorywing.NewID(), Organisation: "college", Class: "desk", Service: "booking", Method: "POST", Path: "/booking/x",
		IdempotencyKey: key, Idempotent: idempotent, Body: []byte("body"), Arrival: f.clock.Now(),
		Timeouts: deadline.Timeouts{FirstToken: 10 * time.Second, BetweenTokens: time.Second, CompleteResponse: 30 * time.Second},
	})
	if err != nil {
		return response, savorywing.AsRequestError(err)
	}
	return response, nil
}

var (
	errNotRun  = savorywing.NewRequestError(savorywing.CodeNotRun, 502, "nothing was sent")
	errUnknown = savorywing.NewRequestError(savorywing.CodeUnknown, 502, "the response was lost")
)

// TestServe checks which error callers get and how often a request is sent. The caller's timeout is 10 s and a
// test may take at most 5 s, so that one which waits for the timeout fails.
func TestServe(t *testing.T) {
	tests := []struct {
		name       string
		hosts      []string
		errs       map[string]error
		key        string
		idempotent bool
		sends      int
		code       savorywing.ErrorCode
	}{
		{"a healthy host", []string{"a"}, nil, "", false, 1, ""},
		{"no host", nil, nil, "", true, 0, savorywing.CodeNotRun},
		{"two hosts that can't be reached, and a request that may not be retried", []string{"a", "b"}, map[string]error{"a": errNotRun, "b": errNotRun}, "", false, 2, savorywing.CodeNotRun},
		{"a lost response, and a request that may not be retried", []string{"a", "b"}, map[string]error{"a": errUnknown, "b": errUnknown}, "", false, 1, savorywing.CodeUnknown},
		{"two lost responses", []string{"a", "b"}, map[string]error{"a": errUnknown, "b": errUnknown}, "", true, 2, savorywing.CodeUnknown},
		{"a response lost by the only host", []string{"a"}, map[string]error{"a": errUnknown}, "", true, 1, savorywing.CodeUnknown},
		{"an only host that can't be reached", []string{"a"}, map[string]error{"a": errNotRun}, "", true, 1, savorywing.CodeNotRun},
		{"a lost response of a claimed request", []string{"a", "b"}, map[string]error{"a": errUnknown, "b": errUnknown}, "key", false, 1, savorywing.CodeUnknown},
		{"a claimed request and no host that can be reached", []string{"a", "b"}, map[string]error{"a": errNotRun, "b": errNotRun}, "key", false, 2, savorywing.CodeNotRun},
		{"a request with a key and no host", nil, nil, "key", false, 0, savorywing.CodeUnknown},
	}
	for _, tt := range tests {
		Convey("With "+tt.name, t, func() {
			f := newFixture(tt.hosts...)
			if tt.errs != nil {
				f.backend.errs = tt.errs
			}
			start := time.Now()
			response, requestErr := f.send(tt.key, tt.idempotent)
			So(time.Since(start), ShouldBeLessThan, 5*time.Second)
			So(f.backend.sent, ShouldHaveLength, tt.sends)
			if tt.code == "" {
				So(requestErr, ShouldBeNil)
				So(string(response.Body), ShouldEqual, "answer of a")
				return
			}
			So(requestErr, ShouldNotBeNil)
			So(requestErr.Code(), ShouldEqual, tt.code)
		})
	}
}

func TestClaimedRequests(t *testing.T) {
	Convey("A claimed request", t, func() {
		f := newFixture("a")
		Convey("gets the recorded response when it is retried", func() {
			_, requestErr := f.send("key", false)
			So(requestErr, ShouldBeNil)
			response, requestErr := f.send("key", false)
			So(requestErr, ShouldBeNil)
			So(string(response.Body), ShouldEqual, "answer of a")
			So(f.backend.sent, ShouldHaveLength, 1)
		})
		Convey("is not sent when the result of the claim is lost", func() {
			f.log.loseResults = true
			_, requestErr := f.send("key", false)
			So(requestErr.Code(), ShouldEqual, savorywing.CodeUnknown)
			So(requestErr.RetryAfter(), ShouldBeGreaterThan, 0)
			So(f.backend.sent, ShouldBeEmpty)
		})
		Convey("is rejected when the claim table is full", func() {
			_, _ = f.send("key-1", false)
			_, _ = f.send("key-2", false)
			_, requestErr := f.send("key-3", false)
			So(requestErr.Code(), ShouldEqual, savorywing.CodeNotRun)
			So(requestErr.Reason(), ShouldEqual, state.ReasonClaimTableFull)
			So(f.backend.sent, ShouldHaveLength, 2)
		})
		Convey("that could not be sent may be retried under its idempotency key", func() {
			f.backend.errs["a"] = errNotRun
			_, _ = f.send("key", false)
			delete(f.backend.errs, "a")
			_, requestErr := f.send("key", false)
			So(requestErr, ShouldBeNil)
		})
	})
}

// TestRunKeyNotReportedAsNotRun guards against a host that rejects a request before it has looked up its idempotency key,
// and states notRun for a key that has run.
func TestRunKeyNotReportedAsNotRun(t *testing.T) {
	tests := []struct {
		name string
		// reject makes the host reject the following requests.
		reject func(f *fixture)
	}{
		{"the configuration can't be confirmed", func(f *fixture) {
			f.clock.ahead.Store(int64(f.registry.Settings().Timing.Freshness))
		}},
		{"no host serves", func(f *fixture) { f.registry.RecordConnectionFailure("a") }},
		{"the host is full", func(f *fixture) {
			f.server.mu.Lock()
			defer f.server.mu.Unlock()
			f.server.inFlight = f.registry.Settings().Limits.MaxRequests
		}},
		{"the host is stopping", func(f *fixture) {
			f.server.mu.Lock()
			defer f.server.mu.Unlock()
			f.server.stopping = true
		}},
		{"the log doesn't respond", func(f *fixture) {
			f.log.mu.Lock()
			defer f.log.mu.Unlock()
			f.log.loseResults = true
		}},
	}
	for _, tt := range tests {
		Convey("A key that has run is rejected as unknown when "+tt.name, t, func() {
			f := newFixture("a")
			_, requestErr := f.send("key", false)
			So(requestErr, ShouldBeNil)
			// The execution of a claimed request ends after its response.
			for f.server.InFlight() > 0 {
				time.Sleep(time.Millisecond)
			}
			tt.reject(f)
			_, requestErr = f.send("key", false)
			So(requestErr, ShouldNotBeNil)
			So(requestErr.Code(), ShouldEqual, savorywing.CodeUnknown)
			So(requestErr.Status(), ShouldEqual, statusUnavailable)
			So(requestErr.RetryAfter(), ShouldBeGreaterThan, 0)
			_, requestErr = f.send("", false)
			So(requestErr == nil || requestErr.Code() == savorywing.CodeNotRun, ShouldBeTrue)
			So(len(f.backend.sent), ShouldBeLessThanOrEqualTo, 2)
		})
	}
}

func TestLeaseIsReadBeforeSending(t *testing.T) {
	Convey("With a lease that ends between the grant and the first byte, nothing is sent", t, func() {
		f := newFixture("a")
		c := f.registry.ServiceCandidates("booking")[0]
		So(f.registry.MaySend(c), ShouldBeTrue)
		f.registry.RecordConnectionFailure("a")
		So(f.registry.MaySend(c), ShouldBeFalse)
		s := newSession(f.server, &savorywing.Request{Service: "booking", Arrival: time.Now()})
		_, err := s.attempt(context.Background(), grant{candidate: c}, "1")
		So(savorywing.AsRequestError(err).Code(), ShouldEqual, savorywing.CodeNotRun)
		So(f.backend.sent, ShouldBeEmpty)
	})
}

func TestDrain(t *testing.T) {
	Convey("A drain waits for requests in flight and rejects new ones", t, func() {
		f := newFixture("a")
		unblock := make(chan struct{})
		f.backend.before = func() { <-unblock }
		served := make(chan *savorywing.RequestError, 1)
		go func() {
			_, requestErr := f.send("", false)
			served <- requestErr
		}()
		for f.server.InFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		drained := make(chan error, 1)
		go func() { drained <- f.server.Drain(context.Background()) }()
		for f.server.admit() == nil {
			f.server.requestEnded()
		}
		_, requestErr := f.send("", false)
		So(requestErr.Code(), ShouldEqual, savorywing.CodeNotRun)
		So(drained, ShouldBeEmpty)
		close(unblock)
		So(<-served, ShouldBeNil)
		So(<-drained, ShouldBeNil)
	})
}
