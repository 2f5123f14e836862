package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/platform"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/wire"
)

// recordedExchange is an exchange that records what the caller gets.
type recordedExchange struct {
	request fasthttp.Request
	arrival time.Time
	status  int
	body    strings.Builder
	// complete reports whether the caller takes the response for complete.
	started, complete bool
	remaining         int
}

func (x *recordedExchange) HTTPRequest() *fasthttp.Request { return &x.request }
func (x *recordedExchange) Arrival() time.Time             { return x.arrival }
func (x *recordedExchange) Started() bool                  { return x.started }

func (x *recordedExchange) WriteError(e savorywing.ErrorResponse) {
	var h fasthttp.ResponseHeader
	body := e.Encode(&h)
	_ = x.Start(&h, len(body), body)
}

func (x *recordedExchange) Start(h *fasthttp.ResponseHeader, length int, first []byte) error {
	if x.started {
		return errors.New("started twice")
	}
	x.started, x.status, x.remaining = true, h.StatusCode(), length
	return x.Write(first)
}

func (x *recordedExchange) Write(p []byte) error {
	x.body.Write(p)
	if x.remaining >= 0 {
		x.remaining -= len(p)
		x.complete = x.remaining == 0
	}
	return nil
}

func (x *recordedExchange) Finish(last []byte) error {
	x.body.Write(last)
	x.complete = true
	return nil
}

func (x *recordedExchange) Abort() { x.complete = false }

const (
	// silence is longer than the time after which a server counts as stalled.
	silence = 900 * time.Millisecond
	// pauseMark makes a server pause for silence, and hangMark for good.
	pauseMark, hangMark = "PAUSE", "HANG"
)

// serverScript answers the n-th request that its servers get together with the n-th text. ID in a text stands for the attempt
// ID, marks stand for pauses, and "CLOSE" closes the connection. Further requests get no answer, and status queries, which
// don't count, an empty one.
type serverScript struct {
	texts []string
	// arrived counts the requests, and ended the connections that the gateway has closed in a pause.
	arrived, ended atomic.Int64
}

func (s *serverScript) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		if (platform.Dialect{}).IsStatusQuery(&req.Header) {
			if _, err := io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n"); err != nil {
				return
			}
			continue
		}
		n := int(s.arrived.Add(1))
		if n > len(s.texts) || !s.write(c, r, strings.ReplaceAll(s.texts[n-1], "ID", platform.Dialect{}.ReadCallerMetadata(&req.Header).AttemptID)) {
			return
		}
	}
}

// write writes an answer and reports whether the connection goes on.
func (s *serverScript) write(c net.Conn, r *bufio.Reader, text string) bool {
	for text != "" {
		at, mark := len(text), ""
		for _, m := range []string{pauseMark, hangMark, "CLOSE"} {
			if i := strings.Index(text, m); i >= 0 && i < at {
				at, mark = i, m
			}
		}
		if _, err := io.WriteString(c, text[:at]); err != nil {
			return false
		}
		wait := time.Duration(0)
		switch mark {
		case "CLOSE":
			return false
		case pauseMark:
			wait = silence
		case hangMark:
			wait = time.Minute
		}
		if wait > 0 {
			_ = c.SetReadDeadline(time.Now().Add(wait))
			if _, err := r.Peek(1); err == io.EOF {
				s.ended.Add(1)
				return false
			}
			_ = c.SetReadDeadline(time.Time{})
		}
		text = text[at+len(mark):]
	}
	return true
}

// startServer accepts connections and serves each with a function. It returns the address.
func startServer(t *testing.T, serve func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// runScript lets a gateway serve one request with servers that follow a script. The caller has received the events up to
// lastEventID, which is negative for none.
func runScript(t *testing.T, route catalogue.Route, s *serverScript, lastEventID int64) *recordedExchange {
	t.Helper()
	return serveOne(t, route, lastEventID, s.serve)
}

// serveOne lets a gateway serve one request with as many servers as the route has attempts.
func serveOne(t *testing.T, route catalogue.Route, lastEventID int64, serve func(c net.Conn)) *recordedExchange {
	t.Helper()
	g := newTestGateway(t)
	g.settings().RetryBurst = 1000
	var endpoints []wire.Endpoint
	for n := range route.MaxAttempts {
		endpoints = append(endpoints, wire.Endpoint{ID: fmt.Sprint("i-", n), Address: startServer(t, serve), Service: "s", Slots: 4, Born: 1, Handle: uint64(n) + 1})
	}
	g.balancer.UpdateEndpoints(true, endpoints, nil)
	route.Host, route.Prefix, route.Services = "x.example", "/", []catalogue.WeightedService{{Service: "s", Weight: 1}}
	c, err := catalogue.New(catalogue.Document{Version: 7, Routes: []catalogue.Route{route}, Services: []catalogue.Service{{Name: "s", HealthPath: "/healthz"}}})
	if err != nil {
		t.Fatal(err)
	}
	g.catalogue.Store(c)
	x := &recordedExchange{arrival: g.clock.Now()}
	x.request.Header.SetMethod(fasthttp.MethodPost)
	x.request.Header.SetRequestURI("/x")
	x.request.Header.SetHost("x.example")
	x.request.SetBodyString("b")
	platform.Dialect{}.WriteCallerMetadata(&x.request.Header, savorywing.CallerMetadata{AttemptID: "n1", LastEventID: lastEventID})
	g.Serve(context.Background(), x)
	return x
}

var streamingRoute = catalogue.Route{Name: "talk", Kind: catalogue.Streaming, Resumable: true, MaxAttempts: 2, Timeout: 2 * time.Second, Objective: time.Second}

const (
	eventType    = "Content-Type: text/event-stream\r\n"
	chunkedField = "Transfer-Encoding: chunked\r\n\r\n"
	lastChunk    = "0\r\n\r\n"
	okHead       = "HTTP/1.1 200 OK\r\n"
)

// Fields of responses, as the dialect writes them.
var (
	signedField    = fieldText(func(h *fasthttp.ResponseHeader) { platform.Dialect{}.SignResponse(h, "ID", "s") })
	unsignedField  = strings.ReplaceAll(refusalField, notRunField, "")
	refusalField   = fieldText(func(h *fasthttp.ResponseHeader) { platform.Dialect{}.MarkNotRun(h, "ID", "") })
	notRunField    = refusalField[strings.Index(refusalField, "\r\n")+2:]
	rawRefusalHead = "HTTP/1.1 503 Service Unavailable\r\n" + notRunField + "content-length: 5\r\n\r\nfull\n"
)

// fieldText returns the fields that a function sets.
func fieldText(set func(h *fasthttp.ResponseHeader)) string {
	h := &fasthttp.ResponseHeader{}
	h.SetNoDefaultContentType(true)
	set(h)
	text := ""
	for k, v := range h.All() {
		if string(k) != fasthttp.HeaderContentLength {
			text += fmt.Sprintf("%s: %s\r\n", k, v)
		}
	}
	return text
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// eventRange returns the events from first up to last.
func eventRange(first, last int) string {
	text := ""
	for id := first; id <= last; id++ {
		text += fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
	}
	return text
}

// TestErrorAfterBrokenStream guards against bytes of an error in a stream, and streams that end as if they were complete: a
// stream has begun and breaks off, and the next server doesn't continue it.
func TestErrorAfterBrokenStream(t *testing.T) {
	begun := okHead + signedField + eventType + chunkedField
	type row struct {
		name, second string
		complete     bool
		want         string
	}
	delivered := eventRange(0, 1)
	rows := []row{
		{"continued", begun + chunk(eventRange(2, 3)) + lastChunk, true, eventRange(0, 3)},
		{"no event is left", begun + lastChunk, true, delivered},
		{"no event, no length", okHead + signedField + eventType + "\r\nCLOSE", false, delivered},
		{"no event, no content type", okHead + signedField + "Content-Length: 0\r\n\r\n", false, delivered},
		{"no event, JSON", okHead + signedField + "Content-Type: application/json\r\nContent-Length: 0\r\n\r\n", false, delivered},
		{"JSON", okHead + signedField + "Content-Type: application/json\r\nContent-Length: 4\r\n\r\n{}\n\n", false, delivered},
		{"text", okHead + signedField + "Content-Type: text/plain\r\n" + chunkedField + chunk("busy\n\n") + lastChunk, false, delivered},
		{"text in an event stream", begun + chunk("engine is busy\n\n") + lastChunk, false, delivered},
		{"a field that is no event's", begun + chunk("error: engine is busy\n\n") + lastChunk, false, delivered},
		{"events that don't say which", begun + chunk("data: token 2\n\n") + lastChunk, false, delivered},
		{"the first event again", begun + chunk(eventRange(0, 11)) + lastChunk, false, delivered},
		{"the last event again", begun + chunk(eventRange(1, 3)) + lastChunk, false, delivered},
		{"a missing event", begun + chunk(eventRange(3, 5)) + lastChunk, false, delivered},
		{"an id that is no number", begun + chunk("id: x\ndata: y\n\n") + lastChunk, false, delivered},
		{"unsigned, continued", okHead + unsignedField + eventType + chunkedField + chunk(eventRange(2, 3)) + lastChunk, false, delivered},
		{"no content", "HTTP/1.1 204 No Content\r\n" + signedField + "\r\n", false, delivered},
		{"not run", rawRefusalHead, false, delivered},
		{"not run, status 200", okHead + signedField + notRunField + eventType + "Content-Length: 0\r\n\r\n", false, delivered},
		{"not HTTP", "engine is busy\n\nCLOSE", false, delivered},
		{"closed", "CLOSE", false, delivered},
	}
	for _, status := range []string{"400 Bad Request", "404 Not Found", "429 Too Many Requests", "500 Internal Server Error", "502 Bad Gateway", "503 Service Unavailable", "504 Gateway Timeout"} {
		for signed, fields := range map[string]string{"signed": signedField, "unsigned": unsignedField} {
			head := "HTTP/1.1 " + status + "\r\n" + fields
			for framing, text := range map[string]string{
				"no body": "Content-Length: 0\r\n\r\n", "body": "Content-Length: 6\r\n\r\nbusy\n\n", "chunked": chunkedField + chunk("busy\n\n") + lastChunk,
				"until the end": "\r\nbusy\n\nCLOSE", "an event": eventType + chunkedField + chunk(eventRange(2, 3)) + lastChunk,
			} {
				rows = append(rows, row{fmt.Sprint(status[:3], " ", signed, ", ", framing), head + text, false, delivered})
			}
		}
	}
	for _, tt := range rows {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := &serverScript{texts: []string{begun + chunk(delivered) + "CLOSE", tt.second}}
			x := runScript(t, streamingRoute, s, -1)
			if x.status != fasthttp.StatusOK || x.body.String() != tt.want || x.complete != tt.complete {
				t.Errorf("status %d, complete %v, body %q, want %v, %q", x.status, x.complete, x.body.String(), tt.complete, tt.want)
			}
			if s.arrived.Load() != 2 {
				t.Errorf("%d requests arrived, want 2", s.arrived.Load())
			}
		})
	}
}

// TestResponseInStream guards against a response, such as an earlier refusal, that a server writes once more in the middle of
// a stream and that reaches the caller. Another server continues the stream.
func TestResponseInStream(t *testing.T) {
	chunkedStream, openStream := okHead+signedField+eventType+chunkedField, okHead+signedField+eventType+"\r\n"
	second := chunkedStream + chunk(eventRange(2, 3)) + lastChunk
	first := eventRange(0, 1)
	for _, tt := range []struct{ name, first string }{
		{"between chunks", chunkedStream + chunk(first) + rawRefusalHead + chunk(eventRange(2, 3)) + lastChunk},
		{"in place of the last chunk", chunkedStream + chunk(first) + rawRefusalHead + "CLOSE"},
		{"in a chunk", chunkedStream + chunk(first+rawRefusalHead+eventRange(2, 3)) + lastChunk},
		{"no chunks, between events", openStream + first + rawRefusalHead + eventRange(2, 3) + "CLOSE"},
		{"no chunks, after an event that does not say which", openStream + first + "data: busy\n\n" + rawRefusalHead + "CLOSE"},
		{"no chunks, at the end", openStream + first + rawRefusalHead + "CLOSE"},
		{"no chunks, at the end, no body", openStream + first + strings.TrimSuffix(rawRefusalHead, "full\n") + "CLOSE"},
		{"no chunks, in an id", openStream + first + "id: 2" + rawRefusalHead + eventRange(3, 4) + "CLOSE"},
		{"no chunks, after an id", openStream + first + "id: 2\n" + rawRefusalHead + eventRange(3, 4) + "CLOSE"},
		{"no chunks, in a field name", openStream + first + "id: 2\nda" + rawRefusalHead + eventRange(3, 4) + "CLOSE"},
		{"no chunks, in data", openStream + first + "id: 2\ndata: tok" + rawRefusalHead + eventRange(3, 4) + "CLOSE"},
		{"no chunks, in a field before the id", openStream + first + "x-versions: 3" + rawRefusalHead + eventRange(2, 3) + "CLOSE"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := &serverScript{texts: []string{tt.first, second}}
			x := runScript(t, streamingRoute, s, -1)
			if want := eventRange(0, 3); x.status != fasthttp.StatusOK || x.body.String() != want || !x.complete {
				t.Errorf("status %d, complete %v, body %q, want %q", x.status, x.complete, x.body.String(), want)
			}
		})
	}
}

// TestOtherContentOfStreamingRoute guards against a signed response to a streaming request that is no stream and that doesn't
// reach the caller as the server sent it.
func TestOtherContentOfStreamingRoute(t *testing.T) {
	for _, tt := range []struct{ name, text, want string }{
		{"JSON", okHead + signedField + "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}", "{}"},
		{"JSON in chunks", okHead + signedField + "Content-Type: application/json\r\n" + chunkedField + chunk("{\n\n}") + lastChunk, "{\n\n}"},
		{"an event stream with parameters", okHead + signedField + "Content-Type: Text/Event-Stream; charset=utf-8\r\n" + chunkedField + chunk(eventRange(0, 1)) + lastChunk, eventRange(0, 1)},
		{"an event stream without a content type", okHead + signedField + chunkedField + chunk(eventRange(0, 1)) + lastChunk, eventRange(0, 1)},
		{"no event", okHead + signedField + eventType + chunkedField + lastChunk, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := &serverScript{texts: []string{tt.text}}
			x := runScript(t, streamingRoute, s, -1)
			if x.status != fasthttp.StatusOK || x.body.String() != tt.want || !x.complete {
				t.Errorf("status %d, complete %v, body %q, want %q", x.status, x.complete, x.body.String(), tt.want)
			}
		})
	}
}

// TestResumedByCaller guards against a stream that a caller resumes and that doesn't continue after the event it names.
func TestResumedByCaller(t *testing.T) {
	begun := okHead + signedField + eventType + chunkedField
	stream := func(first, last int) string { return begun + chunk(eventRange(first, last)) + lastChunk }
	continued := stream(5, 6)
	notResumable := streamingRoute
	notResumable.Resumable, notResumable.MaxAttempts = false, 1
	for _, tt := range []struct {
		name, first string
		route       catalogue.Route
		want        string
	}{
		{"continued", continued, streamingRoute, eventRange(5, 6)},
		{"no event is left", begun + lastChunk, streamingRoute, ""},
		{"from the beginning", stream(0, 6), streamingRoute, eventRange(5, 6)},
		{"the last event again", stream(4, 6), streamingRoute, eventRange(5, 6)},
		{"a missing event", stream(6, 7), streamingRoute, eventRange(5, 6)},
		{"broken off", begun + chunk(eventRange(5, 5)) + "CLOSE", streamingRoute, eventRange(5, 5)},
		{"a route that can't be resumed", stream(0, 2), notResumable, eventRange(0, 2)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			texts := []string{tt.first, continued}
			if tt.name == "broken off" {
				texts[1] = begun + chunk(eventRange(6, 6)) + lastChunk
				tt.want += eventRange(6, 6)
			}
			x := runScript(t, tt.route, &serverScript{texts: texts}, 4)
			if x.status != fasthttp.StatusOK || x.body.String() != tt.want || !x.complete {
				t.Errorf("status %d, complete %v, body %q, want %q", x.status, x.complete, x.body.String(), tt.want)
			}
		})
	}
}

// TestRefusalWithoutProof guards against requests that count as not run by a response that doesn't prove it. Such a request
// must not run at a second server either, if it may run once only.
func TestRefusalWithoutProof(t *testing.T) {
	const empty = "Content-Length: 0\r\n\r\n"
	const refused = "HTTP/1.1 503 Service Unavailable\r\n"
	route := catalogue.Route{Name: "book", Kind: catalogue.NonIdempotent, MaxAttempts: 2, Timeout: 2 * time.Second, Objective: time.Second}
	served := okHead + signedField + "Content-Length: 2\r\n\r\nok"
	for _, tt := range []struct {
		name, text string
		// status and arrived are those of a request that may run once.
		status  int
		arrived int64
	}{
		{"a refusal", refused + unsignedField + notRunField + empty, fasthttp.StatusOK, 2},
		{"a signed refusal", refused + signedField + notRunField + empty, fasthttp.StatusOK, 2},
		{"misdirected", "HTTP/1.1 421 Misdirected Request\r\n" + unsignedField + empty, fasthttp.StatusOK, 2},
		{"unavailable", refused + unsignedField + empty, fasthttp.StatusBadGateway, 1},
		{"unavailable, signed", refused + signedField + empty, fasthttp.StatusBadGateway, 1},
		{"too many requests", "HTTP/1.1 429 Too Many Requests\r\n" + signedField + empty, fasthttp.StatusBadGateway, 1},
		{"request timeout", "HTTP/1.1 408 Request Timeout\r\n" + unsignedField + empty, fasthttp.StatusBadGateway, 1},
		{"another failure", "HTTP/1.1 500 Internal Server Error\r\n" + signedField + empty, fasthttp.StatusInternalServerError, 1},
		{"another ID", refused + strings.ReplaceAll(unsignedField, "ID", "n2") + notRunField + empty, fasthttp.StatusBadGateway, 1},
		{"no ID", refused + notRunField + empty, fasthttp.StatusBadGateway, 1},
		{"success", okHead + signedField + notRunField + empty, fasthttp.StatusBadGateway, 1},
		{"unsigned success", okHead + unsignedField + notRunField + empty, fasthttp.StatusBadGateway, 1},
		{"success without the mark, unsigned", okHead + unsignedField + "Content-Length: 4\r\n\r\nfake", fasthttp.StatusBadGateway, 1},
		{"informational", "HTTP/1.1 103 Early Hints\r\n" + unsignedField + notRunField + "\r\nCLOSE", fasthttp.StatusBadGateway, 1},
		{"two responses in one header", okHead + signedField + refused + unsignedField + notRunField + empty, fasthttp.StatusBadGateway, 1},
		{"two IDs", refused + unsignedField + strings.ReplaceAll(unsignedField, "ID", "n2") + notRunField + empty, fasthttp.StatusBadGateway, 1},
		{"two IDs, the other first", refused + strings.ReplaceAll(unsignedField, "ID", "n2") + unsignedField + notRunField + empty, fasthttp.StatusBadGateway, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := &serverScript{texts: []string{tt.text + "CLOSE", served}}
			x := runScript(t, route, s, -1)
			if x.status != tt.status || s.arrived.Load() != tt.arrived {
				t.Errorf("status %d, %d requests arrived, body %q, want %d, %d", x.status, s.arrived.Load(), x.body.String(), tt.status, tt.arrived)
			}
		})
	}
}
