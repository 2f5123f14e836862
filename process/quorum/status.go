package quorum

import (
	"time"

	"savorywing.example/savorywing/wire"
)

// Status is what others may read of a node without polling its thread.
type Status struct {
	ID            string
	Role          Role
	Term          uint64
	Leader        string
	CommitIndex   uint64
	LogLength     int
	Members       wire.Membership
	Table         wire.Table
	Configuration uint64
	// History lists the accepted configuration changes without their texts, oldest first.
	History []wire.Configuration
	Claims  int
	// Published is the newest accepted document; nil before the first.
	Published *wire.Publish
	// LeaseUntil is when the leader's lease runs out unless it is renewed; zero without a lease.
	LeaseUntil time.Time
	// LeadingSince is when the node last became leader.
	LeadingSince  time.Time
	FailureReason string
	Syncs         uint64
	SyncTime      time.Duration
}

// publish makes the newest view.
func (n *Node) publish() {
	now := n.clock.Now()
	leading := n.core.Role() == Leader
	if !leading {
		n.leadingSince = time.Time{}
	} else if n.leadingSince.IsZero() {
		n.leadingSince = now
	}
	if n.lastTable.Number != n.machine.TableNumber() || n.view.Load() == nil {
		n.lastTable = n.machine.Table()
	}
	var history []wire.Configuration
	if old := n.view.Load(); old != nil && old.Configuration == n.machine.Configuration().Number {
		history = old.History
	} else {
		history = n.machine.History()
	}
	published := n.machine.Published()
	if old := n.view.Load(); old != nil && old.Published != nil && published != nil && old.Published.Version == published.Version {
		published = old.Published
	}
	v := &Status{History: history, Published: published,
		ID: n.core.ID(), Role: n.core.Role(), Term: n.core.Term(), Leader: n.core.LeaderID(), CommitIndex: n.core.CommitIndex(),
		LogLength: n.core.LogLength(), Members: n.core.Members(), Table: n.lastTable,
		Configuration: n.machine.Configuration().Number, Claims: n.machine.Claims(),
		LeaseUntil: n.core.LeaseUntil(now), LeadingSince: n.leadingSince, Syncs: n.syncs, SyncTime: n.syncTime,
	}
	if n.failed != nil {
		v.FailureReason = n.failed.Error()
	}
	n.view.Store(v)
}
