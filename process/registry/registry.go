// Package registry holds the cluster state that one daemon has received: the configuration in force, the groups, and
// the backend servers' own announcements. It is safe for concurrent use.
package registry

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/announcement"
	"savorywing.example/savorywing/process/lease"
	"savorywing.example/savorywing/version/deadline"
	"savorywing.example/savorywing/version/settings"
	"savorywing.example/savorywing/wire"
)

const (
	// directoryRetention is how long a silent backend server stays in the directory.
	directoryRetention = 15 * time.Second
	// maxReadyWait is the time since start after which a daemon is ready even if a backend server has not answered a
	// poll.
	maxReadyWait = 10 * time.Second
)

// ErrStaleConfiguration is returned when a voter confirms an older configuration than the one in force.
var ErrStaleConfiguration = errors.New("the confirmed configuration is older than the one in force")

// Registry holds the state known to one daemon.
type Registry struct {
	clock      savorywing.Clock
	dataCentre string
	startedAt  time.Time

	mu        sync.RWMutex
	directory *announcement.Directory
	tracker   *lease.Tracker
	settings  *settings.Settings
	schedules map[string]*deadline.Schedule
	// configurationNumber never decreases.
	configurationNumber uint64
	// confirmedAt is when the request for the newest confirmation was sent.
	confirmedAt time.Time
	table       wire.Table
}

// New returns a registry that starts with the daemon's own settings as configuration 0.
func New(clock savorywing.Clock, s *settings.Settings) (*Registry, error) {
	r := &Registry{
		clock: clock, startedAt: clock.Now(), dataCentre: s.Hosts[s.Daemon.Host].DataCentre,
		directory: announcement.NewDirectory(directoryRetention), tracker: lease.NewTracker(s.Timing.Lease),
	}
	if err := r.applySettings(s); err != nil {
		return nil, fmt.Errorf("registry.New: %w", err)
	}
	return r, nil
}

// applySettings puts validated settings in force. The caller holds the lock or has the only reference to the registry.
func (r *Registry) applySettings(s *settings.Settings) error {
	schedules := map[string]*deadline.Schedule{}
	for name, class := range s.Classes {
		schedule, err := deadline.NewSchedule(class)
		if err != nil {
			return err
		}
		schedules[name] = schedule
	}
	r.settings, r.schedules = s, schedules
	r.tracker.SetDuration(s.Timing.Lease)
	return nil
}

// Observe records an announcement received from a backend server or from another daemon.
func (r *Registry) Observe(a wire.Announcement) announcement.Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directory.Observe(r.clock.Now(), a)
}

// LastSeen returns when the last announcement of a backend server was received, directly or from another daemon.
// It is zero for an unknown host.
func (r *Registry) LastSeen(host string) time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	_, seen, _ := r.directory.Get(host)
	return seen
}

// RecordPollResponse records a backend server's response to a poll that was sent at requestedAt.
func (r *Registry) RecordPollResponse(requestedAt time.Time, a wire.Announcement) announcement.Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.RecordAnnouncement(requestedAt, a)
	return r.directory.Observe(r.clock.Now(), a)
}

// RecordConnectionFailure ends the leases that depend on a host whose connection failed.
func (r *Registry) RecordConnectionFailure(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.RecordConnectionFailure(host)
}

// Expire removes silent backend servers and returns their names.
func (r *Registry) Expire() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directory.Expire(r.clock.Now())
}

// Announcements returns the newest announcement of every backend server.
func (r *Registry) Announcements() []wire.Announcement {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.directory.All()
}

// LatestPollResponse returns a host's newest response to a poll, and when the poll was sent.
func (r *Registry) LatestPollResponse(host string) (wire.Announcement, time.Time, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.tracker.Announcement(host)
}

// VersionNumbers returns the configuration and table numbers in force.
func (r *Registry) VersionNumbers() wire.Confirm {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return wire.Confirm{Configuration: r.configurationNumber, Table: r.table.Number}
}

// RecordConfirmation applies a voter's confirmation that was requested at requestedAt. It returns
// ErrStaleConfiguration if the confirmation is older than the configuration in force.
func (r *Registry) RecordConfirmation(requestedAt time.Time, c wire.Confirmed) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Number < r.configurationNumber {
		return fmt.Errorf("Registry.RecordConfirmation: %w: got %d, in force is %d", ErrStaleConfiguration, c.Number, r.configurationNumber)
	}
	if c.Number > r.configurationNumber {
		if c.Configuration == nil || c.Configuration.Number != c.Number {
			return fmt.Errorf("Registry.RecordConfirmation: the confirmation lacks the text of configuration %d", c.Number)
		}
		if err := r.acceptConfiguration(*c.Configuration); err != nil {
			return fmt.Errorf("Registry.RecordConfirmation: %w", err)
		}
	}
	if c.Table != nil && c.TableNumber >= r.table.Number {
		r.table = *c.Table
		r.tracker.SetTable(r.table)
	}
	if r.table.Number == c.TableNumber && requestedAt.After(r.confirmedAt) {
		r.confirmedAt = requestedAt
	}
	return nil
}

func (r *Registry) acceptConfiguration(c wire.Configuration) error {
	s, err := settings.Parse(fmt.Sprintf("configuration %d", c.Number), []byte(c.Text))
	if err != nil {
		return err
	}
	if err := r.applySettings(s); err != nil {
		return err
	}
	r.configurationNumber = c.Number
	return nil
}

// IsFresh reports whether the configuration was confirmed within the freshness bound.
func (r *Registry) IsFresh() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.isFreshLocked()
}

// isFreshLocked is IsFresh for a caller that holds mu.
func (r *Registry) isFreshLocked() bool {
	return !r.confirmedAt.IsZero() && r.clock.Now().Sub(r.confirmedAt) < r.settings.Timing.Freshness
}

// Ready reports whether a load balancer may send callers here: the configuration is fresh, and the daemon has run long
// enough to have discovered the backend servers. A daemon that has just started would reject requests that others serve.
func (r *Registry) Ready() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	uptime := r.clock.Now().Sub(r.startedAt)
	if !r.isFreshLocked() || uptime < r.settings.Timing.Lease {
		return false
	}
	return uptime >= maxReadyWait || r.polledAll()
}

// polledAll reports whether every listed backend server and every member of a serving group has answered a poll, and
// whether a group is in service if the configuration has models.
func (r *Registry) polledAll() bool {
	polled := true
	r.directory.Each(func(a wire.Announcement) {
		_, _, known := r.tracker.Announcement(a.Host)
		polled = polled && known
	})
	if !polled {
		return false
	}
	serves := len(r.settings.Models) == 0
	for _, g := range r.table.Groups {
		if g.Phase != savorywing.PhaseServing {
			continue
		}
		serves = true
		for _, m := range g.Members {
			if _, _, known := r.tracker.Announcement(m.Host); !known {
				return false
			}
		}
	}
	return serves
}

// Settings returns the settings in force; they must not be changed.
func (r *Registry) Settings() *settings.Settings {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.settings
}

// TimeoutsOf returns the timeouts of a class for a request that arrives at t, and whether the class exists.
func (r *Registry) TimeoutsOf(class string, t time.Time) (deadline.Timeouts, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s, known := r.schedules[class]
	if !known {
		return deadline.Timeouts{}, false
	}
	return s.At(t), true
}

// Table returns the groups in force.
func (r *Registry) Table() wire.Table {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.table
}
