package peer

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
)

// lockedBuffer is a buffer for the log lines of several goroutines.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// TestTokenRotation replaces the token of a server and its clients in the three steps of a rotation. After each, clients of
// the step before and of this one must be able to connect, and others must be refused with a log line.
func TestTokenRotation(t *testing.T) {
	oldOnly, oldSent, newSent, newOnly := Tokens{Sent: "old"}, Tokens{"old", []string{"new"}}, Tokens{"new", []string{"old"}}, Tokens{Sent: "new"}
	pool, err := ants.NewPool(8)
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Release()
	var lines lockedBuffer
	server, err := NewMesh(Config{Host: "server", Listen: "127.0.0.1:0", Tokens: oldOnly}, silentHandler{}, pool, zerolog.New(&lines))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	server.Start()
	connects := func(tokens Tokens) bool {
		m, err := NewMesh(Config{Host: "client", Tokens: tokens}, silentHandler{}, pool, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		defer m.Stop()
		m.AddHost("server", server.listener.Addr().String())
		m.Start()
		for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
			if m.IsConnected("server") {
				return true
			}
		}
		return false
	}
	for _, tt := range []struct {
		name    string
		server  Tokens
		clients []Tokens
		refused Tokens
	}{
		{"before", oldOnly, []Tokens{oldOnly, oldSent}, newOnly},
		{"both accepted", oldSent, []Tokens{oldOnly, oldSent, newSent}, Tokens{Sent: "other"}},
		{"new one sent", newSent, []Tokens{oldSent, newSent, newOnly}, Tokens{Sent: ""}},
		{"old one removed", newOnly, []Tokens{newSent, newOnly}, oldOnly},
	} {
		t.Run(tt.name, func(t *testing.T) {
			server.SetTokens(tt.server)
			for _, c := range tt.clients {
				if !connects(c) {
					t.Errorf("a client with %+v is refused by a server with %+v", c, tt.server)
				}
			}
			if connects(tt.refused) {
				t.Errorf("a client with %+v is accepted by a server with %+v", tt.refused, tt.server)
			}
		})
	}
	if got := strings.Count(lines.String(), `"event":"peerRefused"`); got < 1 || got > refusalLines {
		t.Errorf("%d lines about refused connections in a few seconds, want 1 to %d", got, refusalLines)
	}
}
