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

// Settings is one merged and checked folder. The daemon part belongs to one process; all the rest
// is the configuration that travels through the replicated log.
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

	tree *tree
}

// Daemon is the part that only one process reads.
type Daemon struct {
	Host string `yaml:"host"`
	// CallerAddress, PeerAddress and OperatorAddress are IP addresses with a port to listen on.
	CallerAddress   string `yaml:"callers"`
	PeerAddress     string `yaml:"peers"`
	OperatorAddress string `yaml:"operators"`
	// KeysFile and OperatorsFile hold secrets; only their owner may read them.
	KeysFile      string `yaml:"keysFile"`
	OperatorsFile string `yaml:"operatorsFile"`
	// DataFolder is needed for the control role.
	DataFolder string `yaml:"dataFolder"`
	LogLevel   string `yaml:"logLevel"`
}

// DataCentre places a data centre in a region.
type DataCentre struct {
	Region string `yaml:"region"`
}

// Host is one host of the system itself.
type Host struct {
	DataCentre  string   `yaml:"dataCentre"`
	PeerAddress string   `yaml:"peers"`
	Roles       []string `yaml:"roles"`
}

// HasRole tells whether the host carries a role.
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
	// Weight is the organisation's weight among all that ask at the same time.
	Weight float64 `yaml:"share"`
}

// Model is a model that the operators want served.
type Model struct {
	Version string `yaml:"version"`
	// HostsPerReplica is the number of hosts of one replica.
	HostsPerReplica int `yaml:"span"`
	Replicas        int `yaml:"replicas"`
	// Accelerators is the least number that a member must have.
	Accelerators int `yaml:"accelerators"`
}

// Service is a plain service behind a path prefix.
type Service struct {
	Prefix string `yaml:"prefix"`
	// Idempotent lists "METHOD /path" rules whose calls may be retried; a trailing * matches any rest.
	Idempotent []string `yaml:"idempotent"`
}

// FabricDomain is a set of hosts that share a fabric.
type FabricDomain struct {
	DataCentre string `yaml:"dataCentre"`
	// ChecksFencing tells whether the backend servers there refuse old fencing numbers.
	ChecksFencing bool `yaml:"checksFencing"`
}

// Planning weighs the decisions about groups.
type Planning struct {
	DowntimeWeight float64 `yaml:"downtimeWeight"`
	StrandedWeight float64 `yaml:"strandedWeight"`
	// MaxConcurrentLoads bounds the groups that load from the weight store at the same time.
	MaxConcurrentLoads int `yaml:"loadsAtOnce"`
	// HoldDown is the first time that a host which came back stays unused; it doubles with each flap.
	HoldDown    time.Duration `yaml:"holdDown"`
	MaxHoldDown time.Duration `yaml:"holdDownMax"`
	// DomainReturnTimeout is how long a wholly dark fabric domain is waited for before its groups are rebuilt.
	DomainReturnTimeout time.Duration `yaml:"domainReturn"`
}

// Timing holds the bounds that the promises rest on.
type Timing struct {
	// Lease is how long the members' own announcements lets a group serve, from before they were polled.
	Lease time.Duration `yaml:"lease"`
	// PollInterval is the pause between two polls of the same backend server.
	PollInterval time.Duration `yaml:"poll"`
	// Freshness is how long an entry host admits requests on its last confirmed configuration.
	Freshness time.Duration `yaml:"freshness"`
	// ConfirmInterval is the pause between two confirmations of the configuration.
	ConfirmInterval time.Duration `yaml:"confirm"`
	// ElectionTimeout is the shortest time without a leader's heartbeat after which a voter stands for election.
	ElectionTimeout time.Duration `yaml:"election"`
	// MaxOrderDelay bounds the time that an order is on its way to a backend server.
	MaxOrderDelay time.Duration `yaml:"longestOrder"`
	// BalancerDetectionTime is how long the balancer needs to see that a daemon isn't ready.
	BalancerDetectionTime time.Duration `yaml:"balancerNotice"`
	// ClaimRetention is how long a claim of a non-idempotent request is remembered.
	ClaimRetention time.Duration `yaml:"claimKept"`
}

// Limits bounds what a daemon holds.
type Limits struct {
	Body Size `yaml:"body"`
	// MaxRequests is the number of requests in flight or queued at one entry host.
	MaxRequests int `yaml:"requests"`
	// MaxGroupRequests is the number of requests that one group runs at once, over all entry hosts.
	MaxGroupRequests int `yaml:"groupRequests"`
	// MaxClaims is the number of remembered claims; a full ledger refuses.
	MaxClaims int `yaml:"claims"`
	// MaxRecordedResponse is the largest answer that a claim records.
	MaxRecordedResponse Size `yaml:"answerKept"`
	// RetryRatio is the share of successes that may be spent on retries.
	RetryRatio float64 `yaml:"retryShare"`
}

// Load reads and checks a folder; the error is Problems when the files can be read.
func Load(dir string) (*Settings, error) {
	t, err := readFolder(dir)
	if err != nil {
		return nil, err
	}
	return t.settings(true)
}

// Parse checks a configuration that travels without a daemon part.
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

// ConfigurationYAML returns the configuration part as YAML, the same for the same settings.
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

// MergedYAML returns all settings as YAML.
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

// Origins returns a line for each value: field, value, file and line.
func (s *Settings) Origins() []string {
	var lines []string
	s.origins(s.tree.root, "", &lines)
	sort.Strings(lines)
	return lines
}

func (s *Settings) origins(n *yaml.Node, path string, lines *[]string) {
	for i := 0; i+1 < len(n.Content); i += 2 {
		field, value := joinPath(path, n.Content[i].Value), n.Content[i+1]
		if value.Kind == yaml.MappingNode {
			s.origins(value, field, lines)
			continue
		}
		p := s.tree.position(field)
		*lines = append(*lines, fmt.Sprintf("%s = %s (%s:%d)", field, flat(value), p.File, p.Line))
	}
}

func flat(n *yaml.Node) string {
	if n.Kind == yaml.ScalarNode {
		return n.Value
	}
	items := make([]string, len(n.Content))
	for i, item := range n.Content {
		items[i] = item.Value
	}
	return "[" + strings.Join(items, ", ") + "]"
}

// IsIdempotent tells whether a call may be sent again; what no rule names is not idempotent.
func (s Service) IsIdempotent(method, path string) bool {
	for _, rule := range s.Idempotent {
		m, pattern, _ := strings.Cut(rule, " ")
		if m != method {
			continue
		}
		if prefix, any := strings.CutSuffix(pattern, "*"); any && strings.HasPrefix(path, prefix) {
			return true
		}
		if pattern == path {
			return true
		}
	}
	return false
}

// ParseWithDaemon checks one text that has a daemon part.
func ParseWithDaemon(name string, text []byte) (*Settings, error) {
	t := newTree()
	t.add(name, text)
	return t.settings(true)
}
