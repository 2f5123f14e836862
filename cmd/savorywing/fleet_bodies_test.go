package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/operator"
	standinserver "savorywing.example/savorywing/standin"
	standin "savorywing.example/savorywing/standin/fleet"
)

// What the processes of these tests may use, and the crowds that call them.
const (
	crowdMemoryMB    = 136
	crowdDescriptors = 120
	crowdCallers     = 100
	crowdConns       = 150
	crowdBodyBytes   = 4 << 20
	// crowdTime is how long a caller of a crowd may take for what it sends. Bodies may take longer.
	crowdTime         = 10 * time.Second
	crowdPollInterval = 100 * time.Millisecond
)

// crowd is a number of callers, none of which ends what it sends.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// startCrowd makes each of n callers connect to an address and call send, and returns once all have returned from it.
func startCrowd(t *testing.T, address string, n int, send func(c net.Conn)) *crowd {
	t.Helper()
	w := &crowd{}
	t.Cleanup(w.close)
	var callers sync.WaitGroup
	for range n {
		callers.Go(func() {
			c, err := net.DialTimeout("tcp", address, crowdTime)
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns = append(w.conns, c)
			w.mu.Unlock()
			if c.SetDeadline(time.Now().Add(crowdTime)) == nil {
				send(c)
			}
		})
	}
	callers.Wait()
	return w
}

func (w *crowd) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		_ = c.Close()
	}
}

// writeAll writes parts until one fails, as when the connection is closed.
func writeAll(c net.Conn, parts ...[]byte) {
	for _, p := range parts {
		if _, err := c.Write(p); err != nil {
			return
		}
	}
}

// peakMemoryMB returns the most memory that a process has had resident.
func (p *process) peakMemoryMB() int {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kb := 0
	if _, err := fmt.Sscan(rest, &kb); err != nil {
		p.t.Fatal(err)
	}
	return kb >> 10
}

// descriptors returns the number of file descriptors that a process has open.
func (p *process) descriptors() int {
	p.t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(open)
}

// settle waits until a process has read what it has received, so that its memory doesn't change any more.
func (p *process) settle() {
	const polls = 10
	last := 0
	for same := 0; same < polls; same++ {
		time.Sleep(crowdPollInterval)
		if peak := p.peakMemoryMB(); peak != last {
			same, last = 0, peak
		}
	}
}

// checkDescriptors checks that a process has no more descriptors than it may use.
func (p *process) checkDescriptors() {
	p.t.Helper()
	if n := p.descriptors(); n > crowdDescriptors {
		p.t.Errorf("%d descriptors, %d allowed", n, crowdDescriptors)
	}
}

// checkSize checks that a process runs and stays within a memory.
func (p *process) checkSize(maxMB int) {
	p.t.Helper()
	select {
	case <-p.done:
		p.t.Fatalf("%s has ended:\n%s", p.name, tail(p.logText()))
	default:
	}
	p.settle()
	peak := p.peakMemoryMB()
	p.t.Logf("peak %d MB, %d descriptors", peak, p.descriptors())
	if peak > maxMB {
		p.t.Errorf("%s had %d MB, %d allowed", p.name, peak, maxMB)
	}
}

// header returns the header of a POST without the lines of its framing. An empty key is left out.
func (f *fleetEnv) header(id, target, key, framing string) []byte {
	var h fasthttp.RequestHeader
	f.dialect.WriteCallerMetadata(&h, savorywing.CallerMetadata{AttemptID: id, APIKey: key, Timeout: 2 * time.Second, LastEventID: -1})
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n", target, fleetHost)
	for name, value := range h.All() {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "%s\r\n\r\n", framing)
	return b.Bytes()
}

// bodyCase is what each caller of a crowd sends as its body.
type bodyCase struct {
	name, framing string
	parts         func() [][]byte
	// keys are those of its crowds, one after the other.
	keys []string
}

func repeated(n int, parts ...[]byte) [][]byte {
	var all [][]byte
	for range n {
		all = append(all, parts...)
	}
	return all
}

func chunk(size int, extension string) []byte {
	return fmt.Appendf(nil, "%x%s\r\n%s\r\n", size, extension, bytes.Repeat([]byte("x"), size))
}

var (
	lengthFraming  = fmt.Sprintf("Content-Length: %d", crowdBodyBytes)
	chunkedFraming = "Transfer-Encoding: chunked"
	nearlyAll      = bytes.Repeat([]byte("x"), crowdBodyBytes-1)
	allKeys        = []string{fleetKey, "", "unknown"}
)

var endlessBodies = []bodyCase{
	{"all but the last byte", lengthFraming, func() [][]byte { return [][]byte{nearlyAll} }, allKeys},
	{"all but the last byte in pieces", lengthFraming, func() [][]byte { return repeated(63, nearlyAll[:64<<10]) }, allKeys[:1]},
	{"one byte", lengthFraming, func() [][]byte { return [][]byte{nearlyAll[:1]} }, allKeys[:1]},
	{"large chunks", chunkedFraming, func() [][]byte { return repeated(3, chunk(1<<20, "")) }, allKeys},
	{"small chunks", chunkedFraming, func() [][]byte { return repeated(32, bytes.Repeat(chunk(64, ""), 1<<10)) }, allKeys[:1]},
	{"chunks of one byte", chunkedFraming, func() [][]byte { return repeated(4, bytes.Repeat(chunk(1, ";a=b"), 64<<10)) }, allKeys[:1]},
	{"whole", lengthFraming, func() [][]byte { return [][]byte{nearlyAll, []byte("x")} }, allKeys[:1]},
	{"far over the limit, announced", "Content-Length: 4294967296", func() [][]byte { return repeated(2, nearlyAll) }, allKeys[:1]},
	{"far over the limit in chunks", chunkedFraming, func() [][]byte { return repeated(8, chunk(1<<20, "")) }, allKeys[:1]},
}

// crowdedFleet is a fleet whose further entry hosts are processes of their own. Callers may take long for what they send, so
// that none of a crowd ends by itself.
type crowdedFleet struct {
	*fleetEnv
	entry int
}

func newCrowdedFleet(t *testing.T, opts ...func(f *fleetEnv)) *crowdedFleet {
	t.Helper()
	if testing.Short() {
		t.Skip("real processes")
	}
	f := &crowdedFleet{fleetEnv: newFleetEnv(t, 3, 1, 0, opts...)}
	doc := fleetDocument(2)
	doc.Limits.HeaderTimeout = time.Minute
	crowded := doc.Routes[2]
	crowded.Name, crowded.Prefix = "crowd", "/crowd/"
	doc.Routes = append(doc.Routes, crowded)
	if status := f.publish(doc); status != fasthttp.StatusOK {
		t.Fatalf("status %d for the document", status)
	}
	return f
}

// start starts another entry host, which has the document.
func (f *crowdedFleet) start(t *testing.T) (p *process, address string) {
	t.Helper()
	f.entry++
	s := f.settings(savorywing.RoleEntry, f.entryIP(f.entry), true)
	s.MemoryMB, s.MaxDescriptors = crowdMemoryMB, crowdDescriptors
	p, _ = f.startProcess(s)
	p.t = t
	t.Cleanup(p.kill)
	f.awaitAnswer()
	return p, s.CallerAddress
}

// awaitAnswer waits until the entry host that was started last answers an ordinary request.
func (f *crowdedFleet) awaitAnswer() {
	f.t.Helper()
	f.eventually("an ordinary request", func() bool { return f.send(f.entry, "/crowd/x", "", fleetKey, nil).status == fasthttp.StatusOK })
}

// TestFleetBodiesThatNeverEnd guards against an entry host that runs out of memory for the bodies of callers who don't end
// them.
func TestFleetBodiesThatNeverEnd(t *testing.T) {
	f := newCrowdedFleet(t)
	for _, tt := range endlessBodies {
		for _, key := range tt.keys {
			t.Run(fmt.Sprintf("%s, key %q", tt.name, key), func(t *testing.T) {
				p, address := f.start(t)
				parts := append([][]byte{f.header("crowd", "/book/x", key, tt.framing)}, tt.parts()...)
				startCrowd(t, address, crowdCallers, func(c net.Conn) { writeAll(c, parts...) })
				f.awaitAnswer()
				p.checkSize(crowdMemoryMB)
			})
		}
	}
}

// TestFleetPeerBodiesThatNeverEnd is TestFleetBodiesThatNeverEnd for the listener to which other daemons connect.
func TestFleetPeerBodiesThatNeverEnd(t *testing.T) {
	f := newCrowdedFleet(t)
	p, _ := f.start(t)
	for _, tt := range endlessBodies[:crowdsOfOthers] {
		head := fmt.Appendf(nil, "POST /savorywing/v1/peer HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n", tt.framing)
		startCrowd(t, fmt.Sprintf("%s:%d", f.entryIP(f.entry), f.port), crowdCallers, func(c net.Conn) { writeAll(c, append([][]byte{head}, tt.parts()...)...) })
		f.awaitAnswer()
		t.Log(tt.name)
		p.checkSize(crowdMemoryMB)
	}
}

// TestFleetBodyAlone guards against bounds that refuse a single body within the limits.
func TestFleetBodyAlone(t *testing.T) {
	f := newCrowdedFleet(t)
	p, _ := f.start(t)
	for n, size := range []int{1, 64 << 10, 1 << 20, crowdBodyBytes} {
		for _, chunks := range []int{0, 1000} {
			c := bytesCase{method: "POST", target: "/book/x", body: strings.Repeat("x", size), chunks: chunks}
			status, err := f.exchangeBytes(f.entry, c.encode(fmt.Sprintf("alone-%d-%d", n, chunks), f.dialect))
			if err != nil || status != fasthttp.StatusOK {
				t.Errorf("%d bytes in chunks of %d: status %d, error %v", size, chunks, status, err)
			}
		}
	}
	p.checkSize(crowdMemoryMB)
}

// TestFleetConnectionsThatSendNothing guards against an entry host without descriptors for ordinary callers.
func TestFleetConnectionsThatSendNothing(t *testing.T) {
	f := newCrowdedFleet(t)
	for _, tt := range []struct{ name, sent string }{
		{"nothing", ""},
		{"half a head", "POST /book/x HTTP/1.1\r\nHost: " + fleetHost + "\r\nX-Part: "},
		{"a head of nearly the limit", "POST /book/x HTTP/1.1\r\nHost: " + fleetHost + "\r\nX-Part: " + strings.Repeat("x", 15<<10)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p, address := f.start(t)
			startCrowd(t, address, crowdConns, func(c net.Conn) { writeAll(c, []byte(tt.sent)) })
			f.awaitAnswer()
			p.checkSize(crowdMemoryMB)
			p.checkDescriptors()
		})
	}
}

// slowReaderBuffer is the size of the receive buffer of a caller who reads nothing, in bytes.
const slowReaderBuffer = 4 << 10

// TestFleetResponsesThatNobodyReads guards against an entry host that runs out of memory for the responses to callers who
// don't read them.
func TestFleetResponsesThatNobodyReads(t *testing.T) {
	f := newCrowdedFleet(t)
	p, address := f.start(t)
	for _, server := range f.fleet.PlainServers() {
		server.SetFaults(standin.Faults{BodyBytes: 2 * crowdBodyBytes})
	}
	request := f.header("crowd", "/book/look/x", fleetKey, "Content-Length: 0")
	startCrowd(t, address, crowdCallers, func(c net.Conn) {
		if tcp, ok := c.(*net.TCPConn); ok && tcp.SetReadBuffer(slowReaderBuffer) == nil {
			writeAll(c, request)
		}
	})
	p.settle()
	p.checkDescriptors()
	for _, server := range f.fleet.PlainServers() {
		server.SetFaults(standin.Faults{})
	}
	f.awaitAnswer()
	p.checkSize(crowdMemoryMB)
}

// TestFleetControlBodiesThatNeverEnd is TestFleetBodiesThatNeverEnd for the documents and reports of a control host.
func TestFleetControlBodiesThatNeverEnd(t *testing.T) {
	if testing.Short() {
		t.Skip("real processes")
	}
	f := newFleetEnv(t, 3, 1, 0)
	s := f.settings(savorywing.RoleControl, f.entryIP(1), false)
	s.DataDir, s.MemoryMB = t.TempDir(), crowdMemoryMB
	p, _ := f.startProcess(s)
	awaitAnswer := func() {
		f.eventually("an answer of the control host", func() bool {
			status, _, err := f.callControl(s.ControlAddress, func(h *fasthttp.RequestHeader) []byte { f.dialect.WriteRead(h); return nil })
			return err == nil && status != 0
		})
	}
	awaitAnswer()
	var h fasthttp.RequestHeader
	f.dialect.WritePublish(&h, fleetDocument(2))
	for _, tt := range endlessBodies[:crowdsOfOthers] {
		head := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n", h.Method(), h.RequestURI(), tt.framing)
		w := startCrowd(t, s.ControlAddress, crowdCallers, func(c net.Conn) { writeAll(c, append([][]byte{head}, tt.parts()...)...) })
		awaitAnswer()
		t.Log(tt.name)
		p.checkSize(crowdMemoryMB)
		w.close()
	}
}

// TestServeResponsesThatNobodyReads is TestFleetResponsesThatNobodyReads for the callers of savorywing serve, which passes on no
// response of a service before it is complete.
func TestServeResponsesThatNobodyReads(t *testing.T) {
	t.Setenv("GOMEMLIMIT", "82MiB")
	s := newSystem(t, 1)
	t.Setenv("GOMEMLIMIT", "")
	s.standin(standinserver.Config{Host: "booking-1", Kind: savorywing.KindService, Service: "booking", BodyBytes: 4 << 20})
	s.waitReady()
	head := fmt.Appendf(nil, "GET /booking/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", testKey)
	w := startCrowd(t, s.callers[0], crowdCallers, func(c net.Conn) {
		if tcp, ok := c.(*net.TCPConn); ok && tcp.SetReadBuffer(slowReaderBuffer) == nil {
			writeAll(c, head)
		}
	})
	s.daemons[0].checkSize(crowdMemoryMB)
	w.close()
	s.eventually("an ordinary request", func() bool { return s.send(0, "GET", "/booking/x", "", "").status == fasthttp.StatusOK })
}

// crowdsOfOthers is the number of endlessBodies that are sent to others than entry hosts of a fleet.
const crowdsOfOthers = 4

// TestServeBodiesThatNeverEnd is TestFleetBodiesThatNeverEnd for the callers and the operators of savorywing serve.
func TestServeBodiesThatNeverEnd(t *testing.T) {
	t.Setenv("GOMEMLIMIT", "82MiB")
	s := newSystem(t, 1)
	s.service("booking-1", 10*time.Millisecond)
	s.waitReady()
	for _, to := range []struct{ name, address, key, target string }{
		{"callers", s.callers[0], testKey, "/booking/x"},
		{"operators", s.operators[0], testToken, operator.PathConfiguration},
		{"operators without a token", s.operators[0], "", operator.PathConfiguration},
	} {
		for _, tt := range endlessBodies[:crowdsOfOthers] {
			head := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n", to.target, to.key, tt.framing)
			w := startCrowd(t, to.address, crowdCallers, func(c net.Conn) { writeAll(c, append([][]byte{head}, tt.parts()...)...) })
			s.eventually("an ordinary request", func() bool { return s.send(0, "GET", "/booking/x", "", "").status == fasthttp.StatusOK })
			t.Log(to.name + ": " + tt.name)
			s.daemons[0].checkSize(crowdMemoryMB)
			w.close()
		}
	}
}
