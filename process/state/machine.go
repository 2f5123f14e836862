package state

import (
	"fmt"
	"sort"

	"savorywing.example/savorywing/process/evacuation"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

// maxRememberedChanges bounds the change IDs for which a resend still gets the first result.
const maxRememberedChanges = 4096

// Reasons for rejected commands. The texts are protocol values: entry hosts compare them with a voter's replies.
const (
	ReasonConflict       = "another change took this number"
	ReasonMalformed      = "the command has no part"
	ReasonSuperseded     = "a later order has changed the evacuated data centres"
	ReasonNotFree        = "the host is not free at that fencing number"
	ReasonExists         = "the group exists"
	ReasonWrongPhase     = "no group with that fencing number is in the phase"
	ReasonDigestMismatch = "the key was used for another request"
	ReasonClaimed        = "the key is claimed"
	ReasonClaimTableFull = "the ledger of claims is full"
	ReasonNoClaim        = "no such claim is running"
)

// claimKey identifies a claim.
type claimKey struct {
	organisation string
	key          string
}

// expiry is the time at which a claim may be removed, unless a later attempt has extended it; at is in milliseconds of the
// log's clock.
type expiry struct {
	key claimKey
	at  int64
}

// Machine holds the replicated state. It is not safe for concurrent use.
type Machine struct {
	// lastCommandTime is in milliseconds of the log's clock and never decreases. Claims expire by it rather than by a
	// local clock, so that every voter removes the same claims.
	lastCommandTime int64
	// lastFencingToken never decreases; every group gets a token of its own.
	lastFencingToken uint64
	configuration    wire.Configuration
	// published is the accepted document with the highest version.
	published wire.Publish
	evacuated *evacuation.Set
	changes   map[string]wire.Result
	// changeOrder lists change IDs, oldest first, at most maxRememberedChanges.
	changeOrder []string
	tableIndex  uint64
	groups      map[string]*wire.Group
	// hosts maps each host to its ownership; a host belongs to at most one group.
	hosts  map[string]*wire.Ownership
	claims map[claimKey]*wire.ClaimRecord
	// claimOrder lists the times at which claims may expire, in the order in which the claims were made.
	claimOrder []expiry
}

// New returns the empty state.
func New() *Machine {
	return &Machine{
		changes: map[string]wire.Result{}, groups: map[string]*wire.Group{},
		hosts: map[string]*wire.Ownership{}, claims: map[claimKey]*wire.ClaimRecord{},
	}
}

// Apply applies one command and returns its result.
func (m *Machine) Apply(index uint64, c wire.Command) wire.Result {
	m.lastCommandTime = max(m.lastCommandTime, c.At)
	r := m.apply(index, c)
	r.Index = index
	return r
}

func (m *Machine) apply(index uint64, c wire.Command) wire.Result {
	switch {
	case c.Configuration != nil:
		return m.changeConfiguration(*c.Configuration)
	case c.Assign != nil:
		return m.assign(index, *c.Assign)
	case c.Activate != nil:
		return m.activate(index, *c.Activate)
	case c.Release != nil:
		return m.release(index, *c.Release)
	case c.Free != nil:
		return m.free(index, *c.Free)
	case c.Drain != nil:
		return m.drain(index, *c.Drain)
	case c.Claim != nil:
		return m.claim(*c.Claim)
	case c.Settle != nil:
		return m.settle(*c.Settle)
	case c.Publish != nil:
		return m.publish(*c.Publish)
	case c.Evacuate != nil:
		return m.evacuate(index, *c.Evacuate)
	case c.Barrier:
		return wire.Result{Accepted: true, Published: m.Published(), Evacuations: m.evacuated.Wire()}
	}
	return rejected(ReasonMalformed)
}

func rejected(reason string) wire.Result { return wire.Result{Reason: reason} }

// changeConfiguration accepts a configuration that follows the newest one. A change ID that has already been accepted gets
// the same result again.
func (m *Machine) changeConfiguration(c wire.ChangeConfiguration) wire.Result {
	if result, known := m.changes[c.ChangeID]; known {
		return result
	}
	if c.Follows != m.configuration.Number {
		newest := m.configuration
		newest.Text = ""
		return wire.Result{Reason: ReasonConflict, Configuration: &newest}
	}
	m.configuration = wire.Configuration{
		Number: c.Follows + 1, ChangeID: c.ChangeID, Operator: c.Operator, Text: c.Text, At: c.At,
	}
	accepted := m.configuration
	accepted.Text = ""
	r := wire.Result{Accepted: true, Configuration: &accepted}
	m.recordChange(c.ChangeID, r)
	return r
}

func (m *Machine) recordChange(id string, r wire.Result) {
	m.changes[id] = r
	m.changeOrder = append(m.changeOrder, id)
	if len(m.changeOrder) > maxRememberedChanges {
		delete(m.changes, m.changeOrder[0])
		m.changeOrder = m.changeOrder[1:]
	}
}

// publish keeps a document if its version is higher than any before. A lower or equal version is
// accepted too and changes nothing, so that a resend gets the same result.
func (m *Machine) publish(p wire.Publish) wire.Result {
	if p.Version > m.published.Version {
		m.published = p
	}
	return wire.Result{Accepted: true}
}

// evacuate applies an operator's order for a data centre. A resent one changes nothing and gets the same result. The result of one that
// follows another set than the newest has the newest.
func (m *Machine) evacuate(index uint64, o wire.Evacuate) wire.Result {
	if o.DataCentre == "" {
		return rejected(ReasonMalformed)
	}
	if m.evacuated.IsSuperseded(o) {
		return wire.Result{Reason: ReasonSuperseded, Evacuations: m.evacuated.Wire()}
	}
	m.evacuated = m.evacuated.Apply(index, o)
	return wire.Result{Accepted: true}
}

// Evacuated returns the evacuated data centres.
func (m *Machine) Evacuated() *evacuation.Set { return m.evacuated }

// Published returns the document with the highest version, or nil before the first.
func (m *Machine) Published() *wire.Publish {
	if m.published.Version == 0 {
		return nil
	}
	p := m.published
	return &p
}

// LastCommandTime returns the time of the newest command, in milliseconds of the log's clock.
func (m *Machine) LastCommandTime() int64 { return m.lastCommandTime }

// Configuration returns the newest accepted configuration.
func (m *Machine) Configuration() wire.Configuration { return m.configuration }

// History returns the newest accepted changes without their texts, oldest first.
func (m *Machine) History() []wire.Configuration {
	var list []wire.Configuration
	for _, id := range m.changeOrder {
		if c := m.changes[id].Configuration; c != nil {
			list = append(list, *c)
		}
	}
	return list
}

// TableIndex returns the log index of the newest change to groups or hosts.
func (m *Machine) TableIndex() uint64 { return m.tableIndex }

// ClaimCount returns the number of claims in the claim table.
func (m *Machine) ClaimCount() int { return len(m.claims) }

// Table returns a copy of the groups, sorted by ID, and of the host ownerships, sorted by host name.
func (m *Machine) Table() wire.Table {
	t := wire.Table{Number: m.tableIndex}
	for _, g := range m.groups {
		c := *g
		c.Members = append([]wire.GroupMember(nil), g.Members...)
		t.Groups = append(t.Groups, c)
	}
	for _, h := range m.hosts {
		t.Hosts = append(t.Hosts, *h)
	}
	sort.Slice(t.Groups, func(i, j int) bool { return t.Groups[i].ID < t.Groups[j].ID })
	sort.Slice(t.Hosts, func(i, j int) bool { return t.Hosts[i].Host < t.Hosts[j].Host })
	return t
}

// Snapshot returns the complete state, encoded.
func (m *Machine) Snapshot() ([]byte, error) {
	table := m.Table()
	c := m.configuration
	s := wire.State{Table: &table, Configuration: &c, At: m.lastCommandTime, Fence: m.lastFencingToken, Published: m.Published(), Evacuations: m.evacuated.Wire()}
	for _, id := range m.changeOrder {
		r := m.changes[id]
		s.Changes = append(s.Changes, wire.ChangeRecord{ChangeID: id, Result: &r})
	}
	for _, e := range m.claimOrder {
		if r := m.claims[e.key]; r != nil && r.Expires == e.at {
			s.Claims = append(s.Claims, *r)
		}
	}
	b, err := codec.Encode(s)
	if err != nil {
		return nil, fmt.Errorf("Machine.Snapshot: %w", err)
	}
	return b, nil
}

// Restore returns the state that a snapshot holds; an empty snapshot gives the empty state.
func Restore(b []byte) (*Machine, error) {
	m := New()
	if len(b) == 0 {
		return m, nil
	}
	var s wire.State
	if err := codec.Decode(b, &s); err != nil {
		return nil, fmt.Errorf("state.Restore: %w", err)
	}
	m.lastCommandTime, m.lastFencingToken = s.At, s.Fence
	if s.Configuration != nil {
		m.configuration = *s.Configuration
	}
	if s.Published != nil {
		m.published = *s.Published
	}
	m.evacuated = evacuation.Restore(s.Evacuations)
	for _, c := range s.Changes {
		if c.Result != nil {
			m.recordChange(c.ChangeID, *c.Result)
		}
	}
	if s.Table != nil {
		m.restoreTable(*s.Table)
	}
	for _, c := range s.Claims {
		k := claimKey{c.Organisation, c.Key}
		m.claims[k] = &c
		m.claimOrder = append(m.claimOrder, expiry{key: k, at: c.Expires})
	}
	return m, nil
}

func (m *Machine) restoreTable(t wire.Table) {
	m.tableIndex = t.Number
	for _, g := range t.Groups {
		m.groups[g.ID] = &g
	}
	for _, h := range t.Hosts {
		m.hosts[h.Host] = &h
	}
}
