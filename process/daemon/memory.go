package daemon

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"
)

const (
	// collectorFraction is the part of a process's memory that its operator states as the limit of Go's collector (GOMEMLIMIT).
	collectorFraction = 0.6
	// unknownMemory is assumed where the host doesn't state its memory, in bytes.
	unknownMemory = 1 << 30
)

// hostDescriptors returns the number of file descriptors that the process may use; 0 for an unknown one.
func hostDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// hostMemory returns the memory that the process may use, in bytes: that for which GOMEMLIMIT is set, or else the host's.
func hostMemory() int {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return int(float64(limit) / collectorFraction)
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return unknownMemory
	}
	return int(info.Totalram) * int(info.Unit)
}
