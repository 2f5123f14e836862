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

// events is the response of one attempt as server-sent events.
type events struct {
	// request is the context of the request, and ctx that of the attempt.
	request context.Context
	ctx     context.Context
	cancel  context.CancelFunc
	session *session
	grant   grant
	attempt *attempt.Attempt
	// first is the frame that was read before the response began; nil once it was returned.
	first *attempt.Frame
	ended error
}

var _ savorywing.EventStream = (*events)(nil)

func newEvents(request, ctx context.Context, cancel context.CancelFunc, s *session, g grant, a *attempt.Attempt, first attempt.Frame) *events {
	return &events{request: request, ctx: ctx, cancel: cancel, session: s, grant: g, attempt: a, first: &first}
}

// next returns the next frame and records its arrival time.
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
		e.session.recordFrame(e.session.server.clock.Now())
	}
	return f, err
}

// Next returns one event per call, and io.EOF after the end mark.
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
	requestErr := cancelledError(e.request, savorywing.AsRequestError(err))
	e.end(requestErr, requestErr)
	return errorEvent(requestErr), nil
}

func errorEvent(r *savorywing.RequestError) []byte {
	text, err := json.Marshal(ErrorBody{Error: ErrorDetail{Code: string(r.Code()), Message: r.Reason()}})
	if err != nil {
		return nil
	}
	return fmt.Appendf(nil, "event: error\ndata: %s\n\n", text)
}

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail states whether the request may have run, and why it has no response.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Type    string `json:"type,omitempty"`
	Param   string `json:"param,omitempty"`
}

func (e *events) end(requestErr *savorywing.RequestError, ended error) {
	if e.ended != nil {
		return
	}
	e.ended = ended
	e.closeAttempt()
	e.session.release(e.grant, requestErr == nil)
	e.session.finish(requestErr)
}

func (e *events) closeAttempt() {
	_ = e.attempt.Close()
	e.cancel()
}

// Close ends the attempt if the caller disconnects before the end.
func (e *events) Close() {
	e.end(savorywing.NewRequestError(savorywing.CodeUnknown, statusUnavailable, "the caller has gone"), io.ErrClosedPipe)
}

// readAll reads the response to its end and returns it in one body. An error does not end the session, since
// another attempt may follow.
func (e *events) readAll() (savorywing.Response, error) {
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
			return savorywing.Response{}, e.session.timeoutError(err)
		}
		content.WriteString(f.Content())
		if f.FinishReason() != "" {
			finish = f.FinishReason()
		}
		tokens++
	}
	body, err := completion(e.session.request, content.String(), finish, tokens, e.session.server.clock.Now())
	if err != nil {
		e.closeAttempt()
		return savorywing.Response{}, err
	}
	e.end(nil, io.EOF)
	return savorywing.Response{Status: statusOK, ContentType: "application/json", Body: body}, nil
}
