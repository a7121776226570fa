package pkedge

import (
	"context"
	"sync"
	"time"
)

// gate lets one loop at a time call a store that is lost; the zero value is open.
//
// Each entry follows three prefixes. While the store was lost, each of the three asked again
// on its own, and 78 entries made 4,700 failing calls, near half of all of their day. What one loop finds holds for all: they wait for the one that asks.
type gate struct {
	mu       sync.Mutex
	failures int
	// next is when the store may be asked again.
	next time.Time
	// opened is closed once the store answers; nil while it is not lost.
	opened chan struct{}
}

// enter waits until a loop may call the store.
func (g *gate) enter(ctx context.Context) {
	for ctx.Err() == nil {
		wait, opened := g.claim(time.Now())
		if wait <= 0 {
			return
		}
		inner, cancel := context.WithTimeout(ctx, wait)
		select {
		case <-inner.Done():
		case <-opened:
		}
		cancel()
	}
}

// claim returns how long a loop must wait at now; the first that need not wait asks for all.
func (g *gate) claim(now time.Time) (time.Duration, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		return 0, nil
	}
	if wait := g.next.Sub(now); wait > 0 {
		return wait, g.opened
	}
	g.next = now.Add(backOff(g.failures + 1))
	return 0, nil
}

// failed notes at now that the store did not answer and returns when it may be asked again.
func (g *gate) failed(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
	g.failures++
	g.next = now.Add(backOff(g.failures))
}

// answered lets all loops in.
func (g *gate) answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
	}
	g.failures, g.opened = 0, nil
}
