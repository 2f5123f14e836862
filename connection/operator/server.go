package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"savorywing.example/savorywing/connection/httplog"
	"savorywing.example/savorywing/wire"
)

// Paths of the operators' interface.
const (
	PathStatus        = "/v1/status"
	PathGroups        = "/v1/groups"
	PathHosts         = "/v1/hosts"
	PathConfiguration = "/v1/configuration"
	PathHistory       = "/v1/configuration/history"
	PathDrain         = "/v1/drain"
	PathMetrics       = "/debug/vars"
)

const (
	commandTimeout = 10 * time.Second
	stopTimeout    = time.Second
	maxBody        = 4 << 20
)

// ErrorBody is the JSON of a refused call.
type ErrorBody struct {
	Error string `json:"error"`
}

// Server is the operators' listener.
type Server struct {
	token string
	ops   Operations
	log   zerolog.Logger
	http  *fasthttp.Server
}

// New returns a server that Start runs.
func New(token string, ops Operations, log zerolog.Logger) *Server {
	s := &Server{token: token, ops: ops, log: log}
	s.http = &fasthttp.Server{Handler: s.handle, ReadTimeout: commandTimeout, MaxRequestBodySize: maxBody, CloseOnShutdown: true, Logger: httplog.Silent{}}
	return s
}

// Start listens and serves in the background.
func (s *Server) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("operator.Server.Start: %w", err)
	}
	go func() {
		if err := s.http.Serve(listener); err != nil {
			s.log.Error().Err(err).Msg("the operators' listener ended")
		}
	}()
	return nil
}

// Stop closes the listener.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = s.http.ShutdownWithContext(ctx)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	token, found := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	if !found || subtle.ConstantTimeCompare([]byte(token), []byte(s.token)) != 1 {
		reply(ctx, fasthttp.StatusUnauthorized, ErrorBody{Error: "the operators' token is missing or wrong"})
		return
	}
	switch string(ctx.Path()) {
	case PathStatus:
		reply(ctx, fasthttp.StatusOK, s.ops.Status())
	case PathGroups:
		reply(ctx, fasthttp.StatusOK, s.ops.Groups())
	case PathHosts:
		reply(ctx, fasthttp.StatusOK, s.ops.Hosts())
	case PathHistory:
		reply(ctx, fasthttp.StatusOK, s.ops.History())
	case PathConfiguration:
		s.handleConfiguration(ctx)
	case PathDrain:
		s.handleDrain(ctx)
	case PathMetrics:
		expvarhandler.ExpvarHandler(ctx)
	default:
		reply(ctx, fasthttp.StatusNotFound, ErrorBody{Error: "there is nothing at " + string(ctx.Path())})
	}
}

func (s *Server) handleConfiguration(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		c, err := s.ops.Configuration()
		if err != nil {
			reply(ctx, fasthttp.StatusInternalServerError, ErrorBody{Error: err.Error()})
			return
		}
		reply(ctx, fasthttp.StatusOK, c)
		return
	}
	var c wire.ChangeConfiguration
	command(ctx, &c, func(timeout context.Context) (wire.Result, error) { return s.ops.Apply(timeout, c) })
}

func (s *Server) handleDrain(ctx *fasthttp.RequestCtx) {
	var d wire.DrainHost
	command(ctx, &d, func(timeout context.Context) (wire.Result, error) { return s.ops.Drain(timeout, d) })
}

// command reads the body into v and runs an order: 200 accepted, 409 not accepted, 503 outcome unknown.
func command(ctx *fasthttp.RequestCtx, v any, run func(context.Context) (wire.Result, error)) {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		reply(ctx, fasthttp.StatusBadRequest, ErrorBody{Error: err.Error()})
		return
	}
	timeout, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	r, err := run(timeout)
	switch {
	case err != nil:
		reply(ctx, fasthttp.StatusServiceUnavailable, ErrorBody{Error: err.Error()})
	case !r.Accepted:
		reply(ctx, fasthttp.StatusConflict, r)
	default:
		reply(ctx, fasthttp.StatusOK, r)
	}
}

func reply(ctx *fasthttp.RequestCtx, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}
