// Package instance holds the settings of a daemon that finds the others through seeds: one YAML file,
// read at start and again on reload.
package instance

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"go.yaml.in/yaml/v3"

	"savorywing.example/savorywing"
)

// Errors of settings.
var (
	ErrMissing = errors.New("a value is missing")
	ErrRange   = errors.New("a value is out of range")
	ErrRole    = errors.New("the role must be entry or control")
)

// Settings are what one daemon is told at start.
type Settings struct {
	Role       string `yaml:"role"`
	Name       string `yaml:"name"`
	IP         string `yaml:"ip"`
	DataCentre string `yaml:"dataCentre"`
	// CallerAddress is where an entry host takes callers' connections.
	CallerAddress string `yaml:"callerAddress"`
	// ReadyAddress is where an entry host answers whether it is ready.
	ReadyAddress string `yaml:"readyAddress"`
	// ControlAddress is where a control host takes reports and operators' calls.
	ControlAddress string `yaml:"controlAddress"`
	// MetricsPort serves counters and histograms; 0 serves none.
	MetricsPort int `yaml:"metricsPort"`
	// PeerPorts are free ports of this host, the same on all hosts; the first takes other daemons.
	PeerPorts []int `yaml:"peerPorts"`
	// Seeds are control addresses of control hosts, some of which may be gone.
	Seeds []string `yaml:"seeds"`
	// FirstStart allows the seeds to form a new cluster; every later start joins the one there is.
	FirstStart bool   `yaml:"firstStart"`
	DataDir    string `yaml:"dataDir"`
	LogLevel   string `yaml:"logLevel"`
	Token      string `yaml:"token"`
	// ToleratedDiskLosses is how many disks may be lost at once; there are two voters for each, and one.
	ToleratedDiskLosses int `yaml:"lostDisks"`
	// MemoryMB is the memory at which the process is killed.
	MemoryMB int `yaml:"memoryMB"`
	Limits   `yaml:"limits"`
}

// Limits are the times and shares that the deployment states. Times are in milliseconds.
type Limits struct {
	ReportIntervalMs int64 `yaml:"reportEveryMs"`
	// DrainMs is how long after an acknowledged leaving requests may still be sent.
	DrainMs int64 `yaml:"drainMs"`
	// GraceSeconds is the time from a planned stop's signal to the end of the process.
	GraceSeconds float64 `yaml:"graceSeconds"`
	// KeyRevocationMs is how long a key that was taken away may still be accepted.
	KeyRevocationMs int64 `yaml:"revokeMs"`
	// ConfigPropagationMs is how long a change may take to be in force everywhere.
	ConfigPropagationMs int64 `yaml:"configMs"`
	// MemberLossTimeoutMs is how long a group goes on without a lost member.
	MemberLossTimeoutMs int64 `yaml:"stallMs"`
	// RetryRatio of the requests of RetryWindowSeconds, and RetryBurst more, may be sent again, over all hosts.
	RetryRatio         float64 `yaml:"retryShare"`
	RetryWindowSeconds float64 `yaml:"retryWindowSeconds"`
	RetryBurst         float64 `yaml:"retrySlack"`
}

// Load reads and checks a settings file. Errors name file, line and field.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("instance.Load: %w", err)
	}
	s, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("instance.Load: %s: %w", path, err)
	}
	return s, nil
}

// Parse decodes and checks settings.
func Parse(b []byte) (*Settings, error) {
	var s Settings
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	if err := d.Decode(&s); err != nil {
		return nil, fmt.Errorf("instance.Parse: %w", err)
	}
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("instance.Parse: %w", locate(b, err))
	}
	return &s, nil
}

// Defaults fills in what the file leaves out.
func (s *Settings) Defaults() {
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	if s.MemoryMB == 0 {
		s.MemoryMB = 256
	}
	numbers := []struct {
		field *int64
		value int64
	}{
		{&s.ReportIntervalMs, 1200}, {&s.DrainMs, 2000}, {&s.KeyRevocationMs, 5000}, {&s.ConfigPropagationMs, 2000}, {&s.MemberLossTimeoutMs, 5000},
	}
	for _, n := range numbers {
		if *n.field == 0 {
			*n.field = n.value
		}
	}
	shares := []struct {
		field *float64
		value float64
	}{
		{&s.GraceSeconds, 8}, {&s.RetryRatio, 0.2}, {&s.RetryWindowSeconds, 10}, {&s.RetryBurst, 10},
	}
	for _, n := range shares {
		if *n.field == 0 {
			*n.field = n.value
		}
	}
}

// fieldError names the field that is wrong.
type fieldError struct {
	field string
	err   error
}

func (e fieldError) Error() string { return e.field + ": " + e.err.Error() }

func (e fieldError) Unwrap() error { return e.err }

// Validate checks the settings as a whole.
func (s *Settings) Validate() error {
	if net.ParseIP(s.IP) == nil {
		return fieldError{"ip", fmt.Errorf("%w: an IP number is needed", ErrMissing)}
	}
	if len(s.PeerPorts) == 0 {
		return fieldError{"peerPorts", ErrMissing}
	}
	if len(s.Seeds) == 0 {
		return fieldError{"seeds", ErrMissing}
	}
	if s.Token == "" {
		return fieldError{"token", ErrMissing}
	}
	if s.ToleratedDiskLosses < 0 {
		return fieldError{"lostDisks", ErrRange}
	}
	for _, a := range append([]string{s.CallerAddress, s.ReadyAddress, s.ControlAddress}, s.Seeds...) {
		if _, _, err := net.SplitHostPort(a); a != "" && err != nil {
			return fieldError{"address " + a, err}
		}
	}
	return s.validateRole()
}

func (s *Settings) validateRole() error {
	switch s.Role {
	case savorywing.RoleEntry:
		if s.CallerAddress == "" {
			return fieldError{"callerAddress", ErrMissing}
		}
		if s.ReadyAddress == "" {
			return fieldError{"readyAddress", ErrMissing}
		}
	case savorywing.RoleControl:
		if s.ControlAddress == "" {
			return fieldError{"controlAddress", ErrMissing}
		}
		if s.DataDir == "" {
			return fieldError{"dataDir", ErrMissing}
		}
	default:
		return fieldError{"role", fmt.Errorf("%w: %q", ErrRole, s.Role)}
	}
	return nil
}

// locate adds the line of the field that an error names.
func locate(b []byte, err error) error {
	var f fieldError
	if !errors.As(err, &f) {
		return err
	}
	var root yaml.Node
	if e := yaml.Unmarshal(b, &root); e != nil || len(root.Content) == 0 {
		return err
	}
	fields := root.Content[0].Content
	for i := 0; i+1 < len(fields); i += 2 {
		if fields[i].Value == f.field {
			return fmt.Errorf("line %d: %w", fields[i].Line, err)
		}
	}
	return err
}

// PeerAddress returns where other daemons reach this one.
func (s *Settings) PeerAddress() string { return s.PeerAddressOf(s.IP) }

// PeerAddressOf returns the peer address of another host; ports are the same on all hosts.
func (s *Settings) PeerAddressOf(ip string) string {
	return net.JoinHostPort(ip, fmt.Sprint(s.PeerPorts[0]))
}

// MetricsAddress returns where counters and histograms are served.
func (s *Settings) MetricsAddress() string { return net.JoinHostPort(s.IP, fmt.Sprint(s.MetricsPort)) }

// SeedPeerAddresses returns the peer addresses of the seeds.
func (s *Settings) SeedPeerAddresses() []string {
	var out []string
	for _, seed := range s.Seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, s.PeerAddressOf(ip))
		}
	}
	return out
}

// VoterCount returns the number of voters that survive the loss of ToleratedDiskLosses disks.
func (s *Settings) VoterCount() int { return 2*s.ToleratedDiskLosses + 1 }

// Milliseconds converts a setting to a duration.
func Milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Grace returns the time from a planned stop's signal to the end of the process.
func (s *Settings) Grace() time.Duration { return time.Duration(s.GraceSeconds * float64(time.Second)) }
