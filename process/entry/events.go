package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/request/attempt"
)

var doneEvent = []byte("data: [DONE]\n\n")

// events is the answer of one attempt as server-sent events.
type events struct {
	ctx     context.Context
	cancel  context.CancelFunc
	session *session
	grant   grant
	attempt *attempt.Attempt
	// first is the frame that was read before the answer began; nil once it was delivered.
	first *attempt.Frame
	ended error
}

var _ savorywing.EventStream = (*events)(nil)

func newEvents(ctx context.Context, cancel context.CancelFunc, s *session, g grant, a *attempt.Attempt, first attempt.Frame) *events {
	return &events{ctx: ctx, cancel: cancel, session: s, grant: g, attempt: a, first: &first}
}

// next returns the next frame and counts its time.
func (e *events) next() (attempt.Frame, error) {
	var f attempt.Frame
	var err error
	if e.first != nil {
		f = *e.first
		e.first = nil
	} else {
		f, err = e.attempt.Next(e.ctx)
	}
	if err == nil {
		e.session.observe(e.session.entry.clock.Now())
	}
	return f, err
}

// Next returns one event with each call; after the end mark it returns io.EOF.
func (e *events) Next() ([]byte, error) {
	if e.ended != nil {
		return nil, e.ended
	}
	f, err := e.next()
	switch {
	case err == nil:
		return eventBytes(f.WithID(string(e.session.request.ID))), nil
	case errors.Is(err, io.EOF):
		e.end(nil, io.EOF)
		return doneEvent, nil
	}
	refusal := savorywing.AsRequestError(err)
	e.end(refusal, refusal)
	return errorEvent(refusal), nil
}

func errorEvent(r *savorywing.RequestError) []byte {
	text, err := json.Marshal(ErrorBody{Error: ErrorDetail{Code: string(r.Code()), Message: r.Reason()}})
	if err != nil {
		return nil
	}
	return fmt.Appendf(nil, "event: error\ndata: %s\n\n", text)
}

// ErrorBody is the JSON of every refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says whether the request may have run, and why it has no answer.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Type    string `json:"type,omitempty"`
	Param   string `json:"param,omitempty"`
}

func (e *events) end(refusal *savorywing.RequestError, ended error) {
	if e.ended != nil {
		return
	}
	e.ended = ended
	e.closeAttempt()
	e.session.release(e.grant, refusal == nil)
	e.session.finish(refusal)
}

func (e *events) closeAttempt() {
	_ = e.attempt.Close()
	e.cancel()
}

// Close ends the attempt if the caller has gone before the end.
func (e *events) Close() {
	e.end(savorywing.NewRequestError(savorywing.CodeUnknown, statusUnavailable, "the caller has gone"), io.ErrClosedPipe)
}

// whole reads the answer to its end and returns it in one body. After an error the session goes on,
// for another attempt may follow.
func (e *events) whole() (savorywing.Response, error) {
	var content strings.Builder
	tokens := 0
	finish := ""
	for {
		f, err := e.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			e.closeAttempt()
			return savorywing.Response{}, e.session.late(err)
		}
		content.WriteString(f.Content())
		if f.FinishReason() != "" {
			finish = f.FinishReason()
		}
		tokens++
	}
	body, err := completion(e.session.request, content.String(), finish, tokens, e.session.entry.clock.Now())
	if err != nil {
		e.closeAttempt()
		return savorywing.Response{}, err
	}
	e.end(nil, io.EOF)
	return savorywing.Response{Status: statusOK, ContentType: "application/json", Body: body}, nil
}
