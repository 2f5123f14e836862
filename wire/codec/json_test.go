package codec

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"unicode/utf8"
)

// errOfJSON stands for any error of json.
var errOfJSON = errors.New("an error of json")

// hasDuplicateName finds names that occur twice in an object token by token, as CheckJSON did first.
func hasDuplicateName(b []byte) bool {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var open []map[string]bool
	isName := false
	for {
		token, err := d.Token()
		if err != nil {
			return false
		}
		switch token := token.(type) {
		case json.Delim:
			switch token {
			case '{':
				open = append(open, map[string]bool{})
			case '[':
				open = append(open, nil)
			default:
				open = open[:len(open)-1]
			}
		case string:
			if !isName {
				break
			}
			name := fold([]byte(token))
			if open[len(open)-1][name] {
				return true
			}
			open[len(open)-1][name], isName = true, false
			continue
		}
		isName = len(open) > 0 && open[len(open)-1] != nil
	}
}

func manyNames(n int, last string) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `"n%d":%d,`, i, i)
	}
	return "{" + b.String() + `"` + last + `":0}`
}

// TestCheckJSON guards against texts that are decoded in part or by guessing.
func TestCheckJSON(t *testing.T) {
	tests := []struct {
		name, text string
		want       error
	}{
		{"object", ` {"a":1,"b":[{"a":"{"},{"a":"\"a\":"}],"c":{"a":{}}}`, nil},
		{"32 levels", strings.Repeat(`{"a":`, 31) + "{}" + strings.Repeat("}", 31), nil},
		{"33 levels", strings.Repeat(`{"a":`, 32) + "{}" + strings.Repeat("}", 32), errNesting},
		{"levels without an end", strings.Repeat(`{"a":[`, 1<<16), errNesting},
		{"ends without a start", `{}}]`, errOfJSON},
		{"name twice", `{"a":1,"a":2}`, errDuplicateName},
		{"name twice in another case", `{"a":1,"A":2}`, errDuplicateName},
		{"name twice, once escaped", `{"ab":1,"\u0061b":2}`, errDuplicateName},
		{"name twice, spaces before the colon", "{\"a\" \t\r\n:1,\"a\":2}", errDuplicateName},
		{"name with a quote twice", `{"a\"":1,"a\"":2}`, errDuplicateName},
		{"name that json.Unmarshal folds", `{"k":1,"` + "\u212a" + `":2}`, errDuplicateName},
		{"inner name twice", `{"a":[1,{"b":{"c":1,"d":2,"c":3}}]}`, errDuplicateName},
		{"name of many twice", manyNames(1000, "n500"), errDuplicateName},
		{"name of many twice in another case", manyNames(1000, "N999"), errDuplicateName},
		{"many names", manyNames(1000, "n1000"), nil},
		{"list", `[{}]`, errNoObject},
		{"empty", ``, errNoObject},
		{"not UTF-8", "{\"a\":\"\xff\"}", errNotUTF8},
		{"half a surrogate as a name", `{"\ud800":1}`, nil},
		{"two objects", `{}{}`, errOfJSON},
		{"truncated string", `{"a`, errOfJSON},
		{"truncated escape", `{"a\`, errOfJSON},
		{"truncated", `{"a":1`, errOfJSON},
	}
	for _, tt := range tests {
		err := CheckJSON([]byte(tt.text))
		if isOther := errors.Is(tt.want, errOfJSON); (isOther && (err == nil || errors.Is(err, errDuplicateName))) || (!isOther && !errors.Is(err, tt.want)) {
			t.Errorf("%s: error %v, want %v", tt.name, err, tt.want)
		}
	}
}

// FuzzCheckJSON compares CheckJSON with json.Valid and with a search for duplicate names token by token.
func FuzzCheckJSON(f *testing.F) {
	f.Add([]byte(`{"a":1,"b":[{"a":"{"},{"a":"\"a\":"}],"c":{"a":{}}}`))
	f.Add([]byte(manyNames(20, "N7")))
	f.Fuzz(func(t *testing.T, b []byte) {
		got := CheckJSON(b)
		if errors.Is(got, errNesting) {
			return
		}
		want := utf8.Valid(b) && json.Valid(b) && bytes.TrimLeft(b, " \t\r\n")[0] == '{' && !hasDuplicateName(b)
		if (got == nil) != want {
			t.Errorf("%q: %v, want accepted: %v", b, got, want)
		}
	})
}
