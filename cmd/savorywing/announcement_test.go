package main

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/backend"
	"savorywing.example/savorywing/wire"
)

// badAnnouncements lists announcements that name no backend server to use. Each changes a valid one, or its text.
var badAnnouncements = []struct {
	name   string
	change func(a *wire.Announcement)
	text   func(s string) string
}{
	{"no host", func(a *wire.Announcement) { a.Host = "" }, nil},
	{"host with a control character", func(a *wire.Announcement) { a.Host = "a\nb" }, nil},
	{"huge host", func(a *wire.Announcement) { a.Host = strings.Repeat("h", 1<<16) }, nil},
	{"no address", func(a *wire.Announcement) { a.Address = "" }, nil},
	{"port 0", func(a *wire.Announcement) { a.Address = "127.0.0.1:0" }, nil},
	{"port 70000", func(a *wire.Announcement) { a.Address = "127.0.0.1:70000" }, nil},
	{"port -1", func(a *wire.Announcement) { a.Address = "127.0.0.1:-1" }, nil},
	{"port none", func(a *wire.Announcement) { a.Address = "127.0.0.1" }, nil},
	{"port a word", func(a *wire.Announcement) { a.Address = "127.0.0.1:port" }, nil},
	{"host a word", func(a *wire.Announcement) { a.Address = "nowhere:80" }, nil},
	{"unknown kind", func(a *wire.Announcement) { a.Kind = "other" }, nil},
	{"no service", func(a *wire.Announcement) { a.Kind, a.Service = savorywing.KindService, "" }, nil},
	{"huge boot", func(a *wire.Announcement) { a.Boot = math.MaxUint64 }, nil},
	{"huge sequence", func(a *wire.Announcement) { a.Sequence = math.MaxUint64 }, nil},
	{"huge accelerators", func(a *wire.Announcement) { a.Accelerators = math.MaxUint64 }, nil},
	{"huge slots", func(a *wire.Announcement) { a.Load = &wire.Load{Slots: math.MaxUint64} }, nil},
	{"huge load", func(a *wire.Announcement) { a.Load = &wire.Load{Running: math.MaxUint64, Waiting: math.MaxUint64} }, nil},
	{"group without a name", func(a *wire.Announcement) { a.Holding = &wire.Holding{} }, nil},
	{"huge list", func(a *wire.Announcement) { a.Prefixes = make([]uint64, 1<<17) }, nil},
	{"empty", nil, func(string) string { return "" }},
	{"truncated", nil, func(s string) string { return s[:len(s)-1] }},
	{"list", nil, func(s string) string { return "[" + s + "]" }},
	{"null", nil, func(string) string { return "null" }},
	{"deep nesting", nil, func(string) string { return strings.Repeat("[", 1<<17) }},
	{"nested objects", nil, func(s string) string {
		return `{"x":` + strings.Repeat(`{"a":`, 5000) + "1" + strings.Repeat("}", 5000) + "," + s[1:]
	}},
	{"not UTF-8", nil, func(s string) string { return strings.Replace(s, "engine", "\xff\xfe", 1) }},
	{"same name twice", nil, func(s string) string { return `{"boot":3,` + s[1:] }},
	{"negative boot", nil, func(s string) string { return strings.Replace(s, `"boot":1`, `"boot":-1`, 1) }},
	{"fraction", nil, func(s string) string { return strings.Replace(s, `"boot":1`, `"boot":1.5`, 1) }},
	{"beyond 64 bits", nil, func(s string) string { return strings.Replace(s, `"boot":1`, `"boot":18446744073709551616`, 1) }},
	{"wrong type", nil, func(s string) string { return strings.Replace(s, `"boot":1`, `"boot":"1"`, 1) }},
}

// badAnnouncementText returns the text of a bad announcement of a host at an address.
func badAnnouncementText(t *testing.T, i int, host, address string) string {
	t.Helper()
	tt := badAnnouncements[i]
	a := wire.Announcement{Host: host, Address: address, Kind: savorywing.KindEngine, Boot: 1, Sequence: 1, FabricDomain: "fabric", Accelerators: 1}
	if tt.change != nil {
		tt.change(&a)
	}
	b, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	if tt.text != nil {
		return tt.text(string(b))
	}
	return string(b)
}

// servePolls answers polls with one bad announcement after the other, under the host that is polled, and returns the address.
func servePolls(t *testing.T, host string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address, n := listener.Addr().String(), make(chan int, 1)
	n <- 0
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		i := <-n
		n <- i + 1
		ctx.Response.Header.Set(backend.HeaderAttemptID, string(ctx.Request.Header.Peek(backend.HeaderAttemptID)))
		ctx.SetBodyString(badAnnouncementText(t, i%len(badAnnouncements), host, address))
	}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return address
}

// TestBadAnnouncement guards against announcements and answers to polls that end a daemon, that cost the other backend
// servers, or that are logged one by one.
func TestBadAnnouncement(t *testing.T) {
	s := newServingSystem(t)
	polled := servePolls(t, "polled")
	b, err := json.Marshal(wire.Announcement{Host: "polled", Address: polled, Kind: savorywing.KindEngine, Boot: 1, FabricDomain: "other"})
	if err != nil {
		t.Fatal(err)
	}
	groups := s.waitGroup(0)
	served, sent := 0, 0
	for i, tt := range badAnnouncements {
		for daemon, address := range s.callers {
			post(t, address, backend.PathAnnounce, string(b))
			for range 3 {
				if r := s.send(daemon, "POST", backend.PathAnnounce, "", badAnnouncementText(t, i, fmt.Sprint("other-", i), "127.0.0.1:9")); r.status != fasthttp.StatusBadRequest {
					t.Errorf("%s: status %d, want 400: %.200s%v", tt.name, r.status, r.body, r.err)
				}
			}
			sent++
			if r := s.sendCompletion(daemon); r.status == fasthttp.StatusOK {
				served++
			}
		}
	}
	// The server that answers polls with bad announcements is polled for a while.
	time.Sleep(3 * time.Second)
	t.Logf("%d of %d requests were served", served, sent)
	if served != sent {
		t.Errorf("%d of %d requests were served", served, sent)
	}
	if got := s.waitGroup(0); got.ID != groups.ID || got.Fence != groups.Fence {
		t.Errorf("group %+v is now %+v", groups, got)
	}
	for _, p := range s.daemons {
		if n := strings.Count(p.logText(), "ignored an invalid response to a poll"); n != 1 {
			t.Errorf("%s logged invalid responses of one server %d times, want once", p.name, n)
		}
		if n := strings.Count(p.logText(), "announcementRefused"); n == 0 || n > len(badAnnouncements) {
			t.Errorf("%s logged %d refusals of %d senders", p.name, n, len(badAnnouncements))
		}
	}
}
