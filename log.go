package savorywing

import (
	"context"

	"savorywing.example/savorywing/wire"
)

// ReplicatedLog is the replicated log as its users see it.
type ReplicatedLog interface {
	// Propose commits a command and returns what applying it gave. An error leaves the outcome
	// unknown unless it is a RequestError with CodeNotRun.
	Propose(ctx context.Context, c wire.Command) (wire.Result, error)
}

// Disk keeps the state of one voter.
type Disk interface {
	// Load returns what was synced, in order.
	Load() (PersistedState, error)
	// Append adds a frame and returns after it is synced.
	Append(r Record) error
	// Compact replaces everything up to the snapshot's index and keeps the entries behind it.
	Compact(s wire.Snapshot, r Record) error
	// Close releases the files.
	Close() error
}

// Record is one synced change of a voter's state.
type Record struct {
	// Term and Vote are the newest of both; they never go back.
	Term uint64 `json:"term"`
	Vote string `json:"vote"`
	// Entries replace everything from the first one's index on.
	Entries []wire.Entry `json:"entries,omitempty"`
}

// PersistedState is what a voter finds on its disk at start.
type PersistedState struct {
	// Identity is the voter's name with the number of the disk's incarnation.
	Identity string
	Term     uint64
	Vote     string
	Snapshot *wire.Snapshot
	// Entries follow the snapshot without gaps.
	Entries []wire.Entry
}
