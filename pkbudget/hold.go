package pkbudget

import "time"

// stage is what a hold is doing.
type stage uint8

const (
	// waiting is a connection without a request.
	waiting stage = iota
	// opening is a request whose header has not arrived whole, arriving one whose body has not.
	opening
	arriving
	// kept is a request that has arrived whole, until its answer is sent.
	kept
	// refused is a connection whose request was refused, until its client has read that.
	refused
)

// Hold is what one owner holds. Its methods may be called at the same time as those of others, and return at once.
type Hold[O any] struct {
	budget *Budget[O]
	owner  O
	index  int
	// connection is set if the hold is that of a connection, and served once that has had a request.
	connection, served bool
	stage              stage
	account            string
	bytes              Bytes
	// sequence orders requests by when they began, movedAt is when the hold last received something.
	sequence uint64
	movedAt  time.Time
	// evicted is set once the owner must release what the request holds, closing once it must close the connection.
	evicted, closing bool
	closed           bool
	// admitted is set while the request may have a connection to its target.
	admitted bool
}

// Grant is the decision on more bytes. The zero value refuses them.
type Grant[O any] struct {
	Granted bool
	// Evicted are the owners that must release what they hold.
	Evicted []O
	// Wait is the wait until they have; nil if the decision stands already. Its End must be called.
	Wait *Wait[O]
}

// Begin records that the first bytes of a request have arrived at now.
func (h *Hold[O]) Begin(now time.Time) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.begin(now)
}

// begin is Begin for a caller that holds mu.
func (h *Hold[O]) begin(now time.Time) {
	h.budget.sequence++
	h.stage, h.sequence, h.movedAt = opening, h.budget.sequence, now
}

// Arrive records that the header of the request has arrived whole.
func (h *Hold[O]) Arrive() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.stage, h.served = arriving, true
}

// arriving reports whether the request has not arrived whole.
func (h *Hold[O]) arriving() bool { return h.stage == opening || h.stage == arriving }

// Admit decides at now whether the request may have a connection to its target. The owners that it returns must close
// their connections.
func (h *Hold[O]) Admit(now time.Time) (evicted []O, admitted bool) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.evicted || h.closed {
		return nil, false
	}
	h.movedAt = now
	if h.admitted {
		return nil, true
	}
	if b.outOfDescriptors() {
		victim := b.closeConnection(now, h)
		if victim == nil {
			b.recordShort(now, &b.counts.RefusedRequests)
			return nil, false
		}
		evicted = []O{victim.owner}
	}
	h.admitted = true
	b.admitted++
	return evicted, true
}

// dismiss ends the admission of the request; the caller holds mu.
func (h *Hold[O]) dismiss() {
	if h.admitted {
		h.admitted = false
		h.budget.admitted--
	}
}

// SetAccount sets the client account of the request.
func (h *Hold[O]) SetAccount(account string) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	n := h.bytes
	b.charge(h, -n)
	h.account = account
	b.charge(h, n)
}

// Move records that the request has received something at now, and reports whether it may go on.
func (h *Hold[O]) Move(now time.Time) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.movedAt = now
	return !h.evicted
}

// Grow decides at now whether the hold gets n more bytes. It is refused where that would need bytes of requests that have
// arrived whole, or of those that come first.
func (h *Hold[O]) Grow(now time.Time, n Bytes) Grant[O] {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.evicted || h.closed {
		return Grant[O]{}
	}
	h.movedAt = now
	missing, largeOnly := b.shortBy(h, n)
	if missing == 0 && len(b.waiting) == 0 && b.fits(h, n) {
		b.charge(h, n)
		return Grant[O]{Granted: true}
	}
	var out Grant[O]
	if missing > 0 {
		victims := b.chooseRequests(now, h, n, missing, largeOnly)
		if victims == nil {
			b.recordShort(now, &b.counts.RefusedRequests)
			return Grant[O]{}
		}
		for _, v := range victims {
			b.evict(v)
			b.recordShort(now, &b.counts.EvictedRequests)
			out.Evicted = append(out.Evicted, v.owner)
		}
	}
	out.Wait = &Wait[O]{hold: h, bytes: n, ready: make(chan struct{})}
	b.waiting = append(b.waiting, out.Wait)
	b.grantWaiting()
	return out
}

// Shrink releases n bytes.
func (h *Hold[O]) Shrink(n Bytes) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.charge(h, -min(n, h.bytes))
	h.budget.grantWaiting()
}

// Bytes returns what the request was granted and has not released.
func (h *Hold[O]) Bytes() Bytes {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.bytes
}

// Keep records that the request has arrived whole: it is not evicted any more. It reports false if it was before.
func (h *Hold[O]) Keep() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.evicted {
		return false
	}
	h.stage = kept
	return true
}

// Refuse records at now that the request was refused and that its body is no longer held.
func (h *Hold[O]) Refuse(now time.Time) { h.release(now, refused) }

// End releases at now what a request held; its connection stays.
func (h *Hold[O]) End(now time.Time) { h.release(now, waiting) }

func (h *Hold[O]) release(now time.Time, next stage) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.charge(h, -h.bytes)
	h.dismiss()
	h.evicted = h.closing
	h.stage, h.account, h.movedAt = next, "", now
	b.grantWaiting()
}

// Close releases all that is held. Further calls do nothing.
func (h *Hold[O]) Close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	b.stopWaiting(func(w *Wait[O]) bool { return w.hold == h })
	b.charge(h, -h.bytes)
	h.dismiss()
	if h.connection && !h.closing {
		b.connections--
	}
	b.remove(h)
	b.grantWaiting()
}

// largeBytes returns the bytes that count as those of a large request.
func (h *Hold[O]) largeBytes() Bytes { return largePart(h.bytes) }

// largeGrowth returns how many more bytes would count as those of a large request with n more.
func (h *Hold[O]) largeGrowth(n Bytes) Bytes { return largePart(h.bytes+n) - h.largeBytes() }

func largePart(n Bytes) Bytes {
	if n <= SmallBytes {
		return 0
	}
	return n
}
