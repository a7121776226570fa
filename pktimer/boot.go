package pktimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns the time since boot as a time.Time without a monotonic reading.
//
// CLOCK_MONOTONIC does not advance while the VM is suspended, and the wall clock can
// be set back: the owner of a lease that used either could act after the lease has
// expired. CLOCK_BOOTTIME is affected by neither.
func BootClock() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// All supported kernels have this clock; leases are unsafe without it.
		panic(err)
	}
	return time.Unix(ts.Sec, ts.Nsec).UTC()
}
