package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in of a plain backend server. It follows PROTOCOL.md: it answers 421 if another server is named, runs a request
// otherwise, and reports to the control hosts.
type server struct {
	d                 *deployment
	id, service, zone string
	address           string
	slots             int
	work              time.Duration
	// coldFor is how long the server is cold after a start during traffic, and crashAt the number of requests in a second beyond which a
	// cold one crashes; 0 for never.
	coldFor time.Duration
	crashAt int

	mu sync.Mutex
	// born is the Unix millisecond of the start, and seq counts the reports since then.
	born, seq int64
	coldUntil time.Time
	http      *http.Server
	places    chan struct{}
	leaving   bool
	gone      bool
	// reportsHeld reports whether the path to the control hosts is cut, and reportDelay how late reports arrive.
	reportsHeld  bool
	reportDelay  time.Duration
	reportTo     string
	lastReportAt time.Time
	stopReports  context.CancelFunc
	arrivals     []arrival
	crashed      bool
}

// arrival is a request that has reached a server and wasn't answered with 421.
type arrival struct {
	at   time.Time
	id   string
	cold bool
	born int64
}

func (d *deployment) newServer(id, service, zone string, slots int, work time.Duration) *server {
	return &server{d: d, id: id, service: service, zone: zone, address: fmt.Sprintf("%s:%d", d.newIP(), d.serverPort), slots: slots, work: work}
}

// start starts the server, cold or not.
func (s *server) start(cold bool) error {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", s.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.born, s.seq, s.places, s.leaving, s.gone, s.crashed, s.reportTo = time.Now().UnixMilli(), 0, make(chan struct{}, s.slots), false, false, false, ""
	s.coldUntil = time.Time{}
	if cold {
		s.coldUntil = time.Now().Add(s.coldFor)
	}
	s.stopReports = cancel
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	h := s.http
	s.mu.Unlock()
	s.d.record.add("server", "%s starts, cold %t", s.id, cold)
	go func() { _ = h.Serve(l) }()
	go s.report(ctx)
	return nil
}

// crash ends the server without a word.
func (s *server) crash(why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return
	}
	s.crashed = true
	s.stopReports()
	go func(h *http.Server) { _ = h.Close() }(s.http)
	s.d.record.add("server", "%s ends: %s", s.id, why)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Savorywing-Attempt-Id")
	now := time.Now()
	s.mu.Lock()
	cold, leaving := now.Before(s.coldUntil), s.leaving
	coldMs := max(0, time.Until(s.coldUntil).Milliseconds())
	places := s.places
	s.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	w.Header().Set("X-Savorywing-Instance-Id", s.id)
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Savorywing-Cold-Ms", strconv.FormatInt(coldMs, 10))
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case "/v1/report":
		_, _ = io.WriteString(w, `{"phase_name":"","models":[],"busy":false,"seq":0,"waiting":0,"running":0}`)
		return
	}
	w.Header().Set("X-Savorywing-Attempt-Id", id)
	if expected := r.Header.Get("X-Savorywing-Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Savorywing-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.arrive(now, id, cold) {
		s.crash("more requests in a second than a cold server bears")
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case places <- struct{}{}:
		defer func() { <-places }()
	case <-r.Context().Done():
		return
	}
	s.d.record.add("run", "%s by %s", id, s.id)
	time.Sleep(s.work)
	body := "answer to " + id + "\n"
	w.Header().Set("X-Savorywing-Server-Signature", "s."+s.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// arrive records a request, and reports whether the server crashes of it.
func (s *server) arrive(now time.Time, id string, cold bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{now, id, cold, s.born})
	s.d.record.add("arrival", "%s at %s, cold %t", id, s.id, cold)
	if !cold || s.crashAt == 0 {
		return false
	}
	n := 0
	for _, a := range s.arrivals {
		if a.cold && a.born == s.born && now.Sub(a.at) < time.Second {
			n++
		}
	}
	return n > s.crashAt
}

// mostInSecond returns the most requests that reached the server in some second while it was cold.
func (s *server) mostInSecond() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for i, a := range s.arrivals {
		n := 0
		for _, b := range s.arrivals[i:] {
			if a.cold && b.cold && a.born == b.born && b.at.Sub(a.at) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// report sends a status report about every heartbeat until the server ends.
func (s *server) report(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		held, gone, delay := s.reportsHeld, s.gone, s.reportDelay
		state := "ready"
		if s.leaving {
			state = "draining"
		}
		s.seq++
		body, _ := json.Marshal(map[string]any{
			"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
			"cold_left_ms": max(0, time.Until(s.coldUntil).Milliseconds()), "seq": s.seq, "born": s.born,
		})
		s.mu.Unlock()
		if !held && !gone {
			go func() {
				// A report that arrives late is still that of the moment at which it was made.
				time.Sleep(delay)
				if ctx.Err() == nil {
					s.send(body)
				}
			}()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// send sends a status report to the address that was named for it, or else to one control host after the other.
func (s *server) send(body []byte) bool {
	s.mu.Lock()
	to := s.reportTo
	s.mu.Unlock()
	addresses := []string{}
	if to != "" {
		addresses = append(addresses, to)
	}
	for _, c := range s.d.controls {
		addresses = append(addresses, fmt.Sprintf("%s:%d", c.ip, s.d.controlPort))
	}
	for _, address := range addresses {
		status, b, err := s.post(address, "heartbeat", body)
		if err != nil || status/100 != 2 {
			s.mu.Lock()
			s.reportTo = ""
			s.mu.Unlock()
			continue
		}
		var reply struct {
			Address string `json:"heartbeat_addr"`
		}
		_ = json.Unmarshal(b, &reply)
		s.d.record.add("report", "%s is acknowledged by %s", s.id, address)
		s.mu.Lock()
		s.lastReportAt = time.Now()
		if reply.Address != "" {
			s.reportTo = reply.Address
		}
		s.mu.Unlock()
		return true
	}
	return false
}

func (s *server) post(address, what string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/v1/instances/%s/%s", address, s.id, what), bytesReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := control.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 4096))
	return resp.StatusCode, b, err
}

// deregister takes the server off, which goes on serving, and returns when that was acknowledged.
func (s *server) deregister() (time.Time, error) {
	s.mu.Lock()
	s.gone, s.leaving = true, true
	addresses := []string{s.reportTo}
	s.mu.Unlock()
	for _, c := range s.d.controls {
		addresses = append(addresses, fmt.Sprintf("%s:%d", c.ip, s.d.controlPort))
	}
	for i, address := range addresses {
		if address == "" || slices.Contains(addresses[:i], address) {
			continue
		}
		s.d.record.add("call", "%s deregisters at %s", s.id, address)
		status, _, err := s.post(address, "deregister", nil)
		if err == nil && status/100 == 2 {
			s.d.record.add("ack", "%s has deregistered, by %s", s.id, address)
			return time.Now(), nil
		}
	}
	return time.Time{}, fmt.Errorf("the withdrawal of %s was not acknowledged", s.id)
}

// awaitReport waits until a report has just been acknowledged.
func (s *server) awaitReport() {
	for {
		s.mu.Lock()
		since := time.Since(s.lastReportAt)
		s.mu.Unlock()
		if since < 50*time.Millisecond {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
