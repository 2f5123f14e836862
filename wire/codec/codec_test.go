package codec

import (
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

// FuzzDecodeFrame checks that decoding arbitrary bytes as a frame between daemons, and encoding what was decoded, does
// not panic.
func FuzzDecodeFrame(f *testing.F) {
	b, err := Encode(wire.Frame{ID: 1, Hello: &wire.Hello{Host: "a"}, Announcements: []wire.Announcement{{Host: "b"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xa1, 0x62})
	f.Fuzz(func(_ *testing.T, b []byte) {
		if frame, err := DecodeFrame(b); err == nil {
			_, _ = Encode(frame)
		}
	})
}
