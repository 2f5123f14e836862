package gateway

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/engine"
	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

// TestForwardedRequestWithInvalidHeader guards against the header of a forwarded request that ends the process, or that is
// served as something else.
func TestForwardedRequestWithInvalidHeader(t *testing.T) {
	g := newTestGateway(t)
	for _, header := range []string{
		"", "\r\n", "\x00", "GET", "GET / HTTP/1.1", "GET / HTTP/1.1\r\nHost: x\r\n", "\xff\xfe / HTTP/1.1\r\n",
		"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 100000), "GET / HTTP/1.1\r\n: x\r\n\r\n", strings.Repeat("G", 1<<20),
	} {
		if err := g.serveRequest(context.Background(), nil, "127.0.0.1:1", wire.ForwardedRequest{Header: []byte(header)}); err == nil {
			t.Errorf("header %.40q: no error", header)
		}
	}
	if n := g.forwardedInFlight(); n != 0 {
		t.Errorf("%d requests are in flight", n)
	}
}

// TestReachQueryForOneServer guards against a query that makes a host dial the same server many times.
func TestReachQueryForOneServer(t *testing.T) {
	g := newTestGateway(t)
	var list []wire.Endpoint
	var servers []wire.ServerAddress
	for i := range 3 {
		id, address := fmt.Sprint("i-", i), fmt.Sprint("127.0.0.1:", 1+i)
		list = append(list, wire.Endpoint{ID: id, Address: address, Service: "s"})
		for range 100 {
			servers = append(servers, wire.ServerAddress{ID: id, Address: address}, wire.ServerAddress{ID: "other", Address: address})
		}
	}
	g.balancer.UpdateEndpoints(true, list, nil)
	if _, got := g.evidence(wire.ReachQuery{Servers: servers}); len(got) != 3 {
		t.Errorf("%d servers are dialled, want 3: %v", len(got), got)
	}
}

// TestUnreadableDocument guards against a document of the leader that can't be decoded and is logged with each update.
func TestUnreadableDocument(t *testing.T) {
	invalid, err := codec.Compress([]byte(`{"version":8}`))
	if err != nil {
		t.Fatal(err)
	}
	for name, document := range map[string][]byte{"not compressed": []byte("document"), "truncated": invalid[:len(invalid)-2], "invalid": invalid} {
		var lines bytes.Buffer
		g := newTestGateway(t)
		g.log = zerolog.New(&lines)
		for range 100 {
			g.subscription.applyDocument(wire.FleetUpdate{Version: 8, Document: document, Echo: 1})
		}
		if n := strings.Count(lines.String(), "documentUnreadable"); n != 1 || g.subscription.documentVersion() != 7 {
			t.Errorf("%s: logged %d times, want once; version %d in force, want 7", name, n, g.subscription.documentVersion())
		}
	}
}

// TestInvalidNotices guards against a server whose responses all state an invalid value and each of which is logged.
func TestInvalidNotices(t *testing.T) {
	var lines bytes.Buffer
	g := newTestGateway(t)
	g.log = zerolog.New(&lines)
	r := &callerRequest{gateway: g}
	for range 100 {
		for _, id := range []string{"i", "j"} {
			response := &engine.Response{Metadata: savorywing.ResponseMetadata{InvalidClosedFor: strings.Repeat("9", 10000), InvalidRequestLimit: "few"}}
			r.recordNotice(placement.Decision{ID: id}, response.Metadata)
			r.recordLimit(placement.Decision{ID: id}, nil, response)
		}
	}
	if closed, limit := strings.Count(lines.String(), "closedForInvalid"), strings.Count(lines.String(), "serverLimitInvalid"); closed != 2 || limit != 2 {
		t.Errorf("the values of two servers were logged %d and %d times, want twice", closed, limit)
	}
	if lines.Len() > 4<<10 {
		t.Errorf("the lines have %d bytes", lines.Len())
	}
}
