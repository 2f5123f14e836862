package savorywing

// Kinds of backend servers.
const (
	// KindEngine is a model engine, a member of at most one group.
	KindEngine = "engine"
	// KindService is a plain service, which serves by itself.
	KindService = "service"
)

// Roles of a daemon.
const (
	// RoleEntry takes callers' requests.
	RoleEntry = "entry"
	// RoleControl is a voter of the replicated log.
	RoleControl = "control"
)
