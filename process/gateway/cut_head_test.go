package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/wire"
)

// TestCutHeadIsNoAnswer guards against an answer whose head breaks off and that reaches the caller as a whole one. The
// head is cut after each of its bytes, and the connection closed, in the first attempt, in a second one, and in one that
// resumes a stream.
func TestCutHeadIsNoAnswer(t *testing.T) {
	plain := catalogue.Route{Name: "look", Kind: catalogue.Idempotent, MaxAttempts: 2, Timeout: 2 * time.Second, Objective: time.Second}
	once := plain
	once.Kind = catalogue.NonIdempotent
	stream := okHead + signedField + eventType + chunkedField
	withLength := okHead + signedField + "Content-Length: 5\r\n\r\n"
	empty := okHead + signedField + "Content-Length: 0\r\n\r\n"
	untilClose := okHead + "Content-Length-Other: 1\r\n" + signedField + "\r\n"
	for _, tt := range []struct {
		name, head string
		route      catalogue.Route
		// before are the answers to earlier attempts, and delivered what the caller has of them.
		before    []string
		delivered string
	}{
		{"plain", withLength, once, nil, ""},
		{"plain, empty", empty, once, nil, ""},
		{"plain, until the end", untilClose, once, nil, ""},
		{"plain, second attempt", withLength, plain, []string{"CLOSE"}, ""},
		{"plain, empty, second attempt", empty, plain, []string{"CLOSE"}, ""},
		{"stream", stream, streamingRoute, []string{"CLOSE"}, ""},
		{"stream, resumed", stream, streamingRoute, []string{stream + chunk(eventRange(0, 1)) + "CLOSE"}, eventRange(0, 1)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(tt.head) {
				x := runScript(t, tt.route, &serverScript{texts: append(append([]string{}, tt.before...), tt.head[:cut]+"CLOSE")}, -1)
				switch {
				case tt.delivered != "":
					if x.complete || x.body.String() != tt.delivered {
						t.Errorf("cut after %q: complete %v, body %q", tt.head[:cut], x.complete, x.body.String())
					}
				case x.status < fasthttp.StatusInternalServerError:
					t.Errorf("cut after %q: status %d, body %q", tt.head[:cut], x.status, x.body.String())
				}
			}
		})
	}
}

// TestCutForwardedHeadIsNoAnswer is TestCutHeadIsNoAnswer for the answer of another entry host.
func TestCutForwardedHeadIsNoAnswer(t *testing.T) {
	head := okHead + signedField + "Content-Length: 5\r\n\r\n"
	for cut := range len(head) {
		g := newTestGateway(t)
		x := &recordedExchange{arrival: g.clock.Now()}
		r := &callerRequest{gateway: g, exchange: x, route: &catalogue.Route{Kind: catalogue.Idempotent, MaxAttempts: 1}, deadline: g.clock.Now().Add(time.Second)}
		f := forwardedResponse{request: r}
		err := f.pass(wire.ForwardedPart{Header: []byte(head[:cut]), Length: 5, Body: []byte("hello"), End: true})
		if err == nil || x.started {
			t.Errorf("cut after %q: error %v, started %v, status %d", strings.ReplaceAll(head[:cut], "ID", "n1"), err, x.started, x.status)
		}
		g.Kill()
	}
}
