// Package instance holds the settings of a daemon that discovers the other daemons through seeds. They are
// read from one YAML file at start and again on reload.
package instance

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/version/residency"
	"savorywing.example/savorywing/wire"
)

// Errors of settings.
var (
	ErrMissing = errors.New("a value is missing")
	ErrRange   = errors.New("a value is out of range")
	ErrRole    = errors.New("the role must be entry or control")
	ErrPace    = errors.New("the pace must be cold, all or none")
)

// Upper bounds of numbers.
const (
	maxPort       = 1<<16 - 1
	maxDiskLosses = 50
	// maxMemoryMB is one EiB.
	maxMemoryMB = 1 << 40
	// maxMilliseconds is one year.
	maxMilliseconds = 366 * 24 * 60 * 60 * 1000
	maxCapacity     = 1e12
)

// Settings are the settings of one daemon.
type Settings struct {
	Role       string `yaml:"role"`
	Name       string `yaml:"name"`
	IP         string `yaml:"ip"`
	DataCentre string `yaml:"dataCentre"`
	// Regions holds the region of each data centre of the deployment. A document can restrict requests to regions. If it is empty,
	// the settings don't say which data centres there are.
	Regions residency.Map `yaml:"regions"`
	// CallerAddress is the address on which an entry host accepts callers' connections.
	CallerAddress string `yaml:"callerAddress"`
	// ReadyAddress is the address on which an entry host serves its readiness check.
	ReadyAddress string `yaml:"readyAddress"`
	// ControlAddress is the address on which a control host serves reports and operators' calls.
	ControlAddress string `yaml:"controlAddress"`
	// MetricsPort is the port on which metrics are served; 0 for none.
	MetricsPort int `yaml:"metricsPort"`
	// PeerPorts are free ports of this host, the same on all hosts. The first accepts connections of other daemons.
	PeerPorts []int `yaml:"peerPorts"`
	// Seeds are control addresses of control hosts. Some of the hosts may no longer exist, and entries that are no address are
	// ignored, but at least one is needed.
	Seeds []string `yaml:"seeds"`
	// FirstStart allows the seeds to bootstrap a new cluster. Every later start joins the existing one.
	FirstStart bool   `yaml:"firstStart"`
	DataDir    string `yaml:"dataDir"`
	LogLevel   string `yaml:"logLevel"`
	// Token is the secret that daemons state to each other. AcceptedTokens are accepted besides it.
	Token          string   `yaml:"token"`
	AcceptedTokens []string `yaml:"acceptedTokens"`
	// ToleratedDiskLosses is the number of disks that may be lost at once. The cluster has twice as many voters plus one.
	ToleratedDiskLosses int `yaml:"lostDisks"`
	// MemoryMB is the memory at which the process is killed, in MiB.
	MemoryMB int `yaml:"memoryMB"`
	// CPUShare is the fraction of a core, LinkMbps the bandwidth in Mbit/s and MaxDescriptors the number of file descriptors
	// that the process may use; 0 for no bound. They limit what the daemon does for other hosts.
	CPUShare       float64 `yaml:"cpuShare"`
	LinkMbps       float64 `yaml:"linkMbps"`
	MaxDescriptors int     `yaml:"maxDescriptors"`
	// Pace is PaceCold, PaceAll or PaceNone; PaceCold if it is empty.
	Pace   string `yaml:"pace,omitempty"`
	Limits `yaml:"limits"`
}

// Values of Settings.Pace: which servers get few requests first when they have just started or returned.
const (
	// PaceCold stands for those of services whose document states how long a started server is cold.
	PaceCold = "cold"
	PaceAll  = "all"
	PaceNone = "none"
)

// Paces reports whether the servers of a service are paced whose document states this time for cold servers.
func (s *Settings) Paces(coldTime time.Duration) bool {
	return s.Pace == PaceAll || (s.Pace != PaceNone && coldTime > 0)
}

// Limits are the times and ratios that a deployment sets. The name of a time ends with its unit.
type Limits struct {
	// ReportIntervalMs is the interval at which backend servers send reports.
	ReportIntervalMs int64 `yaml:"reportEveryMs"`
	// DrainMs is how long requests may still be sent to a backend server after its report of leaving was acknowledged.
	DrainMs int64 `yaml:"drainMs"`
	// GraceSeconds is the time from the signal of a planned stop to the end of the process.
	GraceSeconds float64 `yaml:"graceSeconds"`
	// KeyRevocationMs is how long a revoked API key may still be accepted.
	KeyRevocationMs int64 `yaml:"revokeMs"`
	// ConfigPropagationMs is how long a change of the configuration may take to be in force on all hosts.
	ConfigPropagationMs int64 `yaml:"configMs"`
	// EvacuationMs is how long after an order to evacuate a data centre requests may still be sent there; 0 if the deployment
	// sets no bound.
	EvacuationMs int64 `yaml:"evacuateMs,omitempty"`
	// MemberLossTimeoutMs is how long a group continues to serve without a lost member.
	MemberLossTimeoutMs int64 `yaml:"stallMs"`
	// Within RetryWindowSeconds, all hosts together may send RetryRatio retries per request, and RetryBurst retries more.
	RetryRatio         float64 `yaml:"retryShare"`
	RetryWindowSeconds float64 `yaml:"retryWindowSeconds"`
	RetryBurst         float64 `yaml:"retrySlack"`
	// In any second, all hosts together may send ColdOverage times the rate of its service to a cold server, and ColdSlack
	// requests more.
	ColdOverage float64 `yaml:"coldOverage"`
	ColdSlack   float64 `yaml:"coldSlack"`
}

// Load reads and checks a settings file. Errors state the file, and the line and field where they are known.
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

// Parse decodes settings, sets defaults and checks the result.
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

// Defaults sets the fields that have a default and that the file doesn't set or sets to zero.
func (s *Settings) Defaults() {
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	if s.MemoryMB == 0 {
		s.MemoryMB = 256
	}
	ints := []struct {
		field *int64
		value int64
	}{
		{&s.ReportIntervalMs, 1200}, {&s.DrainMs, 2000}, {&s.KeyRevocationMs, 5000}, {&s.ConfigPropagationMs, 2000}, {&s.MemberLossTimeoutMs, 5000},
	}
	for _, n := range ints {
		if *n.field == 0 {
			*n.field = n.value
		}
	}
	floats := []struct {
		field *float64
		value float64
	}{
		{&s.GraceSeconds, 8}, {&s.RetryRatio, 0.2}, {&s.RetryWindowSeconds, 10}, {&s.RetryBurst, 10},
		{&s.ColdOverage, 1},
	}
	for _, n := range floats {
		if *n.field == 0 {
			*n.field = n.value
		}
	}
}

// fieldError is an error in the value of one field.
type fieldError struct {
	field string
	err   error
}

func (e fieldError) Error() string { return e.field + ": " + e.err.Error() }

func (e fieldError) Unwrap() error { return e.err }

// Validate checks all settings and returns the first error.
func (s *Settings) Validate() error {
	if net.ParseIP(s.IP) == nil {
		return fieldError{"ip", fmt.Errorf("%w: an IP address is needed", ErrMissing)}
	}
	if err := s.validatePorts(); err != nil {
		return err
	}
	if len(s.Seeds) == 0 {
		return fieldError{"seeds", ErrMissing}
	}
	if len(s.SeedPeerAddresses()) == 0 {
		return fieldError{"seeds", fmt.Errorf("%w: no seed is an IP address with a port", ErrRange)}
	}
	if s.Token == "" {
		return fieldError{"token", ErrMissing}
	}
	if slices.Contains(s.AcceptedTokens, "") {
		return fieldError{"acceptedTokens", ErrMissing}
	}
	if _, nameless := s.Regions[""]; nameless {
		return fieldError{"regions", ErrMissing}
	}
	switch s.Pace {
	case "", PaceCold, PaceAll, PaceNone:
	default:
		return fieldError{"pace", fmt.Errorf("%w: %q", ErrPace, s.Pace)}
	}
	if err := s.validateNumbers(); err != nil {
		return err
	}
	for _, address := range []struct{ field, value string }{
		{"callerAddress", s.CallerAddress}, {"readyAddress", s.ReadyAddress}, {"controlAddress", s.ControlAddress},
	} {
		if address.value == "" {
			continue
		}
		if err := checkListenAddress(address.value); err != nil {
			return fieldError{address.field, err}
		}
	}
	return s.validateRole()
}

// checkListenAddress checks an address to listen at, which may have no host.
func checkListenAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("%w: port %q of %s", ErrRange, port, address)
	}
	if host != "" && net.ParseIP(host) == nil {
		return fmt.Errorf("%w: %s has no IP address", ErrRange, address)
	}
	return nil
}

func (s *Settings) validatePorts() error {
	if len(s.PeerPorts) == 0 {
		return fieldError{"peerPorts", ErrMissing}
	}
	for i, port := range s.PeerPorts {
		if port < 1 || port > maxPort || slices.Contains(s.PeerPorts[:i], port) {
			return fieldError{"peerPorts", fmt.Errorf("%w: %d", ErrRange, port)}
		}
	}
	if s.MetricsPort < 0 || s.MetricsPort > maxPort {
		return fieldError{"metricsPort", fmt.Errorf("%w: %d", ErrRange, s.MetricsPort)}
	}
	return nil
}

// validateNumbers checks that numbers are finite and not negative, and that calculations with them don't overflow.
func (s *Settings) validateNumbers() error {
	for _, n := range []struct {
		field     string
		value     float64
		low, high float64
	}{
		{"lostDisks", float64(s.ToleratedDiskLosses), 0, maxDiskLosses}, {"memoryMB", float64(s.MemoryMB), 1, maxMemoryMB},
		{"cpuShare", s.CPUShare, 0, maxCapacity}, {"linkMbps", s.LinkMbps, 0, maxCapacity}, {"maxDescriptors", float64(s.MaxDescriptors), 0, maxCapacity},
	} {
		if !isWithin(n.value, n.low, n.high) {
			return fieldError{n.field, fmt.Errorf("%w: %v", ErrRange, n.value)}
		}
	}
	if err := s.Limits.validate(); err != nil {
		return fieldError{"limits", err}
	}
	return nil
}

func (l *Limits) validate() error {
	for _, ms := range []int64{l.ReportIntervalMs, l.DrainMs, l.KeyRevocationMs, l.ConfigPropagationMs, l.MemberLossTimeoutMs} {
		if ms < 1 || ms > maxMilliseconds {
			return fmt.Errorf("%w: %d ms", ErrRange, ms)
		}
	}
	for _, seconds := range []float64{l.GraceSeconds, l.RetryWindowSeconds} {
		if !isWithin(seconds, 0, maxMilliseconds/1000) {
			return fmt.Errorf("%w: %v s", ErrRange, seconds)
		}
	}
	if l.EvacuationMs < 0 || l.EvacuationMs > maxMilliseconds {
		return fmt.Errorf("%w: %d ms", ErrRange, l.EvacuationMs)
	}
	if !isWithin(l.RetryRatio, 0, maxCapacity) || !isWithin(l.RetryBurst, 0, maxCapacity) {
		return fmt.Errorf("%w: retries", ErrRange)
	}
	if !isWithin(l.ColdOverage, 0, maxCapacity) || !isWithin(l.ColdSlack, 0, maxCapacity) {
		return fmt.Errorf("%w: requests to cold servers", ErrRange)
	}
	return nil
}

// isWithin reports whether low <= v <= high, which is false if v is NaN.
func isWithin(v, low, high float64) bool { return v >= low && v <= high }

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

// locate adds to an error the line of the top-level field that it refers to, if the file has the field.
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

// PeerAddress returns the address on which other daemons connect to this one.
func (s *Settings) PeerAddress() string { return s.PeerAddressOf(s.IP) }

// ListenAddresses returns the addresses at which the daemon listens, as others reach them.
func (s *Settings) ListenAddresses() []string {
	addresses := []string{s.PeerAddress()}
	for _, address := range []string{s.CallerAddress, s.ReadyAddress, s.ControlAddress} {
		host, port, err := net.SplitHostPort(address)
		if err != nil {
			continue // a daemon of another role doesn't listen there
		}
		if ip := net.ParseIP(host); ip == nil || ip.IsUnspecified() {
			host = s.IP
		}
		addresses = append(addresses, net.JoinHostPort(host, port))
	}
	return addresses
}

// PeerAddressOf returns the peer address of the host with the given IP address. Ports are the same on all hosts.
func (s *Settings) PeerAddressOf(ip string) string {
	return net.JoinHostPort(ip, fmt.Sprint(s.PeerPorts[0]))
}

// MetricsAddress returns the address on which metrics are served.
func (s *Settings) MetricsAddress() string { return net.JoinHostPort(s.IP, fmt.Sprint(s.MetricsPort)) }

// SeedPeerAddresses returns the peer addresses of the seeds, each once, without the invalid seeds.
func (s *Settings) SeedPeerAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		if wire.CheckAddress(seed) != nil {
			continue
		}
		ip, _, _ := net.SplitHostPort(seed)
		if address := s.PeerAddressOf(ip); !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// InvalidSeeds returns the seeds that are no address of a host. They are ignored.
func (s *Settings) InvalidSeeds() []string {
	var invalid []string
	for _, seed := range s.Seeds {
		if wire.CheckAddress(seed) != nil {
			invalid = append(invalid, seed)
		}
	}
	return invalid
}

// VoterCount returns the number of voters needed so that a majority survives the loss of ToleratedDiskLosses disks.
func (s *Settings) VoterCount() int { return 2*s.ToleratedDiskLosses + 1 }

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Grace returns GraceSeconds as a duration.
func (s *Settings) Grace() time.Duration { return time.Duration(s.GraceSeconds * float64(time.Second)) }
