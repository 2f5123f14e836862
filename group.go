package savorywing

// Phases of a group.
const (
	// PhaseLoading lasts until every member has loaded the model.
	PhaseLoading = "loading"
	// PhaseServing allows entry hosts to route to the group under a serving lease.
	PhaseServing = "serving"
	// PhaseReleasing lasts until every member is proven to hold no model.
	PhaseReleasing = "releasing"
)
