package attempt

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const (
	maxFrameBytes = 1 << 20
	// maxSkippedBytes bounds the lines between two frames, such as comments, and those after the end mark.
	maxSkippedBytes = 64 << 10
)

var (
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
)

// ErrTruncated is returned for a stream that ends without its end mark.
var ErrTruncated = errors.New("stream ended without its end mark")

// ErrNoFrames is returned for a stream that goes on without frames.
var ErrNoFrames = errors.New("stream goes on without frames")

// Frame is one server-sent event of an engine's response.
type Frame struct {
	ID string `json:"id"`
	// Sequence is the number of the frame within its response, from 0.
	Sequence int      `json:"seq"`
	Choices  []Choice `json:"choices"`
	Usage    *Usage   `json:"usage,omitempty"`

	raw []byte
}

// Choice is a part of a response, for chat and for plain completions.
type Choice struct {
	Delta        Delta  `json:"delta"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

// Delta is the new text of a chat completion.
type Delta struct {
	Content string `json:"content"`
}

// Usage holds a request's token counts.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Content returns the frame's new text.
func (f Frame) Content() string {
	if len(f.Choices) == 0 {
		return ""
	}
	return f.Choices[0].Delta.Content + f.Choices[0].Text
}

// FinishReason returns why the response ends with this frame, or the empty string.
func (f Frame) FinishReason() string {
	if len(f.Choices) == 0 {
		return ""
	}
	return f.Choices[0].FinishReason
}

// WithID returns the frame's JSON with the attempt ID replaced by id.
func (f Frame) WithID(id string) []byte {
	return bytes.Replace(f.raw, []byte(f.ID), []byte(id), 1)
}

// ParseFrame parses the JSON of one event.
func ParseFrame(data []byte) (Frame, error) {
	var f Frame
	if err := json.Unmarshal(data, &f); err != nil {
		return f, fmt.Errorf("attempt.ParseFrame: %w", err)
	}
	if f.ID == "" {
		return f, errors.New("attempt.ParseFrame: frame without id")
	}
	f.raw = append([]byte(nil), data...)
	return f, nil
}

// frames reads server-sent events.
type frames struct {
	scanner *bufio.Scanner
}

func newFrames(r io.Reader) *frames {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxFrameBytes)
	return &frames{scanner: s}
}

// next returns the next frame, io.EOF at the end mark, and an error in all other cases.
func (f *frames) next() (Frame, error) {
	skipped := 0
	for f.scanner.Scan() {
		data, found := bytes.CutPrefix(f.scanner.Bytes(), dataPrefix)
		if !found {
			if skipped += len(f.scanner.Bytes()) + 1; skipped > maxSkippedBytes {
				return Frame{}, ErrNoFrames
			}
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMark) {
			return Frame{}, f.end()
		}
		return ParseFrame(data)
	}
	if err := f.scanner.Err(); err != nil {
		return Frame{}, err
	}
	return Frame{}, ErrTruncated
}

// end reads the rest of the stream after the end mark, so that the connection can be reused. The response is complete
// even if the rest is too long for that.
func (f *frames) end() error {
	skipped := 0
	for f.scanner.Scan() {
		if bytes.HasPrefix(f.scanner.Bytes(), dataPrefix) {
			return errors.New("got frames after the end mark")
		}
		if skipped += len(f.scanner.Bytes()) + 1; skipped > maxSkippedBytes {
			return io.EOF
		}
	}
	if err := f.scanner.Err(); err != nil {
		return err
	}
	return io.EOF
}
