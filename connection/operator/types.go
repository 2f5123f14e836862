package operator

import (
	"context"

	"savorywing.example/savorywing/connection/peer"
	"savorywing.example/savorywing/process/metrics"
	"savorywing.example/savorywing/wire"
)

// Status is the state of one daemon, and of the system as far as the daemon knows it.
type Status struct {
	Host          string        `json:"host"`
	Roles         []string      `json:"roles"`
	UptimeSeconds float64       `json:"uptimeSeconds"`
	Configuration uint64        `json:"configuration"`
	IsFresh       bool          `json:"fresh"`
	InFlight      int           `json:"inFlight"`
	Leader        string        `json:"leader"`
	Voter         *VoterStatus  `json:"voter,omitempty"`
	Peers         []PeerStatus  `json:"peers"`
	Histograms    []metrics.Row `json:"histograms"`
	// RefusedResponses counts the responses of backend servers that were refused, by reason.
	RefusedResponses map[string]uint64 `json:"refusedResponses"`
	Alarms           []string          `json:"alarms"`
	Control          ControlTraffic    `json:"control"`
	Held             HeldStatus        `json:"held"`
}

// HeldStatus is what callers and operators make this daemon hold, and its bounds.
type HeldStatus struct {
	Bytes          int `json:"bytes"`
	MaxBytes       int `json:"maxBytes"`
	Connections    int `json:"connections"`
	MaxConnections int `json:"maxConnections"`
	// TurnedAway is the number of connections that were turned away since the start.
	TurnedAway int `json:"turnedAway"`
}

// ControlTraffic is the control traffic of this daemon since its start, in bytes.
type ControlTraffic struct {
	Peers         peer.TrafficSnapshot `json:"peers"`
	PollsSent     uint64               `json:"pollsSent"`
	PollsReceived uint64               `json:"pollsReceived"`
}

// VoterStatus is the state of the replicated log on a control host.
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

// PeerStatus is the state of the connection to another daemon.
type PeerStatus struct {
	Host      string `json:"host"`
	Connected bool   `json:"connected"`
}

// GroupStatus is the state of one group as known to a daemon.
type GroupStatus struct {
	wire.Group

	// HasLease reports whether this daemon may send requests to the group now.
	HasLease bool `json:"lease"`
}

// HostStatus is the state of one backend server as known to a daemon.
type HostStatus struct {
	wire.Announcement

	Group    string `json:"group"`
	Draining bool   `json:"draining"`
	// AgeSeconds is the age of its last polled announcement, in seconds; -1 if it never responded to a poll.
	AgeSeconds float64 `json:"ageSeconds"`
}

// ConfigurationStatus is the configuration in force.
type ConfigurationStatus struct {
	Number uint64 `json:"number"`
	Text   string `json:"text"`
}

// Operations are the queries and commands of the operator interface.
type Operations interface {
	Status() Status
	Groups() []GroupStatus
	Hosts() []HostStatus
	Configuration() (ConfigurationStatus, error)
	History() []wire.Configuration
	Apply(ctx context.Context, c wire.ChangeConfiguration) (wire.Result, error)
	Drain(ctx context.Context, d wire.DrainHost) (wire.Result, error)
}
