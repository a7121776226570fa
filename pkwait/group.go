package pkwait

import (
	"context"
	"sync"
)

// Group is calls that wait and can be ended together; the zero value has none.
type Group struct {
	mu  sync.Mutex
	all map[*context.CancelCauseFunc]bool
}

// Begin returns a context for a call, and what to call once the call has ended.
func (g *Group) Begin(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.all == nil {
		g.all = map[*context.CancelCauseFunc]bool{}
	}
	g.all[&cancel] = true
	return ctx, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.all, &cancel)
		cancel(nil)
	}
}

// End ends all calls that have begun and not ended; context.Cause of their contexts is why.
func (g *Group) End(why error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for cancel := range g.all {
		(*cancel)(why)
	}
}
