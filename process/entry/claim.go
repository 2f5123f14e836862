package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/state"
	"savorywing.example/savorywing/wire"
)

const (
	settleAttempts = 5
	settleInterval = 500 * time.Millisecond
	settleTimeout  = 3 * time.Second
)

// errClaimRefused means that the claim itself decides the request, so that another attempt would not help.
var errClaimRefused = errors.New("the claim was refused")

// requestDigest returns the hash of the request for which an idempotency key is used.
func requestDigest(r *savorywing.Request) string {
	h := sha256.New()
	_, _ = io.WriteString(h, r.Method+" "+r.Path+"\n"+r.ContentType+"\n")
	_, _ = h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// runOnce claims the request before its first byte is sent, sends it, and records the outcome, even if the
// caller's deadline passes first.
func (s *session) runOnce(ctx context.Context, g grant) (savorywing.Response, error) {
	attemptID := savorywing.NewID()
	response, err := s.claim(ctx, attemptID)
	if err != nil || response.Status != 0 {
		s.release(g, false)
		if err == nil {
			s.finish(nil)
		}
		return response, err
	}
	if ctx.Err() != nil {
		s.release(g, false)
		notRun := savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable, "the request was withdrawn", savorywing.WithCause(errClaimRefused))
		s.server.settleLater(wire.Command{Settle: s.settlement(attemptID, savorywing.Response{}, notRun)})
		return savorywing.Response{}, notRun
	}
	type result struct {
		response savorywing.Response
		err      error
	}
	done := make(chan result, 1)
	s.server.countExecution()
	err = s.server.pool.Submit(func() {
		defer s.server.requestEnded()
		response, err := s.execute(s.server.executions, g, attemptID)
		done <- result{response, err}
	})
	if err != nil {
		s.server.requestEnded()
		s.release(g, false)
		requestErr := savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable, "this entry host is full", savorywing.WithCause(err))
		s.settle(attemptID, savorywing.Response{}, requestErr)
		return savorywing.Response{}, requestErr
	}
	select {
	case r := <-done:
		return r.response, r.err
	case <-ctx.Done():
		return savorywing.Response{}, savorywing.NewRequestError(savorywing.CodeUnknown, statusUnavailable, "the request still runs", savorywing.WithCause(errClaimRefused))
	case <-s.server.clock.After(max(0, s.request.ResponseDeadline().Sub(s.server.clock.Now()))):
		return savorywing.Response{}, savorywing.NewRequestError(savorywing.CodeUnknown, statusTimeout,
			"no answer within the caller's patience", savorywing.WithRetryAfter(time.Second), savorywing.WithCause(errClaimRefused))
	}
}

// execute sends a claimed request and settles its claim.
func (s *session) execute(ctx context.Context, g grant, attemptID savorywing.ID) (savorywing.Response, error) {
	response, err := s.attempt(ctx, g, attemptID)
	if err != nil {
		s.release(g, false)
		requestErr := savorywing.AsRequestError(err)
		s.settle(attemptID, response, requestErr)
		return response, requestErr
	}
	if response.Events != nil {
		response, err = collect(response)
		if err != nil {
			s.settle(attemptID, response, savorywing.AsRequestError(err))
			return response, err
		}
	}
	s.settle(attemptID, response, nil)
	return response, nil
}

// collect reads a streamed response to its end, so that it can be recorded and returned again.
func collect(response savorywing.Response) (savorywing.Response, error) {
	for {
		b, err := response.Events.Next()
		if errors.Is(err, io.EOF) {
			response.Events = nil
			return response, nil
		}
		if err != nil {
			return savorywing.Response{}, err
		}
		response.Body = append(response.Body, b...)
	}
}

// claim commits the claim. A response with a status is the recorded response of an earlier request.
func (s *session) claim(ctx context.Context, attemptID savorywing.ID) (savorywing.Response, error) {
	cfg := s.server.registry.Settings()
	ctx, cancel := context.WithDeadline(ctx, s.request.FirstTokenDeadline())
	defer cancel()
	r, err := s.server.log.Propose(ctx, wire.Command{Claim: &wire.Claim{
		Organisation: s.request.Organisation, Key: s.request.IdempotencyKey, Digest: requestDigest(s.request), Owner: s.server.owner, Attempt: string(attemptID),
		KeepMilliseconds: cfg.Timing.ClaimRetention.Milliseconds(), Limit: uint64(cfg.Limits.MaxClaims),
	}})
	if err != nil {
		// Nothing was sent under this claim, whether or not it was committed, so it is settled as not run.
		notRun := savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable, "the claim could not be committed",
			savorywing.WithCause(err), savorywing.WithRetryAfter(time.Second))
		s.server.settleLater(wire.Command{Settle: s.settlement(attemptID, savorywing.Response{}, notRun)})
		return savorywing.Response{}, notRun
	}
	s.isKeyChecked = true
	if r.Accepted {
		return savorywing.Response{}, nil
	}
	return recordedResponse(r)
}

// recordedResponse returns the recorded response or error of an earlier request with the same idempotency key.
func recordedResponse(r wire.Result) (savorywing.Response, error) {
	cause := savorywing.WithCause(errClaimRefused)
	switch {
	case r.Reason == state.ReasonClaimTableFull:
		return savorywing.Response{}, savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable, r.Reason, cause, savorywing.WithRetryAfter(time.Minute))
	case r.Reason == state.ReasonDigestMismatch:
		return savorywing.Response{}, savorywing.NewRequestError(savorywing.CodeNotRun, statusUnprocessable, r.Reason, cause)
	case r.Claim != nil && r.Claim.State == state.ClaimDone && r.Claim.AnswerKept && r.Claim.Status != 0:
		return savorywing.Response{Status: int(r.Claim.Status), ContentType: r.Claim.ContentType, Body: r.Claim.Answer}, nil
	case r.Claim != nil && r.Claim.State == state.ClaimDone:
		return savorywing.Response{}, savorywing.NewRequestError(savorywing.CodeUnknown, statusConflict, "the request has run; its answer was not kept", cause)
	case r.Claim != nil && r.Claim.State == state.ClaimRunning:
		return savorywing.Response{}, savorywing.NewRequestError(savorywing.CodeUnknown, statusConflict,
			"a request with this key is running, or its outcome was lost", cause, savorywing.WithRetryAfter(time.Second))
	}
	return savorywing.Response{}, savorywing.NewRequestError(savorywing.CodeUnknown, statusConflict, "the outcome of an earlier request with this key is unknown", cause)
}

// settlement returns the record of a claimed attempt's outcome.
func (s *session) settlement(attemptID savorywing.ID, response savorywing.Response, requestErr *savorywing.RequestError) *wire.Settle {
	c := &wire.Settle{Organisation: s.request.Organisation, Key: s.request.IdempotencyKey, Attempt: string(attemptID), Outcome: state.OutcomeDone}
	switch {
	case requestErr != nil && requestErr.Code() == savorywing.CodeNotRun:
		c.Outcome = state.OutcomeNotRun
	case requestErr != nil:
		c.Outcome = state.OutcomeUnknown
	default:
		c.Status, c.ContentType = uint64(response.Status), response.ContentType
		if len(response.Body) <= int(s.server.registry.Settings().Limits.MaxRecordedResponse) {
			c.Answer, c.AnswerKept = response.Body, true
		}
	}
	return c
}

// settle records the outcome of a claimed attempt before another attempt may follow. If that fails, it is retried in
// the background.
func (s *session) settle(attemptID savorywing.ID, response savorywing.Response, requestErr *savorywing.RequestError) {
	c := wire.Command{Settle: s.settlement(attemptID, response, requestErr)}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if _, err := s.server.log.Propose(ctx, c); err != nil {
		s.server.settleLater(c)
	}
}

// settleLater retries in the background to commit the outcome to the log. Drain waits for it.
func (e *Server) settleLater(c wire.Command) {
	e.countExecution()
	go func() {
		defer e.requestEnded()
		e.settleWithRetries(c)
	}()
}

func (e *Server) settleWithRetries(c wire.Command) {
	for range settleAttempts {
		<-e.clock.After(settleInterval)
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		_, err := e.log.Propose(ctx, c)
		cancel()
		if err == nil {
			return
		}
	}
	e.logger.Warn().Str("organisation", c.Settle.Organisation).Str("outcome", c.Settle.Outcome).Msg("a claim could not be settled and stays running")
}
