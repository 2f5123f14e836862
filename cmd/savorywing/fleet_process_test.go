package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/valyala/fasthttp"
	"go.yaml.in/yaml/v3"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/version/instance"
)

// startEntryProcess runs an entry host of the fleet as a process of its own, and returns the file of its settings too.
func (f *fleetEnv) startEntryProcess(i int) (p *process, file string) {
	f.t.Helper()
	return f.startProcess(f.settings(savorywing.RoleEntry, f.entryIP(i), true))
}

// startControlProcess runs a control host as a process of its own, on an empty disk.
func (f *fleetEnv) startControlProcess(ip string) *process {
	f.t.Helper()
	s := f.settings(savorywing.RoleControl, ip, false)
	s.DataDir = f.t.TempDir()
	p, _ := f.startProcess(s)
	return p
}

func (f *fleetEnv) startProcess(s *instance.Settings) (p *process, file string) {
	f.t.Helper()
	settings, err := yaml.Marshal(s)
	if err != nil {
		f.t.Fatal(err)
	}
	file = filepath.Join(f.t.TempDir(), "settings.yaml")
	f.writeFile(file, string(settings))
	p = &process{t: f.t, name: s.Role + " process", args: []string{"run", "--settings", file}, env: envProgram + "=1"}
	p.start()
	f.t.Cleanup(p.kill)
	return p, file
}

func (f *fleetEnv) writeFile(name, text string) {
	f.t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// TestFleetSettingsReload changes the settings file of an entry host under load, with and without SIGHUP. A file with an
// error must leave the settings in force and be logged with its name, line and field. No request may fail.
func TestFleetSettingsReload(t *testing.T) {
	f := newFleetEnv(t, 3, 1, 20)
	p, file := f.startEntryProcess(1)
	f.waitServing()
	f.eventually("the process serves", func() bool { return f.send(1, "/book/look/x", "", fleetKey, nil).status == fasthttp.StatusOK })
	stop := make(chan struct{})
	var caller sync.WaitGroup
	caller.Go(func() {
		f.callEntryUntil(stop, 1, func(r fleetResponse) {
			if r.err != nil || r.status != fasthttp.StatusOK {
				t.Errorf("status %d, error %v while the settings change, want 200", r.status, r.err)
			}
		})
	})
	defer caller.Wait()
	defer close(stop)
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	good := string(content)
	above, below, found := strings.Cut(good, "token: test\n")
	if !found {
		t.Fatalf("the settings have no line with the token:\n%s", good)
	}
	bad, line := above+"token: ''\n"+below, 1+strings.Count(above, "\n")
	for _, tt := range []struct {
		name, text string
		signal     bool
		want       string
	}{
		{"valid, without a signal", good + "# one\n", false, `"event":"settingsReloaded"`},
		{"valid, with SIGHUP", good + "# two\n", true, `"event":"settingsReloaded"`},
		{"invalid, without a signal", bad, false, `"event":"settingsRefused"`},
		{"invalid, with SIGHUP", bad + "# three\n", true, `"event":"settingsRefused"`},
		{"valid again", good, false, `"event":"settingsReloaded"`},
	} {
		before := strings.Count(p.logText(), tt.want)
		f.writeFile(file, tt.text)
		if tt.signal {
			p.signal(syscall.SIGHUP)
		}
		f.eventually(tt.name+": a line with "+tt.want, func() bool { return strings.Count(p.logText(), tt.want) > before })
	}
	if want := fmt.Sprintf("line %d: token", line); !strings.Contains(p.logText(), want) || !strings.Contains(p.logText(), file) {
		t.Errorf("the log doesn't have %q and the file:\n%s", want, p.logText())
	}
}
