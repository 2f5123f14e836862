package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/backend"
	"savorywing.example/savorywing/connection/httplog"
	"savorywing.example/savorywing/process/entry"
	"savorywing.example/savorywing/process/logging"
	"savorywing.example/savorywing/process/registry"
	"savorywing.example/savorywing/version/settings"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

const (
	readTimeout    = 10 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 60 * time.Second
	maxConns       = 4096
	maxHeaderBytes = 16 << 10
	// bodyReadFactor is the multiple of the largest allowed body that is still read, so that the sender of a
	// larger one gets an error response.
	bodyReadFactor     = 4
	statusClientClosed = 499
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
	http     *fasthttp.Server
	listener net.Listener
	ready    atomic.Bool
}

// New returns a Server; Start runs it.
func New(clock savorywing.Clock, r *registry.Registry, e *entry.Server, keys settings.Keys, a AnnouncementHandler, log zerolog.Logger) *Server {
	s := &Server{clock: clock, registry: r, entry: e, keys: keys, announce: a, log: log, refusals: logging.NewRepeats(clock)}
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.handleMalformed, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxRequestBodySize: bodyReadFactor * int(r.Settings().Limits.MaxBody), Concurrency: maxConns, ReadBufferSize: maxHeaderBytes,
		Name: "savorywing", NoDefaultDate: true, CloseOnShutdown: true,
		Logger: httplog.Discard{},
	}
	return s
}

// Start listens at a TCP address and serves in the background.
func (s *Server) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("caller.Server.Start: %w", err)
	}
	s.listener = listener
	s.ready.Store(true)
	go func() {
		if err := s.http.Serve(listener); err != nil {
			s.log.Error().Err(err).Msg("the HTTP server for callers stopped")
		}
	}()
	return nil
}

// SetReady sets whether the load balancer should send callers to this host.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Stop closes the listener and waits for requests in flight.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("caller.Server.Stop: %w", err)
	}
	return nil
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); path {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		s.handleReady(ctx)
	case backend.PathAnnounce:
		s.handleAnnounce(ctx)
	case "/v1/models":
		s.handleModels(ctx)
	default:
		s.handleRequest(ctx)
	}
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
	err := codec.DecodeJSON(ctx.PostBody(), &a)
	if err == nil {
		err = a.Validate()
	}
	if err != nil {
		address := ctx.RemoteIP().String()
		if allowed, omitted := s.refusals.Allow(address + " " + a.Host); allowed {
			s.log.Warn().Str("event", "announcementRefused").Str("address", address).Str("backend", fmt.Sprintf("%.100s", a.Host)).
				Uint64("omitted", omitted).Err(err).Msg("refused an invalid announcement")
		}
		s.writeError(ctx, newBadRequest(fasthttp.StatusBadRequest, "", "the announcement is not valid: %v", err))
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

func (s *Server) handleRequest(ctx *fasthttp.RequestCtx) {
	key, err := s.authenticate(ctx)
	if err != nil {
		s.writeError(ctx, err)
		return
	}
	r, err := parse(ctx, s.registry.Settings(), key, s.clock.Now())
	if err != nil {
		s.writeError(ctx, err)
		return
	}
	timeouts, known := s.registry.TimeoutsOf(r.Class, r.Arrival)
	if !known {
		s.writeError(ctx, newBadRequest(fasthttp.StatusForbidden, "", "the class %q is not configured any more", r.Class))
		return
	}
	r.Timeouts = timeouts
	ctx.Response.Header.Set(backend.HeaderAttemptID, string(r.ID))
	response, err := s.entry.Serve(context.Background(), r)
	if err != nil {
		s.writeError(ctx, err)
		return
	}
	ctx.SetStatusCode(response.Status)
	ctx.SetContentType(response.ContentType)
	if response.Events != nil {
		ctx.SetBodyStream(&eventReader{events: response.Events}, -1)
		return
	}
	ctx.SetBody(response.Body)
}

// eventReader is a streamed response as the body of an HTTP response; an error aborts the connection.
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

// handleMalformed responds to data that can't be read as an HTTP request.
func (s *Server) handleMalformed(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	case errors.Is(err, io.EOF):
		status = statusClientClosed
	}
	ctx.SetConnectionClose()
	s.writeError(ctx, newBadRequest(status, "", "the request could not be read"))
}

func (s *Server) writeError(ctx *fasthttp.RequestCtx, err error) {
	if b, ok := asBadRequest(err); ok {
		detail := entry.ErrorDetail{Code: string(savorywing.CodeNotRun), Message: b.reason, Type: "invalid_request_error", Param: b.param}
		writeJSON(ctx, b.status, entry.ErrorBody{Error: detail})
		return
	}
	requestErr := savorywing.AsRequestError(err)
	if d := requestErr.RetryAfter(); d > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(d.Seconds()))))
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
