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
	settleTries   = 5
	settlePause   = 500 * time.Millisecond
	settleTimeout = 3 * time.Second
)

// errClaimRefused says that the claim itself settles the request; another attempt would not help.
var errClaimRefused = errors.New("the claim was refused")

// digest identifies what a key was used for.
func digest(r *savorywing.Request) string {
	h := sha256.New()
	_, _ = io.WriteString(h, r.Method+" "+r.Path+"\n"+r.ContentType+"\n")
	_, _ = h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// runOnce claims the request before its first byte, sends it, and records how it ended, even if the
// caller's patience ends first.
func (s *session) runOnce(ctx context.Context, g grant) (savorywing.Response, error) {
	number := savorywing.NewID()
	answer, err := s.claim(ctx, number)
	if err != nil || answer.Status != 0 {
		s.release(g, false)
		if err == nil {
			s.finish(nil)
		}
		return answer, err
	}
	type result struct {
		answer savorywing.Response
		err    error
	}
	done := make(chan result, 1)
	s.entry.hold()
	err = s.entry.pool.Submit(func() {
		defer s.entry.end()
		answer, err := s.execute(context.WithoutCancel(ctx), g, number)
		done <- result{answer, err}
	})
	if err != nil {
		s.entry.end()
		s.release(g, false)
		refusal := savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable, "this entry host is full", savorywing.WithCause(err))
		s.settle(number, savorywing.Response{}, refusal)
		return savorywing.Response{}, refusal
	}
	select {
	case r := <-done:
		return r.answer, r.err
	case <-s.entry.clock.After(max(0, s.request.ResponseDeadline().Sub(s.entry.clock.Now()))):
		return savorywing.Response{}, savorywing.NewRequestError(savorywing.CodeUnknown, statusTimeout,
			"no answer within the caller's patience", savorywing.WithRetryAfter(time.Second), savorywing.WithCause(errClaimRefused))
	}
}

// execute sends a claimed request and settles its claim.
func (s *session) execute(ctx context.Context, g grant, number savorywing.ID) (savorywing.Response, error) {
	answer, err := s.attempt(ctx, g, number)
	if err != nil {
		s.release(g, false)
		refusal := savorywing.AsRequestError(err)
		s.settle(number, answer, refusal)
		return answer, refusal
	}
	if answer.Events != nil {
		answer, err = collect(answer)
		if err != nil {
			s.settle(number, answer, savorywing.AsRequestError(err))
			return answer, err
		}
	}
	s.settle(number, answer, nil)
	return answer, nil
}

// collect reads a streamed answer to its end, so that it can be recorded and sent again.
func collect(a savorywing.Response) (savorywing.Response, error) {
	for {
		b, err := a.Events.Next()
		if errors.Is(err, io.EOF) {
			a.Events = nil
			return a, nil
		}
		if err != nil {
			return savorywing.Response{}, err
		}
		a.Body = append(a.Body, b...)
	}
}

// claim commits the claim; an answer with a status is the recorded answer of an earlier request.
func (s *session) claim(ctx context.Context, number savorywing.ID) (savorywing.Response, error) {
	cfg := s.entry.registry.Settings()
	ctx, cancel := context.WithDeadline(ctx, s.request.FirstTokenDeadline())
	defer cancel()
	r, err := s.entry.log.Propose(ctx, wire.Command{Claim: &wire.Claim{
		Organisation: s.request.Organisation, Key: s.request.IdempotencyKey, Digest: digest(s.request), Owner: s.entry.owner, Attempt: string(number),
		KeepMilliseconds: cfg.Timing.ClaimRetention.Milliseconds(), Limit: uint64(cfg.Limits.MaxClaims),
	}})
	if err != nil {
		// Nothing was sent under this claim, whether or not it was committed; it is given up.
		notRun := savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable, "the claim could not be committed",
			savorywing.WithCause(err), savorywing.WithRetryAfter(time.Second))
		s.entry.settleLater(wire.Command{Settle: s.settlement(number, savorywing.Response{}, notRun)})
		return savorywing.Response{}, notRun
	}
	if r.Accepted {
		return savorywing.Response{}, nil
	}
	return claimed(r)
}

// claimed answers from the record of an earlier request with the same key.
func claimed(r wire.Result) (savorywing.Response, error) {
	cause := savorywing.WithCause(errClaimRefused)
	switch {
	case r.Reason == state.ReasonLedgerFull:
		return savorywing.Response{}, savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable, r.Reason, cause, savorywing.WithRetryAfter(time.Minute))
	case r.Reason == state.ReasonDigest:
		return savorywing.Response{}, savorywing.NewRequestError(savorywing.CodeNotRun, statusUnprocessed, r.Reason, cause)
	case r.Claim != nil && r.Claim.State == state.ClaimDone && r.Claim.AnswerKept:
		return savorywing.Response{Status: int(r.Claim.Status), ContentType: r.Claim.ContentType, Body: r.Claim.Answer}, nil
	case r.Claim != nil && r.Claim.State == state.ClaimDone:
		return savorywing.Response{}, savorywing.NewRequestError(savorywing.CodeUnknown, statusConflict, "the request has run; its answer was too large to keep", cause)
	case r.Claim != nil && r.Claim.State == state.ClaimRunning:
		return savorywing.Response{}, savorywing.NewRequestError(savorywing.CodeUnknown, statusConflict,
			"a request with this key is running, or its outcome was lost", cause, savorywing.WithRetryAfter(time.Second))
	}
	return savorywing.Response{}, savorywing.NewRequestError(savorywing.CodeUnknown, statusConflict, "the outcome of an earlier request with this key is unknown", cause)
}

// settlement returns the record of how a claimed attempt ended.
func (s *session) settlement(number savorywing.ID, a savorywing.Response, refusal *savorywing.RequestError) *wire.Settle {
	c := &wire.Settle{Organisation: s.request.Organisation, Key: s.request.IdempotencyKey, Attempt: string(number), Outcome: state.OutcomeDone}
	switch {
	case refusal != nil && refusal.Code() == savorywing.CodeNotRun:
		c.Outcome = state.OutcomeNotRun
	case refusal != nil:
		c.Outcome = state.OutcomeUnknown
	default:
		c.Status, c.ContentType = uint64(a.Status), a.ContentType
		if len(a.Body) <= int(s.entry.registry.Settings().Limits.MaxRecordedResponse) {
			c.Answer, c.AnswerKept = a.Body, true
		}
	}
	return c
}

// settle records how a claimed attempt ended, before another attempt may follow.
func (s *session) settle(number savorywing.ID, a savorywing.Response, refusal *savorywing.RequestError) {
	c := wire.Command{Settle: s.settlement(number, a, refusal)}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if _, err := s.entry.log.Propose(ctx, c); err != nil {
		s.entry.settleLater(c)
	}
}

// settleLater goes on in the background until the log has the outcome.
func (e *Server) settleLater(c wire.Command) {
	_ = e.pool.Submit(func() { e.settleTries(c) })
}

func (e *Server) settleTries(c wire.Command) {
	for range settleTries {
		<-e.clock.After(settlePause)
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		_, err := e.log.Propose(ctx, c)
		cancel()
		if err == nil {
			return
		}
	}
	e.logger.Warn().Str("organisation", c.Settle.Organisation).Str("outcome", c.Settle.Outcome).Msg("a claim could not be settled and stays running")
}
