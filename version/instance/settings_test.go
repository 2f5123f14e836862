package instance

import (
	"slices"
	"strings"
	"testing"
	"time"
)

const example = `role: entry
name: entry-1
ip: 10.0.0.1
dataCentre: a
callerAddress: 10.0.0.1:8080
readyAddress: 10.0.0.1:8081
peerPorts: [7340,7355]
seeds: [10.0.0.7:8229,10.0.0.8:8229]
firstStart: true
token: secret
lostDisks: 2
memoryMB: 206
limits:
  revokeMs: 4000
`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(strings.Replace(example, "limits:", `regions: {"a":"north","b":"south"}`+"\nlimits:", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if got := s.SeedPeerAddresses(); len(got) != 2 || got[0] != "10.0.0.7:7340" {
		t.Errorf("seeds: %v", got)
	}
	if s.VoterCount() != 5 || s.KeyRevocationMs != 4000 || s.DrainMs != 2000 || s.PeerAddress() != "10.0.0.1:7340" || s.Regions["b"] != "south" {
		t.Errorf("settings: %+v", s)
	}
}

func TestParseEvacuation(t *testing.T) {
	s, err := Parse([]byte(example))
	if err != nil || s.EvacuationMs != 0 {
		t.Errorf("without a bound: %v, %d ms", err, s.EvacuationMs)
	}
	s, err = Parse([]byte(example + "  evacuateMs: 5000\n"))
	if err != nil || s.EvacuationMs != 5000 {
		t.Errorf("got %v, %+v", err, s)
	}
}

func TestPaces(t *testing.T) {
	for _, tt := range []struct {
		line     string
		coldTime time.Duration
		want     bool
	}{
		{"", 0, false},
		{"", time.Second, true},
		{"pace: cold\n", 0, false},
		{"pace: cold\n", time.Second, true},
		{"pace: all\n", 0, true},
		{"pace: none\n", time.Second, false},
	} {
		s, err := Parse([]byte(example + tt.line))
		if err != nil || s.Paces(tt.coldTime) != tt.want {
			t.Errorf("%q, cold for %v: paced %t, want %t; error %v", tt.line, tt.coldTime, !tt.want, tt.want, err)
		}
	}
}

func TestParseRejects(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown field", "token: secret", "tokn: secret", "line 10"},
		{"wrong type", "memoryMB: 206", "memoryMB: much", "line 12"},
		{"no IP address", "ip: 10.0.0.1", "ip: somewhere", "line 3: ip"},
		{"unknown role", "role: entry", "role: both", "line 1: role"},
		{"no seeds", "seeds: [10.0.0.7:8229,10.0.0.8:8229]", "seeds: []", "seeds"},
		{"no token", "token: secret", "token: ''", "line 10: token"},
		{"a data centre without a name", "token: secret", "token: secret\nregions: {'': north}", "line 11: regions"},
		{"an empty accepted token", "token: secret", "token: secret\nacceptedTokens: ['']", "line 11: acceptedTokens"},
		{"entry host without a caller address", "callerAddress: 10.0.0.1:8080", "", "callerAddress"},
		{"control host without a data folder", "role: entry", "role: control\ncontrolAddress: 10.0.0.1:8229", "dataDir"},
		{"address without a port", "readyAddress: 10.0.0.1:8081", "readyAddress: 10.0.0.1", "10.0.0.1"},
		{"address with port 0", "readyAddress: 10.0.0.1:8081", "readyAddress: 10.0.0.1:0", "line 6: readyAddress"},
		{"address with port 70000", "readyAddress: 10.0.0.1:8081", "readyAddress: 10.0.0.1:70000", "line 6: readyAddress"},
		{"address with port -1", "readyAddress: 10.0.0.1:8081", "readyAddress: 10.0.0.1:-1", "line 6: readyAddress"},
		{"address with a word as its port", "readyAddress: 10.0.0.1:8081", "readyAddress: 10.0.0.1:http", "line 6: readyAddress"},
		{"address with a word as its host", "callerAddress: 10.0.0.1:8080", "callerAddress: nowhere:8080", "line 5: callerAddress"},
		{"overage of cold servers negative", "revokeMs: 4000", "coldOverage: -1", "limits: "},
		{"slack of cold servers NaN", "revokeMs: 4000", "coldSlack: .nan", "limits: "},
		{"unknown pace", "lostDisks: 2", "pace: slow", "line 11: pace"},
		{"peer port 0", "[7340,7355]", "[0]", "line 7: peerPorts"},
		{"peer port -1", "[7340,7355]", "[7340,-1]", "line 7: peerPorts"},
		{"peer port 70000", "[7340,7355]", "[70000]", "line 7: peerPorts"},
		{"peer port beyond 64 bits", "[7340,7355]", "[18446744073709551616]", "line 7"},
		{"peer port twice", "[7340,7355]", "[7340,7340]", "line 7: peerPorts"},
		{"metrics port 70000", "lostDisks: 2", "metricsPort: 70000", "line 11: metricsPort"},
		{"metrics port -1", "lostDisks: 2", "metricsPort: -1", "line 11: metricsPort"},
		{"no valid seed", "[10.0.0.7:8229,10.0.0.8:8229]", "[nowhere:1,'10.0.0.7',10.0.0.7:70000]", "line 8: seeds"},
		{"seeds of another type", "[10.0.0.7:8229,10.0.0.8:8229]", "{a: b}", "line 8"},
		{"negative losses", "lostDisks: 2", "lostDisks: -1", "line 11: lostDisks"},
		{"huge losses", "lostDisks: 2", "lostDisks: 9223372036854775807", "line 11: lostDisks"},
		{"negative memory", "memoryMB: 206", "memoryMB: -1", "line 12: memoryMB"},
		{"huge memory", "memoryMB: 206", "memoryMB: 9223372036854775807", "line 12: memoryMB"},
		{"capacity that is no number", "lostDisks: 2", "cpuShare: .nan", "line 11: cpuShare"},
		{"infinite capacity", "lostDisks: 2", "linkMbps: .inf", "line 11: linkMbps"},
		{"negative time", "revokeMs: 4000", "revokeMs: -4000", "line 13: limits"},
		{"huge time", "revokeMs: 4000", "reportEveryMs: 9223372036854775807", "line 13: limits"},
		{"time that is no number", "revokeMs: 4000", "graceSeconds: .nan", "line 13: limits"},
		{"infinite time", "revokeMs: 4000", "retryWindowSeconds: .inf", "line 13: limits"},
		{"negative bound of evacuations", "revokeMs: 4000", "evacuateMs: -1", "line 13: limits"},
		{"negative ratio", "revokeMs: 4000", "retryShare: -0.1", "line 13: limits"},
		{"same field twice", "lostDisks: 2", "lostDisks: 2\nlostDisks: 3", "line 12"},
		{"deep nesting", "[7340,7355]", strings.Repeat("[", 20000), ""},
		{"not UTF-8", "name: entry-1", "name: \xff\xfe", ""},
		{"aliases that expand", "name: entry-1", "name: &a [x]\nseeds: [*a,*a]", ""},
		{"empty", example, "", "EOF"},
	}
	for _, tt := range tests {
		_, err := Parse([]byte(strings.Replace(example, tt.old, tt.new, 1)))
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: error %v, want it to contain %q", tt.name, err, tt.want)
		}
	}
}

func TestListenAddresses(t *testing.T) {
	s, err := Parse([]byte(strings.Replace(strings.Replace(example, "10.0.0.1:8080", "':8080'", 1), "10.0.0.1:8081", "0.0.0.0:8081", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.ListenAddresses(), []string{"10.0.0.1:7340", "10.0.0.1:8080", "10.0.0.1:8081"}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// TestInvalidSeed guards against one seed that costs the others, or that is counted twice as a voter.
func TestInvalidSeed(t *testing.T) {
	s, err := Parse([]byte(strings.Replace(example, "[10.0.0.7:8229,10.0.0.8:8229]",
		"[10.0.0.7:8229, nowhere:8229, 10.0.0.9, '10.0.0.9:', 10.0.0.9:70000, 10.0.0.9:-1, 10.0.0.9:port, '', 10.0.0.7:8229, 10.0.0.7:8230, 10.0.0.1:8229]", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.SeedPeerAddresses(), []string{"10.0.0.7:7340", "10.0.0.1:7340"}; !slices.Equal(got, want) {
		t.Errorf("seeds %v, want %v", got, want)
	}
	if got := s.InvalidSeeds(); len(got) != 7 {
		t.Errorf("invalid seeds: %q", got)
	}
}

// FuzzParse checks that arbitrary bytes are rejected, or read as settings that are valid.
func FuzzParse(f *testing.F) {
	f.Add([]byte(example))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := Parse(b); err == nil {
			if err := s.Validate(); err != nil {
				t.Errorf("%q is accepted: %v", b, err)
			}
		}
	})
}
