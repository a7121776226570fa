package pkadmit

import (
	"sync"

	"peridotknot.example/pkrate"
)

// RetryBudget is a token bucket that limits retries to a share of a pool's requests, so that a
// fault which fails every request cannot double the load on the remaining targets.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
	// ratio is the number of retries that each request adds.
	ratio float64
	// burst is the capacity of the buckets of all entries together. It must cover the requests in
	// flight on one target, all of which fail when it crashes.
	burst float64
	share pkrate.Share
}

// NewRetryBudget returns an empty budget of one entry, since what an earlier process of the entry has
// spent is not known. Each request adds ratio retries, up to the entry's part of the burst that all
// entries share.
func NewRetryBudget(ratio, burst float64, s pkrate.Share) *RetryBudget {
	return &RetryBudget{ratio: ratio, burst: burst, share: s}
}

// SetShare changes this entry's part in the burst.
func (b *RetryBudget) SetShare(s pkrate.Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = s
	b.tokens = min(b.tokens, b.capacity())
}

// capacity returns how many retries the entry may save up. One retry may always be earned.
func (b *RetryBudget) capacity() float64 { return max(b.share.Of(b.burst), 1) }

// Earn adds what one request earns.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.capacity())
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
