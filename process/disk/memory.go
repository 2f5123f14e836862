package disk

import (
	"errors"
	"sync/atomic"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
)

// ErrWriteFailed is returned by writes to a Memory with FailWrites set.
var ErrWriteFailed = errors.New("the disk is full")

// Memory is an in-memory savorywing.Disk for tests.
type Memory struct {
	stored savorywing.PersistedState
	// failed reports whether a write has failed since the last Compact.
	failed bool
	// FailWrites makes every write return ErrWriteFailed.
	FailWrites atomic.Bool
}

var _ savorywing.Disk = (*Memory)(nil)

// NewMemory returns an empty Memory with the given identity.
func NewMemory(identity string) *Memory {
	return &Memory{stored: savorywing.PersistedState{Identity: identity}}
}

// Load returns the stored state.
func (m *Memory) Load() (savorywing.PersistedState, error) {
	s := m.stored
	s.Entries = append([]wire.Entry(nil), m.stored.Entries...)
	return s, nil
}

// Append stores a record.
func (m *Memory) Append(r savorywing.Record) error {
	m.failed = m.failed || m.FailWrites.Load()
	if m.failed {
		return ErrWriteFailed
	}
	return replay(&m.stored, r)
}

// Compact stores a snapshot and the entries that follow it.
func (m *Memory) Compact(s wire.Snapshot, r savorywing.Record) error {
	m.failed = m.FailWrites.Load()
	if m.failed {
		return ErrWriteFailed
	}
	m.stored.Snapshot = &s
	m.stored.Entries = nil
	return replay(&m.stored, r)
}

// Close does nothing.
func (m *Memory) Close() error { return nil }
