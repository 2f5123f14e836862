package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	standin "savorywing.example/savorywing/standin/fleet"
)

// endlessAnswer is an answer of which a part is repeated until the connection is closed.
type endlessAnswer struct {
	name string
	// start is what precedes the part. SIGNED stands for the fields that sign it.
	start, repeated string
	// isWhole reports whether start is a whole response.
	isWhole bool
}

const (
	endlessHead    = "HTTP/1.1 200 OK\r\nSIGNED"
	endlessChunked = endlessHead + "Transfer-Encoding: chunked\r\n\r\n"
)

var endlessAnswers = []endlessAnswer{
	{"bytes in place of a status line", "", "x", false},
	{"lines in place of a status line", "", "0123456789abcde\n", false},
	{"empty lines", "", "\r\n", false},
	{"a reason", "HTTP/1.1 200 ", "x", false},
	{"a name", endlessHead, "x", false},
	{"a value", endlessHead + "X-Pad: ", "x", false},
	{"a folded value", endlessHead + "X-Pad: 1\r\n", " x\r\n", false},
	{"fields", endlessHead, "X-Pad: 0123456789\r\n", false},
	{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", false},
	{"an informational response with a body", "HTTP/1.1 103 Early Hints\r\nContent-Length: 1000000000\r\n\r\n", "x", false},
	{"a stated length", endlessHead + "Content-Length: 1000000000\r\n\r\n", "x", false},
	{"a body to the end", endlessHead + "\r\n", "x", false},
	{"chunks", endlessChunked, "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n", false},
	{"a chunk", endlessChunked + "7fffffff\r\n", "x", false},
	{"the size of a chunk", endlessChunked, "0", false},
	{"an extension of a chunk", endlessChunked + "1;", "x", false},
	{"trailers", endlessChunked + "0\r\n", "X-Pad: 0123456789\r\n", true},
	{"a trailer", endlessChunked + "0\r\nX-Pad: ", "x", true},
	{"bytes behind a whole body", endlessHead + "Content-Length: 0\r\n\r\n", "x", true},
	{"an unsigned body", "HTTP/1.1 200 OK\r\n\r\n", "x", false},
	{"an unsigned failure", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 1000000000\r\n\r\n", "x", false},
	{"events without an end", endlessHead + "\r\n", "data: 0123456789\n", false},
}

// write writes the answer until the connection is closed.
func (a endlessAnswer) write(c net.Conn, fields []byte) {
	_, err := io.WriteString(c, strings.Replace(a.start, "SIGNED", string(fields), 1))
	for piece := bytes.Repeat([]byte(a.repeated), 1+(32<<10)/len(a.repeated)); err == nil; {
		_, err = c.Write(piece)
	}
}

// endlessCallersAtOnce is how many callers send requests at the same time to servers with endless answers.
const endlessCallersAtOnce = 60

// TestFleetAnswersNeverEnd guards against an entry host that keeps all bytes of answers that never end, and runs out of memory, and
// against callers who get them as complete. The requests have short and long bodies, and some callers read nothing.
func TestFleetAnswersNeverEnd(t *testing.T) {
	if testing.Short() {
		t.Skip("real processes")
	}
	f := newFleetEnv(t, 3, 1, 10, withPaths, func(f *fleetEnv) { f.retryBurst = 1000 })
	f.addPlainServers(4)
	s := f.settings(savorywing.RoleEntry, f.entryIP(1), true)
	s.MemoryMB, s.MaxDescriptors, s.RetryBurst = crowdMemoryMB, crowdMaxDescriptors, 1000
	p, _ := f.startProcess(s)
	f.waitServing()
	b := &brokenFleet{fleetEnv: f, process: p}
	b.inBothWays(func(way string, entry int) {
		for _, a := range endlessAnswers {
			complete, sent := b.callEndless(entry, a)
			if complete > 0 && !a.isWhole {
				t.Errorf("%s, %s: %d of %d callers got an endless answer as complete", way, a.name, complete, sent)
			}
			b.awaitServing(entry)
		}
		p.checkSize(crowdMemoryMB)
	})
}

// callEndless sends requests at once to servers with an endless answer, and returns how many callers got a whole success.
func (f *brokenFleet) callEndless(entry int, a endlessAnswer) (complete, sent int) {
	f.setAllFaults(standin.Faults{Answer: func(c *net.TCPConn, r standin.RequestStart) { a.write(c, r.Fields) }})
	var mu sync.Mutex
	var callers sync.WaitGroup
	for n := range endlessCallersAtOnce {
		callers.Go(func() {
			path, bodyBytes := []string{"/book/x", "/book/look/x", "/talk/x"}[n%3], []int{16, 1 << 20}[n/3%2]
			isSuccess := f.callOnce(entry, path, bodyBytes, n%5 == 0)
			mu.Lock()
			defer mu.Unlock()
			sent++
			if isSuccess {
				complete++
			}
		})
	}
	callers.Wait()
	return complete, sent
}

// callOnce sends a request and reports whether it got a whole success. A caller who reads nothing waits for a time.
func (f *brokenFleet) callOnce(entry int, path string, bodyBytes int, readsNothing bool) bool {
	m := savorywing.CallerMetadata{APIKey: fleetKey, Timeout: time.Second, LastEventID: -1}
	if path == "/talk/x" {
		m.Model, m.PromptTokens, m.MaxOutputTokens = smallModel, 500, 60
	}
	setBody := func(req *fasthttp.Request) { req.SetBodyString(strings.Repeat("u", bodyBytes)) }
	if !readsNothing {
		r := f.sendBody(entry, path, nil, m, setBody)
		return r.err == nil && r.status < fasthttp.StatusBadRequest
	}
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetRequestURI(path)
	req.Header.SetHost(fleetHost)
	m.AttemptID = fmt.Sprint("silent-", time.Now().UnixNano())
	f.dialect.WriteCallerMetadata(&req.Header, m)
	setBody(&req)
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", f.entryIP(entry), f.port+2), time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	if _, err := req.WriteTo(c); err == nil {
		time.Sleep(time.Second)
	}
	return false
}
