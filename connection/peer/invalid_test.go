package peer

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"

	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

// reportHandler passes on the IDs of the servers whose reports it is sent.
type reportHandler struct {
	silentHandler
	ids chan string
}

func (h reportHandler) HandleOneWay(_ string, f wire.Frame) {
	for _, r := range f.Reports {
		h.ids <- r.ID
	}
}

// TestInvalidFrames guards against frames of another daemon, or entries of frames, that cost the connection or the frames
// after them, or that are logged one by one.
func TestInvalidFrames(t *testing.T) {
	pool, err := ants.NewPool(8)
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Release()
	var lines lockedBuffer
	handler := reportHandler{ids: make(chan string, 100)}
	server, err := NewMesh(Config{Host: "server", Listen: "127.0.0.1:0"}, handler, pool, zerolog.New(&lines))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	server.Start()
	client, err := NewMesh(Config{Host: "client"}, silentHandler{}, pool, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := client.dialPath(ctx, server.listener.Addr().String(), peerPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	send := func(b []byte) {
		t.Helper()
		if err := c.WriteMessage(websocket.BinaryMessage, b); err != nil {
			t.Fatal(err)
		}
	}
	encode := func(f wire.Frame) []byte {
		t.Helper()
		b, err := codec.Encode(f)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	good := wire.Report{ID: "good", Service: "s", Address: "10.0.0.9:80"}
	bad := good
	bad.ID, bad.Slots = "bad", -1
	bads := map[string][]byte{
		"empty":             {},
		"no CBOR":           []byte("hello"),
		"truncated":         encode(wire.Frame{Reports: []wire.Report{good}})[:40],
		"deep nesting":      bytes.Repeat([]byte{0x81}, 100000),
		"huge array":        {0xa1, 0x67, 'r', 'e', 'p', 'o', 'r', 't', 's', 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"huge text":         {0xa1, 0x67, 'r', 'e', 'p', 'o', 'r', 't', 's', 0x7b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"wrong type":        {0xa1, 0x67, 'r', 'e', 'p', 'o', 'r', 't', 's', 0x61, 'x'},
		"not UTF-8":         {0xa1, 0x67, 'r', 'e', 'p', 'o', 'r', 't', 's', 0x81, 0xa1, 0x62, 'i', 'd', 0x62, 0xff, 0xfe},
		"beyond 64 bits":    append([]byte{0xa1, 0x62, 'i', 'd', 0xc2, 0x49}, bytes.Repeat([]byte{0xff}, 9)...),
		"same name twice":   {0xa2, 0x62, 'i', 'd', 0x01, 0x62, 'i', 'd', 0x02},
		"invalid entries":   encode(wire.Frame{Reports: []wire.Report{bad, bad}}),
		"invalid presence":  encode(wire.Frame{Presence: &wire.Presence{}}),
		"no part of a call": encode(wire.Frame{ID: 7}),
	}
	send(encode(wire.Frame{Hello: &wire.Hello{Host: "client", Protocol: Protocol}}))
	for name, b := range bads {
		send(b)
		send(encode(wire.Frame{Reports: []wire.Report{bad, good, bad}}))
		select {
		case got := <-handler.ids:
			if got != "good" {
				t.Errorf("%s: handled the report of %q, want \"good\"", name, got)
			}
		case <-time.After(2 * time.Second):
			t.Fatalf("%s: the next frame was not handled", name)
		}
	}
	if n := strings.Count(lines.String(), "frameInvalid"); n != 1 {
		t.Errorf("the invalid frames of one daemon were logged %d times, want once:\n%s", n, lines.String())
	}
}
