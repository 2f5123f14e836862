// Package httplog keeps what the HTTP library logs away from the daemon's log.
package httplog

// Silent drops every line: the library quotes malformed requests, and with them callers' keys.
type Silent struct{}

// Printf drops a line.
func (Silent) Printf(string, ...any) {}
