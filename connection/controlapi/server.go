// Package controlapi serves the HTTP control interface of a control host to backend servers and operators.
package controlapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/ingress"
	"savorywing.example/savorywing/process/budget"
	"savorywing.example/savorywing/process/logging"
	"savorywing.example/savorywing/wire"
)

const (
	maxHeaderBytes = 4 << 10
	maxBodyBytes   = 16 << 20
	readTimeout    = 5 * time.Second
	idleTimeout    = 30 * time.Second
	stopTimeout    = 500 * time.Millisecond
)

// Errors that a Handler returns.
var (
	// ErrInvalidDocument means that a published document is not valid.
	ErrInvalidDocument = errors.New("the document is invalid")
	// ErrInvalidReport means that a report or a withdrawal is not valid.
	ErrInvalidReport = errors.New("the report is invalid")
	// ErrInvalidDataCentre means that the name of a data centre is not valid.
	ErrInvalidDataCentre = errors.New("the name of the data centre is invalid")
	// ErrUnknownDataCentre means that there is no data centre of a name.
	ErrUnknownDataCentre = errors.New("the data centre is unknown")
	// ErrNoQuorum means that this host reaches no majority of control hosts, so its state may be stale. Another control
	// host may be able to serve the call.
	ErrNoQuorum = errors.New("no majority of control hosts answers")
)

// Handler handles the calls of backend servers and operators.
type Handler interface {
	// HandleReport applies a report and returns the address to send later reports to; empty for any control host.
	HandleReport(ctx context.Context, r wire.Report) (string, error)
	// HandleWithdrawal deregisters a backend server that stops.
	HandleWithdrawal(ctx context.Context, id string) error
	// PublishDocument stores a document, which it doesn't keep, as the newest one if its version is higher than that of all earlier ones. Any other
	// version is acknowledged and changes nothing.
	PublishDocument(ctx context.Context, document []byte) error
	// ReadDocument returns the newest document, which isn't modified, as confirmed by a majority after the call started.
	ReadDocument(ctx context.Context) ([]byte, error)
	// Evacuate begins the evacuation of a data centre, or finishes it. An order that changes nothing is acknowledged as well.
	Evacuate(ctx context.Context, order wire.Evacuate) error
	// Status returns what this host knows of the control hosts and of the replicated state.
	Status(ctx context.Context) Status
}

// Server serves the control address.
type Server struct {
	dialect savorywing.ControlDialect
	handler Handler
	log     zerolog.Logger
	// refusals limits the log lines about each sender of refused reports, which sends one after the other.
	refusals *logging.Repeats
	http     *ingress.Server
	// memory bounds what the connections hold.
	memory *ingress.Memory
	// ctx is that of all calls other than orders to evacuate a data centre. A call goes on when its caller disconnects: a backend
	// server that ends may not wait for the acknowledgement of its withdrawal.
	ctx    context.Context
	cancel context.CancelFunc
}

// Option sets an optional part of a Server.
type Option func(*Server)

// WithMemory bounds what the server's connections hold. The default has no bounds.
func WithMemory(m *ingress.Memory) Option { return func(s *Server) { s.memory = m } }

// New returns a server. Start makes it listen.
func New(clock savorywing.Clock, dialect savorywing.ControlDialect, handler Handler, log zerolog.Logger, opts ...Option) *Server {
	s := &Server{dialect: dialect, handler: handler, log: log, refusals: logging.NewRepeats(clock), memory: ingress.NewMemory(clock, budget.Limits{})}
	for _, opt := range opts {
		opt(s)
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	limits := ingress.Limits{MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes, HeaderTimeout: readTimeout, IdleTimeout: idleTimeout}
	s.http = ingress.New(clock, ingress.NewRequestHandler(s.handle, s.reject), func() ingress.Limits { return limits }, log, ingress.WithMemory(s.memory))
	return s
}

// Start listens at an address and serves in the background.
func (s *Server) Start(address string) error {
	if err := s.http.Start(address); err != nil {
		return fmt.Errorf("controlapi.Server.Start: %w", err)
	}
	return nil
}

// Drain makes every response the last one on its connection, so that callers turn to other control hosts.
func (s *Server) Drain() { s.http.Drain() }

// Stop closes the listener and idle connections, waits up to stopTimeout for the calls in progress, and cancels the rest,
// which are answered.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, s.cancel)()
	if left := s.http.Shutdown(ctx); left > 0 {
		s.log.Warn().Str("event", "callsCancelled").Int("calls", left).Msg("calls were still in progress at the stop and are cancelled")
	}
	s.Close()
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	s.cancel()
	s.http.Close()
}

func (s *Server) handle(caller context.Context, r *fasthttp.RequestCtx) {
	if r.IsGet() && string(r.Path()) == PathStatus {
		s.writeStatus(r)
		return
	}
	call := s.dialect.ReadControlRequest(r.Method(), r.Path())
	switch call.Operation {
	case savorywing.ControlReport:
		s.handleReport(r, call.Server)
	case savorywing.ControlWithdraw:
		if err := s.handler.HandleWithdrawal(s.ctx, call.Server); err != nil {
			s.logRefusal(call.Server, err)
			s.writeError(r, err)
		}
	case savorywing.ControlPublish:
		if err := s.handler.PublishDocument(s.ctx, r.PostBody()); err != nil {
			s.writeError(r, err)
		}
	case savorywing.ControlRead:
		b, err := s.handler.ReadDocument(s.ctx)
		if err != nil {
			s.writeError(r, err)
			return
		}
		r.SetContentType("application/json")
		r.Response.SetBodyRaw(b)
	case savorywing.ControlBeginEvacuation, savorywing.ControlFinishEvacuation:
		order := wire.Evacuate{DataCentre: call.DataCentre, On: call.Operation == savorywing.ControlBeginEvacuation}
		// An order whose operator has gone on must not take effect after a later one.
		ctx, cancel := context.WithCancel(caller)
		defer cancel()
		defer context.AfterFunc(s.ctx, cancel)()
		if err := s.handler.Evacuate(ctx, order); err != nil {
			s.writeError(r, err)
		}
	default:
		r.Error("no such call", fasthttp.StatusNotFound)
	}
}

// reject responds to a call that comes too late.
func (s *Server) reject(_ context.Context, r *fasthttp.RequestCtx) {
	r.Error("this control host is stopping", fasthttp.StatusServiceUnavailable)
}

func (s *Server) handleReport(r *fasthttp.RequestCtx, id string) {
	report, err := s.dialect.ReadReport(id, r.PostBody())
	if err != nil {
		err = fmt.Errorf("%w: %w", ErrInvalidReport, err)
		s.logRefusal(id, err)
		s.writeError(r, err)
		return
	}
	address, err := s.handler.HandleReport(s.ctx, report)
	if err != nil {
		s.writeError(r, err)
		return
	}
	r.SetContentType("application/json")
	r.SetBody(s.dialect.WriteReportReply(address))
}

// logRefusal logs that a report was refused as invalid, once for each sender.
func (s *Server) logRefusal(id string, err error) {
	if !errors.Is(err, ErrInvalidReport) {
		return
	}
	if allowed, omitted := s.refusals.Allow(id); allowed {
		s.log.Warn().Str("event", "reportRefused").Str("server", fmt.Sprintf("%.100s", id)).Uint64("omitted", omitted).Err(err).Msg("refused an invalid report")
	}
}

func (s *Server) writeError(r *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusServiceUnavailable
	switch {
	case errors.Is(err, ErrInvalidDocument), errors.Is(err, ErrInvalidReport), errors.Is(err, ErrInvalidDataCentre):
		status = fasthttp.StatusBadRequest
	case errors.Is(err, ErrUnknownDataCentre):
		status = fasthttp.StatusNotFound
	}
	r.Error(err.Error(), status)
}
