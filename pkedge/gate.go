package pkedge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// retryFirst and retryMost bound the pause after a failed call to the store. It grows by
	// retryGrowth and is drawn at random, so that daemons which lost the store together
	// don't come back together. It soon is long, since a renewal of the lease that succeeds
	// ends it: renewals go on, at a tenth of the price of other calls. One short pause is for a
	// connection that was cut, one of a second for a store that turned a call away.
	retryFirst  = 50 * time.Millisecond
	retryMost   = 10 * time.Second
	retryGrowth = 20
)

// gate lets one loop at a time call a store that is lost; the zero value is open.
//
// Each entry follows three prefixes. Failing calls cost as much as others, and what one loop
// finds holds for all: they wait for the one that asks.
type gate struct {
	mu sync.Mutex
	// failures counts the calls since the store was lost that failed.
	failures int
	// asking says that a loop was let in and has not come back.
	asking bool
	// next is when the store may be asked again.
	next time.Time
	// opened is closed once the store answers; nil while it is not lost.
	opened chan struct{}
	// reached is closed where the store may be asked before next.
	reached chan struct{}
}

// enter waits until a loop may call the store.
func (g *gate) enter(ctx context.Context) {
	for ctx.Err() == nil {
		wait, opened, reached := g.claim(time.Now())
		if wait <= 0 {
			return
		}
		inner, cancel := context.WithTimeout(ctx, wait)
		select {
		case <-inner.Done():
		case <-opened:
		case <-reached:
		}
		cancel()
	}
}

// claim returns how long a loop must wait at now; the first that need not wait asks for all.
func (g *gate) claim(now time.Time) (wait time.Duration, opened, reached <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		return 0, nil, nil
	}
	if wait := g.next.Sub(now); wait > 0 {
		return wait, g.opened, g.reached
	}
	g.asking = true
	g.next = now.Add(backOff(g.failures + 1))
	return 0, nil, nil
}

// failed notes at now that a call to the store failed. Calls that fail with the one by which the store
// was lost, before any loop was let in again, are the same loss.
func (g *gate) failed(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.opened == nil:
		g.opened, g.reached = make(chan struct{}), make(chan struct{})
	case g.asking:
		g.failures++
	default:
		return
	}
	g.asking = false
	g.next = now.Add(backOff(g.failures))
}

// renewed notes at now that the store renewed the lease: one loop may ask for more.
func (g *gate) renewed(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		return
	}
	g.next = now
	close(g.reached)
	g.reached = make(chan struct{})
}

// lost says whether the store is lost.
func (g *gate) lost() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened != nil
}

// answered lets all loops in.
func (g *gate) answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
	}
	g.failures, g.asking, g.opened = 0, false, nil
}

// backOff returns the pause after so many failures in a row.
func backOff(failures int) time.Duration {
	pause := retryFirst
	for range failures {
		pause = min(retryGrowth*pause, retryMost)
	}
	return pause/2 + rand.N(pause/2)
}
