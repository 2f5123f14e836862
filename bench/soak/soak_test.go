package soak

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"savorywing.example/savorywing/platform"
)

// seeds returns the short run of CI and every seed that ever failed, from testdata/seeds.txt.
func seeds(t *testing.T) []uint64 {
	t.Helper()
	f, err := os.Open("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	var out []uint64
	for s := bufio.NewScanner(f); s.Scan(); {
		text, _, _ := strings.Cut(s.Text(), "#")
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, n)
	}
	return out
}

// TestSoak plays the listed seeds against the real daemons.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "savorywing")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/savorywing")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, seed := range seeds(t) {
		r, err := Run(Config{Binary: binary, Dir: t.TempDir(), Seed: seed, Length: 8 * time.Second, Control: 3, Entry: 2, Engines: 20,
			Callers: 6, Subnet: 91, Emulation: platform.Dialect{}})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, v := range r.Violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		if t.Failed() {
			for _, f := range r.Faults {
				t.Log(f)
			}
			return
		}
		t.Logf("seed %d: %d faults, %d served, %d refused, %d failed", seed, len(r.Faults), r.Served, r.Refused, r.Failed)
	}
}
