package codec

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

// ErrTooLarge reports a document that takes too much memory.
var ErrTooLarge = errors.New("the document is too large")

// Compress compresses a document with DEFLATE.
func Compress(b []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("codec.Compress: %w", err)
	}
	if _, err := w.Write(b); err != nil {
		return nil, fmt.Errorf("codec.Compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("codec.Compress: %w", err)
	}
	return out.Bytes(), nil
}

// Decompress returns the document that Compress has compressed. It returns ErrTooLarge for one larger than MaxFrame.
func Decompress(b []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), MaxFrame+1))
	if err != nil {
		return nil, fmt.Errorf("codec.Decompress: %w", err)
	}
	if len(out) > MaxFrame {
		return nil, fmt.Errorf("codec.Decompress: %w", ErrTooLarge)
	}
	return out, nil
}
