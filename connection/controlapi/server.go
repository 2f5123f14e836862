// Package controlapi serves backend servers and operators on a control host over HTTP.
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
	"savorywing.example/savorywing/wire"
)

const (
	maxBody     = 16 << 20
	readTimeout = 5 * time.Second
	idleTimeout = 30 * time.Second
	stopTimeout = 500 * time.Millisecond
)

// Errors that a Handler returns.
var (
	// ErrInvalidDocument says that a document can't be accepted as it is.
	ErrInvalidDocument = errors.New("the document is invalid")
	// ErrNoQuorum says that this host can't answer truthfully now; another may.
	ErrNoQuorum = errors.New("no majority of control hosts answers")
)

// Handler takes what backend servers and operators say.
type Handler interface {
	// Report takes a report over and returns where later ones shall go; empty for anywhere.
	Report(ctx context.Context, r wire.Report) (string, error)
	// Withdraw takes over that a backend server ends.
	Withdraw(ctx context.Context, id string) error
	// Publish makes a document the newest if its version is the highest.
	Publish(ctx context.Context, document []byte) error
	// Read returns the newest document, confirmed by a majority after the call began.
	Read(ctx context.Context) ([]byte, error)
}

// Server answers on the control address.
type Server struct {
	dialect savorywing.ControlDialect
	desk    Handler
	log     zerolog.Logger
	http    *fasthttp.Server
	ctx     context.Context
	cancel  context.CancelFunc
}

// New returns a server that Start opens.
func New(dialect savorywing.ControlDialect, desk Handler, log zerolog.Logger) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{dialect: dialect, desk: desk, log: log, ctx: ctx, cancel: cancel}
	s.http = &fasthttp.Server{
		Handler: s.handle, MaxRequestBodySize: maxBody, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		NoDefaultServerHeader: true, Logger: &s.log, ReduceMemoryUsage: true,
	}
	return s
}

// Start listens at an address.
func (s *Server) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("Server.Start: %w", err)
	}
	go func() {
		if err := s.http.Serve(listener); err != nil {
			s.log.Error().Err(err).Str("address", address).Msg("the control address is no longer served")
		}
	}()
	return nil
}

// Stop ends the calls in progress and closes the listener.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		s.log.Warn().Err(err).Msg("calls were cut off by the stop")
	}
	s.cancel()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	call := s.dialect.ReadControlRequest(ctx.Method(), ctx.Path())
	switch call.Operation {
	case savorywing.ControlReport:
		s.report(ctx, call.Server)
	case savorywing.ControlWithdraw:
		if err := s.desk.Withdraw(s.ctx, call.Server); err != nil {
			s.fail(ctx, err)
		}
	case savorywing.ControlPublish:
		// The body is the server's own and is used after the call.
		if err := s.desk.Publish(s.ctx, append([]byte(nil), ctx.PostBody()...)); err != nil {
			s.fail(ctx, err)
		}
	case savorywing.ControlRead:
		b, err := s.desk.Read(s.ctx)
		if err != nil {
			s.fail(ctx, err)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(b)
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

func (s *Server) report(ctx *fasthttp.RequestCtx, id string) {
	r, err := s.dialect.ReadReport(id, ctx.PostBody())
	if err != nil {
		s.log.Warn().Str("event", "reportRefused").Str("server", id).Err(err).Msg("")
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	address, err := s.desk.Report(s.ctx, r)
	if err != nil {
		s.fail(ctx, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(s.dialect.WriteReportReply(address))
}

func (s *Server) fail(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusServiceUnavailable
	if errors.Is(err, ErrInvalidDocument) {
		status = fasthttp.StatusBadRequest
	}
	ctx.Error(err.Error(), status)
}
