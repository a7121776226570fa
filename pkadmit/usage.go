package pkadmit

import (
	"sync"

	"peridotknot.example/pkid"
)

// UsageEstimator estimates which share of their requested tokens requests use. Callers often set a high
// token limit and use little of it; admitted by the limit alone, requests would be refused for
// deadlines that they can meet. The zero value starts at a quarter.
type UsageEstimator struct {
	mu       sync.Mutex
	ratio    float64
	observed bool
}

const (
	initialRatio = 0.25
	smoothing    = 0.05
)

// Estimate estimates the tokens used by a request that asks for asked.
func (f *UsageEstimator) Estimate(asked pkid.Tokens) pkid.Tokens {
	f.mu.Lock()
	defer f.mu.Unlock()
	ratio := f.ratio
	if !f.observed {
		ratio = initialRatio
	}
	return pkid.Tokens(ratio * float64(asked))
}

// Observe updates the estimate from a complete answer.
func (f *UsageEstimator) Observe(asked, used pkid.Tokens) {
	if asked <= 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.observed {
		f.ratio = initialRatio
		f.observed = true
	}
	f.ratio += smoothing * (float64(used)/float64(asked) - f.ratio)
}
