package settings

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// maxDuration is one year. Multiples of times don't overflow.
const maxDuration = 366 * 24 * time.Hour

var durationType = reflect.TypeFor[time.Duration]()

// decode sets v from n, and adds a problem for every unknown field and every value of the wrong kind.
func (t *tree) decode(n *yaml.Node, v reflect.Value, path string) {
	if n.Tag == "!!null" {
		return
	}
	if v.Type() == durationType {
		t.decodeDuration(n, v, path)
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		t.decodeText(n, u, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		t.decodeStruct(n, v, path)
	case reflect.Map:
		t.decodeMap(n, v, path)
	case reflect.Slice:
		t.decodeSlice(n, v, path)
	default:
		t.decodeScalar(n, v, path)
	}
}

func (t *tree) decodeDuration(n *yaml.Node, v reflect.Value, path string) {
	d, err := time.ParseDuration(n.Value)
	if err != nil {
		t.addProblem(path, fmt.Sprintf("%q is not a time with a unit, such as 1.5s or 250ms", n.Value))
		return
	}
	if d < 0 {
		t.addProblem(path, fmt.Sprintf("%q is negative", n.Value))
		return
	}
	if d > maxDuration {
		t.addProblem(path, fmt.Sprintf("%q is longer than a year", n.Value))
		return
	}
	v.SetInt(int64(d))
}

func (t *tree) decodeText(n *yaml.Node, u encoding.TextUnmarshaler, path string) {
	if n.Kind != yaml.ScalarNode {
		t.addProblem(path, "a single value is expected here")
		return
	}
	if err := u.UnmarshalText([]byte(n.Value)); err != nil {
		t.addProblem(path, err.Error())
	}
}

func (t *tree) decodeStruct(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.MappingNode {
		t.addProblem(path, "a mapping is expected here")
		return
	}
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("yaml")
		if name != "" && name != "-" {
			fields[name] = v.Field(i)
		}
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i].Value
		field, known := fields[key]
		if !known {
			t.addProblem(joinPath(path, key), "unknown field"+suggest(key, fields))
			continue
		}
		t.decode(n.Content[i+1], field, joinPath(path, key))
	}
}

// suggest returns a hint at a known field with a name like key, or an empty string.
func suggest(key string, fields map[string]reflect.Value) string {
	for name := range fields {
		if strings.EqualFold(name, key) || strings.HasPrefix(name, key) || strings.HasPrefix(key, name) {
			return fmt.Sprintf(", did you mean %q?", name)
		}
	}
	return ""
}

func (t *tree) decodeMap(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.MappingNode {
		t.addProblem(path, "a mapping of names is expected here")
		return
	}
	if v.IsNil() {
		v.Set(reflect.MakeMap(v.Type()))
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i].Value
		value := reflect.New(v.Type().Elem()).Elem()
		t.decode(n.Content[i+1], value, joinPath(path, key))
		v.SetMapIndex(reflect.ValueOf(key), value)
	}
}

func (t *tree) decodeSlice(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.SequenceNode {
		t.addProblem(path, "a list is expected here")
		return
	}
	list := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, item := range n.Content {
		t.decode(item, list.Index(i), path)
	}
	v.Set(list)
}

func (t *tree) decodeScalar(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.ScalarNode {
		t.addProblem(path, "a single value is expected here")
		return
	}
	if v.Kind() == reflect.String {
		v.SetString(n.Value)
		return
	}
	if err := n.Decode(v.Addr().Interface()); err != nil {
		t.addProblem(path, fmt.Sprintf("%q is not a valid %s", n.Value, kindName(v.Kind())))
	}
}

// kindName returns the word for a kind of scalar in problems.
func kindName(k reflect.Kind) string {
	switch k {
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "number"
	default:
		return "whole number"
	}
}
