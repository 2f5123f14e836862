package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	standin "savorywing.example/savorywing/standin/fleet"
)

// TestFleetDataCentreCutOff guards against callers who aren't served because all entry hosts of their data centre are cut off,
// while those of another one, which are farther, aren't.
func TestFleetDataCentreCutOff(t *testing.T) {
	for _, tt := range []struct {
		name string
		cut  standin.Cut
	}{
		{"silent", standin.CutSilent},
		{"accepted and silent", standin.CutAcceptSilent},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			const hosts = 3
			f := newFleetEnv(t, 3, 6, 20, withPaths, func(f *fleetEnv) {
				f.dataCentre = func(entry int) string { return map[bool]string{true: "a", false: "b"}[entry < hosts] }
			})
			f.waitServing()
			l := f.startCutLoad()
			time.Sleep(time.Second)
			f.cutOff(hosts, tt.cut)
			time.Sleep(cutGrace)
			l.measure(cutMeasured)
			f.cutOff(hosts, standin.NoCut)
			time.Sleep(cutGrace)
			l.end()
			l.checkServed(t, "data centre cut off", hosts)
		})
	}
}

// TestFleetForwardedLethalRequest guards against requests that crash servers and aren't quarantined, or get others quarantined,
// because they reach the servers through a second entry host.
func TestFleetForwardedLethalRequest(t *testing.T) {
	for _, tt := range []lethalRequestCase{
		{"idempotent", "/book/look/x", []string{""}, setLethalBody},
		{"not idempotent", "/book/x", []string{""}, setLethalBody},
		{"stream", "/talk/x", []string{smallModel, largeModel}, setLethalBody},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetEnv(t, 3, 3, 30, withPaths)
			f.addPlainServers(1)
			f.waitServing()
			f.cutOffUntilForwarded(1, standin.CutAcceptReset)
			l := f.startRequestLoad(tt)
			defer l.end()
			time.Sleep(time.Second)
			f.fleet.SetLethalBody(lethalBody)
			time.Sleep(6 * time.Second)
			l.reset()
			time.Sleep(4 * time.Second)
			f.checkLethalRequests()
			l.check()
		})
	}
}

// TestFleetForwardedServerLimit guards against servers that get more requests than they state to take because some come
// through a second entry host, and against limits that aren't used in full then.
func TestFleetForwardedServerLimit(t *testing.T) {
	t.Parallel()
	tt := limitCase{"", "/book/look/x", "", (*fleetEnv).plainServers, true, "6", 6, -1, 18, nil}
	f := newFleetEnv(t, 3, 6, 20, withPaths)
	f.waitServing()
	f.cutOffUntilForwarded(4, standin.CutReset)
	limited := tt.servers(f, "")
	l := f.startLimitLoad(tt)
	setLimit(limited, tt.limit)
	inForce := time.Now().Add(limitGrace)
	time.Sleep(limitGrace + 8*time.Second)
	tt.checkUse(t, limited, inForce)
	close(l.stop)
	l.callers.Wait()
	t.Logf("%d served, %d rejected", l.served, l.rejected)
}

// slowReader sends a request and reads the response in pieces, with pauses. It returns the number of bytes of the body, or an
// error.
func (f *fleetEnv) slowReader(entry int, pieceBytes int, pause time.Duration, maxPauses int) (int, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", f.entryIP(entry), f.port+2), time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		return 0, err
	}
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetRequestURI("/book/look/x")
	req.Header.SetHost(fleetHost)
	f.dialect.WriteCallerMetadata(&req.Header, savorywing.CallerMetadata{APIKey: fleetKey, AttemptID: fmt.Sprintf("slow-%p", conn), LastEventID: -1})
	if _, err := req.WriteTo(conn); err != nil {
		return 0, err
	}
	total, pauses := 0, 0
	header := ""
	for b := make([]byte, pieceBytes); ; {
		n, err := conn.Read(b)
		total += n
		if !strings.Contains(header, "\r\n\r\n") {
			header += string(b[:n])
		}
		end := strings.Index(header, "\r\n\r\n")
		body := total - end - len("\r\n\r\n")
		if err != nil {
			return body, err
		}
		if end >= 0 && body >= slowBodyBytes {
			return body, nil
		}
		if pauses++; pauses <= maxPauses {
			time.Sleep(pause)
		}
	}
}

// slowBodyBytes is more than sockets and buffers on the way hold.
const slowBodyBytes = 12 << 20

// TestFleetForwardedSlowReaders guards against callers who read slowly and hold up others through the connections between entry
// hosts, and against truncated responses to them.
func TestFleetForwardedSlowReaders(t *testing.T) {
	t.Parallel()
	f := newFleetEnv(t, 3, 3, 20, withPaths)
	doc := fleetDocument(2)
	for i := range doc.Routes {
		// The time limit of a request is not what is tested.
		doc.Routes[i].Timeout = 8 * time.Second
	}
	f.publish(doc)
	f.waitServing()
	f.cutOffUntilForwarded(1, standin.CutReset)
	for _, s := range f.fleet.PlainServers() {
		s.SetFaults(standin.Faults{BodyBytes: slowBodyBytes})
	}
	var readers sync.WaitGroup
	var steady, stopped atomic.Int64
	for n := range 4 {
		readers.Go(func() {
			// This takes longer than the time after which a silent server counts as stalled.
			entry := n % 2
			got, err := f.slowReader(entry, 64<<10, 4*time.Millisecond, slowBodyBytes/(64<<10))
			if err != nil || got != slowBodyBytes {
				t.Errorf("a caller at host %d that reads steadily got %d bytes of %d: %v", entry, got, slowBodyBytes, err)
				return
			}
			steady.Add(1)
		})
		readers.Go(func() {
			// The writes to a caller that doesn't read for 5 s are given up, on either host.
			n, err := f.slowReader(0, 64<<10, 12*time.Second, 1)
			if err == nil {
				t.Errorf("a caller that stops reading got all %d bytes", n)
			}
			stopped.Add(1)
		})
	}
	time.Sleep(500 * time.Millisecond)
	l := f.startCutLoad("/talk/x")
	l.measure(4 * time.Second)
	l.end()
	l.checkServed(t, "beside slow readers", 1)
	readers.Wait()
	t.Logf("%d steady readers served, %d responses to readers that stopped were given up", steady.Load(), stopped.Load())
}
