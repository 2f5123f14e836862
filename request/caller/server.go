package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/backend"
	"savorywing.example/savorywing/connection/ingress"
	"savorywing.example/savorywing/process/entry"
	"savorywing.example/savorywing/process/logging"
	"savorywing.example/savorywing/process/registry"
	"savorywing.example/savorywing/version/settings"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

const (
	readTimeout    = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// bodyReadFactor is the multiple of the largest allowed body that is still read, so that the sender of a
	// larger one gets an error response.
	bodyReadFactor = 4
	// stoppingRetryAfter is the Retry-After of requests that come too late.
	stoppingRetryAfter = time.Second
)

// AnnouncementHandler handles the announcements of backend servers.
type AnnouncementHandler interface {
	HandleAnnouncement(a wire.Announcement)
}

// Server is the HTTP server for callers and for announcements.
type Server struct {
	clock    savorywing.Clock
	registry *registry.Registry
	entry    *entry.Server
	keys     settings.Keys
	announce AnnouncementHandler
	log      zerolog.Logger
	// refusals limits the log lines about each sender of refused announcements, which sends one after the other.
	refusals *logging.Repeats
	http     *ingress.Server
	ready    atomic.Bool
}

// New returns a Server; Start runs it.
func New(clock savorywing.Clock, r *registry.Registry, e *entry.Server, keys settings.Keys, a AnnouncementHandler, log zerolog.Logger, opts ...ingress.Option) *Server {
	s := &Server{clock: clock, registry: r, entry: e, keys: keys, announce: a, log: log, refusals: logging.NewRepeats(clock)}
	s.http = ingress.New(clock, ingress.NewRequestHandler(s.handle, s.reject), s.limits, log, append(opts, ingress.WithErrorFormat(formatError))...)
	return s
}

func (s *Server) limits() ingress.Limits {
	return ingress.Limits{
		MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: bodyReadFactor * int(s.registry.Settings().Limits.MaxBody),
		HeaderTimeout: readTimeout, IdleTimeout: idleTimeout,
	}
}

// Start listens at a TCP address and serves in the background.
func (s *Server) Start(address string) error {
	if err := s.http.Start(address); err != nil {
		return fmt.Errorf("caller.Server.Start: %w", err)
	}
	s.ready.Store(true)
	return nil
}

// SetReady sets whether the load balancer should send callers to this host.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Drain makes every response the last one on its connection, so that callers turn to other hosts.
func (s *Server) Drain() { s.http.Drain() }

// Stop closes the listener and waits until every request that was received has its response. When ctx ends, it cancels the
// requests that are left, which are answered with an error, and returns their number.
func (s *Server) Stop(ctx context.Context) int { return s.http.Shutdown(ctx) }

// Close closes the listener and all connections at once.
func (s *Server) Close() { s.http.Close() }

// serverName is the Server header of all responses.
const serverName = "savorywing"

func (s *Server) handle(ctx context.Context, rc *fasthttp.RequestCtx) {
	rc.Response.Header.SetServer(serverName)
	switch originalPath(rc) {
	case "/healthz":
		rc.SetBodyString("ok\n")
	case "/readyz":
		s.handleReady(rc)
	case backend.PathAnnounce:
		s.handleAnnounce(rc)
	case "/v1/models":
		s.handleModels(rc)
	default:
		s.handleRequest(ctx, rc)
	}
}

// reject responds to a request that comes too late. An earlier one with its idempotency key may have run.
func (s *Server) reject(_ context.Context, rc *fasthttp.RequestCtx) {
	rc.Response.Header.SetServer(serverName)
	err := savorywing.NewRequestError(savorywing.CodeNotRun, fasthttp.StatusServiceUnavailable, "this entry host is stopping",
		savorywing.WithRetryAfter(stoppingRetryAfter))
	if len(rc.Request.Header.Peek(backend.HeaderIdempotencyKey)) > 0 {
		err = err.AsUnknown()
	}
	s.writeError(rc, err)
}

func (s *Server) handleReady(ctx *fasthttp.RequestCtx) {
	if !s.ready.Load() || !s.registry.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

func (s *Server) handleAnnounce(ctx *fasthttp.RequestCtx) {
	var a wire.Announcement
	reason := "the announcement is not valid JSON"
	err := codec.DecodeJSON(ctx.PostBody(), &a)
	if err == nil {
		reason = "an announcement names host, address and kind (engine or service), and states valid values"
		err = a.Validate()
	}
	if err != nil {
		address := ctx.RemoteIP().String()
		if allowed, omitted := s.refusals.Allow(address + " " + a.Host); allowed {
			s.log.Warn().Str("event", "announcementRefused").Str("address", address).Str("backend", fmt.Sprintf("%.100s", a.Host)).
				Uint64("omitted", omitted).Err(err).Msg("refused an invalid announcement")
		}
		s.writeError(ctx, newBadRequest(fasthttp.StatusBadRequest, "", "%s: %v", reason, err))
		return
	}
	s.announce.HandleAnnouncement(a)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) handleModels(ctx *fasthttp.RequestCtx) {
	if _, err := s.authenticate(ctx); err != nil {
		s.writeError(ctx, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for name := range s.registry.Settings().Models {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "savorywing"})
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	writeJSON(ctx, fasthttp.StatusOK, list)
}

func (s *Server) authenticate(ctx *fasthttp.RequestCtx) (settings.APIKey, error) {
	secret, found := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	key, known := s.keys[secret]
	if !found || !known {
		return key, newBadRequest(fasthttp.StatusUnauthorized, "", "the bearer key is missing or unknown")
	}
	return key, nil
}

func (s *Server) handleRequest(ctx context.Context, rc *fasthttp.RequestCtx) {
	key, err := s.authenticate(rc)
	if err != nil {
		s.writeError(rc, err)
		return
	}
	r, err := parse(rc, s.registry.Settings(), key, s.clock.Now())
	if err != nil {
		s.writeError(rc, err)
		return
	}
	timeouts, known := s.registry.TimeoutsOf(r.Class, r.Arrival)
	if !known {
		s.writeError(rc, newBadRequest(fasthttp.StatusForbidden, "", "the class %q is not configured any more", r.Class))
		return
	}
	r.Timeouts = timeouts
	rc.Response.Header.Set(backend.HeaderAttemptID, string(r.ID))
	response, err := s.entry.Serve(ctx, r)
	if err != nil {
		s.writeError(rc, err)
		return
	}
	rc.SetStatusCode(response.Status)
	rc.SetContentType(response.ContentType)
	if response.Events != nil {
		rc.SetBodyStream(&eventReader{events: response.Events}, -1)
		return
	}
	rc.SetBody(response.Body)
}

// eventReader is a streamed response as the body of an HTTP response; an error leaves the body without its end.
type eventReader struct {
	events  savorywing.EventStream
	pending []byte
}

// Read returns the bytes that are available of the next event.
func (r *eventReader) Read(p []byte) (int, error) {
	if len(r.pending) == 0 {
		b, err := r.events.Next()
		if err != nil {
			return 0, err
		}
		r.pending = b
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// Close is called when the response has ended or the caller has disconnected.
func (r *eventReader) Close() error {
	r.events.Close()
	return nil
}

// formatError is the format of errors for requests that could not be read. One that was not received did not run, but it may
// have an idempotency key with which an earlier one ran.
func formatError(h *fasthttp.ResponseHeader, r savorywing.ErrorResponse) []byte {
	detail := entry.ErrorDetail{Code: string(savorywing.CodeNotRun), Message: "the request could not be read", Type: "invalid_request_error"}
	switch r.Status {
	case fasthttp.StatusRequestTimeout:
		detail.Code, detail.Message = string(savorywing.CodeUnknown), "no request was received on this connection in time"
	case fasthttp.StatusServiceUnavailable:
		detail.Code, detail.Message = string(savorywing.CodeUnknown), "this entry host has no room for more connections or requests, and did not run this one"
	}
	text, err := json.Marshal(entry.ErrorBody{Error: detail})
	if err != nil {
		text = nil // the status still tells what is wrong
	}
	h.SetServer(serverName)
	h.SetStatusCode(r.Status)
	h.SetContentType("application/json")
	if r.RetryAfter > 0 {
		h.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds(r.RetryAfter))
	}
	return text
}

// retryAfterSeconds returns the value of a Retry-After header, in whole seconds.
func retryAfterSeconds(d time.Duration) string { return strconv.Itoa(int(math.Ceil(d.Seconds()))) }

func (s *Server) writeError(ctx *fasthttp.RequestCtx, err error) {
	if b, ok := asBadRequest(err); ok {
		detail := entry.ErrorDetail{Code: string(savorywing.CodeNotRun), Message: b.reason, Type: "invalid_request_error", Param: b.param}
		writeJSON(ctx, b.status, entry.ErrorBody{Error: detail})
		return
	}
	requestErr := savorywing.AsRequestError(err)
	if d := requestErr.RetryAfter(); d > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds(d))
	}
	detail := entry.ErrorDetail{Code: string(requestErr.Code()), Message: requestErr.Reason(), Type: "server_error"}
	writeJSON(ctx, requestErr.Status(), entry.ErrorBody{Error: detail})
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}
