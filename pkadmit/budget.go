package pkadmit

import "sync"

// RetryBudget is a token bucket that limits retries to a share of a pool's requests, so that a
// fault which fails every request cannot double the load on the remaining targets.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
	// Share is the number of retries that each request adds.
	Share float64
	// Max is the capacity of the bucket. It must cover the requests in flight on one target, all
	// of which fail when it crashes.
	Max float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(share, capacity float64) *RetryBudget {
	return &RetryBudget{Share: share, Max: capacity, tokens: capacity}
}

// Earn adds the share of one request.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.Share, b.Max)
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
