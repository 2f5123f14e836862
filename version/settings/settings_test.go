package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// writeFolder writes files, given by name and text, into a temporary folder and returns its path.
func writeFolder(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

const validSettings = `daemon:
  host: one
  callers: 127.0.0.1:8080
  peers: 127.0.0.1:9080
  operators: 127.0.0.1:9180
  keysFile: keys
  operatorsFile: token
  dataFolder: data
dataCentres:
  centre: {region: here}
hosts:
  one: {dataCentre: centre, peers: "127.0.0.1:9080", roles: [entry, control]}
organisations:
  college: {share: 2}
classes:
  desk:
    timeZone: UTC
    windows:
      always: {from: "00:00", to: "24:00", firstToken: 1s, betweenTokens: 100ms, wholeAnswer: 10s}
models:
  ledger: {version: "1", span: 4, replicas: 2}
`

func TestMergeOrder(t *testing.T) {
	Convey("A later file overrides one value, and the origins state which file set each value", t, func() {
		dir := writeFolder(t, map[string]string{
			"10-all.yaml":    validSettings,
			"20-change.yaml": "models:\n  ledger: {replicas: 3}\n",
		})
		s, err := Load(dir)
		So(err, ShouldBeNil)
		So(s.Models["ledger"].Replicas, ShouldEqual, 3)
		So(s.Models["ledger"].HostsPerReplica, ShouldEqual, 4)
		So(s.Timing.Freshness, ShouldEqual, 5*time.Second)
		origins := strings.Join(s.Origins(), "\n")
		So(origins, ShouldContainSubstring, "models.ledger.replicas = 3 (20-change.yaml:2)")
		So(origins, ShouldContainSubstring, "models.ledger.span = 4 (10-all.yaml:")

		Convey("and the configuration without the daemon part decodes to the same settings", func() {
			text, err := s.ConfigurationYAML()
			So(err, ShouldBeNil)
			So(string(text), ShouldNotContainSubstring, "keysFile")
			parsed, err := Parse("configuration 1", text)
			So(err, ShouldBeNil)
			So(parsed.Models, ShouldResemble, s.Models)
			So(parsed.Timing, ShouldResemble, s.Timing)
		})
	})
}

// TestLoadProblems overrides one value of validSettings with an invalid one and expects an error with file, line and
// field.
func TestLoadProblems(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{"unknown field", "models:\n  ledger: {replica: 3}\n", `b.yaml:2: models.ledger.replica: unknown field, did you mean "replicas"?`},
		{"time without unit", "timing:\n  lease: 2\n", `b.yaml:2: timing.lease: "2" is not a time with a unit, such as 1.5s or 250ms`},
		{"negative time", "timing:\n  lease: -2s\n", `b.yaml:2: timing.lease: "-2s" is negative`},
		{"size without unit", "limits:\n  body: 1000\n", `b.yaml:2: limits.body: "1000" is not a size with a unit, such as 64KiB or 1MiB`},
		{"text for a number", "models:\n  ledger:\n    span: four\n", `b.yaml:3: models.ledger.span: "four" is not a valid whole number`},
		{"list for a mapping", "models: [ledger]\n", "b.yaml:1: models: a mapping of names is expected here"},
		{"overlapping addresses", "daemon:\n  operators: 127.0.0.1:8080\n", "daemon.callers: 127.0.0.1:8080 is already the address of daemon.operators"},
		{"address without port", "daemon: {callers: 127.0.0.1}\n", `"127.0.0.1" is not an IP address with a port`},
		{"host that is not listed", "daemon: {host: two}\n", `b.yaml:1: daemon.host: "two" is not one of the hosts`},
		{"hour without a window", "classes:\n  desk:\n    windows:\n      always: {to: \"23:00\"}\n", "classes.desk.windows: no window covers sun 23:00"},
		{"negative number of hosts", "models:\n  ledger: {span: -1}\n", "models.ledger.span: must be at least 1 host"},
		{"freshness above its maximum", "timing:\n  freshness: 8s\n", "b.yaml:2: timing.freshness: must be at most 7s"},
		{"slow elections", "timing: {election: 3s}\n", "timing.election: must be at most a third of freshness"},
		{"prefix of the readiness check", "services:\n  s: {prefix: /readyz}\n", `services.s.prefix: "/readyz" covers /readyz, which the daemon answers itself`},
		{"prefix of the model API", "services:\n  s: {prefix: /v1/x}\n", `services.s.prefix: "/v1/x" must be a path such as /booking, outside /v1`},
		{"rule without a path", "services:\n  s: {prefix: /s, idempotent: [GET]}\n", `"GET" is not of the form METHOD /path`},
		{"set twice", "models: {}\nmodels: {}\n", "set twice in one file, first in line 1"},
		{"not YAML", "models: {\n", "b.yaml:"},
		{"no mapping", "- a\n", "a settings file holds a mapping at its top"},
		{"unknown data centre", "hosts:\n  one: {dataCentre: nowhere}\n", `hosts.one.dataCentre: unknown data centre "nowhere"`},
		{"size beyond 64 bits", "limits:\n  body: 9223372036854775807MiB\n", `b.yaml:2: limits.body: "9223372036854775807MiB" is not a size`},
		{"size beyond any machine", "limits:\n  answerKept: 9223372036MiB\n", `b.yaml:2: limits.answerKept: "9223372036MiB" is not a size`},
		{"time beyond 64 bits", "timing:\n  lease: 9223372037s\n", `"9223372037s" is not a time with a unit`},
		{"poll whose double is beyond 64 bits", "timing:\n  poll: 1600000h\n", `"1600000h" is longer than a year`},
		{"hold-down that doubles beyond 64 bits", "planning:\n  holdDownMax: 2000000h\n", `"2000000h" is longer than a year`},
		{"share that is no number", "organisations:\n  college: {share: .nan}\n", "organisations.college.share: must be a number above 0"},
		{"infinite share", "organisations:\n  college: {share: .inf}\n", "organisations.college.share: must be a number above 0"},
		{"weight that is no number", "planning: {downtimeWeight: .nan}\n", "planning: weights must be numbers and not negative"},
		{"infinite weight", "planning: {strandedWeight: .inf}\n", "planning: weights must be numbers and not negative"},
		{"ratio that is no number", "limits: {retryShare: .nan}\n", "limits.retryShare: must be between 0 and 1"},
		{"number of hosts beyond 64 bits", "models:\n  ledger: {span: 18446744073709551616}\n", "is not a valid whole number"},
		{"huge number of hosts", "models:\n  ledger: {span: 9223372036854775807}\n", "models.ledger: span, replicas and accelerators must be at most"},
		{"huge number of replicas", "models:\n  ledger: {replicas: 9223372036854775807}\n", "models.ledger: span, replicas and accelerators must be at most"},
		{"huge number of loads", "planning: {loadsAtOnce: 9223372036854775807}\n", "planning.loadsAtOnce: must be between 1 and"},
		{"port 70000", "daemon: {callers: \"127.0.0.1:70000\"}\n", `"127.0.0.1:70000" is not an IP address with a port`},
		{"port -1", "daemon: {callers: \"127.0.0.1:-1\"}\n", `"127.0.0.1:-1" is not an IP address with a port`},
		{"port 0", "daemon: {callers: \"127.0.0.1:0\"}\n", "port 0 can't be told to others"},
		{"port a word", "daemon: {callers: \"127.0.0.1:http\"}\n", `"127.0.0.1:http" is not an IP address with a port`},
		{"not UTF-8", "models: \"\xff\xfe\"\n", "b.yaml:"},
		{"unknown role", "hosts:\n  one: {roles: [entry, boss]}\n", `unknown role "boss"`},
	}
	for _, tt := range tests {
		Convey("With "+tt.name, t, func() {
			_, err := Load(writeFolder(t, map[string]string{"a.yaml": validSettings, "b.yaml": tt.text}))
			var problems Problems
			So(errors.As(err, &problems), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, tt.want)
		})
	}
}

func TestLoadFindsAll(t *testing.T) {
	Convey("One load reports every error", t, func() {
		_, err := Load(writeFolder(t, map[string]string{"a.yaml": validSettings, "b.yaml": "timing: {lease: 2}\nlimits: {body: 3}\nmodel: {}\n"}))
		var problems Problems
		So(errors.As(err, &problems), ShouldBeTrue)
		So(len(problems), ShouldBeGreaterThanOrEqualTo, 3)
	})
}

func TestSecrets(t *testing.T) {
	Convey("A file of API keys must be readable by its owner only and refer to known organisations", t, func() {
		dir := writeFolder(t, map[string]string{"a.yaml": validSettings})
		s, err := Load(dir)
		So(err, ShouldBeNil)
		s.Daemon.KeysFile = filepath.Join(dir, "keys")
		write := func(text string, mode os.FileMode) {
			_ = os.Remove(s.Daemon.KeysFile)
			So(os.WriteFile(s.Daemon.KeysFile, []byte(text), mode), ShouldBeNil)
		}
		write("secret-1: {organisation: college, class: desk}\n", 0o600)
		keys, err := s.LoadKeys()
		So(err, ShouldBeNil)
		So(keys["secret-1"].Organisation, ShouldEqual, "college")
		write("secret-1: {organisation: college, class: desk}\n", 0o644)
		_, err = s.LoadKeys()
		So(errors.Is(err, ErrPermissions), ShouldBeTrue)
		write("secret-1: {organisation: nobody, class: desk}\n", 0o600)
		_, err = s.LoadKeys()
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldNotContainSubstring, "secret-1")
	})
}

func TestIdempotentRules(t *testing.T) {
	tests := []struct {
		method, path string
		want         bool
	}{
		{"GET", "/booking/slots", true},
		{"GET", "/booking", false},
		{"POST", "/booking/search", true},
		{"POST", "/booking/search/x", false},
		{"POST", "/booking/slots", false},
		{"DELETE", "/booking/slots", false},
	}
	s := Service{Prefix: "/booking", Idempotent: []string{"GET /booking/*", "POST /booking/search"}}
	for _, tt := range tests {
		if got := s.IsIdempotent(tt.method, tt.path); got != tt.want {
			t.Errorf("%s %s: got %t, want %t", tt.method, tt.path, got, tt.want)
		}
	}
}

// FuzzParse checks that Parse doesn't panic on any text.
func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Add("a: &x [*x]")
	f.Add("models: {ledger: {span: 1e9}}")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = Parse("fuzz", []byte(text))
	})
}
