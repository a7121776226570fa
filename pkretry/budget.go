package pkretry

import (
	"sync"
	"time"
)

// Terms are the operators' bound on sends beyond the first of each request.
type Terms struct {
	// Ratio is how many such sends each request of the window allows.
	Ratio float64
	// Slack is how many more all entries together may make in a window.
	Slack float64
	// Window is the sliding span that counts.
	Window time.Duration
	// Entries is how many entries share the slack; 0 counts as 1.
	Entries int
}

const (
	// slots is how many parts a window is counted in.
	slots = 10
	// kept is how many parts are kept: repeats of the part before the window count as
	// well. Without it the window was nine to ten tenths of its length, and an entry that
	// spent its share twice, 9.5 s apart, was within it both times; over 69 entries that
	// made 899 repeats in ten seconds where 822 were allowed.
	kept = slots + 1
	// spend is the share of the bound that is used. The rest covers an entry that
	// others don't know yet, and counts of the same request on two sides of a
	// window's edge.
	spend = 0.85
)

type counts struct {
	at       int64
	requests float64
	repeats  float64
}

// Budget counts requests and repeats of one service at one entry; the zero value
// is empty.
type Budget struct {
	mu sync.Mutex
	// began is when the first part began; steps of the time of day move nothing.
	began time.Time
	slots [kept]counts
}

// Request counts a request that came for the service.
func (b *Budget) Request(now time.Time, t Terms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(now, t).requests++
}

// Repeat counts a send beyond the first of its request and says whether the
// bound allows it.
func (b *Budget) Repeat(now time.Time, t Terms) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(now, t, 1) {
		return false
	}
	b.slot(now, t).repeats++
	return true
}

// Spare says whether the bound allows so many repeats at now; it counts none.
func (b *Budget) Spare(now time.Time, t Terms, repeats int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(now, t, repeats)
}

func (b *Budget) allows(now time.Time, t Terms, more int) bool {
	at := b.slot(now, t)
	requests, repeats := 0.0, 0.0
	for i := range b.slots {
		age := at.at - b.slots[i].at
		if age < slots {
			requests += b.slots[i].requests
		}
		if age < kept {
			repeats += b.slots[i].repeats
		}
	}
	return repeats+float64(more) <= spend*(t.Ratio*requests+t.Slack/float64(max(t.Entries, 1)))
}

// slot returns the counts of the present part of the window.
func (b *Budget) slot(now time.Time, t Terms) *counts {
	part := max(t.Window/slots, time.Millisecond)
	if b.began.IsZero() {
		b.began = now
	}
	// From one on: the zero value of a part must not be taken for the present one.
	at := 1 + int64(max(now.Sub(b.began), 0)/part)
	s := &b.slots[at%kept]
	if s.at != at {
		*s = counts{at: at}
	}
	return s
}
