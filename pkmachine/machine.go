package pkmachine

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"peridotknot.example/pkbudget"
)

const (
	// goShare is the fraction of the machine's memory that is set as Go's soft memory limit. The rest is for memory
	// outside of the Go runtime, such as socket buffers.
	goShare    = 0.6
	bytesPerMB = 1 << 20
)

// LimitMemory sets Go's soft memory limit to its part of the machine's memory in megabytes, and returns it. If that is
// zero, the limit of the environment stays, or else the memory of the whole machine counts.
func LimitMemory(megabytes int) (pkbudget.Bytes, error) {
	if megabytes > 0 {
		limit := int64(goShare * float64(megabytes) * bytesPerMB)
		debug.SetMemoryLimit(limit)
		return pkbudget.Bytes(limit), nil
	}
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return pkbudget.Bytes(limit), nil
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0, err
	}
	return pkbudget.Bytes(goShare * float64(info.Totalram*uint64(info.Unit))), nil
}

// Descriptors returns how many descriptors the process may have: the limit of the system, or a lower one if it is over
// zero.
func Descriptors(limit int) (int, error) {
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err != nil {
		return limit, err
	}
	if own := int(min(system.Cur, math.MaxInt32)); limit == 0 || own < limit {
		return own, nil
	}
	return limit, nil
}
