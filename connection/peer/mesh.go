package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/forward"
	"savorywing.example/savorywing/connection/socket"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/process/logging"
	"savorywing.example/savorywing/process/queue"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

// Protocol is the version of the frame protocol between daemons.
const Protocol = 1

const (
	peerPath = "/savorywing/v1/peer"
	// queueSize is the capacity of the send queue of a connection, in frames. A control host has hundreds of them.
	queueSize         = 1024
	heartbeatInterval = 1 * time.Second
	// readTimeout closes a connection on which neither a frame nor a heartbeat arrives.
	readTimeout  = 2500 * time.Millisecond
	writeTimeout = 1 * time.Second
	// initialRedialDelay doubles with each failed dial, up to maxRedialDelay.
	initialRedialDelay = 50 * time.Millisecond
	maxRedialDelay     = 400 * time.Millisecond
	// dialTimeout is below 1 s, the time after which TCP retransmits a lost SYN.
	dialTimeout = 400 * time.Millisecond
	stopTimeout = 1 * time.Second
	// maxRequestBytes bounds the body of a request to open a connection, which has none.
	maxRequestBytes = 1 << 10
	// defaultMaxPending bounds the connections without an accepted token.
	defaultMaxPending = 256
)

// Errors of calls to other daemons.
var (
	ErrNotConnected = errors.New("no connection to the host")
	ErrBusy         = errors.New("the queue to the host is full")
	ErrUnknownHost  = errors.New("unknown host")
)

// Handler handles frames from other daemons.
type Handler interface {
	// HandleOneWay handles a frame that needs no reply. It must not block.
	HandleOneWay(from string, f wire.Frame)
	// HandleCall returns the reply to a frame.
	HandleCall(ctx context.Context, from string, f wire.Frame) wire.Frame
	// HandleConnected is called when a dialled connection to another daemon was opened.
	HandleConnected(host string)
	// HandleDisconnected is called when a dialled connection that was open has ended.
	HandleDisconnected(host string)
}

// Config describes this daemon and its peers.
type Config struct {
	Host       string
	BootID     uint64
	DataCentre string
	// Listen is the address to accept connections at; empty for a daemon that only dials.
	Listen string
	// Peers maps the names of the other hosts to their addresses.
	Peers map[string]string
	// Tokens are the secrets between daemons.
	Tokens Tokens
	// Dialer opens the connections to other daemons; nil for the system's.
	Dialer savorywing.Dialer
	// MaxPending bounds the connections that haven't shown an accepted token yet; 0 for the default.
	MaxPending int
	// Forward serves a connection on which another daemon hands over requests, until it ends; nil if this one takes none.
	Forward func(ctx context.Context, c *forward.Conn)
}

// Mesh dials each host in Config.Peers and each one added by AddHost, and serves the connections that other daemons
// dial.
type Mesh struct {
	cfg      Config
	handler  Handler
	log      zerolog.Logger
	pool     *ants.Pool
	listener net.Listener
	http     *fasthttp.Server
	traffic  Traffic
	// tokens holds the digests of the tokens in force.
	tokens atomic.Pointer[tokenDigests]
	// refusals logs refused connections, a few a minute, since a daemon that is refused dials again and again.
	refusals zerolog.Logger
	// invalid limits the log lines about each daemon that sends invalid frames.
	invalid *logging.Repeats
	ctx     context.Context
	stop    context.CancelFunc
	done    sync.WaitGroup

	mu       sync.Mutex
	started  bool
	links    map[string]*link
	accepted map[*websocket.Conn]bool
	// inbound maps each host to the newest connection accepted from it.
	inbound map[string]inboundHost
}

// inboundHost is a host that has connected to this one.
type inboundHost struct {
	out        *queue.Queue[*outgoing]
	dataCentre string
}

// NewMesh opens the listener, if there is one. Start begins to accept and to dial.
func NewMesh(cfg Config, handler Handler, pool *ants.Pool, log zerolog.Logger) (*Mesh, error) {
	var listener net.Listener
	if cfg.Listen != "" {
		config := net.ListenConfig{Control: socket.Buffers(pendingBuffer)}
		l, err := config.Listen(context.Background(), "tcp", cfg.Listen)
		if err != nil {
			return nil, fmt.Errorf("peer.NewMesh: %w", err)
		}
		if cfg.MaxPending <= 0 {
			cfg.MaxPending = defaultMaxPending
		}
		if err := socket.SetBacklog(l, cfg.MaxPending); err != nil {
			log.Debug().Err(err).Msg("the connections that wait to be accepted have the system's bound")
		}
		listener = newPendingListener(l, cfg.MaxPending, log)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{
		cfg: cfg, handler: handler, log: log, pool: pool, listener: listener, links: map[string]*link{},
		invalid: logging.NewRepeats(clock.Boottime{}), ctx: ctx, stop: cancel, accepted: map[*websocket.Conn]bool{}, inbound: map[string]inboundHost{},
	}
	// With KeepHijackedConns, serveConn closes the connections itself. Without it, closing one has no effect while it
	// is being read.
	m.http = &fasthttp.Server{Handler: m.upgrade, ReadTimeout: dialTimeout, MaxRequestBodySize: maxRequestBytes, Logger: &m.log, KeepHijackedConns: true}
	m.refusals = log.Sample(&zerolog.BurstSampler{Burst: refusalLines, Period: time.Minute})
	m.SetTokens(cfg.Tokens)
	for host, address := range cfg.Peers {
		m.links[host] = newLink(m, host, address)
	}
	return m, nil
}

// Start begins to accept connections and to dial the other hosts.
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

// AddHost adds a host to dial, unless it is dialled already or is this one.
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

// RemoveHost closes the dialled connection to a host and stops dialling it.
func (m *Mesh) RemoveHost(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[host]; l != nil {
		l.stop()
		delete(m.links, host)
	}
}

// outgoing is a frame to be sent, either encoded already or not.
type outgoing struct {
	frame   wire.Frame
	encoded []byte
}

// EncodedFrame is a frame that is encoded once and sent to several hosts.
type EncodedFrame []byte

// Encode encodes a frame for PushEncoded and SendEncoded.
func Encode(f wire.Frame) (EncodedFrame, error) { return codec.Encode(f) }

// PushEncoded is Push with a frame that is encoded already.
func (m *Mesh) PushEncoded(host string, f EncodedFrame) error {
	return m.push(host, &outgoing{encoded: f})
}

// SendEncoded is Send with a frame that is encoded already.
func (m *Mesh) SendEncoded(host string, f EncodedFrame) error {
	return m.send(host, &outgoing{encoded: f})
}

// Push queues a frame on the newest connection that a host has opened to this one. The error wraps ErrNotConnected
// if there is none, and ErrBusy if its queue is full.
func (m *Mesh) Push(host string, f wire.Frame) error {
	return m.push(host, &outgoing{frame: f})
}

func (m *Mesh) push(host string, f *outgoing) error {
	m.mu.Lock()
	out := m.inbound[host].out
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

// DataCentreOf returns the data centre of a host that has a connection open to this one; empty for any other.
func (m *Mesh) DataCentreOf(host string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inbound[host].dataCentre
}

func (m *Mesh) link(host string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[host]
}

// Stop closes the listener and every connection.
func (m *Mesh) Stop() {
	m.stop()
	// Shutting down a server that has not started to serve does not close its listener.
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

// Hosts returns the names of the hosts that are dialled.
func (m *Mesh) Hosts() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	hosts := make([]string, 0, len(m.links))
	for host := range m.links {
		hosts = append(hosts, host)
	}
	return hosts
}

// PendingClosed returns the number of connections that were closed before they had shown their token, since there were too many.
func (m *Mesh) PendingClosed() int {
	if l, ok := m.listener.(*pendingListener); ok {
		return l.Closed()
	}
	return 0
}

// Traffic returns the bytes and messages that the mesh has sent and received.
func (m *Mesh) Traffic() TrafficSnapshot { return m.traffic.Count() }

// IsConnected reports whether the dialled connection to a host is open.
func (m *Mesh) IsConnected(host string) bool {
	l := m.link(host)
	return l != nil && l.isConnected()
}

// Send queues a frame that needs no reply on the dialled connection to a host.
func (m *Mesh) Send(host string, f wire.Frame) error {
	return m.send(host, &outgoing{frame: f})
}

func (m *Mesh) send(host string, f *outgoing) error {
	l := m.link(host)
	if l == nil {
		return fmt.Errorf("Mesh.Send: %w: %s", ErrUnknownHost, host)
	}
	return l.send(f)
}

// Call sends a frame on the dialled connection to a host and waits for its reply.
func (m *Mesh) Call(ctx context.Context, host string, f wire.Frame) (wire.Frame, error) {
	l := m.link(host)
	if l == nil {
		return wire.Frame{}, fmt.Errorf("Mesh.Call: %w: %s", ErrUnknownHost, host)
	}
	return l.call(ctx, f)
}

func (m *Mesh) upgrade(ctx *fasthttp.RequestCtx) {
	serve := m.serveConn
	isForward := m.cfg.Forward != nil && string(ctx.Path()) == forward.Path
	if isForward {
		serve = m.serveForward
	}
	if (!isForward && string(ctx.Path()) != peerPath) || !m.tokens.Load().accept(ctx.Request.Header.Peek("Authorization")) {
		m.refusals.Warn().Str("event", "peerRefused").Stringer("address", ctx.RemoteAddr()).Msg("refused a connection without an accepted token")
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		ctx.SetConnectionClose()
		return
	}
	if c, ok := ctx.Conn().(*pendingConn); ok {
		c.admit()
	}
	u := websocket.FastHTTPUpgrader{CheckOrigin: func(*fasthttp.RequestCtx) bool { return true }}
	if err := u.Upgrade(ctx, serve); err != nil {
		m.log.Warn().Err(err).Msg("upgrading a peer connection to WebSocket failed")
	}
}

// serveForward serves a connection on which another daemon hands over requests.
func (m *Mesh) serveForward(c *websocket.Conn) {
	defer func() { _ = c.Close() }()
	if m.track(c) {
		defer m.untrack(c)
		m.cfg.Forward(m.ctx, forward.NewConn(c, forward.WithMaxFrame(forward.MaxQuestion)))
	}
}

// serveConn serves one accepted connection until it ends. Its first frame must be a Hello with the same protocol.
func (m *Mesh) serveConn(c *websocket.Conn) {
	if !m.track(c) {
		_ = c.Close()
		return
	}
	defer m.untrack(c)
	out := queue.New[*outgoing](queueSize)
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
			if f.Hello.Protocol != Protocol {
				m.refusals.Warn().Str("event", "peerRefused").Str("peer", from).Uint64("protocol", f.Hello.Protocol).Uint64("supported", Protocol).
					Msg("refused a connection with another version of the protocol")
				return false
			}
			m.setInbound(from, inboundHost{out, f.Hello.DataCentre})
			return true
		}
		if from != "" {
			m.dispatch(from, f, out)
		}
		return from != ""
	})
	m.removeInbound(from, out)
	close(quit)
	_ = c.Close()
	done.Wait()
}

func (m *Mesh) setInbound(host string, in inboundHost) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inbound[host] = in
}

func (m *Mesh) removeInbound(host string, out *queue.Queue[*outgoing]) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inbound[host].out == out {
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

func (m *Mesh) dispatch(from string, f wire.Frame, out *queue.Queue[*outgoing]) {
	if f.ID == 0 {
		m.handler.HandleOneWay(from, f)
		return
	}
	err := m.pool.Submit(func() {
		reply := m.handler.HandleCall(m.ctx, from, f)
		reply.ID = f.ID
		reply.Reply = true
		out.Push(&outgoing{frame: reply})
	})
	if err != nil {
		out.Push(&outgoing{frame: wire.Frame{ID: f.ID, Reply: true, Error: &wire.FrameError{Code: "busy", Reason: err.Error()}}})
	}
}

// readLoop passes frames to handle until the connection fails, nothing arrives for readTimeout, or handle returns false. An
// invalid frame, or an invalid entry of one, costs neither the connection nor the other entries.
func (m *Mesh) readLoop(c *websocket.Conn, handle func(wire.Frame) bool) {
	c.SetReadLimit(codec.MaxFrame)
	extend := func() error { return c.SetReadDeadline(time.Now().Add(readTimeout)) }
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
		if err != nil {
			m.logInvalid(c, err)
			continue
		}
		if err := f.RemoveInvalid(); err != nil {
			m.logInvalid(c, err)
		}
		if !handle(f) {
			return
		}
	}
}

// logInvalid logs that a daemon has sent something invalid, once for each daemon.
func (m *Mesh) logInvalid(c *websocket.Conn, err error) {
	address, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	if allowed, omitted := m.invalid.Allow(address); allowed {
		m.log.Warn().Str("event", "frameInvalid").Str("address", address).Uint64("omitted", omitted).Err(err).Msg("ignored invalid parts of a peer's frame")
	}
}

// writeLoop writes queued frames, and a ping each heartbeatInterval. It returns when a write fails or quit is closed.
func (m *Mesh) writeLoop(c *websocket.Conn, out *queue.Queue[*outgoing], quit <-chan struct{}) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-quit:
			return
		case f := <-out.Out():
			err = m.write(c, f)
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
	return m.write(c, &outgoing{frame: f})
}

func (m *Mesh) write(c *websocket.Conn, f *outgoing) error {
	b := f.encoded
	if b == nil {
		var err error
		if b, err = codec.Encode(f.frame); err != nil {
			return err
		}
	}
	m.traffic.send(len(b))
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return c.WriteMessage(websocket.BinaryMessage, b)
}

// DialForward opens a connection on which requests can be handed over to another daemon.
func (m *Mesh) DialForward(ctx context.Context, address string) (*forward.Conn, error) {
	c, err := m.dialPath(ctx, address, forward.Path)
	if err != nil {
		return nil, fmt.Errorf("Mesh.DialForward: %w", err)
	}
	return forward.NewConn(c), nil
}

func (m *Mesh) dial(address string) (*websocket.Conn, error) {
	return m.dialPath(m.ctx, address, peerPath)
}

func (m *Mesh) dialPath(ctx context.Context, address, path string) (*websocket.Conn, error) {
	d := websocket.Dialer{HandshakeTimeout: dialTimeout}
	if m.cfg.Dialer != nil {
		d.NetDialContext = m.cfg.Dialer.DialContext
	}
	header := http.Header{"Authorization": []string{m.tokens.Load().sent}}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, resp, err := d.DialContext(ctx, "ws://"+address+path, header)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("Mesh.dialPath: %w", err)
	}
	return c, nil
}
