// Package controlapi serves the HTTP control interface of a control host to backend servers and operators.
package controlapi

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/process/logging"
	"savorywing.example/savorywing/wire"
)

const (
	maxBodyBytes = 16 << 20
	readTimeout  = 5 * time.Second
	idleTimeout  = 30 * time.Second
	stopTimeout  = 500 * time.Millisecond
)

// Errors that a Handler returns.
var (
	// ErrInvalidDocument means that a published document is not valid.
	ErrInvalidDocument = errors.New("the document is invalid")
	// ErrInvalidReport means that a report or a withdrawal is not valid.
	ErrInvalidReport = errors.New("the report is invalid")
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
	// PublishDocument stores a document as the newest one if its version is higher than that of all earlier ones. Any other
	// version is acknowledged and changes nothing.
	PublishDocument(ctx context.Context, document []byte) error
	// ReadDocument returns the newest document, as confirmed by a majority after the call started.
	ReadDocument(ctx context.Context) ([]byte, error)
}

// Server serves the control address.
type Server struct {
	dialect savorywing.ControlDialect
	handler Handler
	log     zerolog.Logger
	// refusals limits the log lines about each sender of refused reports, which sends one after the other.
	refusals *logging.Repeats
	http     *fasthttp.Server
	ctx      context.Context
	cancel   context.CancelFunc
}

// New returns a server. Start makes it listen.
func New(dialect savorywing.ControlDialect, handler Handler, log zerolog.Logger) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{dialect: dialect, handler: handler, log: log, refusals: logging.NewRepeats(clock.Boottime{}), ctx: ctx, cancel: cancel}
	s.http = &fasthttp.Server{
		Handler: s.handle, MaxRequestBodySize: maxBodyBytes, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		NoDefaultServerHeader: true, Logger: &s.log, ReduceMemoryUsage: true,
	}
	return s
}

// Start listens at an address and serves in the background.
func (s *Server) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("Server.Start: %w", err)
	}
	go func() {
		if err := s.http.Serve(listener); err != nil {
			s.log.Error().Err(err).Str("address", address).Msg("serving the control address failed")
		}
	}()
	return nil
}

// Stop closes the listener, waits up to stopTimeout for the calls in progress and cancels the rest.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		s.log.Warn().Err(err).Msg("calls were still in progress at the stop and are cancelled")
	}
	s.cancel()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	call := s.dialect.ReadControlRequest(ctx.Method(), ctx.Path())
	switch call.Operation {
	case savorywing.ControlReport:
		s.handleReport(ctx, call.Server)
	case savorywing.ControlWithdraw:
		if err := s.handler.HandleWithdrawal(s.ctx, call.Server); err != nil {
			s.logRefusal(call.Server, err)
			s.writeError(ctx, err)
		}
	case savorywing.ControlPublish:
		// The body's buffer is reused after the call, so the document must be a copy.
		if err := s.handler.PublishDocument(s.ctx, append([]byte(nil), ctx.PostBody()...)); err != nil {
			s.writeError(ctx, err)
		}
	case savorywing.ControlRead:
		b, err := s.handler.ReadDocument(s.ctx)
		if err != nil {
			s.writeError(ctx, err)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(b)
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

func (s *Server) handleReport(ctx *fasthttp.RequestCtx, id string) {
	r, err := s.dialect.ReadReport(id, ctx.PostBody())
	if err != nil {
		err = fmt.Errorf("%w: %w", ErrInvalidReport, err)
		s.logRefusal(id, err)
		s.writeError(ctx, err)
		return
	}
	address, err := s.handler.HandleReport(s.ctx, r)
	if err != nil {
		s.writeError(ctx, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(s.dialect.WriteReportReply(address))
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

func (s *Server) writeError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusServiceUnavailable
	if errors.Is(err, ErrInvalidDocument) || errors.Is(err, ErrInvalidReport) {
		status = fasthttp.StatusBadRequest
	}
	ctx.Error(err.Error(), status)
}
