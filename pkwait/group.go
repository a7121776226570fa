package pkwait

import (
	"context"
	"sync"
)

// Group is a set of waiting calls that can be canceled together; the zero value is empty.
type Group struct {
	mu      sync.Mutex
	cancels map[*context.CancelCauseFunc]bool
}

// Begin returns a context for a call and a function to call when the call has ended.
func (g *Group) Begin(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cancels == nil {
		g.cancels = map[*context.CancelCauseFunc]bool{}
	}
	g.cancels[&cancel] = true
	return ctx, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.cancels, &cancel)
		cancel(nil)
	}
}

// CancelAll cancels all calls in progress; context.Cause of their contexts returns cause.
func (g *Group) CancelAll(cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for cancel := range g.cancels {
		(*cancel)(cause)
	}
}
