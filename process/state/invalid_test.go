package state

import (
	"math"
	"reflect"
	"testing"

	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

// applyAll applies a command of each kind that names what a snapshot may hold.
func applyAll(m *Machine) {
	for _, c := range []wire.Command{
		{}, {At: math.MaxInt64, Barrier: true}, {At: math.MinInt64, Barrier: true}, {Publish: &wire.Publish{Version: 7}},
		{Configuration: &wire.ChangeConfiguration{ChangeID: "c", Follows: 1}},
		{Claim: &wire.Claim{Organisation: "o", Key: "k", Limit: 9, KeepMilliseconds: math.MaxInt64}}, {Settle: &wire.Settle{Organisation: "o", Key: "k", Outcome: "other"}},
		{Assign: &wire.Assign{Group: "g", Members: []wire.GroupMember{{Host: "h"}}}}, {Activate: &wire.GroupStep{Group: "g", Members: []wire.GroupMember{{Host: "h"}}}},
		{Release: &wire.GroupStep{Group: "g"}}, {Free: &wire.FreeHost{Host: "h"}}, {Drain: &wire.DrainHost{Host: "h", On: true}},
	} {
		m.Apply(1, c)
	}
	m.Table()
	m.History()
}

// TestSnapshotOfAnotherVersion guards against a stored state of another version that can't be restored, or that is restored in
// part. Fields that this version doesn't know are ignored; values of another type are errors.
func TestSnapshotOfAnotherVersion(t *testing.T) {
	m := New()
	applyAll(m)
	b, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := codec.Decode(b, &fields); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name   string
		change func()
		want   bool
	}{
		{"as it is", func() {}, true},
		{"unknown field", func() { fields["later"] = []any{map[string]int{"a": 1}} }, true},
		{"number for a list", func() { fields["claims"] = 7 }, false},
		{"text for a number", func() { fields["claims"], fields["at"] = nil, "now" }, false},
		{"number beyond 64 bits", func() { fields["at"] = uint64(math.MaxUint64) }, false},
		{"negative token", func() { fields["at"], fields["fence"] = 1, -1 }, false},
	} {
		tt.change()
		b, err := codec.Encode(fields)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Restore(b)
		if (err == nil) != tt.want {
			t.Errorf("%s: %v", tt.name, err)
		}
		if err == nil && !reflect.DeepEqual(got.Table(), m.Table()) {
			t.Errorf("%s: table %+v, want %+v", tt.name, got.Table(), m.Table())
		}
	}
	for n := 1; n < len(b); n++ {
		if _, err := Restore(b[:n]); err == nil {
			t.Fatalf("accepted when truncated after %d bytes", n)
		}
	}
}

// FuzzRestore checks that a state restored from arbitrary bytes takes further commands.
func FuzzRestore(f *testing.F) {
	m := New()
	applyAll(m)
	b, err := m.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Restore(b)
		if err != nil {
			return
		}
		applyAll(m)
		if _, err := m.Snapshot(); err != nil {
			t.Error(err)
		}
	})
}
