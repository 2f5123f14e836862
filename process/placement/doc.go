// Package placement decides at which backend server a request is offered, or that it is refused. It answers
// load at its worst: many entry hosts share few slots without a common queue, each knows its own requests
// exactly and the others' as of the leader's last word. It is pure: events and time in, decisions out.
package placement
