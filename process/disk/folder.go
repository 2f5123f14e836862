package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// Folder is a voter's disk under one data folder.
type Folder struct {
	dir        string
	generation int
	log        *os.File
	identity   string
	// incarnation is the second half of the identity that an empty folder gets.
	incarnation string
	torn        int
	// failed is set by the first write that did not succeed; nothing is written after it.
	failed error
}

var _ savorywing.Disk = (*Folder)(nil)

// FolderOption sets an optional part of a Folder.
type FolderOption func(*Folder)

// WithIncarnation names the identity that an empty folder gets. It is for a first start only, where all
// voters must know each other's identities without talking; any later empty folder needs a random one.
func WithIncarnation(name string) FolderOption {
	return func(f *Folder) { f.incarnation = name }
}

// Open opens a data folder. An empty folder gets a new identity for host.
func Open(dir, host string, opts ...FolderOption) (*Folder, error) {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, fmt.Errorf("disk.Open: %w", err)
	}
	f := &Folder{dir: dir, incarnation: string(savorywing.NewID())}
	for _, opt := range opts {
		opt(f)
	}
	generation, err := f.newest()
	if err != nil {
		return nil, fmt.Errorf("disk.Open: %w", err)
	}
	f.generation = generation
	if generation == 0 {
		f.identity = host + "/" + f.incarnation
		if err := f.begin(frame{Identity: f.identity}); err != nil {
			return nil, fmt.Errorf("disk.Open: %w", err)
		}
	}
	return f, nil
}

func (f *Folder) logPath(generation int) string {
	return filepath.Join(f.dir, fmt.Sprintf("log-%012d.swf", generation))
}

func (f *Folder) snapshotPath(generation int) string {
	return filepath.Join(f.dir, fmt.Sprintf("snapshot-%012d.swf", generation))
}

// newest returns the newest generation, or 0 in an empty folder.
func (f *Folder) newest() (int, error) {
	logs, err := filepath.Glob(filepath.Join(f.dir, "log-*.swf"))
	if err != nil {
		return 0, err
	}
	snapshots, err := filepath.Glob(filepath.Join(f.dir, "snapshot-*.swf"))
	if err != nil {
		return 0, err
	}
	if len(logs) == 0 {
		if len(snapshots) > 0 {
			return 0, fmt.Errorf("%s: %w: there are snapshots but no log", f.dir, ErrCorrupt)
		}
		return 0, nil
	}
	sort.Strings(logs)
	var generation int
	_, err = fmt.Sscanf(filepath.Base(logs[len(logs)-1]), "log-%d.swf", &generation)
	return generation, err
}

// begin starts the next generation with its first frame; the rename of the log is the moment it counts.
func (f *Folder) begin(first frame) error {
	b, err := encodeFrame(first)
	if err != nil {
		return err
	}
	next := f.generation + 1
	if err := writeSynced(f.logPath(next), b); err != nil {
		return err
	}
	if err := syncDir(f.dir); err != nil {
		return err
	}
	if f.log != nil {
		_ = f.log.Close()
		f.log = nil
	}
	f.generation = next
	return f.openLog()
}

func (f *Folder) openLog() error {
	log, err := os.OpenFile(f.logPath(f.generation), os.O_RDWR|os.O_APPEND, fileMode)
	if err != nil {
		return err
	}
	f.log = log
	return nil
}

// writeSynced puts a whole, synced file in place.
func writeSynced(path string, b []byte) error {
	temporary := path + ".tmp"
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(b)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = d.Sync()
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Load returns what was synced. A torn tail is cut off; damage before it is ErrCorrupt.
func (f *Folder) Load() (savorywing.PersistedState, error) {
	stored, err := f.load()
	if err != nil {
		return stored, fmt.Errorf("Folder.Load: %s: %w", f.logPath(f.generation), err)
	}
	f.identity = stored.Identity
	f.removeOld()
	return stored, nil
}

func (f *Folder) load() (savorywing.PersistedState, error) {
	b, err := os.ReadFile(f.logPath(f.generation))
	if err != nil {
		return savorywing.PersistedState{}, err
	}
	frames, whole, err := decodeFrames(b)
	if err != nil {
		return savorywing.PersistedState{}, err
	}
	if len(frames) == 0 || frames[0].Identity == "" {
		return savorywing.PersistedState{}, fmt.Errorf("%w: its first frame is missing", ErrCorrupt)
	}
	stored := savorywing.PersistedState{Identity: frames[0].Identity}
	if frames[0].Snapshot {
		if stored.Snapshot, err = f.loadSnapshot(); err != nil {
			return stored, err
		}
	}
	for _, fr := range frames {
		if err := replay(&stored, fr.Record); err != nil {
			return stored, err
		}
	}
	if f.log == nil {
		if err := f.openLog(); err != nil {
			return stored, err
		}
	}
	return stored, f.cutTail(whole, len(b))
}

func (f *Folder) cutTail(whole, size int) error {
	if whole == size {
		return nil
	}
	f.torn = size - whole
	if err := f.log.Truncate(int64(whole)); err != nil {
		return err
	}
	return f.log.Sync()
}

func (f *Folder) loadSnapshot() (*wire.Snapshot, error) {
	b, err := os.ReadFile(f.snapshotPath(f.generation))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	payload, n, err := unseal(b)
	if err != nil || n != len(b) {
		return nil, fmt.Errorf("%w: snapshot of generation %d", ErrCorrupt, f.generation)
	}
	var s wire.Snapshot
	if err := codec.Decode(payload, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return &s, nil
}

// replay applies one record to what was loaded before it.
func replay(stored *savorywing.PersistedState, r savorywing.Record) error {
	if r.Term < stored.Term {
		return fmt.Errorf("%w: term %d follows term %d", ErrCorrupt, r.Term, stored.Term)
	}
	stored.Term, stored.Vote = r.Term, r.Vote
	if len(r.Entries) == 0 {
		return nil
	}
	base := uint64(0)
	if stored.Snapshot != nil {
		base = stored.Snapshot.Index
	}
	from := r.Entries[0].Index
	if from <= base || from > base+uint64(len(stored.Entries))+1 {
		return fmt.Errorf("%w: entry %d does not follow entry %d", ErrCorrupt, from, base+uint64(len(stored.Entries)))
	}
	stored.Entries = append(stored.Entries[:from-base-1], r.Entries...)
	return nil
}

// removeOld deletes files of other generations.
func (f *Folder) removeOld() {
	paths, _ := filepath.Glob(filepath.Join(f.dir, "*.swf*"))
	for _, p := range paths {
		if p != f.logPath(f.generation) && p != f.snapshotPath(f.generation) {
			_ = os.Remove(p)
		}
	}
}

// Append adds one synced frame.
func (f *Folder) Append(r savorywing.Record) error {
	if f.failed != nil {
		return f.failed
	}
	b, err := encodeFrame(frame{Record: r})
	if err == nil {
		_, err = f.log.Write(b)
	}
	if err == nil {
		err = f.log.Sync()
	}
	return f.fail("Folder.Append", err)
}

// fail remembers the first error: after a failed sync nobody knows what the disk holds.
func (f *Folder) fail(where string, err error) error {
	if err != nil {
		f.failed = fmt.Errorf("%s: %w", where, err)
	}
	return f.failed
}

// Compact starts a new generation from a snapshot; r holds the entries behind it.
func (f *Folder) Compact(s wire.Snapshot, r savorywing.Record) error {
	if f.failed != nil {
		return f.failed
	}
	return f.fail("Folder.Compact", f.compact(s, r))
}

func (f *Folder) compact(s wire.Snapshot, r savorywing.Record) error {
	payload, err := codec.Encode(s)
	if err != nil {
		return err
	}
	if err := writeSynced(f.snapshotPath(f.generation+1), seal(payload)); err != nil {
		return err
	}
	if err := f.begin(frame{Identity: f.identity, Snapshot: true, Record: r}); err != nil {
		return err
	}
	f.removeOld()
	return nil
}

// Dir returns the data folder.
func (f *Folder) Dir() string { return f.dir }

// TornBytes returns the number of bytes that Load cut off.
func (f *Folder) TornBytes() int { return f.torn }

// Close closes the log file.
func (f *Folder) Close() error {
	if f.log == nil {
		return nil
	}
	if err := f.log.Close(); err != nil && !errors.Is(err, os.ErrClosed) {
		return fmt.Errorf("Folder.Close: %w", err)
	}
	return nil
}
