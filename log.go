package savorywing

import (
	"context"

	"savorywing.example/savorywing/wire"
)

// ReplicatedLog is the client interface of the replicated log.
type ReplicatedLog interface {
	// Propose commits a command and returns the result of applying it. After an error the outcome is
	// unknown, unless the error is a RequestError with CodeNotRun.
	Propose(ctx context.Context, c wire.Command) (wire.Result, error)
}

// Disk persists the state of one voter.
type Disk interface {
	// Load returns the synced state, entries in order.
	Load() (PersistedState, error)
	// Append adds a record and returns once it is synced. After a write that failed, it returns an error until Compact has
	// written the whole state anew.
	Append(r Record) error
	// Compact replaces everything up to the snapshot's index. r has the term, the vote and all entries after it.
	Compact(s wire.Snapshot, r Record) error
	// Close releases the files.
	Close() error
}

// Record is one synced change of a voter's state.
type Record struct {
	// Term and Vote are the current term and the vote in it. They are never reset to older values.
	Term uint64 `json:"term"`
	Vote string `json:"vote"`
	// Entries replace all stored entries from the index of the first one on.
	Entries []wire.Entry `json:"entries,omitempty"`
}

// PersistedState is what a voter reads from its disk at start.
type PersistedState struct {
	// Identity is the voter's name together with the ID of its disk's incarnation.
	Identity string
	Term     uint64
	Vote     string
	Snapshot *wire.Snapshot
	// Entries continue the snapshot without missing indexes.
	Entries []wire.Entry
}
