package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	standin "savorywing.example/savorywing/standin/fleet"
)

// sendAs sends a request with an attempt ID that the caller chooses; empty for none.
func (f *fleetEnv) sendAs(entry int, path, model, attemptID string, lastEventID int64) fleetResponse {
	m := savorywing.CallerMetadata{APIKey: fleetKey, Timeout: 8 * time.Second, Model: model, PromptTokens: 500, MaxOutputTokens: 60, LastEventID: lastEventID}
	return f.sendBody(entry, path, nil, m, func(req *fasthttp.Request) {
		m.AttemptID = attemptID
		f.dialect.WriteCallerMetadata(&req.Header, m)
		req.SetBodyString("what is to be done")
	})
}

// setAllFaults replaces the faults of all servers.
func (f *fleetEnv) setAllFaults(faults standin.Faults) {
	for _, s := range f.fleet.Servers() {
		s.SetFaults(faults)
	}
}

// TestFleetRepeatedRefusal guards against requests that are said not to have run, or that run twice, since a server repeats
// the refusal of an earlier request on a kept connection, whatever attempt IDs callers choose.
func TestFleetRepeatedRefusal(t *testing.T) {
	t.Parallel()
	f := newFleetEnv(t, 3, 2, 10, withPaths, func(f *fleetEnv) { f.retryBurst = 1000 })
	f.waitServing()
	f.setAllFaults(standin.Faults{RepeatRefusals: true})
	for _, forwarded := range []bool{false, true} {
		if forwarded {
			f.cutOff(1, standin.CutReset)
			f.eventually("a booking through another host", func() bool { return f.send(0, "/book/x", "", fleetKey, nil).status == fasthttp.StatusOK })
		}
		for path, requests := range map[string]int{"/book/x": 24, "/book/look/x": 24, "/talk/x": 8} {
			for _, tt := range []struct {
				name string
				id   func(n int) string
			}{
				{"own IDs", func(n int) string { return fmt.Sprint(path, forwarded, n) }},
				{"one ID", func(int) string { return fmt.Sprint(path, forwarded, "again") }},
				{"no ID", func(int) string { return "" }},
			} {
				t.Run(fmt.Sprintf("%s, %s, forwarded %t", path, tt.name, forwarded), func(t *testing.T) {
					served := 0
					for n := range requests {
						served += f.checkRefusals(t, path, tt.id(n))
					}
					t.Logf("%d of %d served", served, requests)
					if served == 0 {
						t.Error("no request was served")
					}
				})
			}
		}
	}
}

// checkRefusals sends a request and checks what its caller is told against the runs. It returns 1 if it was served.
func (f *fleetEnv) checkRefusals(t *testing.T, path, id string) int {
	model := ""
	if path == "/talk/x" {
		model = smallModel
	}
	before := f.fleet.RunCount(id)
	r := f.sendAs(0, path, model, id, -1)
	// A request that was refused must not run later either.
	time.Sleep(20 * time.Millisecond)
	runs := f.fleet.RunCount(id) - before
	if path == "/book/x" && runs > 1 {
		t.Errorf("%s ran %d times", id, runs)
	}
	if r.err == nil && r.status == fasthttp.StatusServiceUnavailable && runs > 0 {
		t.Errorf("%s was rejected as not run and ran %d times", id, runs)
	}
	if r.err != nil || r.status != fasthttp.StatusOK || (model != "" && checkCompleteStream(r.body) != nil) {
		return 0
	}
	return 1
}

// TestFleetErrorAfterBrokenStream guards against bytes of an error in a stream, and streams that look complete, when a stream
// has broken off and the next engine answers with an error.
func TestFleetErrorAfterBrokenStream(t *testing.T) {
	t.Parallel()
	f := newFleetEnv(t, 3, 2, 20, withPaths, func(f *fleetEnv) { f.retryBurst = 1000 })
	f.waitServing()
	for _, forwarded := range []bool{false, true} {
		if forwarded {
			f.setAllFaults(standin.Faults{})
			f.cutOffUntilForwarded(1, standin.CutReset)
		}
		for _, framing := range []standin.Framing{standin.Chunked, standin.UntilClose, standin.ChunkedToTheEnd} {
			for _, status := range []int{200, 204, 400, 404, 429, 500, 502, 503, 504} {
				t.Run(fmt.Sprintf("status %d, framing %d, forwarded %t", status, framing, forwarded), func(t *testing.T) {
					f.setAllFaults(standin.Faults{Framing: framing, TruncateAfter: 4, PartialEvent: true, ResumeStatus: status})
					var callers sync.WaitGroup
					for n := range 8 {
						callers.Go(func() { f.checkBroken(t, int64(n%2)*3-1) })
					}
					callers.Wait()
				})
			}
		}
	}
}

// checkBroken sends a request for a stream, or to resume one, that breaks off, and checks what the caller gets.
func (f *fleetEnv) checkBroken(t *testing.T, lastEventID int64) {
	r := f.sendAs(0, "/talk/x", smallModel, fmt.Sprint("broken-", lastEventID, time.Now().UnixNano()), lastEventID)
	if r.err == nil && r.status == fasthttp.StatusOK && lastEventID < 0 && checkCompleteStream(r.body) != nil {
		t.Errorf("a stream that broke off was delivered as complete: %q", r.body)
	}
	// To a request that resumes a stream, the error is the response.
	if strings.Contains(r.body, standin.ErrorText) && (lastEventID < 0 || strings.Contains(r.body, "id: ")) {
		t.Errorf("the text of an error is in a stream: status %d, error %v, %q", r.status, r.err, r.body)
	}
}

// TestFleetIdleConnectionEnds guards against requests that are said not to have run, or that run twice, when servers close
// idle connections without notice as requests are written on them.
func TestFleetIdleConnectionEnds(t *testing.T) {
	t.Parallel()
	f := newFleetEnv(t, 3, 1, 4)
	f.eventually("a booking", func() bool { return f.send(0, "/book/x", "", fleetKey, nil).status == fasthttp.StatusOK })
	for _, after := range []time.Duration{time.Microsecond, 300 * time.Microsecond, time.Millisecond, 3 * time.Millisecond} {
		for _, path := range []string{"/book/x", "/book/look/x"} {
			t.Run(fmt.Sprint(path, " ", after), func(t *testing.T) {
				f.setAllFaults(standin.Faults{CloseAfter: after})
				results := map[int]int{}
				for n := range 60 {
					r := f.send(0, path, "", fleetKey, nil)
					f.checkRuns(path, r)
					results[r.status]++
					time.Sleep(time.Duration(n%4) * after / 2)
				}
				t.Logf("responses by status: %v", results)
				if path == "/book/look/x" && results[fasthttp.StatusOK] < 60 {
					t.Errorf("%d of 60 requests that may run again were served", results[fasthttp.StatusOK])
				}
			})
		}
	}
}
