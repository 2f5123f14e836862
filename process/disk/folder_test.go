package disk

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

func record(term uint64, first uint64, data ...string) savorywing.Record {
	r := savorywing.Record{Term: term, Vote: "a/1"}
	for i, d := range data {
		r.Entries = append(r.Entries, wire.Entry{Index: first + uint64(i), Term: term, Kind: 1, Data: []byte(d)})
	}
	return r
}

// folderWithRecords creates and closes a folder with three synced records. It returns the folder and its log file.
func folderWithRecords(t *testing.T) (string, string) {
	t.Helper()
	dir := t.TempDir()
	f := openLoaded(t, dir)
	for _, r := range []savorywing.Record{record(1, 1, "one"), record(1, 2, "two"), record(2, 2, "other", "three")} {
		if err := f.Append(r); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	return dir, f.logPath(f.generation)
}

func reopen(dir string) (savorywing.PersistedState, error) {
	f, err := Open(dir, "host")
	if err != nil {
		return savorywing.PersistedState{}, err
	}
	defer func() { _ = f.Close() }()
	return f.Load()
}

func TestFolderLoadsAppended(t *testing.T) {
	Convey("Appended records are loaded after a restart", t, func() {
		dir, _ := folderWithRecords(t)
		s, err := reopen(dir)
		So(err, ShouldBeNil)
		So(s.Term, ShouldEqual, 2)
		So(s.Identity, ShouldStartWith, "host/")
		So(s.Entries, ShouldHaveLength, 3)
		So(string(s.Entries[1].Data), ShouldEqual, "other")

		Convey("the identity stays, but a deleted folder gets another one", func() {
			reopened, err := reopen(dir)
			So(err, ShouldBeNil)
			So(reopened.Identity, ShouldEqual, s.Identity)
			So(os.RemoveAll(dir), ShouldBeNil)
			recreated, err := reopen(dir)
			So(err, ShouldBeNil)
			So(recreated.Identity, ShouldNotEqual, s.Identity)
			So(recreated.Term, ShouldEqual, 0)
		})
	})
}

// TestFolderDamage corrupts a log in several ways. An incomplete frame at the end was never synced and is removed.
// All other corruption must be rejected: a voter that lost synced state could break its votes and acknowledgements,
// which is worse than a voter that does not start.
func TestFolderDamage(t *testing.T) {
	tests := []struct {
		name     string
		corrupt  func(b []byte) []byte
		entries  int
		rejected bool
	}{
		{"no corruption", func(b []byte) []byte { return b }, 3, false},
		{"its last byte missing", func(b []byte) []byte { return b[:len(b)-1] }, 2, false},
		{"an incomplete header at the end", func(b []byte) []byte { return append(b, "SWF"...) }, 3, false},
		{"zeros at the end", func(b []byte) []byte { return append(b, make([]byte, 4096)...) }, 3, false},
		{"one bit flipped in the middle", func(b []byte) []byte { b[len(b)/2] ^= 1; return b }, 0, true},
		{"one bit flipped in the first frame", func(b []byte) []byte { b[headerSize+2] ^= 1; return b }, 0, true},
		{"seven bytes missing in the middle", func(b []byte) []byte { return append(b[:len(b)/3:len(b)/3], b[len(b)/3+7:]...) }, 0, true},
		{"no bytes", func([]byte) []byte { return nil }, 0, true},
	}
	for _, tt := range tests {
		Convey("A log with "+tt.name, t, func() {
			dir, path := folderWithRecords(t)
			b, err := os.ReadFile(path)
			So(err, ShouldBeNil)
			So(os.WriteFile(path, tt.corrupt(b), fileMode), ShouldBeNil)
			s, err := reopen(dir)
			So(errors.Is(err, ErrCorrupt), ShouldEqual, tt.rejected)
			if !tt.rejected {
				So(err, ShouldBeNil)
				So(s.Entries, ShouldHaveLength, tt.entries)
				reopened, err := reopen(dir)
				So(err, ShouldBeNil)
				So(reopened.Entries, ShouldHaveLength, tt.entries)
			}
		})
	}
}

func TestFolderSnapshots(t *testing.T) {
	Convey("A compacted folder", t, func() {
		dir, old := folderWithRecords(t)
		f, err := Open(dir, "host")
		So(err, ShouldBeNil)
		_, err = f.Load()
		So(err, ShouldBeNil)
		s := wire.Snapshot{Index: 2, Term: 2, Data: []byte("state"), Membership: &wire.Membership{}}
		So(f.Compact(s, record(2, 3, "three")), ShouldBeNil)
		So(f.Append(record(3, 4, "four")), ShouldBeNil)
		So(f.Close(), ShouldBeNil)

		Convey("holds the snapshot and the entries after it, and no old files", func() {
			got, err := reopen(dir)
			So(err, ShouldBeNil)
			So(string(got.Snapshot.Data), ShouldEqual, "state")
			So(got.Entries, ShouldHaveLength, 2)
			_, err = os.Stat(old)
			So(os.IsNotExist(err), ShouldBeTrue)
		})
		Convey("is rejected without its snapshot", func() {
			So(os.Remove(f.snapshotPath(f.generation)), ShouldBeNil)
			_, err := reopen(dir)
			So(errors.Is(err, ErrCorrupt), ShouldBeTrue)
		})
		Convey("is rejected with a corrupt snapshot", func() {
			So(os.WriteFile(f.snapshotPath(f.generation), []byte("SWF1garbage"), fileMode), ShouldBeNil)
			_, err := reopen(dir)
			So(errors.Is(err, ErrCorrupt), ShouldBeTrue)
		})
		Convey("is rejected without its log", func() {
			So(os.Remove(f.logPath(f.generation)), ShouldBeNil)
			_, err := reopen(dir)
			So(errors.Is(err, ErrCorrupt), ShouldBeTrue)
		})
		Convey("ignores the temporary file of an incomplete generation", func() {
			So(os.WriteFile(filepath.Join(dir, "log-000000000009.swf.tmp"), []byte("half"), fileMode), ShouldBeNil)
			got, err := reopen(dir)
			So(err, ShouldBeNil)
			So(got.Entries, ShouldHaveLength, 2)
		})
	})
}

// openLoaded opens and loads a folder.
func openLoaded(t *testing.T, dir string) *Folder {
	t.Helper()
	f, err := Open(dir, "host")
	must(t, err)
	_, err = f.Load()
	must(t, err)
	return f
}

// fullDevice refuses every write for lack of room.
const fullDevice = "/dev/full"

// fillable returns functions after which all writes of a folder fail for lack of room, and succeed again.
func fillable(t *testing.T, f *Folder) (fill, makeRoom func()) {
	t.Helper()
	fill = func() {
		full, err := os.OpenFile(fullDevice, os.O_RDWR, 0)
		if err != nil {
			t.Fatal(err)
		}
		_ = f.logFile.Close()
		f.logFile = full
		for n := f.attempted + 1; n < f.attempted+4; n++ {
			for _, path := range []string{f.snapshotPath(n), f.logPath(n)} {
				if err := os.Symlink(fullDevice, path+temporarySuffix); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	makeRoom = func() {
		paths, err := filepath.Glob(filepath.Join(f.dir, "*"+temporarySuffix))
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range paths {
			if err := os.Remove(p); err != nil {
				t.Fatal(err)
			}
		}
		_ = f.logFile.Close()
		if f.logFile, err = openLog(f.logPath(f.generation)); err != nil {
			t.Fatal(err)
		}
	}
	return fill, makeRoom
}

// TestFolderFailsAtEachStep lets each step of a new generation fail, several times in a row. Whatever was synced before must be
// loaded after a restart at that moment, and the folder must be usable again once the step succeeds.
func TestFolderFailsAtEachStep(t *testing.T) {
	block := func(path string) error { return os.MkdirAll(filepath.Join(path, "blocked"), folderMode) }
	full := func(path string) error { return os.Symlink(fullDevice, path) }
	for _, tt := range []struct {
		name string
		fail func(f *Folder, n int) error
	}{
		{"opening the snapshot", func(f *Folder, n int) error { return block(f.snapshotPath(n) + temporarySuffix) }},
		{"writing the snapshot", func(f *Folder, n int) error { return full(f.snapshotPath(n) + temporarySuffix) }},
		{"naming the snapshot", func(f *Folder, n int) error { return block(f.snapshotPath(n)) }},
		{"opening the log", func(f *Folder, n int) error { return block(f.logPath(n) + temporarySuffix) }},
		{"writing the log", func(f *Folder, n int) error { return full(f.logPath(n) + temporarySuffix) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			dir, _ := folderWithRecords(t)
			f := openLoaded(t, dir)
			s := wire.Snapshot{Index: 2, Term: 2, Data: []byte("state"), Membership: &wire.Membership{}}
			for range 3 {
				blocked := f.attempted + 1
				must(t, tt.fail(f, blocked))
				if f.Compact(s, record(2, 3, "three")) == nil || f.Append(record(2, 4, "lost")) == nil {
					t.Fatal("a write that fails is taken for written")
				}
				checkRestart(t, dir)
				for _, path := range []string{f.snapshotPath(blocked), f.logPath(blocked)} {
					_, _ = os.RemoveAll(path), os.RemoveAll(path+temporarySuffix)
				}
			}
			must(t, f.Compact(s, record(2, 3, "three")))
			must(t, f.Append(record(2, 4, "four")))
			got, err := reopen(dir)
			if err != nil || got.Snapshot == nil || len(got.Entries) != 2 {
				t.Fatalf("loaded %+v, error %v", got, err)
			}
			files, err := filepath.Glob(filepath.Join(dir, "*"))
			if err != nil || len(files) != 2 {
				t.Errorf("the folder has %q, error %v, want one log and one snapshot", files, err)
			}
		})
	}
}

// reopenCopy loads a copy of the folder's files, which a restart at this moment would find.
func reopenCopy(t *testing.T, dir string) (savorywing.PersistedState, error) {
	t.Helper()
	restarted := t.TempDir()
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if !file.Type().IsRegular() {
			continue
		}
		b, err := os.ReadFile(filepath.Join(dir, file.Name()))
		if err != nil {
			t.Fatal(err)
		}
		must(t, os.WriteFile(filepath.Join(restarted, file.Name()), b, fileMode))
	}
	return reopen(restarted)
}

func lastData(s savorywing.PersistedState) string {
	if len(s.Entries) == 0 {
		return ""
	}
	return string(s.Entries[len(s.Entries)-1].Data)
}

// checkRestart checks that a copy of the folder holds the synced entries one to three, as after a restart.
func checkRestart(t *testing.T, dir string) {
	t.Helper()
	got, err := reopenCopy(t, dir)
	if err != nil || len(got.Entries) != 3 || string(got.Entries[2].Data) != "three" {
		t.Fatalf("a restart loads %+v, error %v", got, err)
	}
}

// TestFolderKeepsSnapshotOfLog guards against a loss of power that keeps the name of a new log and loses that of its
// snapshot, after which the voter never starts again: the log must get its name only after that of the snapshot was
// synced.
func TestFolderKeepsSnapshotOfLog(t *testing.T) {
	dir, _ := folderWithRecords(t)
	f := openLoaded(t, dir)
	syncs := 0
	f.syncDir = func(dir string) error {
		syncs++
		_, snapshotErr := os.Stat(f.snapshotPath(2))
		_, logErr := os.Stat(f.logPath(2))
		if syncs == 1 && (snapshotErr != nil || logErr == nil) {
			t.Errorf("at the first sync of the folder: snapshot %v, log %v, want the snapshot alone", snapshotErr, logErr)
		}
		return syncDir(dir)
	}
	must(t, f.Compact(wire.Snapshot{Index: 2, Term: 2, Membership: &wire.Membership{}}, record(2, 3, "three")))
	if syncs != 2 {
		t.Errorf("the folder was synced %d times, want twice", syncs)
	}
}

// TestFolderUnsyncedNames lets the sync of the folder fail after each name of a new generation. What an attempt has left must
// neither be loaded without its snapshot nor pile up.
func TestFolderUnsyncedNames(t *testing.T) {
	for failing := 1; failing <= 2; failing++ {
		dir, _ := folderWithRecords(t)
		f := openLoaded(t, dir)
		s := wire.Snapshot{Index: 2, Term: 2, Data: []byte("state"), Membership: &wire.Membership{}}
		for range 5 {
			left := failing
			if f.attempted > f.generation {
				// The attempt before left files, which take two more syncs to remove.
				left += 2
			}
			f.syncDir = func(dir string) error {
				if left--; left == 0 {
					return errors.New("the sync failed")
				}
				return syncDir(dir)
			}
			if f.Compact(s, record(2, 3, "three")) == nil || f.Append(record(2, 4, "lost")) == nil {
				t.Fatal("a write whose sync failed is taken for written")
			}
			if got, err := reopenCopy(t, dir); err != nil || lastData(got) != "three" {
				t.Fatalf("sync %d: a restart loads %+v, error %v", failing, got, err)
			}
		}
		files, err := filepath.Glob(filepath.Join(dir, "*"))
		if err != nil || len(files) > 3 {
			t.Errorf("sync %d: the attempts leave %q, error %v", failing, files, err)
		}
		f.syncDir = syncDir
		must(t, f.Compact(s, record(2, 3, "three")))
		if got, err := reopen(dir); err != nil || lastData(got) != "three" {
			t.Errorf("sync %d: loaded %+v, error %v", failing, got, err)
		}
	}
}

// TestTornFrameOnFullDisk guards against a voter that can't start since the disk refuses to remove an incomplete frame. It must
// not append behind that frame either.
func TestTornFrameOnFullDisk(t *testing.T) {
	dir, path := folderWithRecords(t)
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	must(t, os.WriteFile(path, append(b, "SWF1 and no more"...), fileMode))
	f, err := Open(dir, "host")
	if err != nil {
		t.Fatal(err)
	}
	// A device can't be truncated.
	if f.logFile, err = os.OpenFile(fullDevice, os.O_RDWR, 0); err != nil {
		t.Fatal(err)
	}
	got, err := f.Load()
	if err != nil || len(got.Entries) != 3 {
		t.Fatalf("loaded %+v, error %v", got, err)
	}
	if f.Append(record(2, 4, "behind")) == nil {
		t.Error("a record is appended behind an incomplete frame")
	}
	must(t, f.Compact(wire.Snapshot{Index: 2, Term: 2, Membership: &wire.Membership{}}, record(2, 3, "three")))
	if got, err := reopen(dir); err != nil || lastData(got) != "three" {
		t.Errorf("loaded %+v, error %v", got, err)
	}
}

// FuzzDecodeFrames checks that the decoder of log files neither panics on arbitrary bytes nor returns an error other
// than ErrCorrupt or a size beyond the end of the input.
func FuzzDecodeFrames(f *testing.F) {
	b, err := encodeFrame(frame{Identity: "host/1", Record: record(1, 1, "one")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(append(b, b[:len(b)/2]...))
	f.Add([]byte("SWF1"))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, validSize, err := decodeFrames(b)
		if validSize > len(b) || (err != nil && !errors.Is(err, ErrCorrupt)) {
			t.Fatalf("valid size %d of %d bytes, error %v", validSize, len(b), err)
		}
	})
}

// benchmarkAppend measures the append of one synced record with the data of n commands of 200 bytes each.
func benchmarkAppend(b *testing.B, n int) {
	f, err := Open(b.TempDir(), "host")
	if err != nil {
		b.Fatal(err)
	}
	data := make([]byte, 200*n)
	b.ResetTimer()
	for i := range b.N {
		if err := f.Append(savorywing.Record{Term: 1, Entries: []wire.Entry{{Index: uint64(i) + 1, Term: 1, Data: data}}}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAppend1(b *testing.B)   { benchmarkAppend(b, 1) }
func BenchmarkAppend16(b *testing.B)  { benchmarkAppend(b, 16) }
func BenchmarkAppend256(b *testing.B) { benchmarkAppend(b, 256) }

// TestRecordOfAnotherVersion guards against a log of another version that can't be loaded, or that is loaded in part. Fields
// that this version doesn't know are ignored; values of another type, negative ones and gaps are damage.
func TestRecordOfAnotherVersion(t *testing.T) {
	entry := func(index any) map[string]any {
		return map[string]any{"index": index, "term": uint64(2), "data": []byte("x"), "kind": uint64(1)}
	}
	encoded := func(term any, entries ...any) map[string]any {
		return map[string]any{"record": map[string]any{"term": term, "vote": "host/1", "entries": entries}}
	}
	more := encoded(uint64(2), entry(uint64(4)))
	more["later"] = map[string]any{"a": []int{1, 2}}
	more["record"].(map[string]any)["checksum"] = "x"
	for _, tt := range []struct {
		name     string
		payload  any
		rejected bool
	}{
		{"next entry", encoded(uint64(2), entry(uint64(4))), false},
		{"unknown fields", more, false},
		{"unknown kind of entry", encoded(uint64(2), map[string]any{"index": uint64(4), "term": uint64(2), "kind": uint64(99)}), false},
		{"text for a number", encoded("two"), true},
		{"negative term", encoded(int64(-2)), true},
		{"term that goes back", encoded(uint64(1)), true},
		{"negative index", encoded(uint64(2), entry(int64(-4))), true},
		{"index 0", encoded(uint64(2), entry(uint64(0))), true},
		{"highest index", encoded(uint64(2), entry(uint64(math.MaxUint64))), true},
		{"gap before the record", encoded(uint64(2), entry(uint64(6))), true},
		{"gap in the record", encoded(uint64(2), entry(uint64(4)), entry(uint64(6))), true},
		{"entry twice", encoded(uint64(2), entry(uint64(4)), entry(uint64(4))), true},
		{"list", []int{1}, true},
		{"deep nesting", []any{[]any{[]any{[]any{[]any{[]any{[]any{[]any{[]any{[]any{[]any{[]any{[]any{[]any{[]any{[]any{[]any{[]any{}}}}}}}}}}}}}}}}}}, true},
	} {
		dir, path := folderWithRecords(t)
		payload, err := codec.Encode(tt.payload)
		if err != nil {
			t.Fatal(err)
		}
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, append(b, encodeChecksummed(payload)...), fileMode); err != nil {
			t.Fatal(err)
		}
		got, err := reopen(dir)
		if tt.rejected != errors.Is(err, ErrCorrupt) || (!tt.rejected && len(got.Entries) != 4) {
			t.Errorf("%s: %d entries, error %v", tt.name, len(got.Entries), err)
		}
	}
}
