package pkbudget

import "slices"

// Wait is a wait for bytes that others are to release.
type Wait[O any] struct {
	hold    *Hold[O]
	bytes   Bytes
	ready   chan struct{}
	granted bool
}

// Ready returns a channel that is closed once the bytes are granted, or will not be.
func (w *Wait[O]) Ready() <-chan struct{} { return w.ready }

// End ends the wait and reports whether the bytes were granted: they are those of the hold then.
func (w *Wait[O]) End() (granted bool) {
	b := w.hold.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopWaiting(func(one *Wait[O]) bool { return one == w })
	b.grantWaiting()
	return w.granted
}

// stopWaiting ends waits without a grant; the caller holds mu.
func (b *Budget[O]) stopWaiting(ends func(*Wait[O]) bool) {
	b.waiting = slices.DeleteFunc(b.waiting, func(w *Wait[O]) bool {
		if !ends(w) {
			return false
		}
		close(w.ready)
		return true
	})
}

// grantWaiting grants bytes to those that have waited longest; the caller holds mu.
func (b *Budget[O]) grantWaiting() {
	for len(b.waiting) > 0 && b.fits(b.waiting[0].hold, b.waiting[0].bytes) {
		w := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.charge(w.hold, w.bytes)
		w.granted = true
		close(w.ready)
	}
}
