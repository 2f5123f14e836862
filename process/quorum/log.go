package quorum

import "savorywing.example/savorywing/wire"

// entryLog is the log that follows a snapshot.
type entryLog struct {
	snapshot wire.Snapshot
	// entries follow the snapshot without gaps: entries[i].Index == snapshot.Index + 1 + i.
	entries []wire.Entry
}

func (l *entryLog) firstIndex() uint64 { return l.snapshot.Index + 1 }

func (l *entryLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at an index, and false if the log no longer or not yet holds it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.firstIndex() || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.firstIndex()].Term, true
}

// slice returns a copy of up to limit entries from an index on, or nil if there are none.
func (l *entryLog) slice(from uint64, limit int) []wire.Entry {
	if from < l.firstIndex() || from > l.lastIndex() {
		return nil
	}
	rest := l.entries[from-l.firstIndex():]
	if len(rest) > limit {
		rest = rest[:limit]
	}
	return append([]wire.Entry(nil), rest...)
}

func (l *entryLog) entryAt(index uint64) wire.Entry { return l.entries[index-l.firstIndex()] }

// truncate removes every entry from an index on.
func (l *entryLog) truncate(from uint64) {
	l.entries = l.entries[:from-l.firstIndex()]
}

// compact drops the entries that a snapshot covers.
func (l *entryLog) compact(s wire.Snapshot) {
	var rest []wire.Entry
	if s.Index < l.lastIndex() {
		rest = append(rest, l.entries[s.Index-l.snapshot.Index:]...)
	}
	l.snapshot = s
	l.entries = rest
}

// reset replaces the whole log by a snapshot from the leader.
func (l *entryLog) reset(s wire.Snapshot) {
	l.snapshot = s
	l.entries = nil
}

// membership returns the newest membership, committed or not, and its index.
func (l *entryLog) membership() (wire.Membership, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind != EntryMembership {
			continue
		}
		if m, err := decodeMembership(l.entries[i].Data); err == nil {
			return m, l.entries[i].Index
		}
	}
	if l.snapshot.Membership == nil {
		return wire.Membership{}, l.snapshot.Index
	}
	return *l.snapshot.Membership, l.snapshot.Index
}
