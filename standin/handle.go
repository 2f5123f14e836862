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
	defaultTokens  = 16
	neverEnds      = time.Hour
	pollFrozen     = 5 * time.Millisecond
	createdForever = 1_700_000_000
)

var errFault = errors.New("fault: the connection is dropped")

// ExpectedText returns the answer that a sound stand-in gives to a prompt, as tokens.
func ExpectedText(prompt string, tokens int) []string {
	h := fnv.New32a()
	_, _ = io.WriteString(h, prompt)
	words := make([]string, tokens)
	for i := range words {
		words[i] = fmt.Sprintf("%08x-%d ", h.Sum32(), i)
	}
	return words
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
		s.reply(ctx, s.Stats())
	case backend.PathAnnouncement:
		s.handlePoll(ctx)
	case backend.PathOrder:
		s.handleOrder(ctx)
	default:
		s.handleRequest(ctx, path)
	}
}

func (s *Server) waitFrozen() {
	for s.frozen() {
		time.Sleep(pollFrozen)
	}
}

func (s *Server) frozen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.faults.frozenUntil)
}

func (s *Server) reply(ctx *fasthttp.RequestCtx, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.Response.Header.SetBytesV(backend.HeaderAttempt, ctx.Request.Header.Peek(backend.HeaderAttempt))
	ctx.SetBody(text)
}

func (s *Server) handlePoll(ctx *fasthttp.RequestCtx) {
	if s.muted() {
		dropConnection(ctx)
		return
	}
	s.reply(ctx, s.Announcement())
}

func (s *Server) handleOrder(ctx *fasthttp.RequestCtx) {
	var o wire.Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	r := s.Order(o)
	if s.takeFaults().LoseOrderAnswer {
		dropConnection(ctx)
		return
	}
	s.reply(ctx, r)
}

func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// handleRequest runs a caller's request.
func (s *Server) handleRequest(ctx *fasthttp.RequestCtx, path string) {
	f := s.takeFaults()
	if f.RefuseNotRun || (s.cfg.Kind == savorywing.KindEngine && !s.ready()) {
		ctx.Response.Header.Set(backend.HeaderNotRun, "1")
		ctx.Response.Header.SetBytesV(backend.HeaderAttempt, ctx.Request.Header.Peek(backend.HeaderAttempt))
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	s.count(ctx)
	time.Sleep(time.Duration(f.DelayMilliseconds) * time.Millisecond)
	if f.LoseAnswer {
		dropConnection(ctx)
		return
	}
	if strings.HasPrefix(path, "/v1/") {
		s.generate(ctx, f)
		return
	}
	s.plain(ctx, path, f)
}

func (s *Server) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holding != nil && s.holding.Ready
}

func (s *Server) count(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Requests++
	s.stats.LastRequest = time.Now().UnixMilli()
	if len(ctx.Request.Header.Peek(backend.HeaderOffset)) > 0 {
		s.stats.Resumed++
		return
	}
	s.stats.Attempts[string(ctx.Request.Header.Peek(backend.HeaderAttempt))]++
	if key := string(ctx.Request.Header.Peek(backend.HeaderKey)); key != "" {
		s.stats.Executions[key]++
	}
}

func (s *Server) plain(ctx *fasthttp.RequestCtx, path string, f Faults) {
	s.begin()
	defer s.end()
	time.Sleep(s.cfg.FirstToken)
	s.reply(ctx, plainAnswer{Path: path, Body: string(ctx.PostBody()), Host: s.cfg.Host})
	if f.WrongAttempt {
		ctx.Response.Header.Set(backend.HeaderAttempt, "another")
	}
}

type plainAnswer struct {
	Path string `json:"path"`
	Body string `json:"body"`
	Host string `json:"host"`
}

func (s *Server) begin() {
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	s.slots <- struct{}{}
}

func (s *Server) end() {
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

// generate streams the tokens of an answer.
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
	g := &generation{
		server: s, faults: f, attempt: string(ctx.Request.Header.Peek(backend.HeaderAttempt)), model: r.Model,
		words: ExpectedText(r.prompt(), r.MaxTokens), next: offset, first: offset, chat: len(r.Messages) > 0,
	}
	head := g.attempt
	if f.WrongAttempt {
		head = "another"
	}
	ctx.Response.Header.Set(backend.HeaderAttempt, head)
	ctx.SetContentType("text/event-stream")
	s.begin()
	ctx.SetBodyStream(g, -1)
}

// generation is the body of one streamed answer.
type generation struct {
	server  *Server
	faults  Faults
	attempt string
	model   string
	words   []string
	chat    bool
	first   int
	next    int
	skipped bool
	foreign bool
	ended   bool
	pending strings.Builder
}

// Close frees the slot.
func (g *generation) Close() error {
	g.server.end()
	return nil
}

// Read returns one frame with each call.
func (g *generation) Read(p []byte) (int, error) {
	if g.pending.Len() == 0 {
		if g.ended {
			return 0, io.EOF
		}
		if err := g.step(); err != nil {
			return 0, err
		}
	}
	text := g.pending.String()
	n := copy(p, text)
	g.pending.Reset()
	g.pending.WriteString(text[n:])
	return n, nil
}

func (g *generation) wait() {
	d := g.server.cfg.TokenTime
	if g.next == g.first {
		d = g.server.cfg.FirstToken
	}
	if g.faults.SlowFactor > 0 {
		d = time.Duration(float64(d) * g.faults.SlowFactor)
	}
	time.Sleep(d)
	g.server.waitFrozen()
}

func (g *generation) step() error {
	g.wait()
	sent := g.next - g.first
	f := g.faults
	switch {
	case f.DropAfter > 0 && sent >= f.DropAfter:
		return errFault
	case f.SilentAfter > 0 && sent >= f.SilentAfter:
		time.Sleep(neverEnds)
	case f.TruncateAfter > 0 && sent >= f.TruncateAfter:
		g.ended = true
		return io.EOF
	case f.SkipAfter > 0 && sent == f.SkipAfter && !g.skipped:
		g.skipped = true
		g.next++
	case f.ForeignAfter > 0 && sent == f.ForeignAfter && !g.foreign:
		g.foreign = true
		g.frame("another", g.next)
		return nil
	}
	if g.next >= len(g.words) {
		g.pending.WriteString("data: [DONE]\n\n")
		g.ended = true
		return nil
	}
	g.frame(g.attempt, g.next)
	if f.Duplicate {
		g.frame(g.attempt, g.next)
	}
	g.next++
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

func (g *generation) frame(id string, at int) {
	c := chunk{ID: id, Object: "text_completion", Created: createdForever, Model: g.model, Sequence: at, Choices: []chunkChoice{{}}}
	if g.chat {
		c.Object = "chat.completion.chunk"
		c.Choices[0].Delta = &chunkDelta{Content: g.words[at]}
	} else {
		c.Choices[0].Text = &g.words[at]
	}
	if at == len(g.words)-1 {
		stop := "stop"
		c.Choices[0].FinishReason = &stop
	}
	text, err := json.Marshal(c)
	if err != nil {
		return
	}
	w := bufio.NewWriter(&g.pending)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", text)
	_ = w.Flush()
}
