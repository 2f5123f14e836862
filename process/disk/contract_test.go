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
