package wire

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

// ErrInvalid reports a value from another process that is missing, out of range or not of the expected form.
var ErrInvalid = errors.New("the value is missing or invalid")

// Bounds of what other processes may state.
const (
	maxNameBytes = 256
	maxStaged    = 256
	maxPrefixes  = 1 << 16
	// maxAccelerators is the maximum number of accelerators of a host.
	maxAccelerators = 1 << 16
	// maxBoot is a boot ID, a time in nanoseconds, of the year 2262.
	maxBoot = 1<<63 - 1
	// MaxGroupHosts is the maximum number of hosts in a group.
	MaxGroupHosts = 1024
	// maxSlots is the maximum number of requests that a server runs at once.
	maxSlots = 1 << 20
	// maxSequence leaves room for sequence numbers that are times in nanoseconds.
	maxSequence = 1 << 62
	// maxUnixMs is in the year 2109.
	maxUnixMs = 1 << 42
	// maxColdMs is one day.
	maxColdMs = 24 * 60 * 60 * 1000
)

// groupStates lists the states of a group membership.
var groupStates = map[string]bool{"joining": true, "ready": true, "open": true, "closing": true, "broken": true}

// checkID checks an ID, which others log, compare and send in headers.
func checkID(s string) error {
	if strings.ContainsRune(s, ' ') {
		return fmt.Errorf("id: %w", ErrInvalid)
	}
	return checkName("id", s)
}

// checkName checks a name.
func checkName(field, s string) error {
	if s == "" {
		return fmt.Errorf("%s: %w", field, ErrInvalid)
	}
	return checkText(field, s)
}

// checkText is checkName for text that may be empty.
func checkText(field, s string) error {
	if len(s) > maxNameBytes || !isPrintable(s) {
		return fmt.Errorf("%s: %w", field, ErrInvalid)
	}
	return nil
}

func isPrintable(s string) bool {
	for i := range len(s) {
		switch c := s[i]; {
		case c >= utf8.RuneSelf:
			isUnprintable := func(r rune) bool { return !unicode.IsPrint(r) }
			return utf8.ValidString(s[i:]) && !strings.ContainsFunc(s[i:], isUnprintable)
		case c < ' ' || c == 0x7f:
			return false
		}
	}
	return true
}

// CheckAddress checks that an address consists of the IP address of one host and a port.
func CheckAddress(s string) error {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Errorf("address: %w: %w", ErrInvalid, err)
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return fmt.Errorf("address: %w", ErrInvalid)
	}
	return nil
}

func checkRange[T int | int64 | uint64](field string, v, low, high T) error {
	if v < low || v > high {
		return fmt.Errorf("%s: %w", field, ErrInvalid)
	}
	return nil
}

// IsWithdrawal reports whether a report says nothing but that its server has deregistered.
func (r *Report) IsWithdrawal() bool { return r.Gone && r.Service == "" }

// Validate checks a report, of which a withdrawal needs only the ID. The error wraps ErrInvalid.
func (r *Report) Validate() error {
	if r.IsWithdrawal() {
		return firstError("Report.Validate", checkID(r.ID), checkRange("sequence", r.Sequence, 0, maxSequence), checkRange("start time", r.Born, 0, maxUnixMs))
	}
	var group error
	if r.Group != nil {
		group = r.Group.Validate()
	}
	return firstError("Report.Validate", checkID(r.ID), checkName("service", r.Service), CheckAddress(r.Address),
		checkText("data centre", r.DataCentre), checkText("release", r.Release), r.checkDomain(),
		checkRange("sequence", r.Sequence, 0, maxSequence), checkRange("reinstated", r.Reinstated, 0, maxSequence), checkRange("start time", r.Born, 0, maxUnixMs),
		checkRange("slots", r.Slots, 0, maxSlots), checkRange("cold time", r.ColdMs, 0, maxColdMs), r.checkStaged(), group)
}

// Validate checks an order to evacuate a data centre. The error wraps ErrInvalid.
func (e *Evacuate) Validate() error {
	return firstError("Evacuate.Validate", checkName("data centre", e.DataCentre))
}

// checkDomain checks the domain, without which a server is no engine and has no group.
func (r *Report) checkDomain() error {
	if r.Engine {
		return checkName("domain", r.Domain)
	}
	if r.Domain != "" || r.Group != nil {
		return fmt.Errorf("domain: %w", ErrInvalid)
	}
	return nil
}

func (r *Report) checkStaged() error {
	if err := checkRange("number of staged models", len(r.Staged), 0, maxStaged); err != nil {
		return err
	}
	for i, model := range r.Staged {
		if err := checkName("staged model", model); err != nil {
			return err
		}
		if slices.Contains(r.Staged[:i], model) {
			return fmt.Errorf("staged model %q occurs twice: %w", model, ErrInvalid)
		}
	}
	return nil
}

// Validate checks a membership. The error wraps ErrInvalid.
func (p *GroupPlace) Validate() error {
	var state error
	if !groupStates[p.State] {
		state = fmt.Errorf("state %.20q: %w", p.State, ErrInvalid)
	}
	return firstError("GroupPlace.Validate", checkName("name", p.Name), checkRange("rank", p.Rank, 0, MaxGroupHosts-1), state)
}

// firstError returns the first of several errors, with a prefix.
func firstError(where string, errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return fmt.Errorf("%s: %w", where, err)
		}
	}
	return nil
}

// Validate checks an announcement. The error wraps ErrInvalid.
func (a *Announcement) Validate() error {
	var kind, holding, load error
	switch a.Kind {
	case "engine":
	case "service":
		kind = checkName("service", a.Service)
	default:
		kind = fmt.Errorf("kind %.20q: %w", a.Kind, ErrInvalid)
	}
	if a.Holding != nil {
		holding = a.Holding.Validate()
	}
	if a.Load != nil {
		load = a.Load.Validate()
	}
	return firstError("Announcement.Validate", checkName("host", a.Host), CheckAddress(a.Address), kind,
		checkText("service", a.Service), checkText("data centre", a.DataCentre), checkText("fabric domain", a.FabricDomain),
		checkRange("boot", a.Boot, 0, maxBoot), checkRange("sequence", a.Sequence, 0, maxSequence),
		checkRange("accelerators", a.Accelerators, 0, maxAccelerators), checkRange("prefixes", len(a.Prefixes), 0, maxPrefixes), holding, load)
}

// Validate checks an assignment. The error wraps ErrInvalid.
func (h *Holding) Validate() error {
	return firstError("Holding.Validate", checkName("group", h.Group), checkText("model", h.Model), checkText("version", h.Version))
}

// Validate checks a load. The error wraps ErrInvalid.
func (l *Load) Validate() error {
	return firstError("Load.Validate", checkRange("slots", l.Slots, 0, maxSlots), checkRange("running", l.Running, 0, maxSlots),
		checkRange("waiting", l.Waiting, 0, maxSlots))
}
