package pktarget

import (
	"sync/atomic"
	"time"
)

const (
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 8 * time.Second
	// ejectDoublings bounds the shift in the back-off.
	ejectDoublings = 4
)

// health ejects a target after a failure, for a time that doubles with each
// failure in a row.
type health struct {
	fails atomic.Int32
	until atomic.Pointer[time.Time]
}

func (h *health) failed(now time.Time) {
	if h.ejected(now) {
		// Many streams fail together when a target dies. They are one
		// failure; counted singly they would eject it for the longest time
		// at once, though it may be back within a second.
		return
	}
	n := h.fails.Add(1)
	pause := ejectFirst << min(n-1, ejectDoublings)
	until := now.Add(min(pause, ejectMost))
	h.until.Store(&until)
}

func (h *health) succeeded() {
	if h.fails.Load() == 0 {
		return
	}
	h.fails.Store(0)
	h.until.Store(nil)
}

func (h *health) ejected(now time.Time) bool {
	until := h.until.Load()
	return until != nil && now.Before(*until)
}
