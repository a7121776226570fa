package pkadmit

import "sync"

// Budget is a token bucket that limits retries to a share of a pool's requests, so that a fault
// which fails every request cannot double the load on the remaining targets.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	// Share is the number of retries that each request adds.
	Share float64
	// Most is the capacity of the bucket. It must cover the requests in flight on one target, all
	// of which fail when it crashes.
	Most float64
}

// NewBudget returns a full budget.
func NewBudget(share, capacity float64) *Budget {
	return &Budget{Share: share, Most: capacity, tokens: capacity}
}

// Earn adds the share of one request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.Share, b.Most)
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
