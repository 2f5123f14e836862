package quorum

import (
	"encoding/json"
	"fmt"
	"sort"

	"savorywing.example/savorywing/wire"
)

// Kinds of messages between members.
const (
	kindPreVote uint64 = iota + 1
	kindPreVoteReply
	kindVote
	kindVoteReply
	kindAppend
	kindAppendReply
	kindSnapshot
	kindElectNow // TimeoutNow in Raft
)

// Kinds of log entries.
const (
	EntryEmpty uint64 = iota
	EntryCommand
	EntryMembership
)

func encodeMembership(m wire.Membership) []byte {
	b, err := json.Marshal(m)
	if err != nil {
		return nil
	}
	return b
}

func decodeMembership(b []byte) (wire.Membership, error) {
	var m wire.Membership
	if err := json.Unmarshal(b, &m); err != nil {
		return m, fmt.Errorf("quorum.decodeMembership: %w", err)
	}
	return m, nil
}

// voters returns the ids of all voters in ascending order.
func voters(m wire.Membership) []string {
	var ids []string
	for _, member := range m.Members {
		if member.Voter {
			ids = append(ids, member.ID)
		}
	}
	sort.Strings(ids)
	return ids
}

// withMember returns a copy of the membership with one member added or replaced.
func withMember(m wire.Membership, member wire.Member) wire.Membership {
	c := withoutMember(m, member.ID)
	c.Members = append(c.Members, member)
	return c
}

// withoutMember returns a copy of the membership without one member.
func withoutMember(m wire.Membership, id string) wire.Membership {
	c := wire.Membership{}
	for _, member := range m.Members {
		if member.ID != id {
			c.Members = append(c.Members, member)
		}
	}
	return c
}
