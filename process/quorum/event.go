package quorum

import (
	"savorywing.example/savorywing/process/membership"
	"savorywing.example/savorywing/wire"
)

// event is an item of the node's event queue.
type event interface{ isEvent() }

type (
	// stepEvent carries messages of other members.
	stepEvent struct{ messages []wire.RaftMessage }
	// proposeEvent carries one command. done receives exactly one result.
	proposeEvent struct {
		command wire.Command
		done    chan<- proposeResult
	}
	// confirmEvent requests the configuration if it is newer than the request's, and the table if its number differs.
	confirmEvent struct {
		request wire.Confirm
		done    chan<- confirmResult
	}
	// bootstrapEvent sets the first membership of a member with an empty disk.
	bootstrapEvent struct {
		membership wire.Membership
		done       chan<- error
	}
	// aimEvent carries the membership that a leader aims at.
	aimEvent struct{ aim membership.Aim }
	// transferEvent asks a leader to transfer its leadership.
	transferEvent struct{ done chan<- bool }
)

func (stepEvent) isEvent()      {}
func (proposeEvent) isEvent()   {}
func (confirmEvent) isEvent()   {}
func (bootstrapEvent) isEvent() {}
func (aimEvent) isEvent()       {}
func (transferEvent) isEvent()  {}

type proposeResult struct {
	result wire.Result
	err    error
}

type confirmResult struct {
	reply wire.Confirmed
	err   error
}
