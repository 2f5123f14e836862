package admission

// HostLimit returns how many requests one of n entry hosts may have in flight at a group with slots,
// when the last report shows busy requests from all hosts there. Each host has its even part, and
// what is reported free is lent out on top, so that a host with more than its part of the callers
// can use what the others leave.
func HostLimit(slots, busy, n int) int {
	n = max(n, 1)
	part := (slots + n - 1) / n
	free := max(slots-busy, 0)
	return part + free/2
}
