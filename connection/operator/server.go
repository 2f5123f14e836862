package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/ingress"
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
	idleTimeout    = time.Minute
	stopTimeout    = time.Second
	maxHeaderBytes = 4 << 10
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
	http  *ingress.Server
	// ctx is that of all commands, which go on when the operator disconnects.
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a server. Start makes it listen.
func New(clock savorywing.Clock, token string, ops Operations, log zerolog.Logger, opts ...ingress.Option) *Server {
	s := &Server{token: token, ops: ops, log: log}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	limits := ingress.Limits{MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes, HeaderTimeout: commandTimeout, IdleTimeout: idleTimeout}
	s.http = ingress.New(clock, ingress.NewRequestHandler(s.handle, s.reject), func() ingress.Limits { return limits }, log,
		append(opts, ingress.WithErrorFormat(formatError))...)
	return s
}

// Start listens and serves in the background.
func (s *Server) Start(address string) error {
	if err := s.http.Start(address); err != nil {
		return fmt.Errorf("operator.Server.Start: %w", err)
	}
	return nil
}

// Stop closes the listener and idle connections, waits up to stopTimeout for the calls in progress, and cancels the rest,
// which are answered.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, s.cancel)()
	if left := s.http.Shutdown(ctx); left > 0 {
		s.log.Warn().Int("calls", left).Msg("operators' calls were still in progress at the stop and are cancelled")
	}
	s.Close()
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	s.cancel()
	s.http.Close()
}

// formatError is the format of errors for calls that could not be read.
func formatError(h *fasthttp.ResponseHeader, r savorywing.ErrorResponse) []byte {
	h.SetStatusCode(r.Status)
	h.SetContentType("application/json")
	text, err := json.Marshal(ErrorBody{Error: r.Reason})
	if err != nil {
		return nil // the status still tells what is wrong
	}
	return text
}

// reject responds to a call that comes too late.
func (s *Server) reject(_ context.Context, ctx *fasthttp.RequestCtx) {
	Reply(ctx, fasthttp.StatusServiceUnavailable, ErrorBody{Error: "the daemon is stopping: the call was not run"})
}

// BearerToken returns the token that a call states, if it states one.
func BearerToken(ctx *fasthttp.RequestCtx) (token string, found bool) {
	return strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
}

func (s *Server) handle(_ context.Context, ctx *fasthttp.RequestCtx) {
	token, found := BearerToken(ctx)
	if !found || subtle.ConstantTimeCompare([]byte(token), []byte(s.token)) != 1 {
		Reply(ctx, fasthttp.StatusUnauthorized, ErrorBody{Error: "the operators' token is missing or wrong"})
		return
	}
	switch string(ctx.Path()) {
	case PathStatus:
		Reply(ctx, fasthttp.StatusOK, s.ops.Status())
	case PathGroups:
		Reply(ctx, fasthttp.StatusOK, s.ops.Groups())
	case PathHosts:
		Reply(ctx, fasthttp.StatusOK, s.ops.Hosts())
	case PathHistory:
		Reply(ctx, fasthttp.StatusOK, s.ops.History())
	case PathConfiguration:
		s.handleConfiguration(ctx)
	case PathDrain:
		s.handleDrain(ctx)
	case PathMetrics:
		expvarhandler.ExpvarHandler(ctx)
	default:
		Reply(ctx, fasthttp.StatusNotFound, ErrorBody{Error: "there is nothing at " + string(ctx.Path())})
	}
}

func (s *Server) handleConfiguration(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		c, err := s.ops.Configuration()
		if err != nil {
			Reply(ctx, fasthttp.StatusInternalServerError, ErrorBody{Error: err.Error()})
			return
		}
		Reply(ctx, fasthttp.StatusOK, c)
		return
	}
	var c wire.ChangeConfiguration
	s.command(ctx, &c, func(commandCtx context.Context) (wire.Result, error) { return s.ops.Apply(commandCtx, c) })
}

func (s *Server) handleDrain(ctx *fasthttp.RequestCtx) {
	var d wire.DrainHost
	s.command(ctx, &d, func(commandCtx context.Context) (wire.Result, error) { return s.ops.Drain(commandCtx, d) })
}

// command decodes the body into v and runs a command. The status is 200 if the command was accepted, 409 if it was not
// and 503 if its outcome is unknown.
func (s *Server) command(ctx *fasthttp.RequestCtx, v any, run func(context.Context) (wire.Result, error)) {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		Reply(ctx, fasthttp.StatusBadRequest, ErrorBody{Error: err.Error()})
		return
	}
	commandCtx, cancel := context.WithTimeout(s.ctx, commandTimeout)
	defer cancel()
	r, err := run(commandCtx)
	switch {
	case err != nil:
		Reply(ctx, fasthttp.StatusServiceUnavailable, ErrorBody{Error: err.Error()})
	case !r.Accepted:
		Reply(ctx, fasthttp.StatusConflict, r)
	default:
		Reply(ctx, fasthttp.StatusOK, r)
	}
}

// Reply writes a JSON response.
func Reply(ctx *fasthttp.RequestCtx, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}
