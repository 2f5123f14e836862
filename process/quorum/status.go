package quorum

import (
	"time"

	"savorywing.example/savorywing/process/evacuation"
	"savorywing.example/savorywing/wire"
)

// Status is a snapshot of a node's state that can be read without a request to its goroutine.
type Status struct {
	ID                  string
	Role                Role
	Term                uint64
	Leader              string
	CommitIndex         uint64
	LogLength           int
	Members             wire.Membership
	Table               wire.Table
	ConfigurationNumber uint64
	// History lists the accepted configuration changes without their texts, oldest first.
	History    []wire.Configuration
	ClaimCount int
	// Published is the newest accepted document; nil before the first.
	Published *wire.Publish
	// Evacuated holds the evacuated data centres; nil before the first order.
	Evacuated *evacuation.Set
	// LeaseUntil is when the leader's lease expires unless it is renewed; zero without a lease.
	LeaseUntil time.Time
	// LeadingSince is when the node became leader; zero while it does not lead.
	LeadingSince time.Time
	// FailureReason is why this member takes no part in the log; empty while it does. Outages counts how often that began.
	FailureReason string
	Outages       uint64
	// MemberChanges counts the changes of the membership that this member has proposed, and SkippedAims the aims of earlier leads that it
	// didn't follow, since its start.
	MemberChanges, SkippedAims uint64
	Syncs                      uint64
	SyncTime                   time.Duration
}

// publish stores a new Status. Unchanged tables, documents and histories are shared with the previous one.
func (n *Node) publish() {
	now := n.clock.Now()
	leading := n.core.Role() == Leader
	if !leading {
		n.leadingSince = time.Time{}
	} else if n.leadingSince.IsZero() {
		n.leadingSince = now
	}
	if n.publishedTable.Number != n.machine.TableIndex() || n.status.Load() == nil {
		n.publishedTable = n.machine.Table()
	}
	var history []wire.Configuration
	if old := n.status.Load(); old != nil && old.ConfigurationNumber == n.machine.Configuration().Number {
		history = old.History
	} else {
		history = n.machine.History()
	}
	published := n.machine.Published()
	if old := n.status.Load(); old != nil && old.Published != nil && published != nil && old.Published.Version == published.Version {
		published = old.Published
	}
	status := &Status{History: history, Published: published, Evacuated: n.machine.Evacuated(),
		ID: n.core.ID(), Role: n.core.Role(), Term: n.core.Term(), Leader: n.core.LeaderID(), CommitIndex: n.core.CommitIndex(),
		LogLength: n.core.LogLength(), Members: n.core.Members(), Table: n.publishedTable,
		ConfigurationNumber: n.machine.Configuration().Number, ClaimCount: n.machine.ClaimCount(),
		LeaseUntil: n.core.LeaseUntil(now), LeadingSince: n.leadingSince, Outages: n.outages, MemberChanges: n.memberChanges, SkippedAims: n.skippedAims, Syncs: n.syncs, SyncTime: n.syncTime,
	}
	if n.outage != nil {
		status.FailureReason, status.Leader = n.outage.cause.Error(), n.outage.leader
	}
	n.status.Store(status)
}
