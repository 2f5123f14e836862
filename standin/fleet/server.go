package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
)

// States of a group membership, as servers report them.
const (
	stateJoining = "joining"
	stateReady   = "ready"
	stateOpen    = "open"
	stateClosing = "closing"
	stateBroken  = "broken"
)

const (
	// rejoinTime is the time to join a group of the same model as the last one.
	rejoinTime    = 20 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	// withdrawTimeout is how long a server waits for the acknowledgement of its withdrawal.
	withdrawTimeout = time.Second
	pollInterval    = 10 * time.Millisecond
)

// ServerConfig describes one emulated server.
type ServerConfig struct {
	ID, Service, Address, DataCentre, FabricDomain string
	// Advertised is the address that the server reports; if it is empty, the server reports its listen address.
	Advertised string
	Slots      int
	// Engine is true for a model engine and false for a plain service.
	Engine bool
	// ColdFor is how long the server is cold after its start.
	ColdFor time.Duration
}

// Faults are the faults injected into a server.
type Faults struct {
	// OrderDelay executes each order only after this time. The reply is sent after the same time and doesn't carry the
	// outcome; a sender with a shorter timeout receives none.
	OrderDelay time.Duration
	// DropReports makes the server send no reports.
	DropReports bool
	// Unresponsive makes the server send no responses and no reports, and keeps connections open.
	Unresponsive bool
	// TruncateAfter closes the connection of a stream after this number of events of the response; 0 means never.
	TruncateAfter int
	// Framing is how streams state their end.
	Framing Framing
	// PartialEvent makes a stream that TruncateAfter ends break off inside an event.
	PartialEvent bool
	// Endless makes the server answer requests with bytes that never end.
	Endless Endless
	// StatusLine begins the signed responses to requests, in place of one with status 200; empty for that.
	StatusLine string
	// StateLeaving makes the server state in all its responses that it is leaving, without a report that says so.
	StateLeaving bool
	// RejectFor makes the server reject each request and state that it is closed for this time.
	RejectFor time.Duration
	// RequestLimit is the text of the limit that the server states in its responses; empty for none. The server accepts
	// requests beyond it.
	RequestLimit string
	// BodyBytes is the size of the responses to plain requests; 0 for a short one.
	BodyBytes int
	// LoseResponse runs plain requests and closes the connection without a response.
	LoseResponse bool
	// RepeatRefusals makes the server refuse every other request, and write the refusal once more when the next request has
	// arrived on the same connection, before its response.
	RepeatRefusals bool
	// ResumeStatus is the status of signed responses with a body of one line to requests that resume a stream; 0 to resume it.
	ResumeStatus int
	// CloseAfter closes a connection, without notice, this long after a response; 0 means never.
	CloseAfter time.Duration
	// ReadAtMost is how many bytes the server reads of each connection before it stops reading, and keeps it open; 0 for all.
	ReadAtMost int
	// Answer answers requests once their header has been read; nil to handle them.
	Answer Answer
}

// Framing is how a stream states its end.
type Framing int

// Framings of streams.
const (
	// Chunked streams end with a last chunk, and those that are truncated without one.
	Chunked Framing = iota
	// UntilClose streams have no length and no chunks and end with their connection, which is always closed without a
	// reset.
	UntilClose
	// ChunkedToTheEnd streams end with a last chunk, also when they are truncated.
	ChunkedToTheEnd
)

// Endless is a kind of response that goes on until its receiver closes the connection.
type Endless int

// Kinds of responses without an end. The last four follow a valid header that carries the attempt ID.
const (
	// NotEndless is a normal response.
	NotEndless Endless = iota
	// EndlessNoise is no HTTP response.
	EndlessNoise
	// EndlessHeader is a header with one field after the other.
	EndlessHeader
	// EndlessInformational is one response with status 100 after the other.
	EndlessInformational
	// EndlessUnsignedBody is the body of a response with status 200 and no signature.
	EndlessUnsignedBody
	// EndlessRejection is the body of a response that states that the request was not run.
	EndlessRejection
	// EndlessEvent is the body of a signed response: one event that never ends.
	EndlessEvent
	// EndlessEvents is the body of a signed response: empty lines, and lines that are no fields of events.
	EndlessEvents
)

// Server is one emulated backend server. The fields from startTime on are guarded by the fleet's mutex.
type Server struct {
	fleet *Fleet
	ServerConfig
	id       string
	listener net.Listener
	http     *fasthttp.Server
	client   fasthttp.Client
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup
	wake     chan struct{}
	inFlight atomic.Int64

	startTime int64
	sequence  uint64
	faults    Faults
	dead      bool
	leaving   bool
	// withdrawn reports whether the server has deregistered, after which it reports nothing.
	withdrawn    bool
	staged       string
	lastModel    string
	fencingToken uint64
	highestEpoch uint64
	group        string
	epoch        uint64
	rank         int
	model        string
	members      []string
	state        string
	// noticeSince is when the server first stated that it is leaving or closed, since its faults were last set.
	noticeSince time.Time
	// unwanted counts the requests and orders that arrived later than noticeGrace after that.
	unwanted int
	// arrivals holds when requests arrived since the faults were last set.
	arrivals []time.Time
	// coldArrivals holds when requests arrived while the server was cold.
	coldArrivals []time.Time
	// refusals holds the last refusal of each connection whose next request is to be run, by the connection's number.
	// hasRefused reports whether the next request on any other connection is to be run.
	refusals   map[uint64][]byte
	hasRefused bool
	// longestEndless is the longest time for which a receiver took an endless response.
	longestEndless time.Duration
}

// LongestEndless returns the longest time for which a receiver took an endless response.
func (s *Server) LongestEndless() time.Duration {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return s.longestEndless
}

// Unwanted returns how many requests, and orders that begin something, arrived although the server had stated that it is
// leaving or closed, not counting those in the first half second.
func (s *Server) Unwanted() int {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return s.unwanted
}

// Arrivals returns when requests arrived since the faults were last set, without those that were meant for another server.
func (s *Server) Arrivals() []time.Time {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return append([]time.Time(nil), s.arrivals...)
}

// ColdArrivals returns when requests arrived while the server was cold, without those that were meant for another server.
func (s *Server) ColdArrivals() []time.Time {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return append([]time.Time(nil), s.coldArrivals...)
}

// coldLeft returns how much longer the server is cold; the caller holds the fleet's mutex.
func (s *Server) coldLeft(now time.Time) time.Duration {
	return max(0, time.UnixMilli(s.startTime).Add(s.ColdFor).Sub(now))
}

func (s *Server) recordColdArrival(now time.Time) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.coldLeft(now) > 0 {
		s.coldArrivals = append(s.coldArrivals, now)
	}
}

// Add starts a server and its reports.
func (f *Fleet) Add(cfg ServerConfig) (*Server, error) {
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("Fleet.Add: %w", err)
	}
	cfg.Address = listener.Addr().String()
	if cfg.Advertised == "" {
		cfg.Advertised = cfg.Address
	}
	s := &Server{fleet: f, ServerConfig: cfg, id: cfg.ID, refusals: map[uint64][]byte{}, listener: listener, wake: make(chan struct{}, 1), startTime: time.Now().UnixMilli()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, Logger: discardLogger{}, StreamRequestBody: false, DisablePreParseMultipartForm: true, ConnState: s.closeIdle}
	f.mu.Lock()
	f.servers[s.id] = s
	f.mu.Unlock()
	s.done.Add(2)
	go func() {
		defer s.done.Done()
		if err := s.http.Serve(faultyListener{listener, s}); err != nil && s.ctx.Err() == nil {
			f.mu.Lock()
			f.recordViolation("the emulated server %s stopped serving: %v", s.id, err)
			f.mu.Unlock()
		}
	}()
	go func() {
		defer s.done.Done()
		s.reportLoop()
	}()
	return s, nil
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Kill stops a server at once. The server sends nothing more.
func (s *Server) Kill() { s.stop() }

// stop stops the server and reports whether this call did, and no earlier one.
func (s *Server) stop() bool {
	s.fleet.mu.Lock()
	stopped := !s.dead
	s.dead = true
	group, epoch := s.group, s.epoch
	s.fleet.mu.Unlock()
	if !stopped {
		return false
	}
	s.cancel()
	_ = s.listener.Close()
	go s.fleet.breakAfterTimeout(group, epoch)
	return true
}

// crash kills the server, and starts it again after RestartTime at the same address.
func (s *Server) crash() {
	if !s.stop() {
		return
	}
	f := s.fleet
	f.mu.Lock()
	f.lethalCrashes = append(f.lethalCrashes, time.Now())
	f.mu.Unlock()
	time.AfterFunc(f.cfg.RestartTime, func() {
		f.mu.Lock()
		closed := f.closed
		f.mu.Unlock()
		if closed {
			return
		}
		cfg := s.ServerConfig
		cfg.ID = fmt.Sprintf("%s+", cfg.ID)
		if _, err := f.Add(cfg); err != nil {
			f.mu.Lock()
			f.recordViolation("the emulated server %s could not start again: %v", s.id, err)
			f.mu.Unlock()
		}
	})
}

// SetFaults replaces the faults injected into the server.
func (s *Server) SetFaults(faults Faults) {
	s.fleet.mu.Lock()
	s.faults = faults
	s.noticeSince, s.unwanted, s.longestEndless, s.arrivals = time.Time{}, 0, 0, nil
	group, epoch, unresponsive := s.group, s.epoch, faults.Unresponsive
	s.fleet.mu.Unlock()
	if unresponsive {
		go s.fleet.breakAfterTimeout(group, epoch)
	}
}

// Model returns the model of the server's newest group.
func (s *Server) Model() string {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return s.model
}

// ReportLeaving makes the server report that it is leaving.
func (s *Server) ReportLeaving() {
	s.fleet.mu.Lock()
	s.leaving = true
	s.fleet.mu.Unlock()
	s.wakeReporter()
}

// breakAfterTimeout marks the head of a group that has lost a member as broken after the member-loss timeout.
func (f *Fleet) breakAfterTimeout(group string, epoch uint64) {
	if group == "" {
		return
	}
	time.Sleep(f.cfg.MemberLossTimeout)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.servers {
		if h.group == group && h.epoch == epoch && h.rank == 0 && !h.dead && h.state != stateBroken {
			h.state = stateBroken
			h.wakeReporter()
		}
	}
}

func (s *Server) wakeReporter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// reportLoop reports the server's state to the control addresses in rotation, at regular intervals and immediately
// after a change.
func (s *Server) reportLoop() {
	addresses := s.fleet.cfg.ControlAddresses
	for n := 0; ; n++ {
		s.sendReport(addresses[n%len(addresses)])
		select {
		case <-s.ctx.Done():
			return
		case <-s.wake:
		case <-time.After(s.fleet.cfg.ReportInterval):
		}
	}
}

func (s *Server) sendReport(address string) {
	f := s.fleet
	f.mu.Lock()
	s.sequence++
	r := wire.Report{
		ID: s.id, Born: s.startTime, Sequence: s.sequence, Service: s.Service, Address: s.Advertised, DataCentre: s.DataCentre,
		Release: "v1", Slots: s.Slots, Leaving: s.leaving, Engine: s.Engine, Domain: s.FabricDomain,
		ColdMs: s.coldLeft(time.Now()).Milliseconds(),
	}
	if s.staged != "" {
		r.Staged = []string{s.staged}
	}
	if s.group != "" {
		r.Group = &wire.GroupPlace{Name: s.group, Epoch: s.epoch, Rank: s.rank, State: s.state}
	}
	suppressed := s.faults.DropReports || s.faults.Unresponsive || s.dead || s.withdrawn
	f.mu.Unlock()
	if suppressed {
		return
	}
	// A lost report is not sent again, since the next one follows.
	_ = s.callControl(address, r, reportTimeout)
}

// callControl sends a report to a control address and reports whether it was acknowledged in time.
func (s *Server) callControl(address string, r wire.Report, timeout time.Duration) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetBody(s.dialect().WriteReport(&req.Header, r))
	req.URI().SetScheme("http")
	req.URI().SetHost(address)
	return s.client.DoTimeout(req, resp, timeout) == nil && resp.StatusCode() == fasthttp.StatusOK
}

// dialect returns the fleet's dialect.
func (s *Server) dialect() savorywing.EmulatorDialect { return s.fleet.cfg.Dialect }
