package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestExplain(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	a := write("a.log", `{"host":"entry-1","event":"refused","request":"r1","reason":"full","time":"2026-01-02T03:04:06Z"}
not a line of ours r1
{"host":"entry-1","event":"served","request":"r2","time":"2026-01-02T03:04:05Z"}
`)
	b := write("b.log", `12.3 entry-2 {"host":"entry-2","event":"served","request":"r1","server":"i-1","time":"2026-01-02T03:04:05.5Z"}
`)
	tests := []struct {
		name string
		args []string
		want string
		fail bool
	}{
		{"two hosts, sorted by time", []string{"explain", "r1", a, b}, "03:04:05.500000 entry-2 served request=r1 server=i-1\n03:04:06.000000 entry-1 refused reason=full request=r1\n", false},
		{"id in no line", []string{"explain", "r9", a, b}, "", true},
		{"no such file", []string{"explain", "r1", filepath.Join(dir, "c.log")}, "", true},
		{"no file", []string{"explain", "r1"}, "", true},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		root := newRoot()
		root.SetOut(&out)
		root.SetArgs(tt.args)
		if err := root.Execute(); (err != nil) != tt.fail {
			t.Errorf("%s: %v", tt.name, err)
		}
		if got := out.String(); got != tt.want {
			t.Errorf("%s:\n%s\nwant\n%s", tt.name, got, tt.want)
		}
	}
}

func TestCheckInstance(t *testing.T) {
	good, err := os.ReadFile("testdata/instance.yaml")
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name, old, new, want string
	}{
		{"as rendered", "", "", "a daemon with the role entry"},
		{"unknown role", "role: entry", "role: all", "line 1: role"},
		{"unknown field", "token:", "tokens:", "field tokens not found"},
	}
	for _, tt := range tests {
		file := filepath.Join(t.TempDir(), "local.yaml")
		if err := os.WriteFile(file, []byte(strings.Replace(string(good), tt.old, tt.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		root := newRoot()
		root.SetOut(&out)
		root.SetArgs([]string{"check", file})
		text := ""
		if err := root.Execute(); err != nil {
			text = err.Error()
		}
		if text += out.String(); !strings.Contains(text, tt.want) || !strings.Contains(text, file) {
			t.Errorf("%s: %s", tt.name, text)
		}
	}
}
