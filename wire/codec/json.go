package codec

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

// maxJSONLevels is the maximum depth of objects and lists in a JSON text.
const maxJSONLevels = 32

var (
	errNotUTF8       = errors.New("the text isn't UTF-8")
	errNesting       = errors.New("the values are nested too deeply")
	errDuplicateName = errors.New("a name occurs twice in an object")
	errNoObject      = errors.New("the text is no object")
)

// DecodeJSON decodes a JSON object. It rejects what json.Unmarshal would accept in part or by guessing: text that isn't
// UTF-8, and names that occur twice in an object.
func DecodeJSON(b []byte, v any) error {
	if err := checkObject(b); err != nil {
		return fmt.Errorf("codec.DecodeJSON: %w", err)
	}
	if err := json.Unmarshal(b, v); err != nil {
		return fmt.Errorf("codec.DecodeJSON: %w", err)
	}
	return nil
}

// CheckJSON checks that a text is what DecodeJSON decodes, apart from the types of its values.
func CheckJSON(b []byte) error {
	if err := checkObject(b); err != nil {
		return fmt.Errorf("codec.CheckJSON: %w", err)
	}
	return nil
}

func checkObject(b []byte) error {
	if !utf8.Valid(b) {
		return errNotUTF8
	}
	if !bytes.HasPrefix(bytes.TrimLeft(b, " \t\r\n"), []byte("{")) {
		return errNoObject
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	// open holds the names of each object that is open, in lower case as json.Unmarshal ignores the case; nil for a list.
	var open []map[string]bool
	isName := false
	for {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch token := token.(type) {
		case json.Delim:
			if open, err = nest(open, token); err != nil {
				return err
			}
		case string:
			if !isName {
				break
			}
			isName = false
			name := strings.ToLower(token)
			if open[len(open)-1][name] {
				return fmt.Errorf("%w: %q", errDuplicateName, token)
			}
			open[len(open)-1][name] = true
			continue
		}
		isName = len(open) > 0 && open[len(open)-1] != nil
	}
}

// nest applies the start or the end of an object or a list.
func nest(open []map[string]bool, token json.Delim) ([]map[string]bool, error) {
	switch {
	case token == '}' || token == ']':
		return open[:len(open)-1], nil
	case len(open) == maxJSONLevels:
		return nil, errNesting
	case token == '{':
		return append(open, map[string]bool{}), nil
	}
	return append(open, nil), nil
}
