package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"savorywing.example/savorywing/wire"
)

// Host is what a leader has heard of a control host.
type Host struct {
	// ID is the id of its disk, as it was announced last.
	ID string
	// SoundAt is when it last announced itself as able to take part in the log; zero before.
	SoundAt time.Time
}

// View is what a leader knows as it decides.
type View struct {
	Term uint64
	Now  time.Time
	// Self is the leader's host.
	Self    string
	Members wire.Membership
	// Voters is the number of voters that the tolerated number of lost disks requires.
	Voters int
	// Hosts has the hosts that were ever heard, by name.
	Hosts map[string]Host
	// ListeningSince is since when the leader has heard others without a gap. It can't tell who was silent before.
	ListeningSince time.Time
	// SilentAfter is how long a host must be silent before another one may replace it.
	SilentAfter time.Duration
}

// isHeard reports whether a host has announced itself lately.
func (v View) isHeard(host string) bool {
	h, known := v.Hosts[host]
	return host == v.Self || (known && v.Now.Sub(h.SoundAt) < v.SilentAfter)
}

// isSilent reports whether the leader has listened for long enough, and the host has announced nothing meanwhile.
func (v View) isSilent(host string) bool {
	return !v.isHeard(host) && v.Now.Sub(v.ListeningSince) >= v.SilentAfter
}

// Decision is an aim and what led to it.
type Decision struct {
	aim Aim
	// outgoing lists the voters that make way, those that have been silent for longest first.
	outgoing []string
	// candidates lists the hosts without a vote that may get one, by name.
	candidates []string
}

// Aim returns the aim.
func (d Decision) Aim() Aim { return d.aim }

// Outgoing returns the voters that make way, those that have been silent for longest first.
func (d Decision) Outgoing() []string { return d.outgoing }

// Candidates returns the hosts without a vote that may get one, by name.
func (d Decision) Candidates() []string { return d.candidates }

// Decide decides which hosts are to vote. Hosts are added up to the number of voters. A silent voter stays unless another host waits for a
// vote; all that wait are candidates, since any of them may fail to catch up.
func Decide(v View) Decision {
	hosts := map[string]string{}
	for _, m := range v.Members.Members {
		if m.Voter {
			hosts[HostOf(m.ID)] = m.ID
		}
	}
	var silent, waiting []string
	for host := range hosts {
		switch {
		case v.isSilent(host):
			silent = append(silent, host)
		case host != v.Self && v.isHeard(host):
			hosts[host] = v.Hosts[host].ID
		}
	}
	slices.SortFunc(silent, func(a, b string) int {
		return cmp.Or(v.Hosts[a].SoundAt.Compare(v.Hosts[b].SoundAt), cmp.Compare(a, b))
	})
	for _, host := range slices.Sorted(maps.Keys(v.Hosts)) {
		if _, votes := hosts[host]; !votes && v.isHeard(host) {
			waiting = append(waiting, host)
		}
	}
	size := targetSize(len(hosts), v.Voters)
	d := Decision{}
	if surplus := len(hosts) - size; surplus > 0 {
		d.outgoing = surplusHosts(v.Self, hosts, silent, surplus)
	} else {
		d.outgoing = silent[:max(0, min(len(silent), len(waiting)+surplus))]
	}
	for _, host := range d.outgoing {
		delete(hosts, host)
	}
	if len(hosts) < size {
		d.candidates = waiting
	}
	for _, host := range d.candidates {
		hosts[host] = v.Hosts[host].ID
	}
	d.aim = NewAim(v.Term, v.Now, size, hosts)
	return d
}

// targetSize returns the number of voters that n voters should become. Where there are more than wanted, an even number bears no more losses
// than one fewer, and there is one more between the two changes that replace a voter.
func targetSize(n, wanted int) int {
	switch {
	case n <= wanted:
		return wanted
	case n > 3 && n%2 == 0:
		return n - 1
	}
	return n
}

// surplusHosts returns n voters that make way without a replacement: the silent ones first, then others, but not the leader.
func surplusHosts(self string, hosts map[string]string, silent []string, n int) []string {
	list := slices.Clone(silent)
	names := slices.Sorted(maps.Keys(hosts))
	for _, host := range slices.Backward(names) {
		if host != self && !slices.Contains(list, host) {
			list = append(list, host)
		}
	}
	return list[:min(n, len(list))]
}
