package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/retry"
	"savorywing.example/savorywing/request/attempt"
)

const maxAttempts = 3

// session is one request while it is served.
type session struct {
	server  *Server
	request *savorywing.Request
	exclude map[string]bool
	// firstUnknownError is the first error after which the request may have run.
	firstUnknownError *savorywing.RequestError
	// isKeyChecked is set once the log has stated whether the idempotency key is free.
	isKeyChecked bool
	attempts     int
	target       string

	// mu guards the fields that a claimed request's execution and the end of its caller's deadline may access
	// concurrently.
	mu          sync.Mutex
	firstToken  time.Duration
	lastFrameAt time.Time
	interToken  []time.Duration
	finished    bool
}

func newSession(s *Server, r *savorywing.Request) *session {
	return &session{server: s, request: r, exclude: map[string]bool{}}
}

// finish ends the session, once: with its error, or with nil after a complete response.
func (s *session) finish(requestErr *savorywing.RequestError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished {
		return
	}
	s.finished = true
	if requestErr == nil {
		s.server.recordSuccess()
		s.server.recordOutcome(s.request, s, nil)
	} else {
		s.server.recordOutcome(s.request, s, requestErr)
	}
	s.server.requestEnded()
}

func (s *session) isWithinTimeouts(total time.Duration) bool {
	timeouts := s.request.Timeouts
	if s.firstToken > timeouts.FirstToken || total > timeouts.CompleteResponse {
		return false
	}
	for _, pause := range s.interToken {
		if pause > timeouts.BetweenTokens {
			return false
		}
	}
	return true
}

// serve makes attempts until one returns the first token of a stream or a complete response, or no further one is
// allowed.
func (s *session) serve(ctx context.Context) (savorywing.Response, error) {
	for {
		g, err := s.grant(ctx)
		if err != nil {
			return savorywing.Response{}, s.finalError(savorywing.AsRequestError(err))
		}
		response, err := s.run(ctx, g)
		if err == nil {
			return response, nil
		}
		requestErr := s.finalError(cancelledError(ctx, savorywing.AsRequestError(err)))
		if !s.mayRetry(ctx, savorywing.AsRequestError(err)) {
			return savorywing.Response{}, requestErr
		}
		s.exclude[g.candidate.ID] = true
	}
}

// cancelledError returns the error of a request with the reason for which it was cancelled, if it was.
func cancelledError(ctx context.Context, requestErr *savorywing.RequestError) *savorywing.RequestError {
	if ctx.Err() == nil {
		return requestErr
	}
	return savorywing.NewRequestError(requestErr.Code(), statusUnavailable, "the request was cancelled: "+context.Cause(ctx).Error(),
		savorywing.WithCause(requestErr), savorywing.WithRetryAfter(time.Second))
}

// finalError returns the caller's error. Once an attempt may have run, no later error is reported as notRun. Neither is
// one that precedes the check of the idempotency key, since an earlier request with the key may have run.
func (s *session) finalError(requestErr *savorywing.RequestError) *savorywing.RequestError {
	if s.firstUnknownError != nil {
		return s.firstUnknownError
	}
	if s.request.IdempotencyKey != "" && !s.isKeyChecked {
		return requestErr.AsUnknown()
	}
	if requestErr.Code() == savorywing.CodeUnknown {
		s.firstUnknownError = requestErr
	}
	return requestErr
}

func (s *session) mayRetry(ctx context.Context, requestErr *savorywing.RequestError) bool {
	if ctx.Err() != nil || s.attempts >= maxAttempts || !retry.Allowed(s.request.Idempotent, requestErr.Code()) {
		return false
	}
	if s.request.IdempotencyKey != "" && errors.Is(requestErr, errClaimRefused) {
		return false
	}
	return s.server.clock.Now().Before(s.request.FirstTokenDeadline()) && s.server.spendRetry()
}

// grant waits for the dispatcher's decision, which comes at the latest when the first-token deadline can't be met any
// more. It returns an error once ctx has ended.
func (s *session) grant(ctx context.Context) (grant, error) {
	if !s.server.registry.IsFresh() {
		return grant{}, savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable, staleConfigMessage, savorywing.WithRetryAfter(time.Second))
	}
	done := make(chan decision, 1)
	if !s.server.dispatcher.events.Push(submitEvent{request: s.request, exclude: s.exclude, done: done}) {
		return grant{}, savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable, "this entry host is full", savorywing.WithRetryAfter(time.Second))
	}
	var d decision
	select {
	case d = <-done:
	case <-ctx.Done():
		s.push(cancelEvent{request: s.request})
		d = <-done
	}
	switch {
	case d.err == nil && ctx.Err() == nil:
		return d.grant, nil
	case d.err == nil:
		s.release(d.grant, false)
		d.err = savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable, "the request was withdrawn")
	}
	return grant{}, cancelledError(ctx, d.err)
}

// push sends an event to the dispatcher, which has a place for it soon.
func (s *session) push(e event) {
	for !s.server.dispatcher.events.Push(e) {
		<-s.server.clock.After(time.Millisecond)
	}
}

// release gives a grant back. observed is set if the attempt ran to its end, so that its times are recorded.
func (s *session) release(g grant, observed bool) {
	e := finishedEvent{queue: s.request.Queue(), candidateID: g.candidate.ID, observed: observed}
	if observed {
		s.mu.Lock()
		e.serviceTime = s.server.clock.Now().Sub(g.grantedAt)
		e.firstToken = max(0, s.firstToken-g.grantedAt.Sub(s.request.Arrival))
		e.interToken = mean(s.interToken)
		s.mu.Unlock()
	}
	s.push(e)
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

// run makes one attempt with a grant, and gives the grant back unless the response is still to be streamed.
func (s *session) run(ctx context.Context, g grant) (savorywing.Response, error) {
	s.attempts++
	s.target = g.candidate.Target.Host
	if s.request.IdempotencyKey != "" {
		return s.runOnce(ctx, g)
	}
	response, err := s.attempt(ctx, g, savorywing.NewID())
	if err != nil {
		s.release(g, false)
	}
	return response, err
}

func (s *session) call(attemptID savorywing.ID) savorywing.Call {
	r := s.request
	return savorywing.Call{
		AttemptID: attemptID, IdempotencyKey: r.IdempotencyKey, Method: r.Method, Path: r.Path, ContentType: r.ContentType, Body: r.Body,
		NewConnection: !r.Idempotent, FirstByteTimeout: max(time.Millisecond, r.FirstTokenDeadline().Sub(s.server.clock.Now())),
	}
}

// attempt sends the request after checking the lease again. A stream is returned with its first token, any other
// response when it is complete.
func (s *session) attempt(ctx context.Context, g grant, attemptID savorywing.ID) (savorywing.Response, error) {
	if !s.server.registry.MaySend(g.candidate) {
		return savorywing.Response{}, savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable, "the serving lease has ended", savorywing.WithRetryAfter(groupRetryAfter))
	}
	if s.request.Service != "" {
		return s.sendPlain(ctx, g, attemptID)
	}
	return s.generate(ctx, g, attemptID)
}

// sendPlain returns the complete response of a plain service.
func (s *session) sendPlain(ctx context.Context, g grant, attemptID savorywing.ID) (savorywing.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, s.request.ResponseDeadline())
	defer cancel()
	response, err := s.server.backend.Send(ctx, g.candidate.Target, s.call(attemptID))
	if err != nil {
		return savorywing.Response{}, err
	}
	if response.NotRun {
		_ = response.Stream.Close()
		return savorywing.Response{}, savorywing.NewRequestError(savorywing.CodeNotRun, response.Status, "the backend server refused")
	}
	body, err := readHeld(response.Stream, s.request.Hold)
	_ = response.Stream.Close()
	if err != nil {
		return savorywing.Response{}, savorywing.NewRequestError(savorywing.CodeUnknown, statusTimeout, "the answer could not be finished", savorywing.WithCause(err))
	}
	s.recordFrame(s.server.clock.Now())
	s.release(g, true)
	s.finish(nil)
	return savorywing.Response{Status: response.Status, ContentType: response.ContentType, Body: body}, nil
}

// errNoRoom means that this host has no room for a response.
var errNoRoom = errors.New("no room for the response")

// minPieceBytes and maxPieceBytes bound the sizes of the buffers that a response is read into.
const minPieceBytes, maxPieceBytes = 1 << 10, 256 << 10

// readHeld reads a response to its end. hold reports whether there is room for n bytes more, and takes back -n bytes; it is nil without
// a bound. The response is read in pieces, so that what is held grows with what has arrived and each byte counts once until the end.
func readHeld(r io.Reader, hold func(n int) bool) ([]byte, error) {
	if hold == nil {
		hold = func(int) bool { return true }
	}
	var pieces [][]byte
	var piece []byte
	total, held := 0, 0
	defer func() { hold(-held) }()
	for {
		if len(piece) == cap(piece) {
			size := min(max(minPieceBytes, total), maxPieceBytes)
			if !hold(size) {
				return nil, errNoRoom
			}
			held += size
			if len(piece) > 0 {
				pieces = append(pieces, piece)
			}
			piece = make([]byte, 0, size)
		}
		n, err := r.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		total += n
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if len(pieces) == 0 {
		held = 0
		return piece, nil
	}
	if !hold(total) {
		return nil, errNoRoom
	}
	return slices.Concat(append(pieces, piece)...), nil
}

// generate opens a model's response and waits for its first token until the caller's deadline.
func (s *session) generate(request context.Context, g grant, attemptID savorywing.ID) (savorywing.Response, error) {
	ctx, cancel := context.WithDeadline(request, s.request.ResponseDeadline())
	timer := time.AfterFunc(s.request.FirstTokenDeadline().Sub(s.server.clock.Now()), cancel)
	idleTimeout := max(minIdleTimeout, idleTimeoutFactor*s.request.Timeouts.BetweenTokens)
	a, err := attempt.Open(ctx, s.server.backend, g.candidate.Target, s.call(attemptID), attempt.WithIdleTimeout(idleTimeout))
	if err != nil {
		cancel()
		return savorywing.Response{}, s.timeoutError(err)
	}
	first, err := a.Next(ctx)
	if err != nil || !timer.Stop() {
		cancel()
		_ = a.Close()
		return savorywing.Response{}, s.timeoutError(orTimeout(err))
	}
	events := newEvents(request, ctx, cancel, s, g, a, first)
	if s.request.Stream {
		return savorywing.Response{Status: statusOK, ContentType: "text/event-stream", Events: events}, nil
	}
	return events.readAll()
}

func orTimeout(err error) error {
	switch {
	case err == nil:
		return context.DeadlineExceeded
	case errors.Is(err, io.EOF):
		return errors.New("the response has no frames")
	}
	return err
}

// timeoutError converts an error after the caller's first-token deadline into one with a timeout status.
func (s *session) timeoutError(err error) error {
	requestErr := savorywing.AsRequestError(err)
	if s.server.clock.Now().Before(s.request.FirstTokenDeadline()) {
		return requestErr
	}
	return savorywing.NewRequestError(requestErr.Code(), statusTimeout, "no first token within the caller's patience",
		savorywing.WithCause(err), savorywing.WithRetryAfter(time.Second))
}

// recordFrame records the arrival time of one frame.
func (s *session) recordFrame(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstToken == 0 {
		s.firstToken = now.Sub(s.request.Arrival)
	} else {
		s.interToken = append(s.interToken, now.Sub(s.lastFrameAt))
	}
	s.lastFrameAt = now
}

func eventBytes(data []byte) []byte {
	return fmt.Appendf(nil, "data: %s\n\n", data)
}
