package pkretry

import (
	"sync"
	"time"
)

// Limits are the configured limits on retries.
type Limits struct {
	// Ratio is the number of retries that each request in the window allows.
	Ratio float64
	// Slack is the number of additional retries per window for all entries together.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Entries is the number of entries that share the slack; 0 counts as 1.
	Entries int
}

const (
	// slots is the number of slots in a window.
	slots = 10
	// keptSlots includes the slot before the window, whose retries count as well. Without it the
	// window is up to one slot short, and two bursts almost a window apart could together exceed
	// the limit.
	keptSlots = slots + 1
	// utilization is the share of the limit that is used. The remainder covers entries that others
	// do not know yet, and requests and retries counted on different sides of a window boundary.
	utilization = 0.85
)

type slotCounts struct {
	number   int64
	requests float64
	retries  float64
}

// Budget counts the requests and retries of one service at one entry; the zero value is empty.
type Budget struct {
	mu sync.Mutex
	// began is when the first slot began; slots are counted on the monotonic clock.
	began time.Time
	slots [keptSlots]slotCounts
}

// RecordRequest counts a request to the service.
func (b *Budget) RecordRequest(now time.Time, t Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(now, t).requests++
}

// TryRetry counts a retry and reports whether the budget allows it.
func (b *Budget) TryRetry(now time.Time, t Limits) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(now, t, 1) {
		return false
	}
	b.slot(now, t).retries++
	return true
}

// HasRetries reports whether the budget allows the given number of retries at now, without counting
// them.
func (b *Budget) HasRetries(now time.Time, t Limits, retries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(now, t, retries)
}

func (b *Budget) allows(now time.Time, t Limits, n int) bool {
	current := b.slot(now, t)
	requests, retries := 0.0, 0.0
	for i := range b.slots {
		age := current.number - b.slots[i].number
		if age < slots {
			requests += b.slots[i].requests
		}
		if age < keptSlots {
			retries += b.slots[i].retries
		}
	}
	return retries+float64(n) <= utilization*(t.Ratio*requests+t.Slack/float64(max(t.Entries, 1)))
}

// slot returns the counts of the current slot.
func (b *Budget) slot(now time.Time, t Limits) *slotCounts {
	length := max(t.Window/slots, time.Millisecond)
	if b.began.IsZero() {
		b.began = now
	}
	// Slots are numbered from one, since a zero slot is unused.
	number := 1 + int64(max(now.Sub(b.began), 0)/length)
	s := &b.slots[number%keptSlots]
	if s.number != number {
		*s = slotCounts{number: number}
	}
	return s
}
