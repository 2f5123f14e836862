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

// Paths of the operator interface.
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
	maxBodyBytes   = 4 << 20
)

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error string `json:"error"`
}

// Server serves the operator interface.
type Server struct {
	token string
	ops   Operations
	log   zerolog.Logger
	http  *fasthttp.Server
}

// New returns a server. Start makes it listen.
func New(token string, ops Operations, log zerolog.Logger) *Server {
	s := &Server{token: token, ops: ops, log: log}
	s.http = &fasthttp.Server{Handler: s.handle, ReadTimeout: commandTimeout, MaxRequestBodySize: maxBodyBytes, CloseOnShutdown: true, Logger: httplog.Discard{}}
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
			s.log.Error().Err(err).Msg("serving the operator interface failed")
		}
	}()
	return nil
}

// Stop closes the listener and waits up to stopTimeout for the calls in progress.
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
	command(ctx, &c, func(commandCtx context.Context) (wire.Result, error) { return s.ops.Apply(commandCtx, c) })
}

func (s *Server) handleDrain(ctx *fasthttp.RequestCtx) {
	var d wire.DrainHost
	command(ctx, &d, func(commandCtx context.Context) (wire.Result, error) { return s.ops.Drain(commandCtx, d) })
}

// command decodes the body into v and runs a command. The status is 200 if the command was accepted, 409 if it was not
// and 503 if its outcome is unknown.
func command(ctx *fasthttp.RequestCtx, v any, run func(context.Context) (wire.Result, error)) {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		reply(ctx, fasthttp.StatusBadRequest, ErrorBody{Error: err.Error()})
		return
	}
	commandCtx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	r, err := run(commandCtx)
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
