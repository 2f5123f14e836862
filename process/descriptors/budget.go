// Package descriptors divides the file descriptors of a host among its kinds of connections, so that no kind takes those that
// another one needs.
package descriptors

const (
	// reservedFiles is the number of descriptors for files and listeners, and those that the host sets aside for files.
	reservedFiles = 250
	// callsFraction and ordersFraction are the fractions of the others that callers of the control interface and orders may
	// take. What is left is for connections between daemons.
	callsFraction  = 0.6
	ordersFraction = 0.1
	// minCalls and minOrders hold however few descriptors there are.
	minCalls, minOrders = 16, 4
	// defaultOrders bounds orders where descriptors have no bound.
	defaultOrders = 256
)

const (
	// entryCallsFraction is the fraction for callers of an entry host. Each of them takes another one for the server, and some more
	// are being turned away, so all take callDescriptors times as many.
	entryCallsFraction = 0.3
	callDescriptors    = 2.25
	// The fractions of what callers leave: for requests of other hosts, idle connections to servers, connections of daemons that
	// haven't shown their token, those that read metrics, and readiness checks.
	forwardFraction, idleFraction, pendingFraction, scrapesFraction, checksFraction = 0.55, 0.2, 0.1, 0.05, 0.05
	// maxForwardFraction is the largest fraction of all for the requests of other hosts.
	maxForwardFraction = 0.25
	// controlPendingFraction and controlScrapesFraction are those of a control host, to which each entry host connects.
	controlPendingFraction, controlScrapesFraction = 0.1, 0.02
	// minForwards, minPending, minIdle, minScrapes and minChecks hold however few descriptors there are.
	minForwards, minPending, minIdle, minScrapes, minChecks = 4, 8, 8, 4, 4
	// defaultPending, maxScrapes and maxChecks bound them where descriptors have no bound.
	defaultPending, maxScrapes, maxChecks = 256, 64, 32
)

// Budget bounds the connections of a host.
type Budget struct {
	// MaxCalls bounds the connections of backend servers and operators, or those of an entry host's callers; 0 for no bound.
	MaxCalls int
	// MaxOrders bounds the orders in flight, each of which has a connection.
	MaxOrders int
	// Forwards are the connections for requests of other hosts, and MaxIdle bounds those to servers that are kept for later requests; 0
	// for no bound.
	Forwards, MaxIdle int
	// MaxPending bounds the connections of daemons that haven't shown their token, MaxScrapes those that read metrics, and MaxChecks
	// those of an entry host's readiness checks.
	MaxPending, MaxScrapes, MaxChecks int
}

// rest returns the descriptors for connections.
func rest(n int) float64 { return float64(max(0, n-reservedFiles)) }

// ForControl returns the budget of a control host that may use n descriptors; 0 for no bound.
func ForControl(n int) Budget {
	if n <= 0 {
		return Budget{MaxOrders: defaultOrders, MaxPending: defaultPending, MaxScrapes: maxScrapes}
	}
	rest := rest(n)
	return Budget{
		MaxCalls:   max(minCalls, int(callsFraction*rest)),
		MaxOrders:  min(defaultOrders, max(minOrders, int(ordersFraction*rest))),
		MaxPending: min(defaultPending, max(minPending, int(controlPendingFraction*rest))),
		MaxScrapes: min(maxScrapes, max(minScrapes, int(controlScrapesFraction*rest))),
	}
}

// ForEntry returns the budget of an entry host that may use n descriptors, 0 for no bound, and has memory for the connections of
// memoryCalls callers.
func ForEntry(n, memoryCalls int) Budget {
	if n <= 0 {
		return Budget{MaxCalls: memoryCalls, MaxPending: defaultPending, MaxScrapes: maxScrapes, MaxChecks: maxChecks}
	}
	rest := rest(n)
	calls := max(minCalls, int(entryCallsFraction*rest))
	if memoryCalls > 0 {
		calls = min(calls, memoryCalls)
	}
	left := max(0, rest-callDescriptors*float64(calls))
	return Budget{
		MaxCalls:   calls,
		Forwards:   max(minForwards, int(min(maxForwardFraction*float64(n), forwardFraction*left))),
		MaxIdle:    max(minIdle, int(idleFraction*left)),
		MaxPending: min(defaultPending, max(minPending, int(pendingFraction*left))),
		MaxScrapes: min(maxScrapes, max(minScrapes, int(scrapesFraction*left))),
		MaxChecks:  min(maxChecks, max(minChecks, int(checksFraction*left))),
	}
}
