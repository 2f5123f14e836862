package admission

import (
	"hash/fnv"
	"time"
)

// MaxLendingReportAge is the age up to which a load report may lend slots.
const MaxLendingReportAge = time.Second

// lendFactor is how many times its even part of the free slots an entry host may borrow: few hosts
// need to borrow at the same time.
const lendFactor = 4

// lendMargin is the inverse of the part of a group's slots that must be free before any is lent.
const lendMargin = 4

// OwnSlots returns how many of a group's slots belong to one of n entry hosts. The hosts' parts add up
// to all slots: what does not divide evenly goes to other hosts for each group. index is the host's
// place among the sorted names of the n hosts. Where there are fewer slots than hosts, they go round with
// turn, which all hosts count alike, so that no host is without a slot for good.
func OwnSlots(slots int, group string, index, n int, turn int64) int {
	if n <= 1 {
		return slots
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(group))
	own := slots / n
	offset := int(h.Sum32() % uint32(n))
	if slots < n {
		offset += int(turn % int64(n))
	}
	if (index+offset)%n < slots%n {
		own++
	}
	return own
}

// BorrowableSlots returns how many slots beyond its own one of n entry hosts may use over all groups together,
// when the last reports show free of them.
func BorrowableSlots(free, n int) int {
	return max(free, 0) * lendFactor / max(n, 1)
}

// LendableSlots returns how many slots of a group may be lent, when it is reported busy: those that are
// free, if they are more than the margin that keeps old reports from filling the group's queue.
func LendableSlots(slots, busy int) int {
	free := slots - busy
	if free*lendMargin <= slots {
		return 0
	}
	return free
}
