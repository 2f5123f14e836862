package peer

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"

	"savorywing.example/savorywing/wire"
)

const (
	// daemonMemory is the memory that a daemon may use for control in a fleet of targetDaemons.
	daemonMemory  = 32 << 20
	targetDaemons = 330
)

type silentHandler struct{}

func (silentHandler) HandleOneWay(string, wire.Frame) {}
func (silentHandler) HandleCall(context.Context, string, wire.Frame) wire.Frame {
	return wire.Frame{}
}
func (silentHandler) HandleConnected(string)    {}
func (silentHandler) HandleDisconnected(string) {}

// TestMemoryOfConnections opens many connections to one daemon. The heap that they take, at both ends, must leave a
// daemon of the target fleet within its memory: queues that reserve more made control hosts collect garbage all the time.
func TestMemoryOfConnections(t *testing.T) {
	const connections = 120
	pool, err := ants.NewPool(8)
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Release()
	server, err := NewMesh(Config{Host: "server", Listen: "127.0.0.1:0"}, silentHandler{}, pool, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	server.Start()
	before := heapInUse()
	for i := range connections {
		m, err := NewMesh(Config{Host: fmt.Sprint("host-", i)}, silentHandler{}, pool, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		defer m.Stop()
		m.AddHost("server", server.listener.Addr().String())
		m.Start()
	}
	deadline := time.Now().Add(10 * time.Second)
	for len(server.InboundHosts()) < connections {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d connections are open", len(server.InboundHosts()), connections)
		}
		time.Sleep(10 * time.Millisecond)
	}
	// Both ends of each connection are in this process.
	if got, limit := (heapInUse()-before)/connections, int64(2*daemonMemory/targetDaemons); got > limit {
		t.Errorf("a connection takes %d bytes of heap at its two ends, want at most %d", got, limit)
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
