package savorywing

// Kinds of backend servers.
const (
	// KindEngine is a model engine, a member of at most one group.
	KindEngine = "engine"
	// KindService is a plain service, whose servers serve without forming a group.
	KindService = "service"
)

// Roles of a daemon.
const (
	// RoleEntry serves callers' requests.
	RoleEntry = "entry"
	// RoleControl is a voter of the replicated log.
	RoleControl = "control"
)
