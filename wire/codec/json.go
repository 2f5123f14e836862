package codec

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
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
	err := checkObject(b)
	if err == nil && !json.Valid(b) {
		err = json.Unmarshal(b, new(json.RawMessage)) // states where the text is invalid
	}
	if err != nil {
		return fmt.Errorf("codec.CheckJSON: %w", err)
	}
	return nil
}

// checkObject checks the encoding, the nesting and the names of a text. Apart from these, the text may be invalid.
func checkObject(b []byte) error {
	if !utf8.Valid(b) {
		return errNotUTF8
	}
	if !bytes.HasPrefix(bytes.TrimLeft(b, " \t\r\n"), []byte("{")) {
		return errNoObject
	}
	var open []names
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '{', '[':
			if len(open) == maxJSONLevels {
				return errNesting
			}
			open = append(open, names{})
		case '}', ']':
			open = open[:max(0, len(open)-1)]
		case '"':
			end := endOfString(b, i)
			if isName(b[end:]) && len(open) > 0 {
				if err := open[len(open)-1].add(b[i:end]); err != nil {
					return err
				}
			}
			i = end - 1
		}
	}
	return nil
}

// endOfString returns the index after the string that begins at an index.
func endOfString(b []byte, start int) int {
	for i := start + 1; i < len(b); i++ {
		switch b[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(b)
}

// isName reports whether a string that is followed by b is a name in an object.
func isName(b []byte) bool {
	for _, c := range b {
		switch c {
		case ' ', '\t', '\r', '\n':
			continue
		}
		return c == ':'
	}
	return false
}

// maxListedNames is the number of names from which a set is searched instead of a list.
const maxListedNames = 16

// names holds the names of one object. Names that differ only in case are the same, as for json.Unmarshal.
type names struct {
	list [][]byte
	// set holds the names, in a case that doesn't distinguish them, once there are maxListedNames.
	set map[string]bool
}

// add adds a name with its quotes. It returns errDuplicateName if the object has it already.
func (n *names) add(quoted []byte) error {
	name := quoted
	if bytes.IndexByte(quoted, '\\') >= 0 {
		var s string
		if err := json.Unmarshal(quoted, &s); err != nil {
			return err
		}
		name = []byte(`"` + s + `"`)
	}
	if n.set == nil {
		for _, other := range n.list {
			if bytes.EqualFold(other, name) {
				return fmt.Errorf("%w: %.100s", errDuplicateName, name)
			}
		}
		if n.list = append(n.list, name); len(n.list) < maxListedNames {
			return nil
		}
		n.set = map[string]bool{}
		for _, other := range n.list {
			n.set[fold(other)] = true
		}
		return nil
	}
	if n.set[fold(name)] {
		return fmt.Errorf("%w: %.100s", errDuplicateName, name)
	}
	n.set[fold(name)] = true
	return nil
}

// fold returns a form of a name that is the same for names that bytes.EqualFold considers equal.
func fold(name []byte) string { return strings.ToLower(strings.ToUpper(string(name))) }
