package pkedge

import (
	"context"
	"errors"
	"sync"
)

var (
	// errSilence ends watches while the store answers nothing at all.
	errSilence = errors.New("the store is silent")
	// errReconnected ends watches that began before calls got no answer, once new connections are
	// answered again: connections that fall silent are not closed, and a watch on one of them looks
	// like one that has nothing to tell.
	errReconnected = errors.New("the store answers over new connections")
)

// waits are the watches under way, which other answers of the store may show to be pointless; the
// zero value has none.
type waits struct {
	mu  sync.Mutex
	all map[*context.CancelCauseFunc]bool
}

// begin returns a context for a watch, and what to call once the watch has ended.
func (w *waits) begin(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.all == nil {
		w.all = map[*context.CancelCauseFunc]bool{}
	}
	w.all[&cancel] = true
	return ctx, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.all, &cancel)
		cancel(nil)
	}
}

// end ends all watches that are under way, for a reason.
func (w *waits) end(why error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for cancel := range w.all {
		(*cancel)(why)
	}
}
