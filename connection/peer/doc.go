// Package peer exchanges CBOR-encoded frames between daemons over WebSocket connections.
package peer
