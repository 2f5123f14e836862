// Package placement chooses the backend server or group that a request is sent to, or rejects the request. It is
// designed for overload: many entry hosts share few slots without a common queue. Each host knows its own requests
// exactly and those of other hosts as of the leader's latest update. It does no I/O: events and the time are its
// input, decisions its output.
package placement
