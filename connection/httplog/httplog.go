// Package httplog keeps log lines of fasthttp out of the daemon's log.
package httplog

// Silent discards every line, since fasthttp quotes malformed requests and with them callers' API keys.
type Silent struct{}

// Printf discards a line.
func (Silent) Printf(string, ...any) {}
