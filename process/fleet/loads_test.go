package fleet

import (
	"errors"
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

// FuzzUnpackLoads checks that arbitrary bytes never decode to more loads than they can hold.
func FuzzUnpackLoads(f *testing.F) {
	f.Add(PackLoads([]Load{{Handle: 1, InFlight: 3}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		list, err := UnpackLoads(b)
		if err == nil && len(list)*3 > len(b) {
			t.Errorf("%d loads from %d bytes", len(list), len(b))
		}
	})
}
