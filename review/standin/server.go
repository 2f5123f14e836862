package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// request is a request as it arrived at a server.
type request struct {
	server       *server
	at           time.Time
	line         string
	method, path string
	// lines holds the lines of the header as they arrived.
	lines  []string
	header http.Header
	body   []byte
}

func (r *request) id() string { return r.header.Get("X-Savorywing-Attempt-Id") }

// answer is what a server answers.
type answer struct {
	status int
	header []string
	body   string
	delay  time.Duration
	// lost closes the connection after the run without an answer.
	lost bool
	// notRun means that the server rejects the request.
	notRun bool
}

// server is a plain backend server: it registers, sends status reports, and runs requests that are meant for it.
type server struct {
	installation  *installation
	id, service   string
	ip            string
	listener      net.Listener
	born          int64
	handle        func(r *request) answer
	mu            sync.Mutex
	sequence      uint64
	state         string
	heartbeatAddr string
	// reportedTo is the control address that acknowledged the last report.
	reportedTo string
	wake       chan struct{}
	runs       []*request
	// arrivals holds the requests that arrived, run or not, but for those that were meant for another server.
	arrivals []*request
	done     chan struct{}
	once     sync.Once
	conns    map[net.Conn]bool
}

const reportInterval = 1200 * time.Millisecond

// addServer starts a server and its reports.
func (n *installation) addServer(service string, handle func(r *request) answer) (*server, error) {
	i := len(n.servers)
	l, err := net.Listen("tcp", serverIP(i)+":0")
	if err != nil {
		return nil, err
	}
	s := &server{installation: n, id: fmt.Sprintf("i-%06x", 0xa1b2c3+i*7919), service: service, ip: serverIP(i), listener: l, born: time.Now().UnixMilli(),
		handle: handle, state: "ready", done: make(chan struct{}), wake: make(chan struct{}, 1), conns: map[net.Conn]bool{}}
	n.servers = append(n.servers, s)
	go s.accept()
	go s.report()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) stop() {
	s.once.Do(func() { close(s.done) })
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(15 * time.Second))
		r, err := readRequest(reader)
		if err != nil {
			return
		}
		r.server, r.at = s, time.Now()
		a := s.answer(r)
		if a.delay > 0 {
			time.Sleep(a.delay)
		}
		if a.lost {
			return
		}
		var b bytes.Buffer
		fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
		if id := r.id(); id != "" {
			fmt.Fprintf(&b, "X-Savorywing-Attempt-Id: %s\r\n", id)
		}
		if a.notRun {
			b.WriteString("X-Savorywing-Not-Executed: 1\r\n")
		} else if r.id() != "" {
			fmt.Fprintf(&b, "X-Savorywing-Server-Signature: %s.%s\r\n", s.id, r.id())
		}
		if s.isLeaving() {
			b.WriteString("Server-Leaving: 1\r\n")
		}
		for _, line := range a.header {
			b.WriteString(line + "\r\n")
		}
		fmt.Fprintf(&b, "Keep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", len(a.body), a.body)
		if _, err := c.Write(b.Bytes()); err != nil {
			return
		}
	}
}

func (s *server) answer(r *request) answer {
	switch {
	case r.path == "/v1/report":
		return answer{status: 200, body: `{"phase_name":"","models":[],"busy":false,"seq":0,"waiting":0,"running":0,"kv_used_tokens":0,"kv_total_tokens":0,"cache_handles":0}`}
	case r.path == "/healthz":
		return answer{status: 200, header: []string{"X-Savorywing-Instance-Id: " + s.id}}
	}
	expected := r.header.Get("X-Savorywing-Expected-Instance")
	if expected != "" && expected != s.id {
		return answer{status: 421, notRun: true}
	}
	if r.id() == "" {
		return answer{status: 400, notRun: true}
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, r)
	s.mu.Unlock()
	a := s.handle(r)
	if !a.notRun {
		s.mu.Lock()
		s.runs = append(s.runs, r)
		s.mu.Unlock()
	}
	return a
}

// allArrivals returns the requests that arrived for the server.
func (s *server) allArrivals() []*request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*request(nil), s.arrivals...)
}

// leave makes the server say that it is leaving, in its reports and in all its answers.
func (s *server) leave() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.wake <- struct{}{}
}

func (s *server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == "draining"
}

// end deregisters the server and ends it.
func (s *server) end() {
	_, _, err := s.installation.callControl(http.MethodPost, "/v1/instances/"+s.id+"/deregister", nil, 3*time.Second)
	s.installation.record.add("server %s has deregistered, error %v", s.id, err)
	s.stop()
}

// allRuns returns the requests that the server ran.
func (s *server) allRuns() []*request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*request(nil), s.runs...)
}

// readRequest reads a request and keeps the lines of its header as they are.
func readRequest(reader *bufio.Reader) (*request, error) {
	r := &request{header: http.Header{}}
	var err error
	if r.line, err = readLine(reader); err != nil {
		return nil, err
	}
	if _, err := fmt.Sscanf(r.line, "%s %s HTTP/1.1", &r.method, &r.path); err != nil {
		return nil, fmt.Errorf("%q: %w", r.line, err)
	}
	for {
		line, err := readLine(reader)
		if err != nil {
			return nil, err
		}
		if line == "" {
			break
		}
		r.lines = append(r.lines, line)
		name, value, _ := bytes.Cut([]byte(line), []byte(":"))
		r.header.Add(string(name), string(bytes.TrimSpace(value)))
	}
	var length int
	if text := r.header.Get("Content-Length"); text != "" {
		if _, err := fmt.Sscan(text, &length); err != nil {
			return nil, err
		}
	}
	if r.header.Get("Transfer-Encoding") != "" {
		return nil, fmt.Errorf("a body in chunks isn't expected")
	}
	r.body = make([]byte, length)
	_, err = io.ReadFull(reader, r.body)
	return r, err
}

func readLine(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return "", err
	}
	return string(bytes.TrimRight([]byte(line), "\r\n")), nil
}

// report sends a status report every reportInterval, to the address that the system has named, or else to any control host.
func (s *server) report() {
	for {
		s.sendReport()
		select {
		case <-s.done:
			return
		case <-s.wake:
		case <-time.After(reportInterval):
		}
	}
}

func (s *server) sendReport() {
	s.mu.Lock()
	s.sequence++
	state := s.state
	b, _ := json.Marshal(map[string]any{"service": s.service, "address": s.address(), "zone": "a", "version": "v1", "slots": 6, "state": s.state,
		"cold_left_ms": 0, "seq": s.sequence, "born": s.born})
	addresses := []string{s.heartbeatAddr}
	for _, i := range rand.Perm(len(s.installation.controls)) {
		addresses = append(addresses, s.installation.controlAddress(i))
	}
	s.mu.Unlock()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, address := range addresses {
		if address == "" {
			continue
		}
		resp, err := client.Post("http://"+address+"/v1/instances/"+s.id+"/heartbeat", "application/json", bytes.NewReader(b))
		if err != nil {
			continue
		}
		reply, _ := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
		_ = resp.Body.Close()
		if resp.StatusCode/100 != 2 {
			continue
		}
		var v struct {
			Address string `json:"heartbeat_addr"`
		}
		_ = json.Unmarshal(reply, &v)
		s.mu.Lock()
		s.reportedTo = address
		// An address that was named stays valid until a report fails there.
		if v.Address != "" || s.heartbeatAddr != address {
			s.heartbeatAddr = v.Address
		}
		s.mu.Unlock()
		if state == "draining" {
			s.installation.record.add("server %s: %s acknowledged that it is draining", s.id, address)
		}
		return
	}
}
