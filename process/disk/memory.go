package disk

import (
	"errors"
	"sync/atomic"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
)

// ErrFull is returned by a memory disk that was told to fail.
var ErrFull = errors.New("the disk is full")

// Memory is a disk for tests; it keeps what Append and Compact were given.
type Memory struct {
	stored savorywing.PersistedState
	// FailWrites makes every write fail.
	FailWrites atomic.Bool
}

var _ savorywing.Disk = (*Memory)(nil)

// NewMemory returns an empty disk with a given identity.
func NewMemory(identity string) *Memory {
	return &Memory{stored: savorywing.PersistedState{Identity: identity}}
}

// Load returns what was kept.
func (m *Memory) Load() (savorywing.PersistedState, error) {
	s := m.stored
	s.Entries = append([]wire.Entry(nil), m.stored.Entries...)
	return s, nil
}

// Append keeps a record.
func (m *Memory) Append(r savorywing.Record) error {
	if m.FailWrites.Load() {
		return ErrFull
	}
	return replay(&m.stored, r)
}

// Compact keeps a snapshot and the entries behind it.
func (m *Memory) Compact(s wire.Snapshot, r savorywing.Record) error {
	if m.FailWrites.Load() {
		return ErrFull
	}
	m.stored.Snapshot = &s
	m.stored.Entries = nil
	return replay(&m.stored, r)
}

// Close does nothing.
func (m *Memory) Close() error { return nil }
