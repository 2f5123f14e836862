package disk

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
)

// TestDiskContract checks every implementation of savorywing.Disk with the same steps.
func TestDiskContract(t *testing.T) {
	disks := map[string]func() savorywing.Disk{
		"memory": func() savorywing.Disk { return NewMemory("host/1") },
		"folder": func() savorywing.Disk {
			f, err := Open(t.TempDir(), "host")
			if err != nil {
				t.Fatal(err)
			}
			return f
		},
	}
	for name, open := range disks {
		Convey("A disk of type "+name, t, func() {
			d := open()
			s, err := d.Load()
			So(err, ShouldBeNil)
			So(s.Identity, ShouldStartWith, "host/")
			So(s.Entries, ShouldBeEmpty)
			So(d.Append(record(1, 1, "one", "two")), ShouldBeNil)
			So(d.Append(record(2, 2, "other")), ShouldBeNil)
			So(d.Append(savorywing.Record{Term: 3, Vote: "b/1"}), ShouldBeNil)

			Convey("loads the term, the vote and the newest entries", func() {
				s, err := d.Load()
				So(err, ShouldBeNil)
				So(s.Term, ShouldEqual, 3)
				So(s.Vote, ShouldEqual, "b/1")
				So(s.Entries, ShouldHaveLength, 2)
				So(string(s.Entries[1].Data), ShouldEqual, "other")
			})
			Convey("loads a snapshot and the entries that follow it", func() {
				So(d.Compact(wire.Snapshot{Index: 2, Term: 2, Data: []byte("state")}, record(3, 3, "three")), ShouldBeNil)
				s, err := d.Load()
				So(err, ShouldBeNil)
				So(string(s.Snapshot.Data), ShouldEqual, "state")
				So(s.Entries, ShouldHaveLength, 1)
				So(s.Entries[0].Index, ShouldEqual, 3)
			})
			So(d.Close(), ShouldBeNil)
		})
	}
}

// TestFailedDiskContract checks that a disk on which a write has failed appends nothing until its whole state is written anew.
func TestFailedDiskContract(t *testing.T) {
	tests := map[string]func(t *testing.T) (d savorywing.Disk, fill, makeRoom func()){
		"memory": func(*testing.T) (savorywing.Disk, func(), func()) {
			m := NewMemory("host/1")
			return m, func() { m.FailWrites.Store(true) }, func() { m.FailWrites.Store(false) }
		},
		"folder": func(t *testing.T) (savorywing.Disk, func(), func()) {
			f, err := Open(t.TempDir(), "host")
			if err != nil {
				t.Fatal(err)
			}
			fill, makeRoom := fillable(t, f)
			return f, fill, makeRoom
		},
	}
	for name, open := range tests {
		t.Run(name, func(t *testing.T) {
			d, fill, makeRoom := open(t)
			if _, err := d.Load(); err != nil {
				t.Fatal(err)
			}
			must(t, d.Append(record(1, 1, "one", "two")))
			s := wire.Snapshot{Index: 1, Term: 1, Data: []byte("state"), Membership: &wire.Membership{}}
			for round := range 3 {
				fill()
				if d.Append(record(1, 3, "lost")) == nil || d.Compact(s, record(1, 2, "two")) == nil {
					t.Fatal("a full disk takes a write")
				}
				makeRoom()
				if d.Append(record(1, 3, "after")) == nil {
					t.Fatal("the disk appends after a failed write")
				}
				must(t, d.Compact(s, record(1, 2, "two", "three")))
				must(t, d.Append(record(1, 4, "four")))
				got, err := d.Load()
				if err != nil || len(got.Entries) != 3 || string(got.Entries[1].Data) != "three" || string(got.Snapshot.Data) != "state" {
					t.Fatalf("round %d: loaded %+v, error %v", round, got, err)
				}
			}
			must(t, d.Close())
		})
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
