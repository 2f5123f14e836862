package codec

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"savorywing.example/savorywing/wire"
)

func TestRoundTrip(t *testing.T) {
	Convey("A frame is unchanged after encoding and decoding", t, func() {
		want := wire.Frame{ID: 7, Raft: []wire.RaftMessage{{Kind: 1, From: "a/1", To: "b/1", Entries: []wire.Entry{{Index: 3, Data: []byte{0, 255}}}}}}
		b, err := Encode(want)
		So(err, ShouldBeNil)
		got, err := DecodeFrame(b)
		So(err, ShouldBeNil)
		So(got, ShouldResemble, want)
	})
	Convey("A truncated frame is an error", t, func() {
		b, err := Encode(wire.Frame{ID: 7})
		So(err, ShouldBeNil)
		_, err = DecodeFrame(b[:len(b)-1])
		So(err, ShouldNotBeNil)
	})
}

// FuzzDecodeFrame checks that decoding arbitrary bytes as a frame between daemons, removing what is invalid, and encoding the
// rest does not panic, and that nothing invalid remains.
func FuzzDecodeFrame(f *testing.F) {
	b, err := Encode(wire.Frame{ID: 1, Hello: &wire.Hello{Host: "a"}, Announcements: []wire.Announcement{{Host: "b"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xa1, 0x62})
	b, err = Encode(wire.Frame{Reports: []wire.Report{{ID: "a", Slots: -1, Group: &wire.GroupPlace{Rank: -1}}}, Usage: &wire.Usage{
		Loads: []wire.EndpointLoad{{ID: "b", InFlight: -1}}, Limits: []wire.ServerLimit{{ID: "c", PerSecond: -1}}}, Fleet: &wire.FleetUpdate{
		Endpoints: []wire.Endpoint{{ID: "d", Address: "e"}}}, Raft: []wire.RaftMessage{{Index: 1, Entries: []wire.Entry{{Index: 1}}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, err := DecodeFrame(b)
		if err != nil {
			return
		}
		_ = frame.RemoveInvalid()
		if err := frame.RemoveInvalid(); err != nil {
			t.Errorf("invalid entries remain: %v", err)
		}
		_, _ = Encode(frame)
	})
}

// TestDocumentThatExpands guards against a small document that takes all memory once it is decompressed.
func TestDocumentThatExpands(t *testing.T) {
	b, err := Compress(make([]byte, MaxFrame+1))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decompress(b); !errors.Is(err, ErrTooLarge) {
		t.Errorf("%d bytes gave %d, %v, want ErrTooLarge", len(b), len(got), err)
	}
}
