package settings

import (
	"fmt"
	"math"
	"net/netip"
	"sort"
	"strings"
	"time"

	"savorywing.example/savorywing"
)

// MaxFreshness is the longest time that an accepted configuration may take to be in force on all hosts.
const MaxFreshness = 7 * time.Second

// maxCount is more than any system has of hosts, replicas or loads.
const maxCount = 1 << 20

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func (s *Settings) validate(withDaemon bool) {
	used := map[netip.AddrPort]string{}
	s.validateHosts(used)
	if withDaemon {
		s.validateDaemon(used)
	}
	s.validateDomains()
	s.validateOrganisations()
	s.validateModels()
	s.validateServices()
	s.validatePlanning()
	s.validateTiming()
	s.validateLimits()
	for _, name := range sortedKeys(s.Classes) {
		field := "classes." + name
		for _, problem := range s.Classes[name].Validate() {
			s.tree.addProblem(joinPath(field, problem.Field), problem.Reason)
		}
	}
	if len(s.Classes) == 0 {
		s.tree.addProblem("classes", "at least one class is needed")
	}
}

// checkAddress checks that an address can be published to other hosts and is not used by another field. It adds the
// address to used.
func (s *Settings) checkAddress(field, value string, used map[netip.AddrPort]string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		s.tree.addProblem(field, fmt.Sprintf("%q is not an IP address with a port", value))
		return
	}
	if a.Port() == 0 {
		s.tree.addProblem(field, "port 0 can't be told to others")
		return
	}
	if other, taken := used[a]; taken {
		s.tree.addProblem(field, fmt.Sprintf("%s is already the address of %s", value, other))
		return
	}
	used[a] = field
}

func (s *Settings) validateHosts(used map[netip.AddrPort]string) {
	if len(s.Hosts) == 0 {
		s.tree.addProblem("hosts", "at least one host is needed")
	}
	voters := 0
	for _, name := range sortedKeys(s.Hosts) {
		h, field := s.Hosts[name], "hosts."+name
		s.checkAddress(field+".peers", h.PeerAddress, used)
		if _, known := s.DataCentres[h.DataCentre]; !known {
			s.tree.addProblem(field+".dataCentre", fmt.Sprintf("unknown data centre %q", h.DataCentre))
		}
		for _, role := range h.Roles {
			if role != savorywing.RoleEntry && role != savorywing.RoleControl {
				s.tree.addProblem(field+".roles", fmt.Sprintf("unknown role %q; roles are entry and control", role))
			}
		}
		if h.HasRole(savorywing.RoleControl) {
			voters++
		}
	}
	if voters == 0 && len(s.Hosts) > 0 {
		s.tree.addProblem("hosts", "no host has the role control")
	}
	for _, name := range sortedKeys(s.DataCentres) {
		if s.DataCentres[name].Region == "" {
			s.tree.addProblem("dataCentres."+name+".region", "a region is needed")
		}
	}
}

func (s *Settings) validateDaemon(used map[netip.AddrPort]string) {
	d := s.Daemon
	h, known := s.Hosts[d.Host]
	if !known {
		s.tree.addProblem("daemon.host", fmt.Sprintf("%q is not one of the hosts", d.Host))
		return
	}
	if d.PeerAddress != h.PeerAddress {
		s.tree.addProblem("daemon.peers", fmt.Sprintf("%q differs from hosts.%s.peers, which others call", d.PeerAddress, d.Host))
	}
	s.checkAddress("daemon.operators", d.OperatorAddress, used)
	if h.HasRole(savorywing.RoleEntry) {
		s.checkAddress("daemon.callers", d.CallerAddress, used)
		if d.KeysFile == "" {
			s.tree.addProblem("daemon.keysFile", "needed for the role entry")
		}
	}
	if h.HasRole(savorywing.RoleControl) && d.DataFolder == "" {
		s.tree.addProblem("daemon.dataFolder", "needed for the role control")
	}
	if d.OperatorsFile == "" {
		s.tree.addProblem("daemon.operatorsFile", "a file with the operators' token is needed")
	}
}

func (s *Settings) validateDomains() {
	for _, name := range sortedKeys(s.FabricDomains) {
		if _, known := s.DataCentres[s.FabricDomains[name].DataCentre]; !known {
			s.tree.addProblem("fabricDomains."+name+".dataCentre", fmt.Sprintf("unknown data centre %q", s.FabricDomains[name].DataCentre))
		}
	}
}

func (s *Settings) validateOrganisations() {
	for _, name := range sortedKeys(s.Organisations) {
		if w := s.Organisations[name].Weight; !(w > 0 && w <= math.MaxInt32) {
			s.tree.addProblem("organisations."+name+".share", "must be a number above 0")
		}
	}
}

func (s *Settings) validateModels() {
	for _, name := range sortedKeys(s.Models) {
		m, field := s.Models[name], "models."+name
		if m.Version == "" {
			s.tree.addProblem(field+".version", "a version is needed")
		}
		if m.HostsPerReplica < 1 {
			s.tree.addProblem(field+".span", "must be at least 1 host")
		}
		if m.Replicas < 0 {
			s.tree.addProblem(field+".replicas", "must not be negative")
		}
		if max(m.HostsPerReplica, m.Replicas, m.Accelerators) > maxCount {
			s.tree.addProblem(field, fmt.Sprintf("span, replicas and accelerators must be at most %d", maxCount))
		}
	}
}

// ownPaths are the paths at the callers' address that a daemon answers itself.
var ownPaths = []string{"/healthz", "/readyz"}

// coversOwnPath returns a path that a daemon answers itself although the prefix is that of a service, or an empty string.
func coversOwnPath(prefix string) string {
	for _, path := range ownPaths {
		if rest, found := strings.CutPrefix(path, prefix); found && (rest == "" || rest[0] == '/') {
			return path
		}
	}
	return ""
}

func (s *Settings) validateServices() {
	prefixes := map[string]string{}
	for _, name := range sortedKeys(s.Services) {
		v, field := s.Services[name], "services."+name
		if !strings.HasPrefix(v.Prefix, "/") || v.Prefix == "/" || strings.HasPrefix(v.Prefix, "/v1") {
			s.tree.addProblem(field+".prefix", fmt.Sprintf("%q must be a path such as /booking, outside /v1", v.Prefix))
		}
		if path := coversOwnPath(v.Prefix); path != "" {
			s.tree.addProblem(field+".prefix", fmt.Sprintf("%q covers %s, which the daemon answers itself", v.Prefix, path))
		}
		if other, taken := prefixes[v.Prefix]; taken {
			s.tree.addProblem(field+".prefix", "is already the prefix of service "+other)
		}
		prefixes[v.Prefix] = name
		for _, rule := range v.Idempotent {
			if _, path, ok := strings.Cut(rule, " "); !ok || !strings.HasPrefix(path, "/") {
				s.tree.addProblem(field+".idempotent", fmt.Sprintf("%q is not of the form METHOD /path", rule))
			}
		}
	}
}

func (s *Settings) validatePlanning() {
	p := s.Planning
	for _, w := range []float64{p.DowntimeWeight, p.StrandedAcceleratorWeight} {
		if !(w >= 0 && w <= math.MaxInt32) {
			s.tree.addProblem("planning", "weights must be numbers and not negative")
		}
	}
	if p.MaxConcurrentLoads < 1 || p.MaxConcurrentLoads > maxCount {
		s.tree.addProblem("planning.loadsAtOnce", fmt.Sprintf("must be between 1 and %d", maxCount))
	}
	if p.MaxHoldDown < p.HoldDown {
		s.tree.addProblem("planning.holdDownMax", "must not be below holdDown")
	}
}

func (s *Settings) validateTiming() {
	t := s.Timing
	if t.Freshness > MaxFreshness {
		s.tree.addProblem("timing.freshness", fmt.Sprintf("must be at most %s, within which a change is in force", MaxFreshness))
	}
	if 2*t.ConfirmInterval > t.Freshness {
		s.tree.addProblem("timing.confirm", "must be at most half of freshness")
	}
	if 2*t.PollInterval > t.Lease {
		s.tree.addProblem("timing.poll", "must be at most half of lease")
	}
	if 3*t.ElectionTimeout > t.Freshness {
		s.tree.addProblem("timing.election", "must be at most a third of freshness, or every election stops admission")
	}
}

func (s *Settings) validateLimits() {
	l := s.Limits
	if l.MaxRequests < 1 || l.MaxGroupRequests < 1 || l.MaxClaims < 1 {
		s.tree.addProblem("limits", "requests, groupRequests and claims must be at least 1")
	}
	if !(l.RetryRatio >= 0 && l.RetryRatio <= 1) {
		s.tree.addProblem("limits.retryShare", "must be between 0 and 1")
	}
}
