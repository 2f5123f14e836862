package instance

import (
	"strings"
	"testing"
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
	s, err := Parse([]byte(example))
	if err != nil {
		t.Fatal(err)
	}
	if got := s.SeedPeerAddresses(); len(got) != 2 || got[0] != "10.0.0.7:7340" {
		t.Errorf("seeds: %v", got)
	}
	if s.VoterCount() != 5 || s.KeyRevocationMs != 4000 || s.DrainMs != 2000 || s.PeerAddress() != "10.0.0.1:7340" {
		t.Errorf("settings: %+v", s)
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
		{"an empty accepted token", "token: secret", "token: secret\nacceptedTokens: ['']", "line 11: acceptedTokens"},
		{"entry host without a caller address", "callerAddress: 10.0.0.1:8080", "", "callerAddress"},
		{"control host without a data folder", "role: entry", "role: control\ncontrolAddress: 10.0.0.1:8229", "dataDir"},
		{"address without a port", "readyAddress: 10.0.0.1:8081", "readyAddress: 10.0.0.1", "10.0.0.1"},
	}
	for _, tt := range tests {
		_, err := Parse([]byte(strings.Replace(example, tt.old, tt.new, 1)))
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: error %v, want it to contain %q", tt.name, err, tt.want)
		}
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
