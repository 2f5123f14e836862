package backend

import (
	"bufio"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/clock"
)

// TestRequestTargets guards against requests of savorywing serve that reach a service with another target than the caller has
// sent.
func TestRequestTargets(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	lines := make(chan string, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(c).ReadString('\n')
			lines <- strings.TrimSpace(line)
			_ = c.Close()
		}
	}()
	client := New(clock.System{})
	for _, target := range []string{
		"/booking/x", "/booking//x///", "/booking/./a/../b/.", "/booking/%2F%2e%2E/%41", "/booking/x?", "/booking/x??a=?&&", "/booking/x?%20=+&a&a=",
		"/booking/\xc3\xa4|{}", "/booking/x#part", "http://service.example/booking/x",
	} {
		_, _ = client.Send(context.Background(), savorywing.Target{Address: l.Addr().String()}, savorywing.Call{
			Method: "GET", Path: target, AttemptID: "a", NewConnection: true, FirstByteTimeout: time.Second,
		})
		select {
		case got := <-lines:
			if want := "GET " + target + " HTTP/1.1"; got != want {
				t.Errorf("the server got %q, want %q", got, want)
			}
		case <-time.After(2 * time.Second):
			t.Errorf("%s: the server got no request", target)
		}
	}
}
