package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/retry"
	"savorywing.example/savorywing/request/attempt"
)

const maxAttempts = 3

// session is one request while it is served.
type session struct {
	entry   *Server
	request *savorywing.Request
	exclude map[string]bool
	// mayHaveRun is the first refusal after which the request may have run.
	mayHaveRun *savorywing.RequestError
	attempts   int
	target     string

	// mu guards what a claimed request's execution and its caller's patience both touch.
	mu         sync.Mutex
	firstToken time.Duration
	lastFrame  time.Time
	between    []time.Duration
	finished   bool
}

func newSession(e *Server, r *savorywing.Request) *session {
	return &session{entry: e, request: r, exclude: map[string]bool{}}
}

// finish ends the session once: its refusal, or nil for a whole answer.
func (s *session) finish(refusal *savorywing.RequestError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished {
		return
	}
	s.finished = true
	if refusal == nil {
		s.entry.succeeded()
		s.entry.finish(s.request, s, nil)
	} else {
		s.entry.finish(s.request, s, refusal)
	}
	s.entry.end()
}

func (s *session) withinPatience(whole time.Duration) bool {
	p := s.request.Timeouts
	if s.firstToken > p.FirstToken || whole > p.CompleteResponse {
		return false
	}
	for _, b := range s.between {
		if b > p.BetweenTokens {
			return false
		}
	}
	return true
}

// serve runs attempts until one has its first token, or none may follow.
func (s *session) serve(ctx context.Context) (savorywing.Response, error) {
	for {
		g, err := s.grant()
		if err != nil {
			return savorywing.Response{}, s.final(savorywing.AsRequestError(err))
		}
		answer, err := s.run(ctx, g)
		if err == nil {
			return answer, nil
		}
		refusal := s.final(savorywing.AsRequestError(err))
		if !s.mayRetry(ctx, savorywing.AsRequestError(err)) {
			return savorywing.Response{}, refusal
		}
		s.exclude[g.candidate.ID] = true
	}
}

// final returns what the caller is told: once an attempt may have run, nothing after it is notRun.
func (s *session) final(refusal *savorywing.RequestError) *savorywing.RequestError {
	if s.mayHaveRun != nil {
		return s.mayHaveRun
	}
	if refusal.Code() == savorywing.CodeUnknown {
		s.mayHaveRun = refusal
	}
	return refusal
}

func (s *session) mayRetry(ctx context.Context, refusal *savorywing.RequestError) bool {
	if ctx.Err() != nil || s.attempts >= maxAttempts || !retry.Allowed(s.request.Idempotent, refusal.Code()) {
		return false
	}
	if s.request.IdempotencyKey != "" && errors.Is(refusal, errClaimRefused) {
		return false
	}
	return s.entry.clock.Now().Before(s.request.FirstTokenDeadline()) && s.entry.spendRetry()
}

// grant waits for the dispatcher's decision, which comes before the caller's patience ends.
func (s *session) grant() (grant, error) {
	if !s.entry.registry.IsFresh() {
		return grant{}, savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable, staleNote, savorywing.WithRetryAfter(time.Second))
	}
	done := make(chan decision, 1)
	if !s.entry.dispatcher.events.Push(offerEvent{request: s.request, exclude: s.exclude, done: done}) {
		return grant{}, savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable, "this entry host is full", savorywing.WithRetryAfter(time.Second))
	}
	d := <-done
	if d.refusal != nil {
		return grant{}, d.refusal
	}
	return d.grant, nil
}

// release gives a grant back; observed tells that the attempt ran to its end.
func (s *session) release(g grant, observed bool) {
	e := finishedEvent{lane: s.request.Queue(), id: g.candidate.ID, observed: observed}
	if observed {
		s.mu.Lock()
		e.service = s.entry.clock.Now().Sub(g.grantedAt)
		e.first = max(0, s.firstToken-g.grantedAt.Sub(s.request.Arrival))
		e.between = mean(s.between)
		s.mu.Unlock()
	}
	for !s.entry.dispatcher.events.Push(e) {
		<-s.entry.clock.After(time.Millisecond)
	}
}

func mean(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	var sum time.Duration
	for _, d := range times {
		sum += d
	}
	return sum / time.Duration(len(times))
}

// run makes one attempt with a grant, and gives the grant back unless the answer is still to be streamed.
func (s *session) run(ctx context.Context, g grant) (savorywing.Response, error) {
	s.attempts++
	s.target = g.candidate.Target.Host
	if s.request.IdempotencyKey != "" {
		return s.runOnce(ctx, g)
	}
	answer, err := s.attempt(ctx, g, savorywing.NewID())
	if err != nil {
		s.release(g, false)
	}
	return answer, err
}

func (s *session) call(number savorywing.ID) savorywing.Call {
	r := s.request
	return savorywing.Call{
		AttemptID: number, IdempotencyKey: r.IdempotencyKey, Method: r.Method, Path: r.Path, ContentType: r.ContentType, Body: r.Body,
		NewConnection: !r.Idempotent, FirstByteTimeout: max(time.Millisecond, r.FirstTokenDeadline().Sub(s.entry.clock.Now())),
	}
}

// attempt sends the request once the lease was read again, and returns with the first token.
func (s *session) attempt(ctx context.Context, g grant, number savorywing.ID) (savorywing.Response, error) {
	if !s.entry.registry.MaySend(g.candidate) {
		return savorywing.Response{}, savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable, "the serving lease has ended", savorywing.WithRetryAfter(wholeGroupRetry))
	}
	if s.request.Service != "" {
		return s.plain(ctx, g, number)
	}
	return s.generate(ctx, g, number)
}

// plain carries a plain service's answer, whole.
func (s *session) plain(ctx context.Context, g grant, number savorywing.ID) (savorywing.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, s.request.ResponseDeadline())
	defer cancel()
	answer, err := s.entry.backend.Send(ctx, g.candidate.Target, s.call(number))
	if err != nil {
		return savorywing.Response{}, err
	}
	if answer.NotRun {
		_ = answer.Stream.Close()
		return savorywing.Response{}, savorywing.NewRequestError(savorywing.CodeNotRun, answer.Status, "the backend server refused")
	}
	body, err := io.ReadAll(answer.Stream)
	_ = answer.Stream.Close()
	if err != nil {
		return savorywing.Response{}, savorywing.NewRequestError(savorywing.CodeUnknown, statusTimeout, "the answer could not be finished", savorywing.WithCause(err))
	}
	s.observe(s.entry.clock.Now())
	s.release(g, true)
	s.finish(nil)
	return savorywing.Response{Status: answer.Status, ContentType: answer.ContentType, Body: body}, nil
}

// generate opens a model's answer and waits for its first token within the patience.
func (s *session) generate(ctx context.Context, g grant, number savorywing.ID) (savorywing.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, s.request.ResponseDeadline())
	timer := time.AfterFunc(s.request.FirstTokenDeadline().Sub(s.entry.clock.Now()), cancel)
	gap := max(minGap, gapFactor*s.request.Timeouts.BetweenTokens)
	a, err := attempt.Open(ctx, s.entry.backend, g.candidate.Target, s.call(number), attempt.WithIdleTimeout(gap))
	if err != nil {
		cancel()
		return savorywing.Response{}, s.late(err)
	}
	first, err := a.Next(ctx)
	if err != nil || !timer.Stop() {
		cancel()
		_ = a.Close()
		return savorywing.Response{}, s.late(orTimeout(err))
	}
	events := newEvents(ctx, cancel, s, g, a, first)
	if s.request.Stream {
		return savorywing.Response{Status: statusOK, ContentType: "text/event-stream", Events: events}, nil
	}
	return events.whole()
}

func orTimeout(err error) error {
	switch {
	case err == nil:
		return context.DeadlineExceeded
	case errors.Is(err, io.EOF):
		return errors.New("the answer is empty")
	}
	return err
}

// late turns an error after the caller's patience into a refusal that says so.
func (s *session) late(err error) error {
	refusal := savorywing.AsRequestError(err)
	if s.entry.clock.Now().Before(s.request.FirstTokenDeadline()) {
		return refusal
	}
	return savorywing.NewRequestError(refusal.Code(), statusTimeout, "no first token within the caller's patience",
		savorywing.WithCause(err), savorywing.WithRetryAfter(time.Second))
}

// observe counts one frame's time.
func (s *session) observe(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstToken == 0 {
		s.firstToken = now.Sub(s.request.Arrival)
	} else {
		s.between = append(s.between, now.Sub(s.lastFrame))
	}
	s.lastFrame = now
}

func eventBytes(data []byte) []byte {
	return fmt.Appendf(nil, "data: %s\n\n", data)
}
