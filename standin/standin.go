package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/backend"
	"savorywing.example/savorywing/wire"
)

// Config describes one emulated server.
type Config struct {
	Host             string
	Listen           string
	DataCentre       string
	FabricDomain     string
	Kind             string
	Service          string
	Accelerators     uint64
	ChecksFencing    bool
	Resumable        bool
	Slots            int
	FirstToken       time.Duration
	TokenTime        time.Duration
	LoadTime         time.Duration
	AnnounceInterval time.Duration
	// BodyBytes is the size of what plain responses hold beside the request's body.
	BodyBytes int
	// EntryHosts are the addresses of the entry hosts that callers reach through the balancer. Announcements go to
	// them in rotation.
	EntryHosts []string
}

// Server is one running emulated server.
type Server struct {
	cfg      Config
	listener net.Listener
	http     *fasthttp.Server
	client   *fasthttp.Client
	stop     context.CancelFunc
	done     sync.WaitGroup

	mu       sync.Mutex
	bootID   uint64
	sequence uint64
	faults   Faults
	holding  *wire.Holding
	// newestFencingToken is the highest fencing token of an accepted order.
	newestFencingToken uint64
	leaving            bool
	running            int
	slots              chan struct{}
	stats              Stats
}

// Stats are the counts of an emulated server.
type Stats struct {
	Requests int `json:"requests"`
	// Executions counts the runs of requests by Idempotency-Key.
	Executions map[string]int `json:"executions"`
	// Attempts counts the runs of requests by attempt ID.
	Attempts map[string]int `json:"attempts"`
	Orders   int            `json:"orders"`
	Running  int            `json:"running"`
	// LastRequest is the Unix time of the last request, in milliseconds.
	LastRequest int64 `json:"lastRequest"`
	Resumed     int   `json:"resumed"`
}

const stopTimeout = 500 * time.Millisecond

// Start starts a server that listens and announces itself.
func Start(cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("standin.Start: %w", err)
	}
	s := &Server{
		cfg: cfg, listener: listener, bootID: uint64(time.Now().UnixNano()), slots: make(chan struct{}, cfg.Slots),
		stats:  Stats{Executions: map[string]int{}, Attempts: map[string]int{}},
		client: &fasthttp.Client{ReadTimeout: time.Second, WriteTimeout: time.Second},
	}
	s.http = &fasthttp.Server{Handler: s.handle, CloseOnShutdown: true, DisablePreParseMultipartForm: true}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.done.Add(2)
	go s.serve()
	go s.announce(ctx)
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop stops the server.
func (s *Server) Stop() error {
	s.stop()
	// A server that has not started to serve would miss the shutdown, so the listener is closed first.
	_ = s.listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := s.http.ShutdownWithContext(ctx)
	s.done.Wait()
	if err != nil && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("Server.Stop: %w", err)
	}
	return nil
}

func (s *Server) serve() {
	defer s.done.Done()
	_ = s.http.Serve(s.listener)
}

func (s *Server) announce(ctx context.Context) {
	defer s.done.Done()
	ticker := time.NewTicker(s.cfg.AnnounceInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		s.announceOnce(round)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) announceOnce(round int) {
	if len(s.cfg.EntryHosts) == 0 || s.isMuted() {
		return
	}
	body, err := json.Marshal(s.Announcement())
	if err != nil {
		return
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.cfg.EntryHosts[round%len(s.cfg.EntryHosts)] + backend.PathAnnounce)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	_ = s.client.Do(req, resp)
}

func (s *Server) isMuted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Mute || time.Now().Before(s.faults.frozenUntil)
}

// Announcement returns the server's report of its own state.
func (s *Server) Announcement() wire.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	a := wire.Announcement{
		Host: s.cfg.Host, Boot: s.bootID, Sequence: s.sequence, Address: s.Address(),
		DataCentre: s.cfg.DataCentre, FabricDomain: s.cfg.FabricDomain, Kind: s.cfg.Kind, Service: s.cfg.Service,
		Accelerators: s.cfg.Accelerators, ChecksFencing: s.cfg.ChecksFencing, Resumes: s.cfg.Resumable, Leaving: s.leaving,
		Load: &wire.Load{
			Running: uint64(s.running), Slots: uint64(s.cfg.Slots),
			Waiting: uint64(max(0, s.running-s.cfg.Slots)), ReadAt: time.Now().UnixMilli(),
		},
	}
	if s.holding != nil {
		holding := *s.holding
		a.Holding = &holding
	}
	return a
}

// ExecuteOrder executes an order and returns the reply.
func (s *Server) ExecuteOrder(o wire.Order) wire.OrderReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Orders++
	checks := s.cfg.ChecksFencing && !s.faults.IgnoreFencing
	if checks && o.Fence < s.newestFencingToken {
		return wire.OrderReply{Reason: "old fencing number", NewestFence: s.newestFencingToken}
	}
	s.newestFencingToken = max(s.newestFencingToken, o.Fence)
	if o.Kind == savorywing.OrderUnload {
		if s.holding != nil && s.holding.Fence == o.Fence {
			s.holding = nil
		}
		return wire.OrderReply{Accepted: true, NewestFence: s.newestFencingToken}
	}
	if s.holding == nil || s.holding.Fence != o.Fence {
		s.load(o)
	}
	return wire.OrderReply{Accepted: true, NewestFence: s.newestFencingToken}
}

// load starts to load a model. The caller holds mu.
func (s *Server) load(o wire.Order) {
	h := &wire.Holding{Group: o.Group, Fence: o.Fence, Model: o.Model, Version: o.Version, Ready: s.cfg.LoadTime == 0}
	s.holding = h
	if h.Ready {
		return
	}
	time.AfterFunc(s.cfg.LoadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		h.Ready = true
	})
}

// SetLeaving sets whether the server announces that it accepts no new work.
func (s *Server) SetLeaving(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = on
}

// SetFaults replaces the faults that are switched on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.frozenUntil = time.Now().Add(time.Duration(f.FreezeMilliseconds) * time.Millisecond)
	s.faults = f
}

// Stats returns a copy of the counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.stats
	c.Running = s.running
	c.Executions = map[string]int{}
	for k, n := range s.stats.Executions {
		c.Executions[k] = n
	}
	c.Attempts = map[string]int{}
	for k, n := range s.stats.Attempts {
		c.Attempts[k] = n
	}
	return c
}

// takeFaults returns the faults for the next request or order and counts it against Faults.Times.
func (s *Server) takeFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if s.faults.Times > 0 {
		s.faults.Times--
		if s.faults.Times == 0 {
			s.faults = Faults{}
		}
	}
	return f
}
