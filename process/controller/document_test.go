package controller

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"savorywing.example/savorywing/platform"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

// TestUnreadableDocument guards against a stored document that can't be decoded and is logged at each step.
func TestUnreadableDocument(t *testing.T) {
	invalid, err := codec.Compress([]byte(`{"version":8}`))
	if err != nil {
		t.Fatal(err)
	}
	for name, document := range map[string][]byte{"empty": nil, "not compressed": []byte("document"), "truncated": invalid[:len(invalid)-2], "invalid": invalid} {
		var lines bytes.Buffer
		c := &Controller{dialect: platform.Dialect{}, log: zerolog.New(&lines)}
		for range 100 {
			c.decodeDocument(&wire.Publish{Version: 8, Document: document})
		}
		if n := strings.Count(lines.String(), "documentUnreadable"); n != 1 || c.document.Load() != nil {
			t.Errorf("%s: logged %d times, want once", name, n)
		}
	}
}
