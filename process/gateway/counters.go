package gateway

import "expvar"

// counters are published on the metrics address.
type counters struct {
	reasons expvar.Map
	results expvar.Map
}

func (c *counters) refused(reason string) { c.reasons.Add(reason, 1) }

func (c *counters) result(name string) { c.results.Add(name, 1) }
