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
	statusOK            = 200
	statusConflict      = 409
	statusUnprocessable = 422
	statusUnavailable   = 503
	statusTimeout       = 504
)

const (
	// idleTimeoutFactor is the multiple of the expected time between tokens after which a connection counts as
	// stalled.
	idleTimeoutFactor  = 10
	minIdleTimeout     = 500 * time.Millisecond
	staleConfigMessage = "this entry host can't confirm the newest configuration"
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
	// executions is cancelled when claimed requests must end, which run on if their caller is gone.
	executions       context.Context
	cancelExecutions context.CancelCauseFunc

	mu       sync.Mutex
	budget   *retry.Budget
	stopping bool
	// inFlight counts requests, executions of claimed ones and claims that are being settled.
	inFlight int
	idle     chan struct{}
}

// Option sets an optional part of a Server.
type Option func(*Server)

// WithOwner sets the owner of claims: the entry host and its boot ID.
func WithOwner(owner string) Option {
	return func(e *Server) { e.owner = owner }
}

// WithHostIndex sets the function that returns this host's index among the sorted names of the entry hosts that
// are up, and their number.
func WithHostIndex(f func() (index, hosts int)) Option {
	return func(e *Server) {
		e.dispatcher.hostIndex = func() hostIndex {
			index, hosts := f()
			return hostIndex{index: index, hosts: hosts}
		}
	}
}

// New returns a Server; Run starts its dispatcher.
func New(clock savorywing.Clock, r *registry.Registry, b savorywing.Backend, l savorywing.ReplicatedLog, m *metrics.Metrics, pool *ants.Pool, logger zerolog.Logger, opts ...Option) *Server {
	e := &Server{
		clock: clock, registry: r, backend: b, log: l, logger: logger, metrics: m, pool: pool,
		dispatcher: newDispatcher(clock, r, uint64(clock.Now().UnixNano())),
		budget:     retry.NewBudget(r.Settings().Limits.RetryRatio), idle: make(chan struct{}),
	}
	e.executions, e.cancelExecutions = context.WithCancelCause(context.Background())
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Run dispatches until the context ends.
func (e *Server) Run(ctx context.Context) { e.dispatcher.run(ctx) }

// admit counts a request in flight, or rejects it while the server stops or is at its limit.
func (e *Server) admit() *savorywing.RequestError {
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

// countExecution counts the execution of a claimed request, or the settlement of its claim. They may outlast its caller.
func (e *Server) countExecution() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight++
}

func (e *Server) requestEnded() {
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

// expireTime is how long executions that are cancelled at the end of a stop have until their claims are settled.
const expireTime = 2 * time.Second

var errStopping = errors.New("this entry host is stopping")

// Drain rejects new requests and waits until every request in flight has ended and its claim is settled. When ctx ends, it
// cancels the executions that are left, which may outlast their callers, and has their claims settled.
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
	}
	e.cancelExecutions(errStopping)
	select {
	case <-e.idle:
	case <-e.clock.After(expireTime):
	}
	return fmt.Errorf("Server.Drain: %w", ctx.Err())
}

// Serve runs a request and returns its response, or a *savorywing.RequestError.
func (e *Server) Serve(ctx context.Context, r *savorywing.Request) (savorywing.Response, error) {
	s := newSession(e, r)
	if err := e.admit(); err != nil {
		requestErr := s.finalError(err)
		e.recordOutcome(r, nil, requestErr)
		return savorywing.Response{}, requestErr
	}
	response, err := s.serve(ctx)
	if err != nil {
		requestErr := savorywing.AsRequestError(err)
		s.finish(requestErr)
		return savorywing.Response{}, requestErr
	}
	return response, nil
}

// recordOutcome counts and logs a request. The session is nil if the request was rejected before it had one.
func (e *Server) recordOutcome(r *savorywing.Request, s *session, err error) {
	sample := metrics.Sample{Outcome: "answered"}
	line := e.logger.Info()
	if err != nil && !errors.Is(err, io.EOF) {
		requestErr := savorywing.AsRequestError(err)
		sample.Outcome = string(requestErr.Code())
		line = line.Str("reason", requestErr.Reason()).AnErr("cause", requestErr.Unwrap())
	}
	attempts, target := 0, ""
	if s != nil {
		attempts, target = s.attempts, s.target
		sample.FirstToken, sample.InterTokenLatencies, sample.Total = s.firstToken, s.interToken, e.clock.Now().Sub(r.Arrival)
		sample.WithinTimeouts = err == nil && s.isWithinTimeouts(sample.Total)
	}
	e.metrics.Observe(metrics.Key{Organisation: r.Organisation, Class: r.Class}, sample)
	line.Str("request", string(r.ID)).Int("attempts", attempts).Str("organisation", r.Organisation).
		Str("class", r.Class).Str("lane", r.Queue()).Str("target", target).Str("outcome", sample.Outcome).
		Dur("first", sample.FirstToken).Dur("whole", sample.Total).Msg("request")
}

func (e *Server) recordSuccess() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget.RecordSuccess()
}

func (e *Server) spendRetry() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.Spend()
}
