package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"go.yaml.in/yaml/v3"
)

// tree is a merged document that records which file set each value.
type tree struct {
	root *yaml.Node
	// positions is keyed by the dotted path of a field.
	positions map[string]Position
	problems  Problems
}

func newTree() *tree {
	return &tree{
		root:      &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map"},
		positions: map[string]Position{},
	}
}

// readFolder merges every *.yaml file of a folder in the order of their names.
func readFolder(dir string) (*tree, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return nil, fmt.Errorf("settings.readFolder: %w", err)
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("settings.readFolder: no *.yaml file in %s", dir)
	}
	sort.Strings(names)
	t := newTree()
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("settings.readFolder: %w", err)
		}
		t.add(filepath.Base(name), text)
	}
	return t, nil
}

// add merges one file into the tree. Values of a later file replace those of an earlier one.
func (t *tree) add(file string, text []byte) {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		t.problems = append(t.problems, Problem{Position: Position{File: file, Line: yamlErrorLine(err)}, Field: "(file)", Reason: err.Error()})
		return
	}
	if len(doc.Content) == 0 {
		return
	}
	top := doc.Content[0]
	if top.Kind != yaml.MappingNode {
		t.problems = append(t.problems, Problem{Position: Position{File: file, Line: top.Line}, Field: "(file)", Reason: "a settings file holds a mapping at its top"})
		return
	}
	t.merge(t.root, top, file, "")
}

// yamlErrorLine returns the line that a YAML error states, or 0.
func yamlErrorLine(err error) int {
	var line int
	if _, after, found := strings.Cut(err.Error(), "line "); found {
		_, _ = fmt.Sscanf(after, "%d", &line)
	}
	return line
}

func (t *tree) merge(into, from *yaml.Node, file, path string) {
	seen := map[string]int{}
	for i := 0; i+1 < len(from.Content); i += 2 {
		key, value := from.Content[i], from.Content[i+1]
		field := joinPath(path, key.Value)
		if firstLine, duplicate := seen[key.Value]; duplicate {
			reason := fmt.Sprintf("set twice in one file, first in line %d", firstLine)
			t.problems = append(t.problems, Problem{Position: Position{File: file, Line: key.Line}, Field: field, Reason: reason})
			continue
		}
		seen[key.Value] = key.Line
		t.mergeValue(into, key, value, file, field)
	}
}

func (t *tree) mergeValue(into, key, value *yaml.Node, file, field string) {
	if value.Kind == yaml.AliasNode {
		value = value.Alias
	}
	old := child(into, key.Value)
	if value.Kind == yaml.MappingNode {
		if old == nil || old.Kind != yaml.MappingNode {
			old = &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map"}
			setChild(into, key, old)
		}
		t.positions[field] = Position{File: file, Line: key.Line}
		t.merge(old, value, file, field)
		return
	}
	t.positions[field] = Position{File: file, Line: value.Line}
	setChild(into, key, value)
}

func child(n *yaml.Node, key string) *yaml.Node {
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == key {
			return n.Content[i+1]
		}
	}
	return nil
}

func setChild(n, key, value *yaml.Node) {
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == key.Value {
			n.Content[i+1] = value
			return
		}
	}
	n.Content = append(n.Content, key, value)
}

func removeChild(n *yaml.Node, key string) {
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == key {
			n.Content = append(n.Content[:i:i], n.Content[i+2:]...)
			return
		}
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// position returns where a field was set, or else where the nearest field that contains it was set.
func (t *tree) position(field string) Position {
	for field != "" {
		if p, ok := t.positions[field]; ok {
			return p
		}
		dot := strings.LastIndexByte(field, '.')
		if dot < 0 {
			break
		}
		field = field[:dot]
	}
	return Position{File: "(nowhere)"}
}

func (t *tree) addProblem(field, reason string) {
	t.problems = append(t.problems, Problem{Position: t.position(field), Field: field, Reason: reason})
}
