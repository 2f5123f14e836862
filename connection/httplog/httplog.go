// Package httplog keeps log lines of the HTTP library out of the daemon's log.
package httplog

// Discard is a logger that drops every line, since the library quotes malformed requests and with them callers' API keys.
type Discard struct{}

// Printf discards a line.
func (Discard) Printf(string, ...any) {}
