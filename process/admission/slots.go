package admission

import (
	"hash/fnv"
	"time"
)

// MaxLendingReportAge is the maximum age of a load report whose free slots may be borrowed.
const MaxLendingReportAge = time.Second

// borrowFactor is how many times its even share of the free slots an entry host may borrow: few hosts need to borrow at
// the same time.
const borrowFactor = 4

// lendingDivisor is the inverse of the fraction of a group's slots that must be free before any is lent.
const lendingDivisor = 4

// OwnSlots returns how many of a group's slots are assigned to one of n entry hosts. The hosts' slots add up to all
// slots; the remainder of the division goes to different hosts for each group. index is the host's index among the
// sorted names of the n hosts. rotation is a counter that is equal on all hosts. If there are fewer slots than hosts,
// the assignment rotates by one host whenever the counter increases by one, so that no host stays without a slot.
func OwnSlots(slots int, group string, index, n int, rotation int64) int {
	if n <= 1 {
		return slots
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(group))
	own := slots / n
	offset := int(h.Sum32() % uint32(n))
	if slots < n {
		offset += int(rotation % int64(n))
	}
	if (index+offset)%n < slots%n {
		own++
	}
	return own
}

// MaxInFlight returns how many requests one of n entry hosts may have in flight over all groups together: as many as its own
// slots, or its even share of all slots where the division left it less, and the slots that it may borrow. free is the number
// of free slots by the latest reports.
func MaxInFlight(own, all, free, n int) int {
	n = max(n, 1)
	borrowable := max(free, 0) * borrowFactor
	return max(own+borrowable/n, (all+borrowable)/n)
}

// LendableSlots returns how many slots of a group may be borrowed when busy of them are reported in use: the free ones,
// if they are more than the margin that keeps stale reports from overfilling the group's queue.
func LendableSlots(slots, busy int) int {
	free := slots - busy
	if free*lendingDivisor <= slots {
		return 0
	}
	return free
}
