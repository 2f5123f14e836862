// Package ingress accepts callers' connections and serves their requests. It reads requests with fasthttp's
// parsers but manages the connections itself. While a request is being served the connection is watched, so that a
// caller's disconnect is noticed at once. Responses are written as they arrive.
package ingress
