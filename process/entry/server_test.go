package entry

import (
	"context"
	"errors"
	"strings"
	"sync"
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

// backendFake answers by host.
type backendFake struct {
	mu      sync.Mutex
	answers map[string]error
	sent    []string
	// before runs before each answer.
	before func()
}

func (b *backendFake) Send(_ context.Context, t savorywing.Target, _ savorywing.Call) (savorywing.BackendResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.before != nil {
		b.before()
	}
	b.sent = append(b.sent, t.Host)
	if err := b.answers[t.Host]; err != nil {
		return savorywing.BackendResponse{}, err
	}
	return savorywing.BackendResponse{Status: 200, Stream: &body{strings.NewReader("answer of " + t.Host)}}, nil
}

type body struct{ *strings.Reader }

func (*body) SetIdleTimeout(time.Duration) {}
func (*body) Close() error                 { return nil }

// logFake is a log of one voter; lost makes it commit without an answer.
type logFake struct {
	mu      sync.Mutex
	machine *state.Machine
	lost    bool
}

func (l *logFake) Propose(_ context.Context, c wire.Command) (wire.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.machine.Apply(1, c)
	if l.lost {
		return wire.Result{}, errors.New("the answer is lost")
	}
	return r, nil
}

// fixture is an entry host with two hosts of a plain service.
type fixture struct {
	entry    *Server
	registry *registry.Registry
	backend  *backendFake
	log      *logFake
}

func newFixture(hosts ...string) *fixture {
	s, err := settings.ParseWithDaemon("test", []byte(settingsText))
	So(err, ShouldBeNil)
	r, err := registry.New(clock.System{}, s)
	So(err, ShouldBeNil)
	So(r.RecordConfirmation(time.Now(), wire.Confirmed{}), ShouldBeNil)
	for _, h := range hosts {
		r.RecordPollAnswer(time.Now(), wire.Announcement{
			Host: h, Boot: 1, Sequence: 1, Kind: savorywing.KindService, Service: "booking", Load: &wire.Load{Slots: 8},
		})
	}
	pool, err := ants.NewPool(64, ants.WithNonblocking(true))
	So(err, ShouldBeNil)
	f := &fixture{registry: r, backend: &backendFake{answers: map[string]error{}}, log: &logFake{machine: state.New()}}
	f.entry = New(clock.System{}, r, f.backend, f.log, metrics.New(), pool, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	go f.entry.Run(ctx)
	Reset(func() {
		cancel()
		pool.Release()
	})
	return f
}

func (f *fixture) ask(key string, idempotent bool) (savorywing.Response, *savorywing.RequestError) {
	a, err := f.entry.Serve(context.Background(), &savorywing.Request{
		ID: savorywing.NewID(), Organisation: "college", Class: "desk", Service: "booking", Method: "POST", Path: "/booking/x",
		IdempotencyKey: key, Idempotent: idempotent, Body: []byte("body"), Arrival: time.Now(),
		Timeouts: deadline.Timeouts{FirstToken: 10 * time.Second, BetweenTokens: time.Second, CompleteResponse: 30 * time.Second},
	})
	if err != nil {
		return a, savorywing.AsRequestError(err)
	}
	return a, nil
}

var (
	errNotRun  = savorywing.NewRequestError(savorywing.CodeNotRun, 502, "nothing was sent")
	errUnknown = savorywing.NewRequestError(savorywing.CodeUnknown, 502, "the answer was lost")
)

// TestServe is the table of what callers are told. Patience is 10 s, so that a test which waits for
// it shows itself.
func TestServe(t *testing.T) {
	tests := []struct {
		name       string
		hosts      []string
		answers    map[string]error
		key        string
		idempotent bool
		sends      int
		code       savorywing.ErrorCode
	}{
		{"a sound host", []string{"a"}, nil, "", false, 1, ""},
		{"no host", nil, nil, "", true, 0, savorywing.CodeNotRun},
		{"both fail unsent, and it may not be repeated", []string{"a", "b"}, map[string]error{"a": errNotRun, "b": errNotRun}, "", false, 2, savorywing.CodeNotRun},
		{"the answer is lost, and it may not be repeated", []string{"a", "b"}, map[string]error{"a": errUnknown, "b": errUnknown}, "", false, 1, savorywing.CodeUnknown},
		{"the answer is lost twice", []string{"a", "b"}, map[string]error{"a": errUnknown, "b": errUnknown}, "", true, 2, savorywing.CodeUnknown},
		{"the only host loses the answer", []string{"a"}, map[string]error{"a": errUnknown}, "", true, 1, savorywing.CodeUnknown},
		{"the only host could not be reached", []string{"a"}, map[string]error{"a": errNotRun}, "", true, 1, savorywing.CodeNotRun},
		{"a claimed one is lost", []string{"a", "b"}, map[string]error{"a": errUnknown, "b": errUnknown}, "key", false, 1, savorywing.CodeUnknown},
		{"a claimed one fails unsent everywhere", []string{"a", "b"}, map[string]error{"a": errNotRun, "b": errNotRun}, "key", false, 2, savorywing.CodeNotRun},
	}
	for _, tt := range tests {
		Convey("With "+tt.name, t, func() {
			f := newFixture(tt.hosts...)
			if tt.answers != nil {
				f.backend.answers = tt.answers
			}
			began := time.Now()
			a, refusal := f.ask(tt.key, tt.idempotent)
			So(time.Since(began), ShouldBeLessThan, 5*time.Second)
			So(f.backend.sent, ShouldHaveLength, tt.sends)
			if tt.code == "" {
				So(refusal, ShouldBeNil)
				So(string(a.Body), ShouldEqual, "answer of a")
				return
			}
			So(refusal, ShouldNotBeNil)
			So(refusal.Code(), ShouldEqual, tt.code)
		})
	}
}

func TestClaimedRequests(t *testing.T) {
	Convey("A claimed request", t, func() {
		f := newFixture("a")
		Convey("is answered again from the record", func() {
			_, refusal := f.ask("key", false)
			So(refusal, ShouldBeNil)
			a, refusal := f.ask("key", false)
			So(refusal, ShouldBeNil)
			So(string(a.Body), ShouldEqual, "answer of a")
			So(f.backend.sent, ShouldHaveLength, 1)
		})
		Convey("is not sent when the claim's answer is lost", func() {
			f.log.lost = true
			_, refusal := f.ask("key", false)
			So(refusal.Code(), ShouldEqual, savorywing.CodeNotRun)
			So(f.backend.sent, ShouldBeEmpty)
		})
		Convey("is refused by a full ledger", func() {
			_, _ = f.ask("key-1", false)
			_, _ = f.ask("key-2", false)
			_, refusal := f.ask("key-3", false)
			So(refusal.Code(), ShouldEqual, savorywing.CodeNotRun)
			So(refusal.Reason(), ShouldEqual, state.ReasonLedgerFull)
			So(f.backend.sent, ShouldHaveLength, 2)
		})
		Convey("that could not be sent may be sent again under its key", func() {
			f.backend.answers["a"] = errNotRun
			_, _ = f.ask("key", false)
			delete(f.backend.answers, "a")
			_, refusal := f.ask("key", false)
			So(refusal, ShouldBeNil)
		})
	})
}

func TestLeaseIsReadBeforeSending(t *testing.T) {
	Convey("A lease that ends between the grant and the first byte", t, func() {
		f := newFixture("a")
		c := f.registry.ServiceCandidates("booking")[0]
		So(f.registry.MaySend(c), ShouldBeTrue)
		f.registry.RecordConnectionFailure("a")
		So(f.registry.MaySend(c), ShouldBeFalse)
		s := newSession(f.entry, &savorywing.Request{Service: "booking", Arrival: time.Now()})
		_, err := s.attempt(context.Background(), grant{candidate: c}, "1")
		So(savorywing.AsRequestError(err).Code(), ShouldEqual, savorywing.CodeNotRun)
		So(f.backend.sent, ShouldBeEmpty)
	})
}

func TestDrain(t *testing.T) {
	Convey("A drain waits for what is in flight and refuses what is new", t, func() {
		f := newFixture("a")
		hold := make(chan struct{})
		f.backend.before = func() { <-hold }
		answered := make(chan *savorywing.RequestError, 1)
		go func() {
			_, refusal := f.ask("", false)
			answered <- refusal
		}()
		for f.entry.InFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		drained := make(chan error, 1)
		go func() { drained <- f.entry.Drain(context.Background()) }()
		for f.entry.begin() == nil {
			f.entry.end()
		}
		_, refusal := f.ask("", false)
		So(refusal.Code(), ShouldEqual, savorywing.CodeNotRun)
		So(drained, ShouldBeEmpty)
		close(hold)
		So(<-answered, ShouldBeNil)
		So(<-drained, ShouldBeNil)
	})
}
