package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	standin "savorywing.example/savorywing/standin/fleet"
)

// brokenFleet is a fleet with an entry host that is a process, and another one that hands its requests to it once it is cut off.
type brokenFleet struct {
	*fleetEnv
	process *process
}

func newBrokenFleet(t *testing.T) *brokenFleet {
	t.Helper()
	f := newFleetEnv(t, 3, 1, 10, withPaths, func(f *fleetEnv) { f.retryBurst, f.hasMetrics = 1000, true })
	p, _ := f.startEntryProcess(1)
	f.waitServing()
	b := &brokenFleet{fleetEnv: f, process: p}
	b.awaitServing(1)
	return b
}

func (f *brokenFleet) awaitServing(entry int) {
	f.t.Helper()
	f.setAllFaults(standin.Faults{})
	for _, path := range []string{"/book/look/x", "/talk/x"} {
		f.eventually(path, func() bool {
			r := f.request(entry, path, 0)
			return r.err == nil && r.status == fasthttp.StatusOK
		})
	}
}

// checkRecorded checks that the entry host that is a process has logged and counted responses that it refused for these reasons.
func (f *brokenFleet) checkRecorded(reasons ...string) {
	f.t.Helper()
	metrics := f.requestMetrics(1)
	for _, reason := range reasons {
		if !strings.Contains(metrics, fmt.Sprintf("savorywing_refused_responses{reason=%q}", reason)) {
			f.t.Errorf("no metric for the reason %s:\n%s", reason, metrics)
		}
		if !strings.Contains(f.process.logText(), fmt.Sprintf(`"reason":%q`, reason)) {
			f.t.Errorf("no log line for the reason %s", reason)
		}
	}
}

// inBothWays runs a test at the entry host that is a process, and at one that hands over its requests.
func (f *brokenFleet) inBothWays(run func(way string, entry int)) {
	f.t.Helper()
	f.awaitServing(1)
	run("directly", 1)
	f.setAllFaults(standin.Faults{})
	f.cutOffUntilForwarded(1, standin.CutReset)
	f.awaitServing(0)
	run("handed over", 0)
}

// request sends a request with a body of some bytes.
func (f *brokenFleet) request(entry int, path string, bodyBytes int) fleetResponse {
	m := savorywing.CallerMetadata{APIKey: fleetKey, Timeout: 8 * time.Second, LastEventID: -1}
	if path == "/talk/x" {
		m.Model, m.PromptTokens, m.MaxOutputTokens = smallModel, 500, 60
	}
	return f.sendBody(entry, path, nil, m, func(req *fasthttp.Request) { req.SetBodyString(strings.Repeat("u", bodyBytes)) })
}

// requestUntilAnswered sends requests until a server has answered one with an answer, and returns the last response.
func (f *brokenFleet) requestUntilAnswered(entry int, path string, bodyBytes int, answer standin.Answer) fleetResponse {
	f.t.Helper()
	var answered atomic.Int64
	f.setAllFaults(standin.Faults{Answer: func(c *net.TCPConn, r standin.RequestStart) {
		answered.Add(1)
		answer(c, r)
	}})
	defer f.setAllFaults(standin.Faults{})
	var r fleetResponse
	f.eventually("a request that a server has answered", func() bool {
		r = f.request(entry, path, bodyBytes)
		return answered.Load() > 0
	})
	if path == "/book/x" && f.fleet.RunCount(r.requestID) > 1 {
		f.t.Errorf("%s ran %d times", r.requestID, f.fleet.RunCount(r.requestID))
	}
	return r
}

// eventText returns the first events of a stream.
func eventText(n int) string {
	var b strings.Builder
	for id := range n {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", id, id)
	}
	return b.String()
}

// earlyAnswer is an answer that begins before the body of its request has been read.
type earlyAnswer struct {
	name string
	// framing are the fields that state the end of the body, and encode the body on the wire.
	framing string
	encode  func(body string, whole bool) string
}

var earlyAnswers = []earlyAnswer{
	{"no length", "", func(body string, _ bool) string { return body }},
	{"length", fmt.Sprintf("Content-Length: %d\r\n", len(wholeEvents)), func(body string, _ bool) string { return body }},
	{"chunks", "Transfer-Encoding: chunked\r\n", func(body string, whole bool) string {
		last := ""
		if whole {
			last = "0\r\n\r\n"
		}
		return fmt.Sprintf("%x\r\n%s\r\n%s", len(body), body, last)
	}},
}

// write writes the answer with the first events of its body, or with all of them.
func (a earlyAnswer) write(c net.Conn, fields []byte, whole bool) {
	body := eventText(2)
	if whole {
		body = wholeEvents
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s\r\n%s", fields, a.framing, a.encode(body, whole))
}

// wholeEvents is a whole body.
var wholeEvents = eventText(2) + "id: 2\ndata: \n\n"

// readBody reads n bytes of a request's body, or all of it.
func readBody(c *net.TCPConn, n int) { _, _ = io.CopyN(io.Discard, c, int64(n)) }

// firstReadBytes is at least what a server reads of a request with its header.
const firstReadBytes = 4 << 10

// checkReset sends requests of which a server reads a part before it sends a part of an answer and resets the connection.
func (f *brokenFleet) checkReset(way string, entry int, a earlyAnswer, path string, bodyBytes int) {
	f.t.Helper()
	complete, sent := 0, 0
	for _, read := range []int{0, 100 << 10} {
		for _, pause := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond} {
			for _, linger := range []bool{false, true} {
				// The kernel resets a connection that is closed before all of the request was read.
				if read >= bodyBytes || (linger && bodyBytes <= firstReadBytes) {
					continue
				}
				r := f.requestUntilAnswered(entry, path, bodyBytes, func(c *net.TCPConn, request standin.RequestStart) {
					_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
					readBody(c, read)
					a.write(c, request.Fields, false)
					time.Sleep(pause)
					if !linger {
						_ = c.SetLinger(0)
					}
					_ = c.Close()
				})
				sent++
				if r.err == nil && r.status < fasthttp.StatusBadRequest {
					complete++
				}
			}
		}
	}
	if complete > 0 {
		f.t.Errorf("%s, %s, %s, %d bytes sent: %d of %d answers that were reset reached callers as complete", way, a.name, path, bodyBytes, complete, sent)
	}
}

// TestFleetEarlyAnswerReset guards against callers who get as complete what a server has sent of an answer before it reset the
// connection, while their request was being sent to it or after that.
func TestFleetEarlyAnswerReset(t *testing.T) {
	t.Parallel()
	f := newBrokenFleet(t)
	f.inBothWays(func(way string, entry int) {
		for _, a := range earlyAnswers {
			for _, path := range []string{"/book/x", "/book/look/x", "/talk/x"} {
				for _, bodyBytes := range []int{1 << 10, 20 << 10, 200 << 10, 3 << 20} {
					f.checkReset(way, entry, a, path, bodyBytes)
				}
			}
		}
	})
	f.checkRecorded("reset")
}

// TestFleetEarlyAnswerWhole guards against sound answers that are turned away since they begin before their request was read:
// a server may read on, close the connection once it has read all, or close only its own side.
func TestFleetEarlyAnswerWhole(t *testing.T) {
	t.Parallel()
	f := newBrokenFleet(t)
	f.inBothWays(func(way string, entry int) {
		for _, a := range earlyAnswers {
			for _, tt := range []struct {
				name string
				// after follows the answer, of a request of which some bytes are left.
				after func(c *net.TCPConn, left int)
			}{
				{"reads the rest", readBody},
				{"closes its side and reads the rest", func(c *net.TCPConn, left int) {
					_ = c.CloseWrite()
					readBody(c, left)
				}},
				{"closes its side and reads slowly", func(c *net.TCPConn, left int) {
					_ = c.CloseWrite()
					for range 50 {
						time.Sleep(10 * time.Millisecond)
						readBody(c, left/50)
					}
					readBody(c, left%50)
				}},
				{"closes its side and reads nothing for a time", func(c *net.TCPConn, _ int) {
					_ = c.CloseWrite()
					time.Sleep(time.Second)
				}},
			} {
				for _, path := range []string{"/book/x", "/book/look/x", "/talk/x"} {
					for _, bodyBytes := range []int{1 << 10, 200 << 10, 3 << 20} {
						r := f.requestUntilAnswered(entry, path, bodyBytes, func(c *net.TCPConn, request standin.RequestStart) {
							_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
							a.write(c, request.Fields, true)
							tt.after(c, request.Unread)
						})
						if r.err != nil || r.status != fasthttp.StatusOK || r.body != wholeEvents {
							t.Errorf("%s, %s, %s, %s, %d bytes sent: status %d, error %v, %q", way, a.name, tt.name, path, bodyBytes, r.status, r.err, r.body)
						}
					}
				}
			}
		}
	})
}

// tokenBytes are the bytes that the name of a field may hold.
const tokenBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// brokenNames are answers in whose header the name of a field holds what no name may hold. SIGNED stands for the fields that sign them.
func brokenNames() []string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(wholeEvents))
	var answers []string
	for _, line := range []string{"X Pad: 1", "X-Pad : 1", "X-Pad\t: 1", " X-Pad: 1", "X-Pad: 1\r\n\tX-Own: 1", "Con tent-Length: 3", ": 1", " : 1", "X-Pad"} {
		for _, head := range []string{"SIGNED" + length + line + "\r\n", line + "\r\nSIGNED" + length, "SIGNED" + line + "\r\n"} {
			answers = append(answers, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+wholeEvents)
		}
	}
	for _, line := range []string{"Content-Length : 3", "Content-Length\t: 3", "Transfer-Encoding : chunked", "Content -Length: 3"} {
		answers = append(answers, "HTTP/1.1 200 OK\r\nSIGNED"+line+"\r\n\r\n"+wholeEvents)
	}
	for c := range 256 {
		if strings.IndexByte(tokenBytes+":\n", byte(c)) >= 0 {
			continue
		}
		b := string([]byte{byte(c)})
		for _, name := range []string{b + "XPad", "X" + b + "Pad", "XPad" + b} {
			answers = append(answers, "HTTP/1.1 200 OK\r\nSIGNED"+length+name+": 1\r\n\r\n"+wholeEvents)
		}
	}
	return answers
}

// brokenFramings are answers whose end isn't stated as HTTP allows.
func brokenFramings() []string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(wholeEvents))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(wholeEvents), wholeEvents)
	var answers []string
	for _, fields := range []string{
		"Content-Length: 3\r\n" + length, "Content-Length: 3, 4\r\n", "Content-Length: +3\r\n", "Content-Length: -3\r\n", "Content-Length: 0x3\r\n",
		"Content-Length:\r\n", "Content-Length: 99999999999999999999\r\n", "Content-Length: 3 3\r\n", "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: xchunked\r\n",
	} {
		answers = append(answers, "HTTP/1.1 200 OK\r\nSIGNED"+fields+"\r\n"+wholeEvents)
	}
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nSIGNEDTransfer-Encoding: gzip, chunked\r\n", "HTTP/1.1 200 OK\r\nSIGNEDTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"HTTP/1.0 200 OK\r\nSIGNEDTransfer-Encoding: chunked\r\n", "HTTP/1.0 200 OK\r\nSIGNEDTransfer-Encoding: chunked\r\n" + length,
	} {
		answers = append(answers, head+"\r\n"+chunk+"0\r\n\r\n")
	}
	for _, body := range []string{
		"", chunk, chunk[:len(chunk)-5], chunk + "0", strings.TrimSuffix(chunk, "\r\n") + "0\r\n\r\n", "+" + chunk + "0\r\n\r\n", "0x" + chunk + "0\r\n\r\n", "-1\r\n\r\n",
		chunk + "\r\n0\r\n\r\n", chunk + "zz\r\n", "fffffffffffffffff\r\n" + wholeEvents,
	} {
		answers = append(answers, "HTTP/1.1 200 OK\r\nSIGNEDTransfer-Encoding: chunked\r\n\r\n"+body)
	}
	for _, line := range []string{"X-Pad: a\x00b", "X-Pad: a\rb", "X-Pad: a\x7fb", "\rX-Pad: a"} {
		answers = append(answers, "HTTP/1.1 200 OK\r\nSIGNED"+length+line+"\r\n\r\n"+wholeEvents)
	}
	return append(answers, "HTTP/1.1 000 OK\r\nSIGNED"+length+"\r\n"+wholeEvents, "HTTP/1.1 000\r\nSIGNED\r\n"+wholeEvents)
}

// checkBroken sends requests to servers that send these answers, and checks that none reaches a caller as a success.
func (f *brokenFleet) checkBroken(way string, entry int, answers []string) {
	f.t.Helper()
	paths := []string{"/book/x", "/book/look/x", "/talk/x"}
	for i, text := range answers {
		path, bodyBytes := paths[i%len(paths)], []int{16, 20 << 10}[i%2]
		r := f.requestUntilAnswered(entry, path, bodyBytes, func(c *net.TCPConn, request standin.RequestStart) {
			readBody(c, request.Unread)
			_, _ = io.WriteString(c, strings.Replace(text, "SIGNED", string(request.Fields), 1))
		})
		if r.err == nil && r.status < fasthttp.StatusBadRequest {
			f.t.Errorf("%s, %s: the answer %.120q reached the caller with status %d, %q", way, path, text, r.status, r.body)
		}
	}
}

// TestFleetBrokenNames guards against callers who get an answer in whose header the name of a field holds what no name may hold.
func TestFleetBrokenNames(t *testing.T) {
	t.Parallel()
	f := newBrokenFleet(t)
	f.inBothWays(func(way string, entry int) { f.checkBroken(way, entry, brokenNames()) })
	f.checkRecorded("field")
}

// TestFleetBrokenFramings guards against callers who get an answer that doesn't state its end as HTTP allows.
func TestFleetBrokenFramings(t *testing.T) {
	t.Parallel()
	f := newBrokenFleet(t)
	f.inBothWays(func(way string, entry int) { f.checkBroken(way, entry, brokenFramings()) })
	f.checkRecorded("framing", "header", "statusLine", "truncated")
}

// TestFleetOddAnswers guards against answers that are turned away although HTTP allows them.
func TestFleetOddAnswers(t *testing.T) {
	t.Parallel()
	f := newBrokenFleet(t)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(wholeEvents))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(wholeEvents), wholeEvents)
	const chunked = "HTTP/1.1 200 OK\r\nSIGNEDTransfer-Encoding: chunked\r\n"
	var answers []string
	for _, text := range []string{
		"HTTP/1.1 200\r\nSIGNED" + length, "HTTP/1.1 200 \r\nSIGNED" + length, "HTTP/1.0 200 OK\r\nSIGNED", "HTTP/1.0 200 OK\r\nSIGNED" + length, "HTTP/1.1 200 OK\r\nSIGNED",
		"\r\nHTTP/1.1 200 OK\r\nSIGNED" + length, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nSIGNED" + length,
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nSIGNED" + length,
	} {
		answers = append(answers, text+"\r\n"+wholeEvents)
	}
	for _, line := range []string{
		tokenBytes + ": 1", "X-Pad:", "X-Pad: ", "X-Pad:1", "X-Pad: \t 1 \t", "X-Pad: \xc3\xa4\xff", "X-Pad: a:b", "X-Pad: a\tb", "x-pad: 1\r\nX-PAD: 2", "1: 2", "-: 3",
		"X-Pad: " + strings.Repeat("v", 3<<10),
	} {
		answers = append(answers, "HTTP/1.1 200 OK\r\nSIGNED"+length+line+"\r\n\r\n"+wholeEvents, "HTTP/1.1 200 OK\r\n"+line+"\r\nSIGNED"+length+"\r\n"+wholeEvents)
	}
	answers = append(answers,
		chunked+"\r\n"+chunk+"0\r\n\r\n", chunked+"\r\n"+strings.Replace(chunk, "\r\n", ";a=\"b c\";d\r\n", 1)+"0;e\r\n\r\n", chunked+"Trailer: X-Sum\r\n\r\n"+chunk+"0\r\nX-Sum: 1\r\n\r\n",
		chunked+"\r\n000"+strings.ToUpper(chunk[:2])+chunk[2:]+"00\r\n\r\n",
		"HTTP/1.1 200 OK\r\nSIGNEDTransfer-Encoding: Chunked\r\n\r\n"+chunk+"0\r\n\r\n", chunked+length+"\r\n"+chunk+"0\r\n\r\n",
	)
	f.inBothWays(func(way string, entry int) {
		for _, path := range []string{"/book/x", "/book/look/x", "/talk/x"} {
			for _, text := range answers {
				r := f.requestUntilAnswered(entry, path, 16, func(c *net.TCPConn, request standin.RequestStart) {
					_, _ = io.WriteString(c, strings.Replace(text, "SIGNED", string(request.Fields), 1))
				})
				if r.err != nil || r.status != fasthttp.StatusOK || r.body != wholeEvents {
					t.Errorf("%s, %s: the caller of a server with the answer %.120q got status %d, error %v, %q", way, path, text, r.status, r.err, r.body)
				}
			}
		}
	})
}
