// Package forward hands over callers' requests from one entry host to another, on WebSocket connections that carry one
// request at a time. A request is sent only after the other host has accepted an offer for it, so that one which was never
// accepted is known not to have run.
package forward
