package savorywing

// Phases of a group.
const (
	// PhaseLoading waits until every member holds the model.
	PhaseLoading = "loading"
	// PhaseServing lets entry hosts route to the group under a serving lease.
	PhaseServing = "serving"
	// PhaseReleasing waits until every member is proven to hold nothing.
	PhaseReleasing = "releasing"
)
