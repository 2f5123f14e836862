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

// States of a place in a group.
const (
	stateJoining = "joining"
	stateReady   = "ready"
	stateOpen    = "open"
	stateClosing = "closing"
	stateBroken  = "broken"
)

const (
	// againTime is the time to join a group of the same model as the last one.
	againTime     = 20 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	closePoll     = 10 * time.Millisecond
)

// ServerConfig is where an emulated server stands.
type ServerConfig struct {
	ID, Service, Address, DataCentre, FabricDomain string
	// Advertised is the address that it reports, if that is not its own.
	Advertised string
	Slots      int
	// Engine tells a model engine from a plain service.
	Engine bool
}

// Faults are what a server does wrong, on request.
type Faults struct {
	// OrderDelay answers no order and carries each out after this time.
	OrderDelay time.Duration
	// DropReports sends no reports.
	DropReports bool
	// Unresponsive answers nothing at all, and keeps connections open.
	Unresponsive bool
	// TruncateAfter ends a stream after this number of events; 0 never.
	TruncateAfter int
	// LoseAnswer runs plain requests and closes the connection instead of answering.
	LoseAnswer bool
}

// Server is one emulated backend server. The fields below the place are guarded by the fleet's mutex.
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

	born      int64
	sequence  uint64
	faults    Faults
	dead      bool
	leaving   bool
	staged    string
	lastModel string
	fence     uint64
	topEpoch  uint64
	group     string
	epoch     uint64
	rank      int
	model     string
	members   []string
	state     string
}

// Add starts a server and its reports.
func (f *Fleet) Add(p ServerConfig) (*Server, error) {
	listener, err := net.Listen("tcp", p.Address)
	if err != nil {
		return nil, fmt.Errorf("Fleet.Add: %w", err)
	}
	p.Address = listener.Addr().String()
	if p.Advertised == "" {
		p.Advertised = p.Address
	}
	s := &Server{fleet: f, ServerConfig: p, id: p.ID, listener: listener, wake: make(chan struct{}, 1), born: time.Now().UnixMilli()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, Logger: silent{}, StreamRequestBody: false}
	f.mu.Lock()
	f.servers[s.id] = s
	f.mu.Unlock()
	s.done.Add(2)
	go func() {
		defer s.done.Done()
		if err := s.http.Serve(listener); err != nil && s.ctx.Err() == nil {
			f.mu.Lock()
			f.violate("the emulated server %s stopped serving: %v", s.id, err)
			f.mu.Unlock()
		}
	}()
	go func() {
		defer s.done.Done()
		s.report()
	}()
	return s, nil
}

type silent struct{}

func (silent) Printf(string, ...any) {}

// Kill ends a server at once; it sends nothing more.
func (s *Server) Kill() {
	s.fleet.mu.Lock()
	s.dead = true
	group, epoch := s.group, s.epoch
	s.fleet.mu.Unlock()
	s.cancel()
	_ = s.listener.Close()
	go s.fleet.breakLater(group, epoch)
}

// SetFaults replaces what the server does wrong.
func (s *Server) SetFaults(faults Faults) {
	s.fleet.mu.Lock()
	s.faults = faults
	group, epoch, dark := s.group, s.epoch, faults.Unresponsive
	s.fleet.mu.Unlock()
	if dark {
		go s.fleet.breakLater(group, epoch)
	}
}

// ReportLeaving makes the server report that it is leaving.
func (s *Server) ReportLeaving() {
	s.fleet.mu.Lock()
	s.leaving = true
	s.fleet.mu.Unlock()
	s.nudge()
}

// breakLater breaks the head of a group that has lost a member, after the stall time.
func (f *Fleet) breakLater(group string, epoch uint64) {
	if group == "" {
		return
	}
	time.Sleep(f.cfg.MemberLossTimeout)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.servers {
		if h.group == group && h.epoch == epoch && h.rank == 0 && !h.dead && h.state != stateBroken {
			h.state = stateBroken
			h.nudge()
		}
	}
}

func (s *Server) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// report tells a control address of the server's state, regularly and right after a change.
func (s *Server) report() {
	to := s.fleet.cfg.ControlAddresses
	for n := 0; ; n++ {
		s.sendReport(to[n%len(to)])
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
		ID: s.id, Born: s.born, Sequence: s.sequence, Service: s.Service, Address: s.Advertised, DataCentre: s.DataCentre,
		Release: "v1", Slots: s.Slots, Leaving: s.leaving, Engine: s.Engine, Domain: s.FabricDomain,
	}
	if s.staged != "" {
		r.Staged = []string{s.staged}
	}
	if s.group != "" {
		r.Group = &wire.GroupPlace{Name: s.group, Epoch: s.epoch, Rank: s.rank, State: s.state}
	}
	mute := s.faults.DropReports || s.faults.Unresponsive || s.dead
	f.mu.Unlock()
	if mute {
		return
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	body := f.cfg.Dialect.WriteReport(&req.Header, r)
	req.SetBody(body)
	req.URI().SetScheme("http")
	req.URI().SetHost(address)
	// A report that is lost is followed by the next one.
	_ = s.client.DoTimeout(req, resp, reportTimeout)
}

// Dialect of the fleet, for brevity.
func (s *Server) dialect() savorywing.EmulatorDialect { return s.fleet.cfg.Dialect }
