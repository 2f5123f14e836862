package quarantine

import "github.com/cespare/xxhash/v2"

// Digest identifies a request by its method, its path with the query, and its body, however the body was framed. It is the
// same on all hosts, and never 0.
func Digest(method, uri, body []byte) uint64 {
	d := xxhash.New()
	for _, b := range [][]byte{method, {0}, uri, {0}, body} {
		// Write never returns an error.
		_, _ = d.Write(b)
	}
	return max(1, d.Sum64())
}
