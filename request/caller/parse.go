package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/backend"
	"savorywing.example/savorywing/connection/ingress"
	"savorywing.example/savorywing/process/router"
	"savorywing.example/savorywing/version/settings"
)

const maxKeyBytes = 256

// badRequest is an error that only the caller can correct.
type badRequest struct {
	status int
	param  string
	reason string
}

// Error implements error.
func (b *badRequest) Error() string { return b.reason }

func newBadRequest(status int, param, format string, args ...any) *badRequest {
	return &badRequest{status: status, param: param, reason: fmt.Sprintf(format, args...)}
}

// modelRequest holds the fields of a body that the system itself reads; all others pass through.
type modelRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens *int            `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

func (m modelRequest) prefix() uint64 {
	var b strings.Builder
	for _, message := range m.Messages {
		b.WriteString(message.Role)
		b.Write(message.Content)
	}
	b.Write(m.Prompt)
	return router.PrefixDigest(b.String())
}

func (m modelRequest) check(chat bool) *badRequest {
	switch {
	case m.Model == "":
		return newBadRequest(fasthttp.StatusBadRequest, "model", "the field model is missing")
	case chat && len(m.Messages) == 0:
		return newBadRequest(fasthttp.StatusBadRequest, "messages", "the field messages is missing or empty")
	case !chat && len(m.Prompt) == 0:
		return newBadRequest(fasthttp.StatusBadRequest, "prompt", "the field prompt is missing")
	case m.MaxTokens != nil && *m.MaxTokens < 1:
		return newBadRequest(fasthttp.StatusBadRequest, "max_tokens", "max_tokens must be at least 1")
	}
	return nil
}

// parse converts an authenticated HTTP request into a Request.
func parse(ctx *fasthttp.RequestCtx, cfg *settings.Settings, key settings.APIKey, now time.Time) (*savorywing.Request, error) {
	if len(ctx.PostBody()) > int(cfg.Limits.MaxBody) {
		return nil, newBadRequest(fasthttp.StatusRequestEntityTooLarge, "", "the body is larger than %d bytes", cfg.Limits.MaxBody)
	}
	r := &savorywing.Request{
		ID: savorywing.NewID(), Organisation: key.Organisation, Class: key.Class,
		Method: string(ctx.Method()), Path: string(ctx.RequestURI()), ContentType: string(ctx.Request.Header.ContentType()),
		Body: append([]byte(nil), ctx.PostBody()...), IdempotencyKey: string(ctx.Request.Header.Peek(backend.HeaderIdempotencyKey)), Arrival: now,
		Hold: ingress.Hold(ctx),
	}
	if len(r.IdempotencyKey) > maxKeyBytes {
		return nil, newBadRequest(fasthttp.StatusBadRequest, backend.HeaderIdempotencyKey, "the key is longer than %d bytes", maxKeyBytes)
	}
	var err error
	switch path := originalPath(ctx); path {
	case "/v1/chat/completions":
		err = parseModel(r, cfg, true)
	case "/v1/completions":
		err = parseModel(r, cfg, false)
	default:
		err = parseService(r, cfg, path)
	}
	if err != nil {
		return nil, err
	}
	return r, nil
}

// originalPath returns the path as it was sent, and is sent on. A path without its dots, or decoded, may be another one.
func originalPath(ctx *fasthttp.RequestCtx) string { return string(ctx.URI().PathOriginal()) }

func parseModel(r *savorywing.Request, cfg *settings.Settings, chat bool) error {
	if r.Method != fasthttp.MethodPost {
		return newBadRequest(fasthttp.StatusMethodNotAllowed, "", "use POST")
	}
	var m modelRequest
	if err := json.Unmarshal(r.Body, &m); err != nil {
		return newBadRequest(fasthttp.StatusBadRequest, "", "the body is not valid JSON of this form: %v", err)
	}
	if problem := m.check(chat); problem != nil {
		return problem
	}
	if _, known := cfg.Models[m.Model]; !known {
		return newBadRequest(fasthttp.StatusNotFound, "model", "there is no model %q", m.Model)
	}
	r.Model, r.Stream, r.Chat, r.PrefixDigest = m.Model, m.Stream, chat, m.prefix()
	r.Idempotent = r.IdempotencyKey == ""
	return forceStream(r)
}

// forceStream makes the engine stream, so that a truncated response can be detected and resumed.
func forceStream(r *savorywing.Request) error {
	if r.Stream {
		return nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return newBadRequest(fasthttp.StatusBadRequest, "", "the body is not a JSON object")
	}
	fields["stream"] = json.RawMessage("true")
	body, err := json.Marshal(fields)
	if err != nil {
		return fmt.Errorf("caller.forceStream: %w", err)
	}
	r.Body = body
	return nil
}

func parseService(r *savorywing.Request, cfg *settings.Settings, path string) error {
	for name, service := range cfg.Services {
		rest, found := strings.CutPrefix(path, service.Prefix)
		if !found || (rest != "" && rest[0] != '/') {
			continue
		}
		r.Service = name
		r.Idempotent = r.IdempotencyKey == "" && service.IsIdempotent(r.Method, path)
		return nil
	}
	return newBadRequest(fasthttp.StatusNotFound, "", "there is nothing at %s", path)
}

func asBadRequest(err error) (*badRequest, bool) {
	var b *badRequest
	ok := errors.As(err, &b)
	return b, ok
}
