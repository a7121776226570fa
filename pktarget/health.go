package pktarget

import (
	"sync/atomic"
	"time"
)

const (
	ejectBase = 500 * time.Millisecond
	ejectMax  = 8 * time.Second
	// maxEjectDoublings bounds the shift in the backoff.
	maxEjectDoublings = 4
)

// health ejects a target after a failure, for a period that doubles with each consecutive
// failure up to ejectMax.
type health struct {
	failures     atomic.Int32
	ejectedUntil atomic.Pointer[time.Time]
}

func (h *health) recordFailure(now time.Time) {
	if h.ejected(now) {
		// All streams of a target fail together when it dies. Counted separately they would
		// eject it for ejectMax at once, although it may be back within a second.
		return
	}
	n := h.failures.Add(1)
	period := ejectBase << min(n-1, maxEjectDoublings)
	until := now.Add(min(period, ejectMax))
	h.ejectedUntil.Store(&until)
}

func (h *health) recordSuccess() {
	if h.failures.Load() == 0 {
		return
	}
	h.failures.Store(0)
	h.ejectedUntil.Store(nil)
}

func (h *health) ejected(now time.Time) bool {
	until := h.ejectedUntil.Load()
	return until != nil && now.Before(*until)
}
