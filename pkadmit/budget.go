package pkadmit

import "sync"

// Budget bounds retries to a share of the requests of a pool, so that a fault
// which fails every request cannot double the load on what is left.
type Budget struct {
	mu   sync.Mutex
	left float64
	// Share is how many retries each request allows.
	Share float64
	// Most bounds what can be saved up; it must cover the requests in
	// progress on one target, all of which fail together when it dies.
	Most float64
}

// NewBudget returns a full budget.
func NewBudget(share, most float64) *Budget { return &Budget{Share: share, Most: most, left: most} }

// Earn counts one request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+b.Share, b.Most)
}

// Spend takes one retry and says whether there was one left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
