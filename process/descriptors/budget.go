// Package descriptors divides the file descriptors of a control host among its kinds of connections, so that no kind takes
// those that another one needs.
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

// Budget bounds the connections of a control host.
type Budget struct {
	// MaxCalls bounds the connections of backend servers and operators; 0 for no bound.
	MaxCalls int
	// MaxOrders bounds the orders in flight, each of which has a connection.
	MaxOrders int
}

// ForControl returns the budget of a control host that may use n descriptors; 0 for no bound.
func ForControl(n int) Budget {
	if n <= 0 {
		return Budget{MaxOrders: defaultOrders}
	}
	rest := float64(max(0, n-reservedFiles))
	return Budget{
		MaxCalls:  max(minCalls, int(callsFraction*rest)),
		MaxOrders: min(defaultOrders, max(minOrders, int(ordersFraction*rest))),
	}
}
