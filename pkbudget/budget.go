package pkbudget

import (
	"sync"
	"time"
)

// Budget bounds what the owners of holds, of type O, hold together. The zero value has no bounds.
type Budget[O any] struct {
	mu     sync.Mutex
	limits Limits
	holds  []*Hold[O]
	// connections counts the connections that are not being closed.
	connections int
	// admitted counts the requests that may have a connection to their target.
	admitted int
	// used is the sum of all bytes, large the part of requests over SmallBytes, byAccount that of each client account.
	used, large Bytes
	byAccount   map[string]Bytes
	// freeing and freeingLarge are the bytes of evicted holds that their owners have not released yet.
	freeing, freeingLarge Bytes
	// waiting are the waits for bytes, in the order in which they are granted.
	waiting  []*Wait[O]
	sequence uint64
	shortage shortage
	counts   Counts
}

// Usage is what callers hold.
type Usage struct {
	Connections int
	Admitted    int
	Bytes       Bytes
	LargeBytes  Bytes
	Waiting     int
	Limits      Limits
	Counts      Counts
}

// SetLimits changes the limits. What is held beyond them stays until its owners release it.
func (b *Budget[O]) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
	b.grantWaiting()
}

// Usage returns what callers hold.
func (b *Budget[O]) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Connections: b.connections, Admitted: b.admitted, Bytes: b.used, LargeBytes: b.large, Waiting: len(b.waiting), Limits: b.limits, Counts: b.counts}
}

// Connect is the decision on a new connection.
type Connect[O any] struct {
	// Hold is that of the connection; nil if it is refused.
	Hold *Hold[O]
	// Evicted are the owners that must close their connections.
	Evicted []O
}

// Connect decides on a new connection at now. If there are too many, the least useful one is evicted.
func (b *Budget[O]) Connect(now time.Time, owner O) Connect[O] {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out Connect[O]
	if b.outOfDescriptors() || (b.limits.Connections > 0 && b.connections >= b.limits.Connections) {
		victim := b.closeConnection(now, nil)
		if victim == nil {
			b.recordShort(now, &b.counts.RefusedConnections)
			return out
		}
		out.Evicted = []O{victim.owner}
	}
	out.Hold = b.add(now, owner)
	out.Hold.connection = true
	b.connections++
	return out
}

// outOfDescriptors reports whether callers have all descriptors that they may have; the caller holds mu.
func (b *Budget[O]) outOfDescriptors() bool {
	return b.limits.Descriptors > 0 && b.connections+b.admitted >= b.limits.Descriptors
}

// closeConnection evicts the least useful connection but that of a request at now and returns it, nil if there is none; the
// caller holds mu.
func (b *Budget[O]) closeConnection(now time.Time, request *Hold[O]) *Hold[O] {
	victim := b.chooseConnection(now, request)
	if victim == nil {
		return nil
	}
	b.evict(victim)
	victim.closing = true
	b.connections--
	b.recordShort(now, &b.counts.EvictedConnections)
	return victim
}

// Request returns the hold of a request that arrives over a connection without a hold.
func (b *Budget[O]) Request(now time.Time, owner O) *Hold[O] {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.add(now, owner)
	h.begin(now)
	h.stage = arriving
	return h
}

func (b *Budget[O]) add(now time.Time, owner O) *Hold[O] {
	h := &Hold[O]{budget: b, owner: owner, movedAt: now, index: len(b.holds)}
	b.holds = append(b.holds, h)
	return h
}

// remove removes a hold that has no bytes left; the caller holds mu.
func (b *Budget[O]) remove(h *Hold[O]) {
	last := len(b.holds) - 1
	b.holds[h.index] = b.holds[last]
	b.holds[h.index].index = h.index
	b.holds[last] = nil
	b.holds = b.holds[:last]
}

// charge adds bytes, which may be negative, to a hold; the caller holds mu.
func (b *Budget[O]) charge(h *Hold[O], n Bytes) {
	before := h.largeBytes()
	h.bytes += n
	large := h.largeBytes() - before
	b.used += n
	b.large += large
	if h.evicted {
		b.freeing += n
		b.freeingLarge += large
	}
	if b.byAccount == nil {
		b.byAccount = map[string]Bytes{}
	}
	b.byAccount[h.account] += n
	if b.byAccount[h.account] == 0 {
		delete(b.byAccount, h.account)
	}
}

// shortBy returns how many bytes are missing for a hold to grow, and whether they are missing to large requests only;
// the caller holds mu. What others wait for counts as used, and what is being released as free.
func (b *Budget[O]) shortBy(h *Hold[O], n Bytes) (missing Bytes, largeOnly bool) {
	if b.limits.Requests <= 0 {
		return 0, false
	}
	wanted, wantedLarge := n, h.largeGrowth(n)
	for _, w := range b.waiting {
		wanted += w.bytes
		wantedLarge += w.hold.largeGrowth(w.bytes)
	}
	missing = b.used - b.freeing + wanted - b.limits.Requests
	missingLarge := b.large - b.freeingLarge + wantedLarge - b.limits.Large
	if h.largeGrowth(n) > 0 && missingLarge > missing {
		return max(missingLarge, 0), true
	}
	return max(missing, 0), false
}

// fits reports whether a hold may grow now; the caller holds mu.
func (b *Budget[O]) fits(h *Hold[O], n Bytes) bool {
	if b.limits.Requests <= 0 {
		return true
	}
	growth := h.largeGrowth(n)
	return b.used+n <= b.limits.Requests && (growth == 0 || b.large+growth <= b.limits.Large)
}

// evict marks a hold whose owner must release it; the caller holds mu.
func (b *Budget[O]) evict(h *Hold[O]) {
	if h.evicted {
		return
	}
	h.evicted = true
	b.freeing += h.bytes
	b.freeingLarge += h.largeBytes()
	b.stopWaiting(func(w *Wait[O]) bool { return w.hold == h })
}
