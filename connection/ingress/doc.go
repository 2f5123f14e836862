// Package ingress takes callers' connections. It reads requests with fasthttp's parsers, but on connections of
// its own: while a request is being answered the connection is watched, so that a caller that leaves is
// noticed at once, and answers are written as they come.
package ingress
