package gateway

import (
	"errors"
	"testing"

	"savorywing.example/savorywing/connection/engine"
)

func TestScanEvents(t *testing.T) {
	tests := []struct {
		name, text string
		lastID     int64
		want       eventScan
		err        error
	}{
		{"nothing", "", -1, eventScan{0, 0, -1}, nil},
		{"inside the first event", "id: 0\ndata: x\n", -1, eventScan{0, 0, -1}, nil},
		{"inside an id", "id: 0\ndata: x\n\nid: 1", -1, eventScan{15, 15, 0}, nil},
		{"two events", "id: 0\ndata: x\n\nid: 1\ndata: y\n\n", -1, eventScan{30, 30, 1}, nil},
		{"lines that end with CRLF", "id: 0\r\ndata: x\r\n\r\nid: 1\r\n", -1, eventScan{18, 18, 0}, nil},
		{"an event without an id", "data: x\n\n", 3, eventScan{0, 9, 3}, nil},
		{"an event without an id before others", "data: x\n\nid: 4\n\n", 3, eventScan{16, 16, 4}, nil},
		{"further empty lines", "id: 4\n\n\n", 3, eventScan{7, 8, 4}, nil},
		{"a missing event", "id: 5\ndata: x\n\n", 3, eventScan{0, 0, 3}, errEventOrder},
		{"an event again", "id: 3\ndata: x\n\n", 3, eventScan{0, 0, 3}, errEventOrder},
		{"a missing event after others", "id: 4\n\nid: 6\n\n", 3, eventScan{7, 7, 4}, errEventOrder},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := scanEvents([]byte(tt.text), tt.lastID)
			if got != tt.want || !errors.Is(err, tt.err) {
				t.Errorf("%+v, error %v; want %+v, %v", got, err, tt.want, tt.err)
			}
		})
	}
	if _, err := scanEvents([]byte("id: x\n\n"), 3); err == nil {
		t.Error("no error for an id that is no number")
	}
}

func TestIsStreamEnd(t *testing.T) {
	tests := []struct {
		name, rest string
		hasEvents  bool
		framing    engine.Framing
		want       bool
	}{
		{"after an event, chunked", "", true, engine.FramingChunked, true},
		{"after an event, until close", "", true, engine.FramingUntilClose, true},
		{"inside an event, chunked", "id: 4", true, engine.FramingChunked, false},
		{"inside an event, with a length", "id: 4", true, engine.FramingLength, false},
		{"inside an event, until close", "id: 4\ndata: x\n", true, engine.FramingUntilClose, false},
		{"no events, chunked", "", false, engine.FramingChunked, true},
		{"no events, until close", "", false, engine.FramingUntilClose, false},
	}
	for _, tt := range tests {
		if got := isStreamEnd([]byte(tt.rest), tt.hasEvents, tt.framing); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// FuzzScanEvents checks that events are found in any bytes at the ends of lines only, and that a second scan of what is
// complete finds the same.
func FuzzScanEvents(f *testing.F) {
	f.Add([]byte("id: 0\ndata: x\n\nid: 1\r\ndata: y\r\n\r\ndata: z"), int64(-1))
	f.Add([]byte(": comment\n\nid:9223372036854775807\n\n\n"), int64(9223372036854775806))
	f.Fuzz(func(t *testing.T, b []byte, lastID int64) {
		s, err := scanEvents(b, lastID)
		if s.numbered < 0 || s.numbered > s.complete || s.complete > len(b) {
			t.Fatalf("%+v of %d bytes", s, len(b))
		}
		if s.numbered > 0 && b[s.numbered-1] != '\n' {
			t.Errorf("%q is cut after %d bytes, inside a line", b, s.numbered)
		}
		if err != nil {
			return
		}
		if again, err := scanEvents(b[:s.complete], lastID); err != nil || again != s {
			t.Errorf("the complete part of %q: %+v, error %v, want %+v", b, again, err, s)
		}
	})
}
