package fleet

import (
	"encoding/binary"
	"errors"
	"math"
	"reflect"
	"testing"
)

func TestPackLoads(t *testing.T) {
	want := []Load{{Handle: 1, InFlight: 17, WaitingTokens: 3200, Progressed: true}, {Handle: 300, InFlight: 0, Stalled: true}, {Handle: 2, InFlight: 5, Stalled: true, Progressed: true}}
	b := PackLoads(want)
	got, err := UnpackLoads(b)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v", got, err)
	}
	if len(b) > 5*len(want) {
		t.Errorf("%d bytes for %d loads", len(b), len(want))
	}
	if _, err := UnpackLoads(b[:len(b)-1]); !errors.Is(err, ErrCorruptLoads) {
		t.Errorf("truncated loads: %v", err)
	}
}

// TestHugeLoads guards against counts that turn negative, or overflow in a sum, once they are unpacked.
func TestHugeLoads(t *testing.T) {
	for _, v := range []uint64{1 << 40, 1 << 62, math.MaxUint64} {
		for _, b := range [][]byte{
			binary.AppendUvarint(binary.AppendUvarint([]byte{1}, v), 0),
			binary.AppendUvarint([]byte{1, 0}, max(v, 1<<50)),
		} {
			if got, err := UnpackLoads(b); !errors.Is(err, ErrCorruptLoads) {
				t.Errorf("%x: got %+v, %v, want ErrCorruptLoads", b, got, err)
			}
		}
	}
}

// FuzzUnpackLoads checks that arbitrary bytes never decode to more loads than they can hold, or to negative counts.
func FuzzUnpackLoads(f *testing.F) {
	f.Add(PackLoads([]Load{{Handle: 1, InFlight: 3}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		list, err := UnpackLoads(b)
		if err == nil && len(list)*3 > len(b) {
			t.Errorf("%d loads from %d bytes", len(list), len(b))
		}
		for _, l := range list {
			if l.InFlight < 0 || l.WaitingTokens < 0 {
				t.Errorf("%x: %+v", b, l)
			}
		}
	})
}
