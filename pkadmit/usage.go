package pkadmit

import (
	"sync"

	"peridotknot.example/pkid"
)

// UsageEstimator estimates the tokens that a request will use from its token limit. Callers often
// set a high limit and use little of it; admission by the limit alone would refuse requests that
// can meet their deadlines. Until the first observation the ratio is a quarter.
type UsageEstimator struct {
	mu       sync.Mutex
	ratio    float64
	observed bool
}

const (
	initialRatio = 0.25
	smoothing    = 0.05
)

// Estimate returns the expected token usage of a request with the given token limit.
func (e *UsageEstimator) Estimate(limit pkid.Tokens) pkid.Tokens {
	e.mu.Lock()
	defer e.mu.Unlock()
	ratio := e.ratio
	if !e.observed {
		ratio = initialRatio
	}
	return pkid.Tokens(ratio * float64(limit))
}

// Observe updates the estimate from a request that ran to its end.
func (e *UsageEstimator) Observe(limit, used pkid.Tokens) {
	if limit <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.observed {
		e.ratio = initialRatio
		e.observed = true
	}
	e.ratio += smoothing * (float64(used)/float64(limit) - e.ratio)
}
