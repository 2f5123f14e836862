package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/version/catalogue"
)

// serveSilent lets a gateway serve one request with servers that follow a script, and returns how long that took.
func serveSilent(t *testing.T, route catalogue.Route, s *serverScript) (*recordedExchange, time.Duration) {
	t.Helper()
	sentAt := time.Now()
	x := serveOne(t, route, -1, s.serve)
	return x, time.Since(sentAt)
}

// TestSilentServerKeepsItsRequest guards against answers that are ended, or lost, because their server falls silent for a
// moment: the request is sent to another server beside it, and the one that goes on first answers.
func TestSilentServerKeepsItsRequest(t *testing.T) {
	stream := streamingRoute
	stream.Timeout, stream.Objective = 4*time.Second, 100*time.Millisecond
	plain := catalogue.Route{Name: "look", Kind: catalogue.Idempotent, MaxAttempts: 2, Timeout: 4 * time.Second, Objective: 100 * time.Millisecond}
	once := plain
	once.Kind = catalogue.NonIdempotent
	begun := okHead + signedField + eventType + chunkedField
	whole := begun + chunk(eventRange(0, 3)) + lastChunk
	half := begun + chunk(eventRange(0, 1))
	rest := chunk(eventRange(2, 3)) + lastChunk
	ok := okHead + signedField + "Content-Length: 2\r\n\r\nok"
	for _, tt := range []struct {
		name          string
		route         catalogue.Route
		first, second string
		want          string
		// arrived is the number of requests that reach a server, and isSlow reports whether the answer waits for the first.
		arrived int64
		isSlow  bool
	}{
		{"a stream, the second refuses", stream, half + pauseMark + rest, rawRefusalHead, eventRange(0, 3), 2, true},
		{"a stream, the second closes", stream, half + pauseMark + rest, "CLOSE", eventRange(0, 3), 2, true},
		{"a stream, the second fails", stream, half + pauseMark + rest, "HTTP/1.1 500 Internal Server Error\r\n" + signedField + "Content-Length: 0\r\n\r\n", eventRange(0, 3), 2, true},
		{"a stream, the second hangs", stream, half + pauseMark + rest, hangMark, eventRange(0, 3), 2, true},
		{"a stream, the second begins again", stream, half + pauseMark + rest, whole, eventRange(0, 3), 2, true},
		{"a stream, the second goes on", stream, half + hangMark, begun + rest, eventRange(0, 3), 2, false},
		{"a stream, the second goes on and the first would too", stream, half + pauseMark + rest, begun + rest, eventRange(0, 3), 2, false},
		{"a stream, the second goes on slowly", stream, half + hangMark, begun + pauseMark + rest, eventRange(0, 3), 2, true},
		{"before the first event, the second refuses", stream, pauseMark + whole, rawRefusalHead, eventRange(0, 3), 2, true},
		{"before the first event, the second hangs", stream, pauseMark + whole, hangMark, eventRange(0, 3), 2, true},
		{"before the first event, the second answers", stream, hangMark, whole, eventRange(0, 3), 2, false},
		{"inside the header, the second hangs", stream, okHead + pauseMark + strings.TrimPrefix(whole, okHead), hangMark, eventRange(0, 3), 2, true},
		{"inside an event, the second hangs", stream, begun + "d\r\nid: 0\nda" + pauseMark + "ta: x\r\n2\r\n\n\n\r\n" + lastChunk, hangMark, "id: 0\ndata: x\n\n", 2, true},
		{"a repeatable request, the second hangs", plain, pauseMark + ok, hangMark, "ok", 2, true},
		{"a repeatable request, the second closes", plain, pauseMark + ok, "CLOSE", "ok", 2, true},
		{"a repeatable request, the second answers", plain, hangMark, ok, "ok", 2, false},
		{"a repeatable request, the second answers in part", plain, pauseMark + ok, strings.TrimSuffix(ok, "k") + hangMark, "ok", 2, true},
		{"a request that may run once", once, pauseMark + ok, ok, "ok", 1, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := &serverScript{texts: []string{tt.first, tt.second}}
			x, took := serveSilent(t, tt.route, s)
			if x.status != fasthttp.StatusOK || x.body.String() != tt.want || !x.complete {
				t.Errorf("status %d, complete %v, body %q, want %q", x.status, x.complete, x.body.String(), tt.want)
			}
			if got := s.arrived.Load(); got != tt.arrived {
				t.Errorf("%d requests arrived, want %d", got, tt.arrived)
			}
			if isSlow := took >= silence; isSlow != tt.isSlow {
				t.Errorf("answered after %v, want slow: %t", took, tt.isSlow)
			}
		})
	}
}

// TestLoserOfRaceEnds guards against servers that work on for a caller who has got another one's answer.
func TestLoserOfRaceEnds(t *testing.T) {
	ok := okHead + signedField + "Content-Length: 2\r\n\r\nok"
	route := catalogue.Route{Name: "look", Kind: catalogue.Idempotent, MaxAttempts: 2, Timeout: 4 * time.Second, Objective: 100 * time.Millisecond}
	s := &serverScript{texts: []string{hangMark, ok}}
	if x, _ := serveSilent(t, route, s); x.status != fasthttp.StatusOK {
		t.Errorf("status %d", x.status)
	}
	for range 100 {
		if s.ended.Load() == 1 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("%d servers know that nobody waits, want 1", s.ended.Load())
}
