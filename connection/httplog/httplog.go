// Package httplog keeps log lines of fasthttp out of the daemon's log.
package httplog

// Discard discards every line, since fasthttp quotes malformed requests and with them callers' API keys.
type Discard struct{}

// Printf discards a line.
func (Discard) Printf(string, ...any) {}
