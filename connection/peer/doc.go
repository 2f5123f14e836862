// Package peer carries frames between daemons over WebSocket, encoded as CBOR.
package peer
