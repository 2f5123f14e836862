package attempt_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/request/attempt"
)

// scriptedBackend answers each call with the next of its responses, and the last one again and again.
type scriptedBackend struct {
	responses []scriptedResponse
	// calls holds the offsets of the calls.
	calls []int
}

// scriptedResponse is a response whose body ends as stated, or with an error.
type scriptedResponse struct {
	status   int
	notRun   bool
	text     string
	breaks   bool
	sendFail error
}

func (b *scriptedBackend) Send(_ context.Context, _ savorywing.Target, c savorywing.Call) (savorywing.BackendResponse, error) {
	r := b.responses[min(len(b.calls), len(b.responses)-1)]
	b.calls = append(b.calls, c.ResumeOffset)
	if r.sendFail != nil {
		return savorywing.BackendResponse{}, r.sendFail
	}
	return savorywing.BackendResponse{Status: r.status, NotRun: r.notRun, Stream: &scriptedStream{strings.NewReader(r.text), r.breaks}}, nil
}

type scriptedStream struct {
	text   *strings.Reader
	breaks bool
}

func (s *scriptedStream) Read(p []byte) (int, error) {
	n, err := s.text.Read(p)
	if s.breaks && errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (*scriptedStream) SetIdleTimeout(time.Duration) {}
func (*scriptedStream) Close() error                 { return nil }

// frameRange returns the frames from first up to last of an attempt of four frames.
func frameRange(id string, first, last int) string {
	text := ""
	for n := first; n <= last; n++ {
		reason := "null"
		if n == 3 {
			reason = `"stop"`
		}
		text += fmt.Sprintf("data: {\"id\":%q,\"seq\":%d,\"choices\":[{\"text\":\"t%d \",\"finish_reason\":%s}]}\n\n", id, n, n, reason)
	}
	return text
}

const endMark = "data: [DONE]\n\n"

// TestErrorAfterBrokenStream guards against content of an error in a response, and responses that end as if they were complete:
// a stream has begun and breaks off, and what follows doesn't continue it.
func TestErrorAfterBrokenStream(t *testing.T) {
	const busy, complete = "busy\n\n", "t0 t1 t2 t3 "
	for _, tt := range []struct {
		name     string
		second   scriptedResponse
		complete bool
	}{
		{"continued", scriptedResponse{status: 200, text: frameRange("a", 2, 3) + endMark}, true},
		{"from the beginning", scriptedResponse{status: 200, text: frameRange("a", 0, 3) + endMark}, true},
		{"status 400", scriptedResponse{status: 400, text: busy}, false},
		{"status 404, no body", scriptedResponse{status: 404}, false},
		{"status 421", scriptedResponse{status: 421, notRun: true, text: busy}, false},
		{"status 500", scriptedResponse{status: 500, text: busy}, false},
		{"status 500 with frames", scriptedResponse{status: 500, text: frameRange("a", 2, 3) + endMark}, false},
		{"status 503, not run", scriptedResponse{status: 503, notRun: true, text: busy}, false},
		{"status 204", scriptedResponse{status: 204}, false},
		{"text", scriptedResponse{status: 200, text: busy}, false},
		{"text and the end mark", scriptedResponse{status: 200, text: busy + endMark}, false},
		{"the end mark", scriptedResponse{status: 200, text: endMark}, false},
		{"nothing", scriptedResponse{status: 200}, false},
		{"JSON", scriptedResponse{status: 200, text: `{"error":{"message":"busy"}}`}, false},
		{"an event that is no frame", scriptedResponse{status: 200, text: "data: {\"error\":\"busy\"}\n\n" + endMark}, false},
		{"a missing frame", scriptedResponse{status: 200, text: frameRange("a", 3, 3) + endMark}, false},
		{"another attempt", scriptedResponse{status: 200, text: frameRange("b", 2, 3) + endMark}, false},
		{"a header in the stream", scriptedResponse{status: 200, text: frameRange("a", 2, 2) + "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\n\r\nbusy" + endMark}, false},
		{"not sent", scriptedResponse{sendFail: savorywing.NewRequestError(savorywing.CodeNotRun, 502, "not sent")}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := &scriptedBackend{responses: []scriptedResponse{{status: 200, text: frameRange("a", 0, 1), breaks: true}, tt.second}}
			a, err := attempt.Open(context.Background(), b, savorywing.Target{Resumable: true}, savorywing.Call{AttemptID: "a", FirstByteTimeout: time.Second})
			if err != nil {
				t.Fatal(err)
			}
			text := ""
			for err == nil {
				var f attempt.Frame
				if f, err = a.Next(context.Background()); err == nil {
					text += f.Content()
				}
			}
			if !strings.HasPrefix(complete, text) || errors.Is(err, io.EOF) != tt.complete || (tt.complete && text != complete) {
				t.Errorf("content %q, error %v, complete %v wanted", text, err, tt.complete)
			}
			if !tt.complete && savorywing.AsRequestError(err).Code() != savorywing.CodeUnknown {
				t.Errorf("code %q, want %q: the request has run in part", savorywing.AsRequestError(err).Code(), savorywing.CodeUnknown)
			}
		})
	}
}
