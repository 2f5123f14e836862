package main

import (
	"bytes"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	standin "savorywing.example/savorywing/standin/fleet"
)

// bodyParts returns what a caller sends whose body has a framing.
func (f *fleetEnv) bodyParts(target, framing string, parts [][]byte) func(id string) [][]byte {
	return func(id string) [][]byte { return append([][]byte{f.header(id, target, fleetKey, framing)}, parts...) }
}

// endlessCallers are callers who don't end their bodies.
func (f *fleetEnv) endlessCallers(target string) []caller {
	far := "Content-Length: 4294967296"
	return []caller{
		{name: "short of the end", parts: f.bodyParts(target, lengthFraming, [][]byte{nearlyAll}), reads: true},
		{name: "in pieces", parts: f.bodyParts(target, lengthFraming, repeated(63, nearlyAll[:64<<10])), reads: true},
		{name: "chunks of 64 KiB", parts: f.bodyParts(target, chunkedFraming, repeated(60, chunk(64<<10, ""))), reads: true},
		{name: "chunks of two bytes", parts: f.bodyParts(target, chunkedFraming, repeated(8, bytes.Repeat(chunk(2, ""), 32<<10))), reads: true},
		{name: "far over, announced", parts: f.bodyParts(target, far, repeated(2, nearlyAll)), reads: true},
		{name: "far over, in chunks", parts: f.bodyParts(target, chunkedFraming, repeated(8, chunk(1<<20, ""))), reads: true},
		{name: "closed on their side", parts: f.bodyParts(target, lengthFraming, [][]byte{nearlyAll}), closesWrite: true},
		{name: "nothing read", parts: f.bodyParts(target, lengthFraming, [][]byte{nearlyAll})},
		{name: "heads of nearly the limit", parts: func(string) [][]byte { return [][]byte{longHead} }, reads: true},
	}
}

var longHead = []byte("POST /book/x HTTP/1.1\r\nHost: " + fleetHost + "\r\nX-Part: " + strings.Repeat("x", 15<<10))

// startSmall starts another entry host, whose limits are those of the crowds that return.
func (f *crowdedFleet) startSmall(t *testing.T, cores int) (p *process, s crowdTarget) {
	t.Helper()
	t.Setenv("GOMAXPROCS", fmt.Sprint(cores))
	f.entry++
	settings := f.settings(savorywing.RoleEntry, f.entryIP(f.entry), true)
	settings.MemoryMB, settings.MaxDescriptors, settings.MetricsPort = returningMemoryMB, crowdMaxDescriptors, f.port+4
	p, _ = f.startProcess(settings)
	p.t = t
	t.Cleanup(p.kill)
	f.awaitAnswer()
	return p, crowdTarget{settings.CallerAddress, settings.ReadyAddress, settings.PeerAddress(), settings.MetricsAddress()}
}

type crowdTarget struct{ callers, ready, peers, metrics string }

// withstand checks an entry host during and after a crowd.
func (f *crowdedFleet) withstand(t *testing.T, p *process, address string, kinds ...caller) {
	t.Helper()
	c := crowded{p: p, send: func() int { return f.send(f.entry, "/crowd/x", "", fleetKey, nil).status }, await: f.awaitAnswer}
	r := c.withstand(t, address, kinds...)
	for _, id := range r.promised {
		if n := f.fleet.RunCount(id); n > 0 {
			t.Errorf("request %s ran %d times although its answer promised that it doesn't", id, n)
		}
	}
}

// TestCrowdReturns guards against an entry host that runs out of memory or descriptors, or serves nobody else, while callers whom
// it turns away come back at once.
func TestCrowdReturns(t *testing.T) {
	f := newCrowdedFleet(t)
	for _, cores := range []int{8, 1} {
		all := f.endlessCallers("/book/x")
		for _, kind := range all {
			t.Run(fmt.Sprintf("%s, %d cores", kind.name, cores), func(t *testing.T) {
				p, target := f.startSmall(t, cores)
				f.withstand(t, p, target.callers, kind)
			})
		}
		t.Run(fmt.Sprintf("mixed, %d cores", cores), func(t *testing.T) {
			p, target := f.startSmall(t, cores)
			f.withstand(t, p, target.callers, all...)
		})
	}
}

// TestCrowdAtServers is TestCrowdReturns for complete requests, some of whose callers don't read the responses.
func TestCrowdAtServers(t *testing.T) {
	f := newCrowdedFleet(t)
	whole := [][]byte{nearlyAll, []byte("x")}
	for _, tt := range []struct {
		name   string
		faults standin.Faults
		kind   caller
	}{
		{"complete bodies", standin.Faults{}, caller{parts: f.bodyParts("/book/x", lengthFraming, whole), reads: true}},
		{"bodies that servers don't read", standin.Faults{ReadAtMost: 64 << 10}, caller{parts: f.bodyParts("/book/x", lengthFraming, whole), reads: true}},
		{"large responses", standin.Faults{BodyBytes: 2 * crowdBodyBytes},
			caller{parts: f.bodyParts("/book/look/x", "Content-Length: 0", nil), receiveBuffer: slowReaderBuffer}},
		{"many requests at once", standin.Faults{}, caller{parts: func(id string) [][]byte {
			return repeated(64, bytes.Repeat(f.header(id, "/book/look/x", fleetKey, "Content-Length: 0"), 64))
		}, receiveBuffer: slowReaderBuffer}},
	} {
		for _, cores := range []int{8, 1} {
			t.Run(fmt.Sprintf("%s, %d cores", tt.name, cores), func(t *testing.T) {
				p, target := f.startSmall(t, cores)
				for _, server := range f.fleet.PlainServers() {
					server.SetFaults(tt.faults)
				}
				f.withstand(t, p, target.callers, tt.kind)
				for _, server := range f.fleet.PlainServers() {
					server.SetFaults(standin.Faults{})
				}
				f.awaitAnswer()
			})
		}
	}
}

// TestCrowdHandedOver checks an entry host to which another one, which is cut off from the servers, hands the requests of its crowd.
func TestCrowdHandedOver(t *testing.T) {
	f := newCrowdedFleet(t, withPaths)
	crowdAt := fmt.Sprintf("%s:%d", f.entryIP(0), f.port+2)
	for _, tt := range []struct {
		name  string
		parts [][]byte
	}{
		{"complete bodies", [][]byte{nearlyAll, []byte("x")}},
		{"small requests", [][]byte{nearlyAll[:1<<10], nearlyAll[:1<<10]}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p, _ := f.startSmall(t, 8)
			f.cutOff(1, standin.CutReset)
			defer f.cutOff(1, standin.NoCut)
			f.eventually("a request that is handed over", func() bool { return f.send(0, "/crowd/x", "", fleetKey, nil).status == fasthttp.StatusOK })
			framing := fmt.Sprintf("Content-Length: %d", len(bytes.Join(tt.parts, nil)))
			f.withstand(t, p, crowdAt, caller{parts: f.bodyParts("/book/x", framing, tt.parts), reads: true})
		})
	}
}

// TestCrowdElsewhere is TestCrowdReturns for a crowd that isn't where the ordinary callers are.
func TestCrowdElsewhere(t *testing.T) {
	f := newCrowdedFleet(t)
	kinds := fromElsewhere(append(f.endlessCallers("/book/x"), nothingSent)...)
	for _, cores := range []int{8, 1} {
		t.Run(fmt.Sprintf("mixed, %d cores", cores), func(t *testing.T) {
			p, target := f.startSmall(t, cores)
			f.withstand(t, p, target.callers, kinds...)
		})
	}
}

// TestCrowdAtListeners is TestCrowdReturns for the listeners of an entry host that aren't for callers.
func TestCrowdAtListeners(t *testing.T) {
	f := newCrowdedFleet(t)
	peerHead := "POST /savorywing/v1/peer HTTP/1.1\r\nHost: x\r\n"
	for _, tt := range []struct {
		name    string
		address func(c crowdTarget) string
		target  string
	}{
		{"readiness", func(c crowdTarget) string { return c.ready }, "/readyz"},
		{"peers", func(c crowdTarget) string { return c.peers }, "/savorywing/v1/peer"},
		{"forwarding", func(c crowdTarget) string { return c.peers }, "/savorywing/v1/forward"},
		{"metrics", func(c crowdTarget) string { return c.metrics }, "/metrics"},
	} {
		for _, kind := range []struct {
			name  string
			kinds []caller
		}{
			{nothingSent.name, []caller{nothingSent}},
			{"half a head", []caller{{parts: func(string) [][]byte { return [][]byte{[]byte(peerHead)} }, reads: true}}},
			{"bodies", f.endlessCallers(tt.target)},
		} {
			t.Run(tt.name+", "+kind.name, func(t *testing.T) {
				p, target := f.startSmall(t, 8)
				f.withstand(t, p, tt.address(target), kind.kinds...)
			})
		}
	}
}

// TestCrowdAlone checks that one request of the largest size is served while nobody else calls, at a host of the smallest memory.
func TestCrowdAlone(t *testing.T) {
	f := newCrowdedFleet(t)
	p, _ := f.startSmall(t, 1)
	m := startMeter(p, "")
	for n, size := range []int{1, 64 << 10, 1 << 20, crowdBodyBytes} {
		for _, chunks := range []int{0, 2, 1000} {
			if size*4 > crowdBodyBytes && chunks == 2 {
				continue // takes long
			}
			c := bytesCase{method: "POST", target: "/book/x", body: strings.Repeat("x", size), chunks: chunks}
			status, err := f.exchangeBytes(f.entry, c.encode(fmt.Sprintf("crowd-alone-%d-%d", n, chunks), f.dialect))
			if err != nil || status != fasthttp.StatusOK {
				t.Errorf("%d bytes in chunks of %d: status %d, error %v", size, chunks, status, err)
			}
		}
	}
	m.check(t, returningMemoryMB, crowdMaxDescriptors-reservedDescriptors)
}

// TestCrowdWhileStopping checks that an entry host with a crowd takes new settings, ends after a signal, and serves once it has
// started again amid the crowd.
func TestCrowdWhileStopping(t *testing.T) {
	f := newCrowdedFleet(t)
	all := f.endlessCallers("/book/x")
	p, target := f.startSmall(t, 8)
	m := startMeter(p, "")
	r := startReturning(t, target.callers, returningCallers, all...)
	time.Sleep(time.Second)
	p.signal(syscall.SIGHUP)
	f.eventually("the settings are read again", func() bool { return strings.Contains(p.logText(), `"event":"settingsReloaded"`) })
	time.Sleep(time.Second)
	p.signal(syscall.SIGTERM)
	if code := p.wait(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	u := m.end()
	t.Logf("at the most %d MB, %d sockets, pipes and data files", u.total>>20, u.descriptors)
	if u.total > returningMemoryMB<<20 || u.descriptors > crowdMaxDescriptors-reservedDescriptors {
		t.Errorf("%d bytes, %d descriptors, %d MB and %d allowed", u.total, u.descriptors, returningMemoryMB, crowdMaxDescriptors-reservedDescriptors)
	}
	p.start()
	m = startMeter(p, "")
	time.Sleep(returningTime)
	r.end()
	f.awaitAnswer()
	m.check(t, returningMemoryMB, crowdMaxDescriptors-reservedDescriptors)
}
