// Package gateway runs an entry host of a fleet that lists no hosts: it follows the leader's word on endpoints
// and the newest document, and takes each caller's request to a backend server and its answer back.
package gateway
