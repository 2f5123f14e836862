package entry

import (
	"errors"
	"strings"
	"testing"
)

// TestReadHeld checks that no more is held of a response than there is room for, and that only the response stays held.
func TestReadHeld(t *testing.T) {
	const size = 100 << 10
	for _, tt := range []struct {
		name string
		room int
		err  error
	}{{"room", 5 * size / 2, nil}, {"no room", size, errNoRoom}} {
		held := 0
		hold := func(n int) bool {
			if held+n > tt.room {
				return false
			}
			held += n
			return true
		}
		b, err := readHeld(strings.NewReader(strings.Repeat("x", size)), hold)
		if !errors.Is(err, tt.err) || (err == nil && len(b) != size) {
			t.Errorf("%s: %d bytes, error %v, want %v", tt.name, len(b), err, tt.err)
		}
		if held != len(b) {
			t.Errorf("%s: %d bytes stay held of a response of %d", tt.name, held, len(b))
		}
	}
	if b, err := readHeld(strings.NewReader("hello"), nil); err != nil || string(b) != "hello" {
		t.Errorf("without a bound: %q, error %v", b, err)
	}
}
