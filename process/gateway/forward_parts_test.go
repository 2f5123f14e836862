package gateway

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
)

// recordingExchange records what the caller is sent.
type recordingExchange struct {
	request fasthttp.Request
	started bool
	length  int
	body    string
}

func (x *recordingExchange) HTTPRequest() *fasthttp.Request      { return &x.request }
func (x *recordingExchange) Arrival() time.Time                  { return time.Time{} }
func (x *recordingExchange) Started() bool                       { return x.started }
func (x *recordingExchange) WriteError(savorywing.ErrorResponse) {}
func (x *recordingExchange) Abort()                              {}

func (x *recordingExchange) Start(_ *fasthttp.ResponseHeader, length int, first []byte) error {
	x.started, x.length, x.body = true, length, string(first)
	return nil
}

func (x *recordingExchange) Write(p []byte) error {
	x.body += string(p)
	return nil
}

func (x *recordingExchange) Finish(last []byte) error { return x.Write(last) }

// TestForwardedPartsOutOfOrder guards against parts of another host's response that put bytes on the caller's connection which
// belong to no response.
func TestForwardedPartsOutOfOrder(t *testing.T) {
	header := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n")
	start := func(length int, body string, end bool) wire.ForwardedPart {
		return wire.ForwardedPart{Header: header, Length: length, Body: []byte(body), End: end}
	}
	more := func(body string, end bool) wire.ForwardedPart {
		return wire.ForwardedPart{Body: []byte(body), End: end}
	}
	for _, tt := range []struct {
		name    string
		started bool
		parts   []wire.ForwardedPart
		want    string
		lost    bool
	}{
		{"complete", false, []wire.ForwardedPart{start(3, "abc", true)}, "abc", false},
		{"in parts", false, []wire.ForwardedPart{{}, start(5, "ab", false), {}, more("cd", false), more("e", true)}, "abcde", false},
		{"without a length", false, []wire.ForwardedPart{start(-1, "ab", false), more("cd", true)}, "abcd", false},
		{"lowest length", false, []wire.ForwardedPart{start(-1<<63, "ab", true)}, "ab", false},
		{"resumed", true, []wire.ForwardedPart{more("ab", false), more("", true)}, "ab", false},
		{"body before the header", false, []wire.ForwardedPart{more("ab", false)}, "", true},
		{"end before the header", false, []wire.ForwardedPart{more("", true)}, "", true},
		{"two headers", false, []wire.ForwardedPart{start(5, "ab", false), start(5, "ab", true)}, "ab", true},
		{"header for a resumed stream", true, []wire.ForwardedPart{start(2, "ab", true)}, "", true},
		{"first part too long", false, []wire.ForwardedPart{start(2, "abc", true)}, "", true},
		{"next part too long", false, []wire.ForwardedPart{start(4, "abc", false), more("de", true)}, "abc", true},
		{"too short", false, []wire.ForwardedPart{start(4, "abc", false), more("", true)}, "abc", true},
		{"huge length", false, []wire.ForwardedPart{start(1<<62, "abc", true)}, "", true},
		{"unreadable header", false, []wire.ForwardedPart{{Header: []byte("\x00"), Length: 3, Body: []byte("abc"), End: true}}, "", true},
		{"header without an end", false, []wire.ForwardedPart{{Header: []byte(strings.Repeat("HTTP/1.1 200 OK\r\n", 1000)), Length: 0, End: true}}, "", true},
	} {
		x := &recordingExchange{started: tt.started}
		response := forwardedResponse{request: &callerRequest{gateway: newTestGateway(t), exchange: x}}
		var err error
		for _, part := range tt.parts {
			if err = response.pass(part); err != nil {
				break
			}
		}
		if x.body != tt.want || errors.Is(err, errForwardLost) != tt.lost || (err != nil && !tt.lost) {
			t.Errorf("%s: the caller got %q, want %q; error %v", tt.name, x.body, tt.want, err)
		}
	}
}
