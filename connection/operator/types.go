package operator

import (
	"context"

	"savorywing.example/savorywing/connection/peer"
	"savorywing.example/savorywing/process/metrics"
	"savorywing.example/savorywing/wire"
)

// Status is one daemon's view of itself and the system.
type Status struct {
	Host          string         `json:"host"`
	Roles         []string       `json:"roles"`
	UptimeSeconds float64        `json:"uptimeSeconds"`
	Configuration uint64         `json:"configuration"`
	Fresh         bool           `json:"fresh"`
	InFlight      int            `json:"inFlight"`
	Leader        string         `json:"leader"`
	Voter         *VoterStatus   `json:"voter,omitempty"`
	Peers         []PeerStatus   `json:"peers"`
	Histograms    []metrics.Row  `json:"histograms"`
	Alarms        []string       `json:"alarms"`
	Control       ControlTraffic `json:"control"`
}

// ControlTraffic is what control has cost this daemon since its start, in bytes.
type ControlTraffic struct {
	Peers         peer.TrafficCount `json:"peers"`
	PollsSent     uint64            `json:"pollsSent"`
	PollsReceived uint64            `json:"pollsReceived"`
}

// VoterStatus is the state of a control host's part of the replicated log.
type VoterStatus struct {
	ID                  string   `json:"id"`
	Role                string   `json:"role"`
	Term                uint64   `json:"term"`
	Commit              uint64   `json:"commit"`
	LogLength           int      `json:"logLength"`
	Members             []string `json:"members"`
	Claims              int      `json:"claims"`
	Failed              string   `json:"failed,omitempty"`
	Syncs               uint64   `json:"syncs"`
	SyncMillis          float64  `json:"syncMilliseconds"`
	HasLease            bool     `json:"hasLease"`
	ConfigurationNumber uint64   `json:"configuration"`
}

// PeerStatus is the connection to another daemon.
type PeerStatus struct {
	Host      string `json:"host"`
	Connected bool   `json:"connected"`
}

// GroupStatus is one group as a daemon sees it.
type GroupStatus struct {
	wire.Group

	// HasLease tells whether this daemon may give it work now.
	HasLease bool `json:"lease"`
}

// HostStatus is one backend server as a daemon sees it.
type HostStatus struct {
	wire.Announcement

	Group    string `json:"group"`
	Draining bool   `json:"draining"`
	// AgeSeconds is the age of its last polled announcement; -1 if it never answered.
	AgeSeconds float64 `json:"ageSeconds"`
}

// ConfigurationStatus is the configuration in force.
type ConfigurationStatus struct {
	Number uint64 `json:"number"`
	Text   string `json:"text"`
}

// Operations is what operators may ask of a daemon.
type Operations interface {
	Status() Status
	Groups() []GroupStatus
	Hosts() []HostStatus
	Configuration() (ConfigurationStatus, error)
	History() []wire.Configuration
	Apply(ctx context.Context, c wire.ChangeConfiguration) (wire.Result, error)
	Drain(ctx context.Context, d wire.DrainHost) (wire.Result, error)
}
