package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/connection/backend"
	"savorywing.example/savorywing/process/metrics"
	"savorywing.example/savorywing/request/attempt"
	"savorywing.example/savorywing/standin"
)

const (
	answerTimeout = 90 * time.Second
	maxExamples   = 5
	maxInFlight   = 2000
	downFor       = 2 * time.Second
)

// Config describes a load.
type Config struct {
	CallerAddresses []string
	Keys            []string
	Model           string
	ServicePath     string
	Rate            float64
	Duration        time.Duration
	Tokens          int
	StreamShare     float64
	ActionShare     float64
	Seed            uint64
}

// Report is what a load measured.
type Report struct {
	Rows     []metrics.Row
	Sent     int
	Answered int
	NotRun   int
	Unknown  int
	// Aborted answers ended with an explicit error or an aborted connection.
	Aborted int
	// Incorrect answers ended cleanly and are not what was asked for.
	Incorrect int
	Failed    int
	// Examples are the first wrong answers, Refusals the first texts of requests without an answer.
	Examples []string
	Refusals []string
	Elapsed  time.Duration
}

// IncorrectCount returns the number of answers that break the promise of whole, own answers.
func (r *Report) IncorrectCount() int { return r.Incorrect }

// Summary returns the counts in one line.
func (r *Report) Summary() string {
	return fmt.Sprintf("sent %d in %.1f s: answered %d, not run %d, unknown %d, broken off with an error %d, connection failed %d, wrong or truncated %d",
		r.Sent, r.Elapsed.Seconds(), r.Answered, r.NotRun, r.Unknown, r.Aborted, r.Failed, r.Incorrect)
}

// outcome is how one request ended.
type outcome int

const (
	answered outcome = iota
	notRun
	unknown
	broken
	wrong
	failed
)

func (o outcome) String() string {
	return [...]string{"answered", "notRun", "unknown", "broken", "wrong", "failed"}[o]
}

// run is one load under way.
type run struct {
	cfg     Config
	client  *fasthttp.Client
	metrics *metrics.Metrics
	mu      sync.Mutex
	report  Report
	// down holds, for each address that failed, until when it is left out, as a balancer does.
	down map[string]time.Time
}

// job is one request of the load.
type job struct {
	number  int
	address string
	key     string
	stream  bool
	action  bool
}

// Run sends the load and returns once every request has ended.
func Run(ctx context.Context, cfg Config) *Report {
	if ctx == nil {
		ctx = context.Background()
	}
	r := &run{cfg: cfg, down: map[string]time.Time{}, metrics: metrics.New(), client: &fasthttp.Client{
		Dial: dialStrict, StreamResponseBody: true, MaxConnsPerHost: maxInFlight, ReadTimeout: answerTimeout, RetryIf: func(*fasthttp.Request) bool { return false },
	}}
	began := time.Now()
	random := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	slots := make(chan struct{}, maxInFlight)
	var done sync.WaitGroup
	for n := 0; ; n++ {
		at := began.Add(time.Duration(float64(n) / cfg.Rate * float64(time.Second)))
		if at.Sub(began) >= cfg.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(at))
		j := job{
			number: n, address: r.address(n), key: cfg.Keys[n%len(cfg.Keys)],
			stream: random.Float64() < cfg.StreamShare, action: cfg.ServicePath != "" && random.Float64() < cfg.ActionShare,
		}
		slots <- struct{}{}
		done.Add(1)
		go func() {
			defer done.Done()
			r.do(j)
			<-slots
		}()
	}
	done.Wait()
	r.report.Elapsed = time.Since(began)
	r.report.Rows = r.metrics.Rows()
	return &r.report
}

// address returns the next address that is not left out.
func (r *run) address(n int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.cfg.CallerAddresses {
		address := r.cfg.CallerAddresses[(n+i)%len(r.cfg.CallerAddresses)]
		if time.Now().After(r.down[address]) {
			return address
		}
	}
	return r.cfg.CallerAddresses[n%len(r.cfg.CallerAddresses)]
}

// dialStrict makes a connection that breaks off differ from an answer that ends.
func dialStrict(address string) (net.Conn, error) {
	c, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return backend.StrictConn{Conn: c}, nil
}

func (r *run) do(j job) {
	began := time.Now()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	prompt := fmt.Sprintf("seed %d request %d", r.cfg.Seed, j.number)
	r.fill(req, j, prompt)
	sample := metrics.Sample{}
	var o outcome
	var detail string
	if err := r.client.Do(req, resp); err != nil {
		o, detail = failed, err.Error()
	} else {
		o, detail = r.judge(resp, j, prompt, began, &sample)
		_ = resp.CloseBodyStream()
	}
	sample.Outcome = o.String()
	sample.Total = time.Since(began)
	class := "whole"
	switch {
	case j.action:
		class = "action"
	case j.stream:
		class = "stream"
	}
	r.metrics.Observe(metrics.Key{Organisation: j.key, Class: class}, sample)
	r.count(j, o, detail)
}

func (r *run) fill(req *fasthttp.Request, j job, prompt string) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set("Authorization", "Bearer "+j.key)
	if j.action {
		req.SetRequestURI("http://" + j.address + r.cfg.ServicePath)
		req.Header.Set("Idempotency-Key", fmt.Sprintf("load-%d-%d", r.cfg.Seed, j.number))
		req.SetBodyString(prompt)
		return
	}
	req.SetRequestURI("http://" + j.address + "/v1/chat/completions")
	body, _ := json.Marshal(chatRequest{
		Model: r.cfg.Model, Stream: j.stream, MaxTokens: r.cfg.Tokens, Messages: []chatMessage{{Role: "user", Content: prompt}},
	})
	req.SetBody(body)
}

type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// judge compares an answer with the expected one.
func (r *run) judge(resp *fasthttp.Response, j job, prompt string, began time.Time, sample *metrics.Sample) (outcome, string) {
	if resp.StatusCode() != fasthttp.StatusOK {
		body, _ := io.ReadAll(resp.BodyStream())
		text := string(body)
		if strings.Contains(text, `"notRun"`) {
			return notRun, text
		}
		return unknown, text
	}
	want := strings.Join(standin.ExpectedText(prompt, r.cfg.Tokens), "")
	if j.stream && !j.action {
		return judgeStream(resp.BodyStream(), want, began, sample)
	}
	body, err := io.ReadAll(resp.BodyStream())
	switch {
	case err != nil:
		return broken, err.Error()
	case j.action && !strings.Contains(string(body), prompt):
		return wrong, string(body)
	case !j.action && !strings.Contains(string(body), strings.TrimSpace(want)):
		return wrong, string(body)
	}
	return answered, ""
}

func judgeStream(body io.Reader, want string, began time.Time, sample *metrics.Sample) (outcome, string) {
	var got strings.Builder
	var buffer []byte
	chunk := make([]byte, 64<<10)
	done := false
	last := began
	for {
		n, err := body.Read(chunk)
		buffer = append(buffer, chunk[:n]...)
		for {
			event, rest, found := bytes.Cut(buffer, []byte("\n\n"))
			if !found {
				break
			}
			buffer = rest
			switch {
			case bytes.HasPrefix(event, []byte("event: error")):
				return broken, string(event)
			case bytes.Equal(event, []byte("data: [DONE]")):
				done = true
				continue
			}
			f, parseErr := attempt.ParseFrame(bytes.TrimPrefix(event, []byte("data: ")))
			if parseErr != nil {
				return wrong, parseErr.Error()
			}
			got.WriteString(f.Content())
			last = timeFrame(sample, began, last)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return broken, err.Error()
		}
	}
	if !done || got.String() != want {
		return wrong, fmt.Sprintf("done %t, got %q, want %q", done, got.String(), want)
	}
	return answered, ""
}

func timeFrame(sample *metrics.Sample, began, last time.Time) time.Time {
	now := time.Now()
	if sample.FirstToken == 0 {
		sample.FirstToken = now.Sub(began)
	} else {
		sample.InterTokenLatencies = append(sample.InterTokenLatencies, now.Sub(last))
	}
	return now
}

func (r *run) count(j job, o outcome, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	if o != answered && len(r.report.Refusals) < maxExamples {
		r.report.Refusals = append(r.report.Refusals, o.String()+" "+detail)
	}
	switch o {
	case answered:
		r.report.Answered++
	case notRun:
		r.report.NotRun++
	case unknown:
		r.report.Unknown++
	case broken:
		r.report.Aborted++
	case failed:
		r.report.Failed++
		r.down[j.address] = time.Now().Add(downFor)
	case wrong:
		r.report.Incorrect++
		if len(r.report.Examples) < maxExamples {
			r.report.Examples = append(r.report.Examples, detail)
		}
	}
}
