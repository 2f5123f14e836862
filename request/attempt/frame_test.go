package attempt

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// endlessReader returns the same text again and again.
type endlessReader struct{ text string }

func (r endlessReader) Read(p []byte) (int, error) { return copy(p, r.text), nil }

// TestEndlessFrames guards against streams that go on for ever without a frame.
func TestEndlessFrames(t *testing.T) {
	noise := endlessReader{": noise\n\n"}
	tests := []struct {
		name, start string
		noise       io.Reader
		err         error
	}{
		{"before the first frame", "", noise, ErrNoFrames},
		{"after the end mark", "data: [DONE]\n\n", noise, io.EOF},
		{"a line without an end", "", endlessReader{"noise"}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := newFrames(io.MultiReader(strings.NewReader(tt.start), tt.noise)).next()
			if err == nil || (tt.err != nil && !errors.Is(err, tt.err)) {
				t.Errorf("error %v, want %v", err, tt.err)
			}
		})
	}
}
