package codec

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

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

// Decompress returns the document that Compress has compressed.
func Decompress(b []byte) ([]byte, error) {
	out, err := io.ReadAll(flate.NewReader(bytes.NewReader(b)))
	if err != nil {
		return nil, fmt.Errorf("codec.Decompress: %w", err)
	}
	return out, nil
}
