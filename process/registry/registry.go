// Package registry holds what one daemon knows: the configuration in force, the groups, and the
// backend servers' own announcements. It is safe for concurrent use.
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
	directoryKeep = 15 * time.Second
	// readyBound is when a daemon that still misses a backend server's answer is ready all the same.
	readyBound = 10 * time.Second
)

// ErrStaleConfiguration says that a voter confirmed an older configuration than the one in force.
var ErrStaleConfiguration = errors.New("the confirmed configuration is older than the one in force")

// Registry is the knowledge of one daemon.
type Registry struct {
	clock      savorywing.Clock
	dataCentre string
	startedAt  time.Time

	mu        sync.RWMutex
	directory *announcement.Directory
	tracker   *lease.Tracker
	settings  *settings.Settings
	schedules map[string]*deadline.Schedule
	// number only grows.
	number uint64
	// confirmedAt is read before the voter was asked.
	confirmedAt time.Time
	table       wire.Table
}

// New returns a registry that starts from a daemon's own settings as configuration 0.
func New(clock savorywing.Clock, s *settings.Settings) (*Registry, error) {
	r := &Registry{
		clock: clock, startedAt: clock.Now(), dataCentre: s.Hosts[s.Daemon.Host].DataCentre,
		directory: announcement.NewDirectory(directoryKeep), tracker: lease.NewTracker(s.Timing.Lease),
	}
	if err := r.use(s); err != nil {
		return nil, fmt.Errorf("registry.New: %w", err)
	}
	return r, nil
}

// use puts checked settings in force; the caller holds the lock or is alone.
func (r *Registry) use(s *settings.Settings) error {
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

// Observe takes an announcement from a backend server or from another entry host.
func (r *Registry) Observe(a wire.Announcement) announcement.Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directory.Observe(r.clock.Now(), a)
}

// LastSeen returns when a backend server was last heard of, by any way.
func (r *Registry) LastSeen(host string) time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	_, seen, _ := r.directory.Get(host)
	return seen
}

// RecordPollAnswer takes a backend server's answer to a poll sent at requestedAt.
func (r *Registry) RecordPollAnswer(requestedAt time.Time, a wire.Announcement) announcement.Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.RecordAnswer(requestedAt, a)
	return r.directory.Observe(r.clock.Now(), a)
}

// RecordConnectionFailure ends the leases that rest on a host whose connection failed.
func (r *Registry) RecordConnectionFailure(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.RecordConnectionFailure(host)
}

// Expire forgets silent backend servers.
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

// LatestPollAnswer returns a host's newest answer to a poll, and when it was requested.
func (r *Registry) LatestPollAnswer(host string) (wire.Announcement, time.Time, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.tracker.Announcement(host)
}

// VersionNumbers returns the configuration and table numbers in force.
func (r *Registry) VersionNumbers() wire.Confirm {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return wire.Confirm{Configuration: r.number, Table: r.table.Number}
}

// RecordConfirmation takes a voter's confirmation that was requested at requestedAt.
func (r *Registry) RecordConfirmation(requestedAt time.Time, c wire.Confirmed) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Number < r.number {
		return fmt.Errorf("Registry.RecordConfirmation: %w: %d, in force is %d", ErrStaleConfiguration, c.Number, r.number)
	}
	if c.Number > r.number {
		if c.Configuration == nil || c.Configuration.Number != c.Number {
			return fmt.Errorf("Registry.RecordConfirmation: configuration %d was not sent", c.Number)
		}
		if err := r.accept(*c.Configuration); err != nil {
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

func (r *Registry) accept(c wire.Configuration) error {
	s, err := settings.Parse(fmt.Sprintf("configuration %d", c.Number), []byte(c.Text))
	if err != nil {
		return err
	}
	if err := r.use(s); err != nil {
		return err
	}
	r.number = c.Number
	return nil
}

// IsFresh tells whether the configuration was confirmed within the freshness bound.
func (r *Registry) IsFresh() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.fresh()
}

func (r *Registry) fresh() bool {
	return !r.confirmedAt.IsZero() && r.clock.Now().Sub(r.confirmedAt) < r.settings.Timing.Freshness
}

// Ready tells whether callers may be sent here: the configuration is fresh, and the daemon has been up
// for long enough to know the backend servers. One that has just started would refuse what others serve.
func (r *Registry) Ready() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	up := r.clock.Now().Sub(r.startedAt)
	if !r.fresh() || up < r.settings.Timing.Lease {
		return false
	}
	return up >= readyBound || r.polledAll()
}

// polledAll tells whether a group serves, where there are models, and every listed backend server and every
// member of a serving group has answered a poll.
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

// Patience returns the patience of a class for a request that arrives at t.
func (r *Registry) Patience(class string, t time.Time) (deadline.Timeouts, bool) {
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
