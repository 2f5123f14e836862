package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/backend"
	"savorywing.example/savorywing/wire"
)

const (
	defaultTokens = 16
	// silenceDuration is how long a stream with the fault SilentAfter stays open without a frame.
	silenceDuration = time.Hour
	// freezePollInterval is the interval at which a frozen server checks whether its freeze has ended.
	freezePollInterval = 5 * time.Millisecond
	// createdAt is the creation time in every chunk, in Unix seconds. It is constant.
	createdAt = 1_700_000_000
)

var errConnectionDropped = errors.New("injected fault: connection dropped")

// ExpectedText returns the response of a server without faults to a prompt, as tokens.
func ExpectedText(prompt string, tokens int) []string {
	h := fnv.New32a()
	_, _ = io.WriteString(h, prompt)
	texts := make([]string, tokens)
	for i := range texts {
		texts[i] = fmt.Sprintf("%08x-%d ", h.Sum32(), i)
	}
	return texts
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.waitFrozen()
	switch path := string(ctx.Path()); path {
	case "/faults":
		var f Faults
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	case "/leaving":
		s.SetLeaving(string(ctx.PostBody()) != "false")
	case "/stats":
		s.writeJSON(ctx, s.Stats())
	case backend.PathAnnouncement:
		s.handlePoll(ctx)
	case backend.PathOrder:
		s.handleOrder(ctx)
	default:
		s.handleRequest(ctx, path)
	}
}

func (s *Server) waitFrozen() {
	for s.isFrozen() {
		time.Sleep(freezePollInterval)
	}
}

func (s *Server) isFrozen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.faults.frozenUntil)
}

func (s *Server) writeJSON(ctx *fasthttp.RequestCtx, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.Response.Header.SetBytesV(backend.HeaderAttemptID, ctx.Request.Header.Peek(backend.HeaderAttemptID))
	ctx.SetBody(text)
}

func (s *Server) handlePoll(ctx *fasthttp.RequestCtx) {
	if s.isMuted() {
		dropConnection(ctx)
		return
	}
	s.writeJSON(ctx, s.Announcement())
}

func (s *Server) handleOrder(ctx *fasthttp.RequestCtx) {
	var o wire.Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	r := s.ExecuteOrder(o)
	if s.takeFaults().LoseOrderReply {
		dropConnection(ctx)
		return
	}
	s.writeJSON(ctx, r)
}

func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// handleRequest runs a caller's request.
func (s *Server) handleRequest(ctx *fasthttp.RequestCtx, path string) {
	f := s.takeFaults()
	if f.RejectNotRun || (s.cfg.Kind == savorywing.KindEngine && !s.isReady()) {
		ctx.Response.Header.Set(backend.HeaderNotRun, "1")
		ctx.Response.Header.SetBytesV(backend.HeaderAttemptID, ctx.Request.Header.Peek(backend.HeaderAttemptID))
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	s.recordRequest(ctx)
	time.Sleep(time.Duration(f.DelayMilliseconds) * time.Millisecond)
	if f.LoseResponse {
		dropConnection(ctx)
		return
	}
	if strings.HasPrefix(path, "/v1/") {
		s.generate(ctx, f)
		return
	}
	s.servePlain(ctx, path, f)
}

func (s *Server) isReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holding != nil && s.holding.Ready
}

func (s *Server) recordRequest(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Requests++
	s.stats.LastRequest = time.Now().UnixMilli()
	if len(ctx.Request.Header.Peek(backend.HeaderOffset)) > 0 {
		s.stats.Resumed++
		return
	}
	s.stats.Attempts[string(ctx.Request.Header.Peek(backend.HeaderAttemptID))]++
	if key := string(ctx.Request.Header.Peek(backend.HeaderIdempotencyKey)); key != "" {
		s.stats.Executions[key]++
	}
}

func (s *Server) servePlain(ctx *fasthttp.RequestCtx, path string, f Faults) {
	s.acquireSlot()
	defer s.releaseSlot()
	time.Sleep(s.cfg.FirstToken)
	s.writeJSON(ctx, plainResponse{Path: path, Body: string(ctx.PostBody()) + strings.Repeat("x", s.cfg.BodyBytes), Host: s.cfg.Host})
	if f.WrongAttempt {
		ctx.Response.Header.Set(backend.HeaderAttemptID, "another")
	}
}

type plainResponse struct {
	Path string `json:"path"`
	Body string `json:"body"`
	Host string `json:"host"`
}

func (s *Server) acquireSlot() {
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	s.slots <- struct{}{}
}

func (s *Server) releaseSlot() {
	<-s.slots
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
}

type generateRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (r generateRequest) prompt() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	return r.Messages[len(r.Messages)-1].Content
}

// generate streams the tokens of a response.
func (s *Server) generate(ctx *fasthttp.RequestCtx, f Faults) {
	var r generateRequest
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if r.MaxTokens <= 0 {
		r.MaxTokens = defaultTokens
	}
	offset, _ := strconv.Atoi(string(ctx.Request.Header.Peek(backend.HeaderOffset)))
	rs := &responseStream{
		server: s, faults: f, attempt: string(ctx.Request.Header.Peek(backend.HeaderAttemptID)), model: r.Model,
		tokens: ExpectedText(r.prompt(), r.MaxTokens), nextToken: offset, firstToken: offset, chat: len(r.Messages) > 0,
	}
	attemptID := rs.attempt
	if f.WrongAttempt {
		attemptID = "another"
	}
	ctx.Response.Header.Set(backend.HeaderAttemptID, attemptID)
	ctx.SetContentType("text/event-stream")
	s.acquireSlot()
	ctx.SetBodyStream(rs, -1)
}

// responseStream is the body of one streamed response.
type responseStream struct {
	server           *Server
	faults           Faults
	attempt          string
	model            string
	tokens           []string
	chat             bool
	firstToken       int
	nextToken        int
	frameSkipped     bool
	wrongAttemptSent bool
	ended            bool
	pending          strings.Builder
}

// Close releases the slot.
func (rs *responseStream) Close() error {
	rs.server.releaseSlot()
	return nil
}

// Read returns the next frame, in parts if p is too short for it.
func (rs *responseStream) Read(p []byte) (int, error) {
	if rs.pending.Len() == 0 {
		if rs.ended {
			return 0, io.EOF
		}
		if err := rs.nextFrame(); err != nil {
			return 0, err
		}
	}
	text := rs.pending.String()
	n := copy(p, text)
	rs.pending.Reset()
	rs.pending.WriteString(text[n:])
	return n, nil
}

func (rs *responseStream) waitForToken() {
	d := rs.server.cfg.TokenTime
	if rs.nextToken == rs.firstToken {
		d = rs.server.cfg.FirstToken
	}
	if rs.faults.SlowFactor > 0 {
		d = time.Duration(float64(d) * rs.faults.SlowFactor)
	}
	time.Sleep(d)
	rs.server.waitFrozen()
}

func (rs *responseStream) nextFrame() error {
	rs.waitForToken()
	sent := rs.nextToken - rs.firstToken
	f := rs.faults
	switch {
	case f.DropAfter > 0 && sent >= f.DropAfter:
		return errConnectionDropped
	case f.SilentAfter > 0 && sent >= f.SilentAfter:
		time.Sleep(silenceDuration)
	case f.TruncateAfter > 0 && sent >= f.TruncateAfter:
		rs.ended = true
		return io.EOF
	case f.SkipAfter > 0 && sent == f.SkipAfter && !rs.frameSkipped:
		rs.frameSkipped = true
		rs.nextToken++
	case f.WrongAttemptAfter > 0 && sent == f.WrongAttemptAfter && !rs.wrongAttemptSent:
		rs.wrongAttemptSent = true
		rs.writeFrame("another", rs.nextToken)
		return nil
	}
	if rs.nextToken >= len(rs.tokens) {
		rs.pending.WriteString("data: [DONE]\n\n")
		rs.ended = true
		return nil
	}
	rs.writeFrame(rs.attempt, rs.nextToken)
	if f.Duplicate {
		rs.writeFrame(rs.attempt, rs.nextToken)
	}
	rs.nextToken++
	return nil
}

type chunk struct {
	ID       string        `json:"id"`
	Object   string        `json:"object"`
	Created  int64         `json:"created"`
	Model    string        `json:"model"`
	Sequence int           `json:"seq"`
	Choices  []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Index        int         `json:"index"`
	Delta        *chunkDelta `json:"delta,omitempty"`
	Text         *string     `json:"text,omitempty"`
	FinishReason *string     `json:"finish_reason"`
}

type chunkDelta struct {
	Content string `json:"content"`
}

func (rs *responseStream) writeFrame(id string, at int) {
	c := chunk{ID: id, Object: "text_completion", Created: createdAt, Model: rs.model, Sequence: at, Choices: []chunkChoice{{}}}
	if rs.chat {
		c.Object = "chat.completion.chunk"
		c.Choices[0].Delta = &chunkDelta{Content: rs.tokens[at]}
	} else {
		c.Choices[0].Text = &rs.tokens[at]
	}
	if at == len(rs.tokens)-1 {
		stop := "stop"
		c.Choices[0].FinishReason = &stop
	}
	text, err := json.Marshal(c)
	if err != nil {
		return
	}
	w := bufio.NewWriter(&rs.pending)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", text)
	_ = w.Flush()
}
