// Package clone copies state, so that decisions can be tried without effect.
package clone

// Values returns a copy of a map with a shallow copy of each value.
func Values[K comparable, V any](m map[K]*V) map[K]*V {
	out := make(map[K]*V, len(m))
	for k, v := range m {
		copied := *v
		out[k] = &copied
	}
	return out
}
