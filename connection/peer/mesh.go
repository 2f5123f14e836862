package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/process/queue"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

// Protocol is the version of the frames between daemons.
const Protocol = 1

const (
	path           = "/savorywing/v1/peer"
	ringSize       = 4096
	heartbeatEvery = 1 * time.Second
	silenceBound   = 2500 * time.Millisecond
	writeTimeout   = 1 * time.Second
	// redialPause doubles with each failure up to longestRedial.
	redialPause   = 50 * time.Millisecond
	longestRedial = 400 * time.Millisecond
	// dialTimeout is below the second after which a lost first packet is sent again.
	dialTimeout = 400 * time.Millisecond
	stopTimeout = 1 * time.Second
)

// Errors of calls to other daemons.
var (
	ErrNotConnected = errors.New("no connection to the host")
	ErrBusy         = errors.New("the queue to the host is full")
	ErrUnknownHost  = errors.New("unknown host")
)

// Handler takes frames from other daemons.
type Handler interface {
	// HandleOneWay takes a frame that wants no reply. It must not block.
	HandleOneWay(from string, f wire.Frame)
	// HandleCall returns the reply to a frame.
	HandleCall(ctx context.Context, from string, f wire.Frame) wire.Frame
	// HandleConnected is told when a connection to another daemon was opened.
	HandleConnected(host string)
	// HandleLost is told when a dialled connection that had been open has ended.
	HandleLost(host string)
}

// Config describes this daemon and the others.
type Config struct {
	Host       string
	Boot       uint64
	DataCentre string
	// Listen is the address to accept at; empty for a daemon that only dials.
	Listen string
	// Peers maps the names of the other hosts to their addresses.
	Peers map[string]string
	// Token is the secret that all daemons share.
	Token string
}

// Mesh holds one dialled connection to every other daemon, and serves theirs.
type Mesh struct {
	cfg      Config
	handler  Handler
	log      zerolog.Logger
	pool     *ants.Pool
	listener net.Listener
	http     *fasthttp.Server
	traffic  Traffic
	ctx      context.Context
	stop     context.CancelFunc
	done     sync.WaitGroup

	mu       sync.Mutex
	started  bool
	links    map[string]*link
	accepted map[*websocket.Conn]bool
	// inbound holds the queue of the newest accepted connection of each host.
	inbound map[string]*queue.Queue[wire.Frame]
}

// NewMesh listens, and dials the others until Stop.
func NewMesh(cfg Config, handler Handler, pool *ants.Pool, log zerolog.Logger) (*Mesh, error) {
	var listener net.Listener
	if cfg.Listen != "" {
		var err error
		if listener, err = net.Listen("tcp", cfg.Listen); err != nil {
			return nil, fmt.Errorf("peer.NewMesh: %w", err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{
		cfg: cfg, handler: handler, log: log, pool: pool, listener: listener, links: map[string]*link{},
		ctx: ctx, stop: cancel, accepted: map[*websocket.Conn]bool{}, inbound: map[string]*queue.Queue[wire.Frame]{},
	}
	// Kept hijacked connections are closed by serveConn; otherwise closing one would do nothing while it is read.
	m.http = &fasthttp.Server{Handler: m.upgrade, ReadTimeout: dialTimeout, Logger: &m.log, KeepHijackedConns: true}
	for host, address := range cfg.Peers {
		m.links[host] = newLink(m, host, address)
	}
	return m, nil
}

// Start begins to serve and to dial.
func (m *Mesh) Start() {
	if m.listener != nil {
		m.done.Add(1)
		go func() {
			defer m.done.Done()
			_ = m.http.Serve(m.listener)
		}()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.started = true
	for _, l := range m.links {
		m.done.Add(1)
		go l.run()
	}
}

// AddHost dials a host from now on, unless it is dialled already.
func (m *Mesh) AddHost(host, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[host] != nil || host == m.cfg.Host || m.ctx.Err() != nil {
		return
	}
	l := newLink(m, host, address)
	m.links[host] = l
	if m.started {
		m.done.Add(1)
		go l.run()
	}
}

// RemoveHost ends the dialled connection to a host and dials it no more.
func (m *Mesh) RemoveHost(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[host]; l != nil {
		l.stop()
		delete(m.links, host)
	}
}

// Push queues a frame on the newest connection that a host has opened to this one.
func (m *Mesh) Push(host string, f wire.Frame) error {
	m.mu.Lock()
	out := m.inbound[host]
	m.mu.Unlock()
	if out == nil {
		return fmt.Errorf("Mesh.Push: %w: %s", ErrNotConnected, host)
	}
	if !out.Push(f) {
		return fmt.Errorf("Mesh.Push: %w: %s", ErrBusy, host)
	}
	return nil
}

// InboundHosts returns the names of the hosts that have a connection open to this one.
func (m *Mesh) InboundHosts() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	hosts := make([]string, 0, len(m.inbound))
	for host := range m.inbound {
		hosts = append(hosts, host)
	}
	return hosts
}

func (m *Mesh) link(host string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[host]
}

// Stop closes every connection.
func (m *Mesh) Stop() {
	m.stop()
	// A server that has not begun to serve would not see the shutdown.
	if m.listener != nil {
		_ = m.listener.Close()
	}
	m.mu.Lock()
	for c := range m.accepted {
		_ = c.Close()
	}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = m.http.ShutdownWithContext(ctx)
	m.done.Wait()
}

// Hosts returns the names of the other hosts.
func (m *Mesh) Hosts() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	hosts := make([]string, 0, len(m.links))
	for host := range m.links {
		hosts = append(hosts, host)
	}
	return hosts
}

// Traffic returns what the mesh has sent and received.
func (m *Mesh) Traffic() TrafficCount { return m.traffic.Count() }

// Connected tells whether the connection to a host is open.
func (m *Mesh) Connected(host string) bool {
	l := m.link(host)
	return l != nil && l.connected()
}

// Send queues a frame that wants no reply.
func (m *Mesh) Send(host string, f wire.Frame) error {
	l := m.link(host)
	if l == nil {
		return fmt.Errorf("Mesh.Send: %w: %s", ErrUnknownHost, host)
	}
	return l.send(f)
}

// Call sends a frame and waits for its reply.
func (m *Mesh) Call(ctx context.Context, host string, f wire.Frame) (wire.Frame, error) {
	l := m.link(host)
	if l == nil {
		return wire.Frame{}, fmt.Errorf("Mesh.Call: %w: %s", ErrUnknownHost, host)
	}
	return l.call(ctx, f)
}

func (m *Mesh) proof() string {
	sum := sha256.Sum256([]byte("peer:" + m.cfg.Token))
	return hex.EncodeToString(sum[:])
}

func (m *Mesh) upgrade(ctx *fasthttp.RequestCtx) {
	proof := ctx.Request.Header.Peek("Authorization")
	if string(ctx.Path()) != path || subtle.ConstantTimeCompare(proof, []byte(m.proof())) != 1 {
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	u := websocket.FastHTTPUpgrader{CheckOrigin: func(*fasthttp.RequestCtx) bool { return true }}
	if err := u.Upgrade(ctx, m.serveConn); err != nil {
		m.log.Warn().Err(err).Msg("peer connection refused")
	}
}

// serveConn answers one accepted connection.
func (m *Mesh) serveConn(c *websocket.Conn) {
	if !m.track(c) {
		_ = c.Close()
		return
	}
	defer m.untrack(c)
	out := queue.New[wire.Frame](ringSize)
	quit := make(chan struct{})
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		m.writeLoop(c, out, quit)
	}()
	from := ""
	m.readLoop(c, func(f wire.Frame) bool {
		if f.Hello != nil {
			from = f.Hello.Host
			m.setInbound(from, out)
			return f.Hello.Protocol == Protocol
		}
		if from != "" {
			m.accept(from, f, out)
		}
		return from != ""
	})
	m.dropInbound(from, out)
	close(quit)
	_ = c.Close()
	done.Wait()
}

func (m *Mesh) setInbound(host string, out *queue.Queue[wire.Frame]) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inbound[host] = out
}

func (m *Mesh) dropInbound(host string, out *queue.Queue[wire.Frame]) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inbound[host] == out {
		delete(m.inbound, host)
	}
}

func (m *Mesh) track(c *websocket.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return false
	}
	m.accepted[c] = true
	return true
}

func (m *Mesh) untrack(c *websocket.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.accepted, c)
}

func (m *Mesh) accept(from string, f wire.Frame, out *queue.Queue[wire.Frame]) {
	if f.ID == 0 {
		m.handler.HandleOneWay(from, f)
		return
	}
	err := m.pool.Submit(func() {
		reply := m.handler.HandleCall(m.ctx, from, f)
		reply.ID = f.ID
		reply.Reply = true
		out.Push(reply)
	})
	if err != nil {
		out.Push(wire.Frame{ID: f.ID, Reply: true, Error: &wire.FrameError{Code: "busy", Reason: err.Error()}})
	}
}

// readLoop reads frames until the connection fails, is silent for too long, or take says no.
func (m *Mesh) readLoop(c *websocket.Conn, take func(wire.Frame) bool) {
	c.SetReadLimit(codec.MaxFrame)
	extend := func() error { return c.SetReadDeadline(time.Now().Add(silenceBound)) }
	c.SetPongHandler(func(string) error { return extend() })
	c.SetPingHandler(func(data string) error {
		if err := extend(); err != nil {
			return err
		}
		return c.WriteControl(websocket.PongMessage, []byte(data), time.Now().Add(writeTimeout))
	})
	for {
		if err := extend(); err != nil {
			return
		}
		_, b, err := c.ReadMessage()
		if err != nil {
			return
		}
		m.traffic.receive(len(b))
		f, err := codec.DecodeFrame(b)
		if err != nil || !take(f) {
			return
		}
	}
}

// writeLoop writes queued frames, and heartbeats between them.
func (m *Mesh) writeLoop(c *websocket.Conn, out *queue.Queue[wire.Frame], quit <-chan struct{}) {
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-quit:
			return
		case f := <-out.Out():
			err = m.writeFrame(c, f)
		case <-ticker.C:
			err = c.WriteControl(websocket.PingMessage, nil, time.Now().Add(writeTimeout))
		}
		if err != nil {
			_ = c.Close()
			return
		}
	}
}

func (m *Mesh) writeFrame(c *websocket.Conn, f wire.Frame) error {
	b, err := codec.Encode(f)
	if err != nil {
		return err
	}
	m.traffic.send(len(b))
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return c.WriteMessage(websocket.BinaryMessage, b)
}

func (m *Mesh) dial(address string) (*websocket.Conn, error) {
	d := websocket.Dialer{HandshakeTimeout: dialTimeout}
	header := http.Header{"Authorization": []string{m.proof()}}
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	c, resp, err := d.DialContext(ctx, "ws://"+address+path, header)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("Mesh.dial: %w", err)
	}
	return c, nil
}
