// Package gateway runs an entry host of a fleet that lists no hosts. It receives endpoints and the newest document
// from the leader, forwards each caller's request to a backend server and relays the response.
package gateway
