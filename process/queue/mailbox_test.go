package queue

import (
	"fmt"
	"testing"
)

// TestMailbox checks which values are kept, in which order they are taken, and that none is left without a signal.
func TestMailbox(t *testing.T) {
	m := NewMailbox[string, int](3)
	for i, key := range []string{"a", "b", "a", "c", "d", "b"} {
		if got, want := m.Put(key, i), key != "d"; got != want {
			t.Errorf("value %d of %s: accepted %v, want %v", i, key, got, want)
		}
	}
	if replaced, rejected := m.Counts(); replaced != 2 || rejected != 1 {
		t.Errorf("%d replaced, %d rejected, want 2 and 1", replaced, rejected)
	}
	for _, want := range []string{"[a b] [2 5]", "[c] [3]"} {
		select {
		case <-m.Ready():
		default:
			t.Fatalf("no signal for %s", want)
		}
		keys, values := m.Take(2)
		if got := fmt.Sprint(keys, " ", values); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
	select {
	case <-m.Ready():
		t.Error("a signal although nothing waits")
	default:
	}
	if !m.Put("d", 7) {
		t.Error("no room although nothing waits")
	}
}
