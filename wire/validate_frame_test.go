package wire

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
)

const (
	addr = "10.0.0.9:80"
	huge = math.MaxInt
)

// TestInvalidEntryCostsOnlyItself guards against frames of which one invalid entry costs the others, and against invalid
// entries that are kept.
func TestInvalidEntryCostsOnlyItself(t *testing.T) {
	report := func(change func(r *Report)) Report {
		r := Report{ID: "i", Service: "s", Address: addr, Engine: true, Domain: "d", Group: &GroupPlace{Name: "g", State: "open"}}
		change(&r)
		return r
	}
	endpoint := func(change func(e *Endpoint)) Endpoint {
		e := Endpoint{ID: "i", Service: "s", Address: addr, Slots: 8}
		change(&e)
		return e
	}
	const addressesOfPresence = "addresses of a presence"
	tests := []struct {
		name      string
		got, want Frame
	}{
		{"reports", Frame{Reports: []Report{
			report(func(r *Report) { r.Group.Rank = -1 }), report(func(*Report) {}), report(func(r *Report) { r.Group.Rank = huge }),
			report(func(r *Report) { r.Address = "10.0.0.9:70000" }), {ID: "j", Gone: true}, {Gone: true}, {},
		}}, Frame{Reports: []Report{report(func(*Report) {}), {ID: "j", Gone: true}}}},
		{"messages of the log", Frame{Raft: []RaftMessage{
			{Index: 3, Entries: []Entry{{Index: 4}, {Index: 5}}}, {Index: 3, Entries: []Entry{{Index: 3}}},
			{Index: 3, Entries: []Entry{{Index: 4}, {Index: 6}}}, {Index: math.MaxUint64, Entries: []Entry{{Index: 7}}},
			{Index: 3, Term: 1, Entries: []Entry{{Index: 4, Term: 2}}}, {Term: math.MaxUint64}, {Index: math.MaxUint64},
			{Term: 1, Snapshot: &Snapshot{Index: math.MaxUint64}}, {Term: 1, Snapshot: &Snapshot{Index: 1, Term: 2}},
		}}, Frame{Raft: []RaftMessage{{Index: 3, Entries: []Entry{{Index: 4}, {Index: 5}}}}}},
		{"endpoints", Frame{Fleet: &FleetUpdate{Term: 1, Endpoints: []Endpoint{
			endpoint(func(e *Endpoint) { e.Address = "nowhere" }), endpoint(func(*Endpoint) {}), endpoint(func(e *Endpoint) { e.Slots = -1 }),
			endpoint(func(e *Endpoint) { e.Slots = huge }), endpoint(func(e *Endpoint) { e.ColdMs = math.MinInt64 }), endpoint(func(e *Endpoint) { e.ColdShare = math.NaN() }), endpoint(func(e *Endpoint) { e.ID = "" }),
		}}}, Frame{Fleet: &FleetUpdate{Term: 1, Endpoints: []Endpoint{endpoint(func(*Endpoint) {})}}}},
		{"other lists of an update", Frame{Fleet: &FleetUpdate{
			Controls:   []string{"", addr, "10.0.0.9"},
			Limits:     []ServerLimit{{ID: "i", PerSecond: math.NaN()}, {ID: "i", PerSecond: 4}, {ID: "i", PerSecond: -1}, {ID: "i", PerSecond: math.Inf(1)}, {ID: "j", PerSecond: 1e-300}},
			Permits:    []PermitGrant{{Service: "s", WaitMs: -1}, {Service: "s", WaitMs: 7}, {Service: "s", WaitMs: huge}},
			Forwarders: []Forwarder{{Address: "x"}, {Address: addr}},
			Quarantine: []QuarantinedPart{{RetryMs: huge}, {RetryMs: 1}},
		}}, Frame{Fleet: &FleetUpdate{
			Controls: []string{addr}, Limits: []ServerLimit{{ID: "i", PerSecond: 4}, {ID: "j", PerSecond: 1e-300}}, Permits: []PermitGrant{{Service: "s", WaitMs: 7}},
			Forwarders: []Forwarder{{Address: addr}}, Quarantine: []QuarantinedPart{{RetryMs: 1}},
		}}},
		{"leader of an update", Frame{Fleet: &FleetUpdate{Leader: "nobody"}}, Frame{}},
		{"entry hosts of an update", Frame{Fleet: &FleetUpdate{Entries: -1}}, Frame{}},
		{"usage", Frame{Usage: &Usage{
			Loads:          []EndpointLoad{{ID: "i", InFlight: -5}, {ID: "i", InFlight: 5}, {ID: "i", InFlight: huge}, {ID: "i", WaitingTokens: -1}, {InFlight: 1}},
			Limits:         []ServerLimit{{ID: "i", PerSecond: 1, AgeMs: math.MinInt64}, {ID: "i", PerSecond: 1, AgeMs: -3}},
			PermitRequests: []PermitRequest{{Service: "s", Waiting: -1}, {Service: "s", Ahead: huge}, {Service: "s", Waiting: 2}},
			Losses:         []Loss{{Server: "i", AgeMs: huge}, {Server: "i"}, {}},
			Survivals:      []Survival{{BegunMs: math.MinInt64}, {BegunMs: 4}},
			Quarantine:     []QuarantinedPart{{RetryMs: math.MinInt64}, {}},
			Demand:         []ModelDemand{{Model: "m", WorkMs: math.MaxUint64}, {Model: "m", WorkMs: 3}},
		}}, Frame{Usage: &Usage{
			Loads: []EndpointLoad{{ID: "i", InFlight: 5}}, Limits: []ServerLimit{{ID: "i", PerSecond: 1, AgeMs: -3}},
			PermitRequests: []PermitRequest{{Service: "s", Waiting: 2}}, Losses: []Loss{{Server: "i"}}, Survivals: []Survival{{BegunMs: 4}},
			Quarantine: []QuarantinedPart{{}}, Demand: []ModelDemand{{Model: "m", WorkMs: 3}},
		}}},
		{"presence", Frame{Presence: &Presence{ID: "h\n", ControlAddress: addr}}, Frame{}},
		{addressesOfPresence, Frame{Presence: &Presence{ID: "h/1", ControlAddress: "10.0.0.9:0", Peers: []string{"x:1", addr, ""}}},
			Frame{Presence: &Presence{ID: "h/1", Peers: []string{addr}}}},
		{"first membership", Frame{Formation: &Formation{}}, Frame{}},
		{"first membership without members", Frame{Formation: &Formation{Membership: &Membership{}}}, Frame{}},
		{"first membership without voters", Frame{Formation: &Formation{Membership: &Membership{Members: []Member{{ID: "a/1"}}}}}, Frame{}},
		{"first membership with a member twice", Frame{Formation: &Formation{Membership: &Membership{Members: []Member{{ID: "a/1", Voter: true}, {ID: "a/1"}}}}}, Frame{}},
		{"hello", Frame{Hello: &Hello{Host: "a\nb"}}, Frame{}},
		{"negative offer", Frame{ForwardOffer: &ForwardOffer{Host: addr, Bytes: -1}}, Frame{}},
		{"huge offer", Frame{ForwardOffer: &ForwardOffer{Host: addr, Bytes: huge}}, Frame{}},
		{"forwarded request", Frame{ForwardedRequest: &ForwardedRequest{ElapsedMs: huge}}, Frame{}},
		{"negative sends", Frame{ForwardedRequest: &ForwardedRequest{Sends: -1}}, Frame{}},
		{"reach query", Frame{ReachQuery: &ReachQuery{Servers: []ServerAddress{{ID: "i", Address: "x"}, {ID: "i", Address: addr}}}},
			Frame{ReachQuery: &ReachQuery{Servers: []ServerAddress{{ID: "i", Address: addr}}}}},
	}
	for _, tt := range tests {
		err := tt.got.RemoveInvalid()
		if isError := tt.name != addressesOfPresence; isError != errors.Is(err, ErrInvalid) || (isError && !strings.HasPrefix(err.Error(), "Frame.RemoveInvalid: ")) {
			t.Errorf("%s: %v", tt.name, err)
		}
		if !reflect.DeepEqual(tt.got, tt.want) {
			t.Errorf("%s: got %+v, want %+v", tt.name, tt.got, tt.want)
		}
	}
}

// TestHugeLists guards against frames that make a host dial a thousand others for ever.
func TestHugeLists(t *testing.T) {
	var many []string
	for i := range 1000 {
		many = append(many, fmt.Sprintf("10.0.%d.%d:80", i/250, 1+i%250))
	}
	f := Frame{Fleet: &FleetUpdate{Controls: slices.Clone(many)}, Presence: &Presence{ID: "a/1", ControlAddress: addr, Peers: many}}
	if err := f.RemoveInvalid(); err != nil || len(f.Fleet.Controls) != maxControls || len(f.Presence.Peers) != maxControls {
		t.Errorf("%d and %d hosts, %v, want %d", len(f.Fleet.Controls), len(f.Presence.Peers), err, maxControls)
	}
}

// TestHugeReachQuery guards against a query that makes a host dial a thousand servers at once.
func TestHugeReachQuery(t *testing.T) {
	q := &ReachQuery{}
	for range 1000 {
		q.Servers = append(q.Servers, ServerAddress{ID: "i", Address: addr})
	}
	f := Frame{ReachQuery: q}
	if err := f.RemoveInvalid(); err != nil || len(q.Servers) != maxReached {
		t.Errorf("%d servers, %v, want %d", len(q.Servers), err, maxReached)
	}
}
