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

// Folder stores the state of one voter in a data folder. Each generation has one log file, and a snapshot file
// unless it is the first. The newest generation is the valid one.
type Folder struct {
	dir string
	// generation is the newest generation that is known to be synced.
	generation int
	// attempted is the newest generation that was begun. It is never less than generation, and no number is used twice: files
	// of a generation that failed may reappear after a loss of power.
	attempted int
	logFile   *os.File
	identity  string
	// incarnation is the second part of the identity that an empty folder gets.
	incarnation string
	// tornBytes is the length of the incomplete frame that Load removed.
	tornBytes int
	// failure is the error of the first write that failed since the state was last written as a whole. Nothing is appended
	// after it.
	failure error
	// syncDir syncs the names in a folder.
	syncDir func(dir string) error
}

var _ savorywing.Disk = (*Folder)(nil)

// FolderOption sets an optional part of a Folder.
type FolderOption func(*Folder)

// WithIncarnation sets the incarnation in the identity that an empty folder gets, instead of a random one. Use it
// only for the first start of a cluster, when all voters must know each other's identities without communication.
// A folder found empty at a later start needs a random one, since its previous state was lost.
func WithIncarnation(name string) FolderOption {
	return func(f *Folder) { f.incarnation = name }
}

// Open opens or creates a data folder. An empty folder gets a new identity on host. It returns ErrCorrupt if there
// are snapshots but no log.
func Open(dir, host string, opts ...FolderOption) (*Folder, error) {
	if err := makeFolder(dir); err != nil {
		return nil, fmt.Errorf("disk.Open: %w", err)
	}
	f := &Folder{dir: dir, incarnation: string(savorywing.NewID()), syncDir: syncDir}
	for _, opt := range opts {
		opt(f)
	}
	generation, err := f.newestGeneration()
	if err != nil {
		return nil, fmt.Errorf("disk.Open: %w", err)
	}
	f.generation, f.attempted = generation, generation
	if generation == 0 {
		f.identity = host + "/" + f.incarnation
		if err := f.startGeneration(frame{Identity: f.identity}, nil); err != nil {
			return nil, fmt.Errorf("disk.Open: %w", err)
		}
	}
	return f, nil
}

// makeFolder creates a folder unless it exists, and syncs its name.
func makeFolder(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return err
	}
	return syncDir(filepath.Dir(dir))
}

func (f *Folder) logPath(generation int) string {
	return filepath.Join(f.dir, fmt.Sprintf("log-%012d.swf", generation))
}

func (f *Folder) snapshotPath(generation int) string {
	return filepath.Join(f.dir, fmt.Sprintf("snapshot-%012d.swf", generation))
}

// newestGeneration returns the newest generation that has a log file, or 0 in an empty folder.
func (f *Folder) newestGeneration() (int, error) {
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

// startGeneration starts the next generation with its first frame, and its snapshot unless that is nil. The generation becomes
// valid with the rename of its log file, so the name of the snapshot must be synced before.
func (f *Folder) startGeneration(first frame, snapshot []byte) error {
	b, err := encodeFrame(first)
	if err != nil {
		return err
	}
	f.attempted++
	next := f.attempted
	if snapshot != nil {
		if err := f.writeFile(f.snapshotPath(next), snapshot); err != nil {
			return err
		}
	}
	if err := f.writeFile(f.logPath(next), b); err != nil {
		return err
	}
	log, err := openLog(f.logPath(next))
	if err != nil {
		return err
	}
	if f.logFile != nil {
		_ = f.logFile.Close()
	}
	f.logFile, f.generation = log, next
	return nil
}

// writeFile writes a file as a whole, and syncs it and its name.
func (f *Folder) writeFile(path string, b []byte) error {
	if err := writeFileAtomically(path, b); err != nil {
		return err
	}
	return f.syncDir(f.dir)
}

func openLog(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_RDWR|os.O_APPEND, fileMode)
}

// temporarySuffix marks files that are being written.
const temporarySuffix = ".tmp"

// writeFileAtomically writes and syncs a temporary file and renames it to path. The caller syncs the folder.
func writeFileAtomically(path string, b []byte) error {
	temporary := path + temporarySuffix
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
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		// On a full disk, what has been written of the file takes the room that the next attempt needs.
		_ = os.Remove(temporary)
	}
	return err
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

// Load returns the synced state. An incomplete last frame (torn write) is removed from the log. It returns
// ErrCorrupt if the log is corrupt before its end, or the snapshot is missing or corrupt.
func (f *Folder) Load() (savorywing.PersistedState, error) {
	stored, err := f.load()
	if err != nil {
		return stored, fmt.Errorf("Folder.Load: %s: %w", f.logPath(f.generation), err)
	}
	f.identity = stored.Identity
	f.removeOldGenerations()
	return stored, nil
}

func (f *Folder) load() (savorywing.PersistedState, error) {
	b, err := os.ReadFile(f.logPath(f.generation))
	if err != nil {
		return savorywing.PersistedState{}, err
	}
	frames, validSize, err := decodeFrames(b)
	if err != nil {
		return savorywing.PersistedState{}, err
	}
	if len(frames) == 0 || frames[0].Identity == "" {
		return savorywing.PersistedState{}, fmt.Errorf("%w: the first frame with the identity is missing", ErrCorrupt)
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
	if f.logFile == nil {
		if f.logFile, err = openLog(f.logPath(f.generation)); err != nil {
			return stored, err
		}
	}
	f.truncateTornFrame(validSize, len(b))
	return stored, nil
}

// truncateTornFrame truncates the log from size to validSize bytes, to remove an incomplete frame at its end. If that fails,
// nothing is appended until the state has been written anew.
func (f *Folder) truncateTornFrame(validSize, size int) {
	if validSize == size {
		return
	}
	f.tornBytes = size - validSize
	err := f.logFile.Truncate(int64(validSize))
	if err == nil {
		err = f.logFile.Sync()
	}
	if err != nil {
		f.failure = fmt.Errorf("Folder.truncateTornFrame: %w", err)
	}
}

func (f *Folder) loadSnapshot() (*wire.Snapshot, error) {
	b, err := os.ReadFile(f.snapshotPath(f.generation))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	payload, n, err := decodeChecksummed(b)
	if err != nil || n != len(b) {
		return nil, fmt.Errorf("%w: invalid frame in the snapshot of generation %d", ErrCorrupt, f.generation)
	}
	var s wire.Snapshot
	if err := codec.Decode(payload, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return &s, nil
}

// replay applies one record to the state loaded so far. It returns ErrCorrupt if the record can't follow that state.
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
	for i, e := range r.Entries {
		if e.Index != from+uint64(i) {
			return fmt.Errorf("%w: entry %d is at the place of entry %d", ErrCorrupt, e.Index, from+uint64(i))
		}
	}
	stored.Entries = append(stored.Entries[:from-base-1], r.Entries...)
	return nil
}

// removeOldGenerations deletes the files of all other generations, and temporary files.
func (f *Folder) removeOldGenerations() {
	paths, _ := filepath.Glob(filepath.Join(f.dir, "*.swf*"))
	for _, p := range paths {
		if p != f.logPath(f.generation) && p != f.snapshotPath(f.generation) {
			_ = os.Remove(p)
		}
	}
}

// Append appends a record as one frame and syncs it. After a write that failed, it returns that error until Compact has
// succeeded: the log then ends in bytes of which it isn't known whether they are on the disk.
func (f *Folder) Append(r savorywing.Record) error {
	if f.failure != nil {
		return f.failure
	}
	b, err := encodeFrame(frame{Record: r})
	if err != nil {
		return fmt.Errorf("Folder.Append: %w", err)
	}
	_, err = f.logFile.Write(b)
	if err == nil {
		err = f.logFile.Sync()
	}
	return f.recordFailure("Folder.Append", err)
}

// recordFailure stores an error of a write and returns it with where it occurred.
func (f *Folder) recordFailure(where string, err error) error {
	if err == nil {
		return nil
	}
	f.failure = fmt.Errorf("%s: %w", where, err)
	return f.failure
}

// Compact starts a new generation from a snapshot. r holds the entries that follow it. It writes the whole state to new files
// and so ends a failure of earlier writes, if it succeeds.
func (f *Folder) Compact(s wire.Snapshot, r savorywing.Record) error {
	payload, err := codec.Encode(s)
	if err != nil {
		return fmt.Errorf("Folder.Compact: %w", err)
	}
	if f.attempted > f.generation {
		err = f.removeFailedGenerations()
	}
	if err == nil {
		err = f.startGeneration(frame{Identity: f.identity, Snapshot: true, Record: r}, encodeChecksummed(payload))
	}
	if err != nil {
		return f.recordFailure("Folder.Compact", err)
	}
	f.failure = nil
	f.removeOldGenerations()
	return nil
}

// removeFailedGenerations deletes the files of generations that are newer than the valid one, so that attempts that fail again
// and again don't fill the disk. A log without its snapshot would be corrupt, so all logs are removed for good first.
func (f *Folder) removeFailedGenerations() error {
	for _, path := range []func(int) string{f.logPath, f.snapshotPath} {
		for n := f.generation + 1; n <= f.attempted; n++ {
			if err := os.Remove(path(n)); err != nil && !errors.Is(err, os.ErrNotExist) {
				return err
			}
		}
		if err := f.syncDir(f.dir); err != nil {
			return err
		}
	}
	return nil
}

// Dir returns the path of the data folder.
func (f *Folder) Dir() string { return f.dir }

// TornBytes returns the number of bytes that Load removed from the end of the log.
func (f *Folder) TornBytes() int { return f.tornBytes }

// Close closes the log file.
func (f *Folder) Close() error {
	if f.logFile == nil {
		return nil
	}
	if err := f.logFile.Close(); err != nil && !errors.Is(err, os.ErrClosed) {
		return fmt.Errorf("Folder.Close: %w", err)
	}
	return nil
}
