package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/metrics"
	"savorywing.example/savorywing/process/registry"
	"savorywing.example/savorywing/process/retry"
)

const (
	statusOK          = 200
	statusConflict    = 409
	statusUnprocessed = 422
	statusUnavailable = 503
	statusTimeout     = 504
)

const (
	// gapFactor is the multiple of the expected time between tokens after which a connection counts as silent.
	gapFactor = 10
	minGap    = 500 * time.Millisecond
	staleNote = "this entry host can't confirm the newest configuration"
)

// Server serves callers' requests on one entry host.
type Server struct {
	clock      savorywing.Clock
	registry   *registry.Registry
	backend    savorywing.Backend
	log        savorywing.ReplicatedLog
	logger     zerolog.Logger
	metrics    *metrics.Metrics
	pool       *ants.Pool
	dispatcher *dispatcher
	owner      string

	mu       sync.Mutex
	budget   *retry.Budget
	stopping bool
	inFlight int
	idle     chan struct{}
}

// Option sets an optional part of a Server.
type Option func(*Server)

// WithOwner names the entry host and its boot in claims.
func WithOwner(owner string) Option {
	return func(e *Server) { e.owner = owner }
}

// WithHostIndex tells this host's place among the sorted names of the entry hosts that are up, and their number.
func WithHostIndex(f func() (index, hosts int)) Option {
	return func(e *Server) {
		e.dispatcher.place = func() place {
			index, hosts := f()
			return place{index: index, hosts: hosts}
		}
	}
}

// New returns an entry; Run starts its dispatcher.
func New(clock savorywing.Clock, r *registry.Registry, b savorywing.Backend, l savorywing.ReplicatedLog, m *metrics.Metrics, pool *ants.Pool, logger zerolog.Logger, opts ...Option) *Server {
	e := &Server{
		clock: clock, registry: r, backend: b, log: l, logger: logger, metrics: m, pool: pool,
		dispatcher: newDispatcher(clock, r, uint64(clock.Now().UnixNano())),
		budget:     retry.NewBudget(r.Settings().Limits.RetryRatio), idle: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Run dispatches until the context ends.
func (e *Server) Run(ctx context.Context) { e.dispatcher.run(ctx) }

// begin counts a request in, or refuses it while the daemon stops or is full.
func (e *Server) begin() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping {
		return savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable, "this entry host is stopping", savorywing.WithRetryAfter(time.Second))
	}
	if e.inFlight >= e.registry.Settings().Limits.MaxRequests {
		return savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable, "this entry host is full", savorywing.WithRetryAfter(time.Second))
	}
	e.inFlight++
	return nil
}

// hold counts a claimed request's execution, which may outlast its caller.
func (e *Server) hold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight++
}

func (e *Server) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	if e.stopping && e.inFlight == 0 {
		close(e.idle)
	}
}

// InFlight returns the number of requests in flight.
func (e *Server) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}

// Drain refuses new requests and waits until every request in flight has ended.
func (e *Server) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.stopping = true
	idle := e.inFlight == 0
	e.mu.Unlock()
	if idle {
		return nil
	}
	select {
	case <-e.idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("Server.Drain: %w", ctx.Err())
	}
}

// Serve runs a request and returns its answer, or a Refusal.
func (e *Server) Serve(ctx context.Context, r *savorywing.Request) (savorywing.Response, error) {
	if err := e.begin(); err != nil {
		e.finish(r, nil, err)
		return savorywing.Response{}, err
	}
	s := newSession(e, r)
	answer, err := s.serve(ctx)
	if err != nil {
		refusal := savorywing.AsRequestError(err)
		s.finish(refusal)
		return savorywing.Response{}, refusal
	}
	return answer, nil
}

// finish counts and logs a request that was refused before it had a session.
func (e *Server) finish(r *savorywing.Request, s *session, err error) {
	sample := metrics.Sample{Outcome: "answered"}
	line := e.logger.Info()
	if err != nil && !errors.Is(err, io.EOF) {
		refusal := savorywing.AsRequestError(err)
		sample.Outcome = string(refusal.Code())
		line = line.Str("reason", refusal.Reason()).AnErr("cause", refusal.Unwrap())
	}
	attempts, target := 0, ""
	if s != nil {
		attempts, target = s.attempts, s.target
		sample.FirstToken, sample.InterTokenLatencies, sample.Total = s.firstToken, s.between, e.clock.Now().Sub(r.Arrival)
		sample.WithinPatience = err == nil && s.withinPatience(sample.Total)
	}
	e.metrics.Observe(metrics.Key{Organisation: r.Organisation, Class: r.Class}, sample)
	line.Str("request", string(r.ID)).Int("attempts", attempts).Str("organisation", r.Organisation).
		Str("class", r.Class).Str("lane", r.Queue()).Str("target", target).Str("outcome", sample.Outcome).
		Dur("first", sample.FirstToken).Dur("whole", sample.Total).Msg("request")
}

func (e *Server) succeeded() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget.RecordSuccess()
}

func (e *Server) spendRetry() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.Spend()
}
