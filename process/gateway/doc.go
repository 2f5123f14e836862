// Package gateway runs an entry host of a deployment whose hosts aren't listed in the settings: backend servers make
// themselves known by reports to the control hosts. The entry host receives their endpoints and the newest document
// from the leader, forwards each caller's request to a backend server and relays the response.
package gateway
