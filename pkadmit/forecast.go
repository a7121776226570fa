package pkadmit

import (
	"sync"

	"peridotknot.example/pkid"
)

// Forecast learns how much of what requests ask for they use. Callers often
// ask for the most tokens there are and get few; taken at their word they would
// be refused for deadlines that they meet easily. The zero value expects a
// quarter.
type Forecast struct {
	mu    sync.Mutex
	share float64
	known bool
}

const (
	firstShare = 0.25
	learn      = 0.05
)

// Expect returns the tokens that a request which asks for asked will use.
func (f *Forecast) Expect(asked pkid.Tokens) pkid.Tokens {
	f.mu.Lock()
	defer f.mu.Unlock()
	share := f.share
	if !f.known {
		share = firstShare
	}
	return pkid.Tokens(share * float64(asked))
}

// Observe learns from a whole answer.
func (f *Forecast) Observe(asked, used pkid.Tokens) {
	if asked <= 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known {
		f.share = firstShare
		f.known = true
	}
	f.share += learn * (float64(used)/float64(asked) - f.share)
}
