package pkedge

import (
	"context"
	"slices"
	"time"

	"peridotknot.example/pkquarantine"
	"peridotknot.example/pktimer"
)

// crashPollInterval is how often a request that waits for the check of its interrupted sends looks for the result.
const crashPollInterval = 10 * time.Millisecond

// awaitCrashCheck waits, before another send of a request that has crashed replicas, while interrupted sends of it
// at this entry would make it quarantined if they were crashes as well: the next send could crash one replica more.
// It waits at most crashWindow, after which an interrupted send no longer counts, or resumeTimeout if the answer has
// started.
func (c *call) awaitCrashCheck(ctx context.Context) {
	limit := crashWindow
	if c.headSent {
		limit = min(limit, resumeTimeout)
	}
	for began, now := time.Now(), time.Now(); now.Sub(began) < limit && c.mayReachCrashLimit(now); now = time.Now() {
		if !pktimer.Sleep(ctx, crashPollInterval) {
			return
		}
	}
}

// mayReachCrashLimit reports whether the request is not quarantined at now, and would be if each interrupted send of
// it were a crash. Without a known crash, interrupted sends are more likely a fault of the links.
func (c *call) mayReachCrashLimit(now time.Time) bool {
	pending := c.quarantine.countInterrupted(c.traits.Request)
	if pending == 0 || c.checkQuarantine(now) != nil {
		return false
	}
	known := 0
	one, _ := c.quarantine.table.Case(now, c.traits.Request)
	for _, crash := range one.Crashes {
		if !crash.Cleared {
			known++
		}
	}
	return known > 0 && known+pending >= pkquarantine.CrashLimit
}

// countInterrupted returns the number of interrupted sends of a request whose targets may have crashed.
func (q *quarantine) countInterrupted(request pkquarantine.Digest) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, one := range slices.Concat(q.checked, q.interrupted) {
		if one.traits.Request == request {
			n++
		}
	}
	return n
}
