package quorum

import "savorywing.example/savorywing/wire"

// event is what the node's thread takes from its queue.
type event interface{ isEvent() }

type (
	// stepEvent brings messages of other members.
	stepEvent struct{ messages []wire.RaftMessage }
	// proposeEvent brings one command; done gets one answer.
	proposeEvent struct {
		command wire.Command
		done    chan<- proposed
	}
	// confirmEvent asks for what is newer than the stated numbers.
	confirmEvent struct {
		ask  wire.Confirm
		done chan<- confirmed
	}
	// formEvent sets the first membership of an empty member.
	formEvent struct {
		membership wire.Membership
		done       chan<- error
	}
	// membersEvent tells which incarnation each control host has now.
	membersEvent struct{ present map[string]string }
	// handOverEvent asks a leader to give up its place.
	handOverEvent struct{ done chan<- bool }
)

func (stepEvent) isEvent()     {}
func (proposeEvent) isEvent()  {}
func (confirmEvent) isEvent()  {}
func (formEvent) isEvent()     {}
func (membersEvent) isEvent()  {}
func (handOverEvent) isEvent() {}

type proposed struct {
	result wire.Result
	err    error
}

type confirmed struct {
	reply wire.Confirmed
	err   error
}
