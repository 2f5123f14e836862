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

// seeds returns the seeds of testdata/seeds.txt: those of the short run in CI, and every seed that ever failed.
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

func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "savorywing")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/savorywing")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return binary
}

// report fails the test if a run violated a check.
func report(t *testing.T, seed uint64, r Result) {
	t.Helper()
	for _, v := range r.Violations {
		t.Errorf("seed %d: %s", seed, v)
	}
	if len(r.Violations) > 0 {
		for _, f := range r.Faults {
			t.Log(f)
		}
	}
	t.Logf("seed %d: %d faults, %d served, %d rejected, %d failed, %d during planned stops, %d to cold servers", seed, len(r.Faults), r.Served, r.Rejected, r.Failed, r.Crossing, r.Cold)
}

// TestSoak runs the listed seeds against the real daemons.
func TestSoak(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range seeds(t) {
		r, err := Run(Config{Binary: binary, Dir: t.TempDir(), Seed: seed, FaultDuration: 6 * time.Second, Control: 3, Entry: 2, Engines: 20,
			Callers: 6, Subnet: 91, Dialect: platform.Dialect{}})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		report(t, seed, r)
		if t.Failed() {
			return
		}
	}
}

// TestConcurrentFaultLimit checks that a process which is being stopped or restarted gets no second fault. Two repairs
// would start two processes, and the end of the run would stop only one of them.
func TestConcurrentFaultLimit(t *testing.T) {
	r := &run{cfg: Config{Control: 5}}
	entry := &process{name: "entry-0"}
	controls := []*process{{name: "control-0", control: true}, {name: "control-1", control: true}, {name: "control-2", control: true}}
	for _, tt := range []struct {
		name    string
		p       *process
		release bool
		want    bool
	}{
		{"an entry host", entry, false, true},
		{"the same entry host again", entry, false, false},
		{"a control host", controls[0], false, true},
		{"the same control host again", controls[0], false, false},
		{"another control host", controls[1], false, true},
		{"more than may be faulty at once", controls[2], false, false},
		{"after one has recovered", controls[2], true, true},
	} {
		if tt.release {
			r.release(controls[0])
		}
		if got := r.acquire(tt.p); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
	r.release(entry)
	if !r.acquire(entry) {
		t.Error("acquire returned false for an entry host that has recovered")
	}
}

// TestSoakServe runs seeds against daemons of savorywing serve.
func TestSoakServe(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range []uint64{5} {
		r, err := Run(Config{Binary: binary, Dir: t.TempDir(), Seed: seed, FaultDuration: 6 * time.Second, Entry: 3, Callers: 6, Subnet: 92, Serve: true})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		report(t, seed, r)
	}
}
