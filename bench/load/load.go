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
	responseTimeout = 90 * time.Second
	maxExamples     = 5
	maxInFlight     = 2000
	downTime        = 2 * time.Second
)

// Config configures a load.
type Config struct {
	CallerAddresses []string
	APIKeys         []string
	Model           string
	ServicePath     string
	Rate            float64
	Duration        time.Duration
	Tokens          int
	StreamFraction  float64
	ActionFraction  float64
	Seed            uint64
}

// Report is the result of a load.
type Report struct {
	Rows     []metrics.Row
	Sent     int
	Answered int
	NotRun   int
	Unknown  int
	// Aborted counts responses that ended with an explicit error or an aborted connection.
	Aborted int
	// Incorrect counts responses that ended without an error and are not the expected ones.
	Incorrect int
	Failed    int
	// Examples are the first incorrect responses, FailureExamples the first outcomes and texts of requests that
	// did not get the expected response.
	Examples        []string
	FailureExamples []string
	Elapsed         time.Duration
}

// IncorrectCount returns the number of responses that ended without an error but were truncated, mixed up with others
// or wrong.
func (r *Report) IncorrectCount() int { return r.Incorrect }

// Summary returns the counts in one line.
func (r *Report) Summary() string {
	return fmt.Sprintf("sent %d in %.1f s: answered %d, not run %d, unknown %d, aborted with an error %d, connection failed %d, incorrect or truncated %d",
		r.Sent, r.Elapsed.Seconds(), r.Answered, r.NotRun, r.Unknown, r.Aborted, r.Failed, r.Incorrect)
}

// outcome is how one request ended.
type outcome int

const (
	answered outcome = iota
	notRun
	unknown
	aborted
	incorrect
	failed
)

func (o outcome) String() string {
	return [...]string{"answered", "notRun", "unknown", "broken", "wrong", "failed"}[o]
}

// run is a load in progress.
type run struct {
	cfg     Config
	client  *fasthttp.Client
	metrics *metrics.Metrics
	mu      sync.Mutex
	report  Report
	// downUntil holds, for each address that failed, the time until which it gets no requests, as a balancer would do.
	downUntil map[string]time.Time
}

// job is one request of the load.
type job struct {
	index   int
	address string
	key     string
	stream  bool
	action  bool
}

// Run sends the load and returns when every request has ended. Cancelling ctx stops new requests; ctx may be nil.
func Run(ctx context.Context, cfg Config) *Report {
	if ctx == nil {
		ctx = context.Background()
	}
	r := &run{cfg: cfg, downUntil: map[string]time.Time{}, metrics: metrics.New(), client: &fasthttp.Client{
		Dial: dialStrict, StreamResponseBody: true, MaxConnsPerHost: maxInFlight, ReadTimeout: responseTimeout, RetryIf: func(*fasthttp.Request) bool { return false },
	}}
	start := time.Now()
	random := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	slots := make(chan struct{}, maxInFlight)
	var done sync.WaitGroup
	for n := 0; ; n++ {
		at := start.Add(time.Duration(float64(n) / cfg.Rate * float64(time.Second)))
		if at.Sub(start) >= cfg.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(at))
		j := job{
			index: n, address: r.address(n), key: cfg.APIKeys[n%len(cfg.APIKeys)],
			stream: random.Float64() < cfg.StreamFraction, action: cfg.ServicePath != "" && random.Float64() < cfg.ActionFraction,
		}
		slots <- struct{}{}
		done.Add(1)
		go func() {
			defer done.Done()
			r.send(j)
			<-slots
		}()
	}
	done.Wait()
	r.report.Elapsed = time.Since(start)
	r.report.Rows = r.metrics.Rows()
	return &r.report
}

// address returns the first address that is not down, counted from the n-th in rotation, or the n-th if all are down.
func (r *run) address(n int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.cfg.CallerAddresses {
		address := r.cfg.CallerAddresses[(n+i)%len(r.cfg.CallerAddresses)]
		if time.Now().After(r.downUntil[address]) {
			return address
		}
	}
	return r.cfg.CallerAddresses[n%len(r.cfg.CallerAddresses)]
}

// dialStrict dials a connection that returns an error when it is closed before the end of a response.
func dialStrict(address string) (net.Conn, error) {
	c, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return backend.StrictConn{Conn: c}, nil
}

func (r *run) send(j job) {
	start := time.Now()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	prompt := fmt.Sprintf("seed %d request %d", r.cfg.Seed, j.index)
	r.fillRequest(req, j, prompt)
	sample := metrics.Sample{}
	var o outcome
	var detail string
	if err := r.client.Do(req, resp); err != nil {
		o, detail = failed, err.Error()
	} else {
		o, detail = r.checkResponse(resp, j, prompt, start, &sample)
		_ = resp.CloseBodyStream()
	}
	sample.Outcome = o.String()
	sample.Total = time.Since(start)
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

func (r *run) fillRequest(req *fasthttp.Request, j job, prompt string) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set("Authorization", "Bearer "+j.key)
	if j.action {
		req.SetRequestURI("http://" + j.address + r.cfg.ServicePath)
		req.Header.Set("Idempotency-Key", fmt.Sprintf("load-%d-%d", r.cfg.Seed, j.index))
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

// checkResponse compares a response with the expected one.
func (r *run) checkResponse(resp *fasthttp.Response, j job, prompt string, start time.Time, sample *metrics.Sample) (outcome, string) {
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
		return checkStream(resp.BodyStream(), want, start, sample)
	}
	body, err := io.ReadAll(resp.BodyStream())
	switch {
	case err != nil:
		return aborted, err.Error()
	case j.action && !strings.Contains(string(body), prompt):
		return incorrect, string(body)
	case !j.action && !strings.Contains(string(body), strings.TrimSpace(want)):
		return incorrect, string(body)
	}
	return answered, ""
}

func checkStream(body io.Reader, want string, start time.Time, sample *metrics.Sample) (outcome, string) {
	var got strings.Builder
	var buffer []byte
	chunk := make([]byte, 64<<10)
	done := false
	last := start
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
				return aborted, string(event)
			case bytes.Equal(event, []byte("data: [DONE]")):
				done = true
				continue
			}
			f, parseErr := attempt.ParseFrame(bytes.TrimPrefix(event, []byte("data: ")))
			if parseErr != nil {
				return incorrect, parseErr.Error()
			}
			got.WriteString(f.Content())
			last = recordFrame(sample, start, last)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return aborted, err.Error()
		}
	}
	if !done || got.String() != want {
		return incorrect, fmt.Sprintf("done %t, got %q, want %q", done, got.String(), want)
	}
	return answered, ""
}

func recordFrame(sample *metrics.Sample, start, last time.Time) time.Time {
	now := time.Now()
	if sample.FirstToken == 0 {
		sample.FirstToken = now.Sub(start)
	} else {
		sample.InterTokenLatencies = append(sample.InterTokenLatencies, now.Sub(last))
	}
	return now
}

func (r *run) count(j job, o outcome, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	if o != answered && len(r.report.FailureExamples) < maxExamples {
		r.report.FailureExamples = append(r.report.FailureExamples, o.String()+" "+detail)
	}
	switch o {
	case answered:
		r.report.Answered++
	case notRun:
		r.report.NotRun++
	case unknown:
		r.report.Unknown++
	case aborted:
		r.report.Aborted++
	case failed:
		r.report.Failed++
		r.downUntil[j.address] = time.Now().Add(downTime)
	case incorrect:
		r.report.Incorrect++
		if len(r.report.Examples) < maxExamples {
			r.report.Examples = append(r.report.Examples, detail)
		}
	}
}
