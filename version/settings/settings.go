package settings

import (
	"bytes"
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"savorywing.example/savorywing/version/deadline"
)

// Settings is the merged and checked content of one folder. The daemon part applies to one process; all
// other parts are the configuration that is distributed through the replicated log.
type Settings struct {
	Daemon        Daemon                    `yaml:"daemon"`
	DataCentres   map[string]DataCentre     `yaml:"dataCentres"`
	Hosts         map[string]Host           `yaml:"hosts"`
	Organisations map[string]Organisation   `yaml:"organisations"`
	Classes       map[string]deadline.Class `yaml:"classes"`
	Models        map[string]Model          `yaml:"models"`
	Services      map[string]Service        `yaml:"services"`
	FabricDomains map[string]FabricDomain   `yaml:"fabricDomains"`
	Planning      Planning                  `yaml:"planning"`
	Timing        Timing                    `yaml:"timing"`
	Limits        Limits                    `yaml:"limits"`

	// tree is the merged document that the settings were decoded from.
	tree *tree
}

// Daemon is the part that applies to one process only.
type Daemon struct {
	Host string `yaml:"host"`
	// CallerAddress, PeerAddress and OperatorAddress are IP addresses with a port to listen on.
	CallerAddress   string `yaml:"callers"`
	PeerAddress     string `yaml:"peers"`
	OperatorAddress string `yaml:"operators"`
	// KeysFile and OperatorsFile are paths of files with secrets. Only their owner may have access.
	KeysFile      string `yaml:"keysFile"`
	OperatorsFile string `yaml:"operatorsFile"`
	// DataFolder is required for the control role.
	DataFolder string `yaml:"dataFolder"`
	LogLevel   string `yaml:"logLevel"`
}

// DataCentre states the region of a data centre.
type DataCentre struct {
	Region string `yaml:"region"`
}

// Host is a host that runs a daemon of the system.
type Host struct {
	DataCentre  string   `yaml:"dataCentre"`
	PeerAddress string   `yaml:"peers"`
	Roles       []string `yaml:"roles"`
}

// HasRole reports whether the host has a role.
func (h Host) HasRole(role string) bool {
	for _, r := range h.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// Organisation is a customer.
type Organisation struct {
	// Weight is the organisation's weight among all organisations with requests at the same time.
	Weight float64 `yaml:"share"`
}

// Model is a model to be served.
type Model struct {
	Version string `yaml:"version"`
	// HostsPerReplica is the number of hosts in one replica.
	HostsPerReplica int `yaml:"span"`
	Replicas        int `yaml:"replicas"`
	// Accelerators is the minimum number of accelerators of a member.
	Accelerators int `yaml:"accelerators"`
}

// Service is a plain service behind a path prefix.
type Service struct {
	Prefix string `yaml:"prefix"`
	// Idempotent lists rules of the form "METHOD /path" for calls that may be retried. A trailing * matches any suffix.
	Idempotent []string `yaml:"idempotent"`
}

// FabricDomain is a set of hosts that share a fabric.
type FabricDomain struct {
	DataCentre string `yaml:"dataCentre"`
	// ChecksFencing reports whether the domain's backend servers reject orders with an old fencing token.
	ChecksFencing bool `yaml:"checksFencing"`
}

// Planning holds the weights and bounds of decisions about groups.
type Planning struct {
	DowntimeWeight            float64 `yaml:"downtimeWeight"`
	StrandedAcceleratorWeight float64 `yaml:"strandedWeight"`
	// MaxConcurrentLoads bounds the groups that load from the weight store at the same time.
	MaxConcurrentLoads int `yaml:"loadsAtOnce"`
	// HoldDown is how long a host stays unused after its first flap. The time doubles with each further flap, up to
	// MaxHoldDown.
	HoldDown    time.Duration `yaml:"holdDown"`
	MaxHoldDown time.Duration `yaml:"holdDownMax"`
	// DomainReturnTimeout is how long a fabric domain with no reachable host is waited for before its groups are rebuilt.
	DomainReturnTimeout time.Duration `yaml:"domainReturn"`
}

// Timing holds the time bounds on which the guarantees of the system depend.
type Timing struct {
	// Lease is how long a group may serve on its members' announcements, counted from before each poll was sent.
	Lease time.Duration `yaml:"lease"`
	// PollInterval is the time between two polls of the same backend server.
	PollInterval time.Duration `yaml:"poll"`
	// Freshness is how long an entry host admits requests on its last confirmed configuration.
	Freshness time.Duration `yaml:"freshness"`
	// ConfirmInterval is the time between two confirmations of the configuration.
	ConfirmInterval time.Duration `yaml:"confirm"`
	// ElectionTimeout is the shortest time without a heartbeat from a leader after which a voter starts an election.
	ElectionTimeout time.Duration `yaml:"election"`
	// MaxOrderDelay is the longest time that an order is in flight to a backend server.
	MaxOrderDelay time.Duration `yaml:"longestOrder"`
	// BalancerDetectionTime is how long the load balancer takes to detect that a daemon isn't ready.
	BalancerDetectionTime time.Duration `yaml:"balancerNotice"`
	// ClaimRetention is how long the claim of a non-idempotent request is kept.
	ClaimRetention time.Duration `yaml:"claimKept"`
}

// Limits bounds the resources that a daemon uses.
type Limits struct {
	// MaxBody is the maximum size of a request's body.
	MaxBody Size `yaml:"body"`
	// MaxRequests is the maximum number of requests in flight or queued at one entry host.
	MaxRequests int `yaml:"requests"`
	// MaxGroupRequests is the maximum number of requests that one group runs at once, over all entry hosts.
	MaxGroupRequests int `yaml:"groupRequests"`
	// MaxClaims is the maximum number of claims kept. A full claim table rejects new ones.
	MaxClaims int `yaml:"claims"`
	// MaxRecordedResponse is the maximum size of a response that is recorded with a claim.
	MaxRecordedResponse Size `yaml:"answerKept"`
	// RetryRatio is the number of retries allowed per successful request.
	RetryRatio float64 `yaml:"retryShare"`
}

// Load reads and checks a folder of settings. If the files can be read, an error is of type Problems.
func Load(dir string) (*Settings, error) {
	t, err := readFolder(dir)
	if err != nil {
		return nil, err
	}
	return t.settings(true)
}

// Parse decodes and checks a distributed configuration, which has no daemon part. name stands for the file in problems.
func Parse(name string, text []byte) (*Settings, error) {
	t := newTree()
	t.add(name, text)
	return t.settings(false)
}

func (t *tree) settings(withDaemon bool) (*Settings, error) {
	s := &Settings{tree: t}
	t.decode(t.root, reflect.ValueOf(s).Elem(), "")
	s.Defaults()
	s.validate(withDaemon)
	if len(t.problems) > 0 {
		return nil, t.problems.sorted()
	}
	return s, nil
}

// ConfigurationYAML returns all parts but the daemon part as YAML. The same settings give the same bytes.
func (s *Settings) ConfigurationYAML() ([]byte, error) {
	shared := *s.tree.root
	shared.Content = append([]*yaml.Node(nil), s.tree.root.Content...)
	removeChild(&shared, "daemon")
	text, err := encodeYAML(&shared)
	if err != nil {
		return nil, fmt.Errorf("Settings.ConfigurationYAML: %w", err)
	}
	return text, nil
}

// MergedYAML returns the merged settings, with the daemon part, as YAML.
func (s *Settings) MergedYAML() ([]byte, error) {
	text, err := encodeYAML(s.tree.root)
	if err != nil {
		return nil, fmt.Errorf("Settings.MergedYAML: %w", err)
	}
	return text, nil
}

func encodeYAML(n *yaml.Node) ([]byte, error) {
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(n); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Origins returns a line of text for each value, with field, value, file and line.
func (s *Settings) Origins() []string {
	var lines []string
	s.appendOrigins(s.tree.root, "", &lines)
	sort.Strings(lines)
	return lines
}

func (s *Settings) appendOrigins(n *yaml.Node, path string, lines *[]string) {
	for i := 0; i+1 < len(n.Content); i += 2 {
		field, value := joinPath(path, n.Content[i].Value), n.Content[i+1]
		if value.Kind == yaml.MappingNode {
			s.appendOrigins(value, field, lines)
			continue
		}
		p := s.tree.position(field)
		*lines = append(*lines, fmt.Sprintf("%s = %s (%s:%d)", field, formatValue(value), p.File, p.Line))
	}
}

// formatValue returns a scalar or a list of scalars as text.
func formatValue(n *yaml.Node) string {
	if n.Kind == yaml.ScalarNode {
		return n.Value
	}
	items := make([]string, len(n.Content))
	for i, item := range n.Content {
		items[i] = item.Value
	}
	return "[" + strings.Join(items, ", ") + "]"
}

// IsIdempotent reports whether a call matches a rule in s.Idempotent and so may be retried.
func (s Service) IsIdempotent(method, path string) bool {
	for _, rule := range s.Idempotent {
		m, pattern, _ := strings.Cut(rule, " ")
		if m != method {
			continue
		}
		if prefix, wildcard := strings.CutSuffix(pattern, "*"); wildcard && strings.HasPrefix(path, prefix) {
			return true
		}
		if pattern == path {
			return true
		}
	}
	return false
}

// ParseWithDaemon decodes and checks settings in one text that has a daemon part. name stands for the file in problems.
func ParseWithDaemon(name string, text []byte) (*Settings, error) {
	t := newTree()
	t.add(name, text)
	return t.settings(true)
}
