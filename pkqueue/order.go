package pkqueue

import (
	"math/bits"
	"time"
)

// Phases of a waiting request, in order.
const (
	phaseStarted = iota
	phaseInTime
	phaseLate
	phases
)

const (
	levels   = 10 // priorities and ranks are 0 to 9
	nClasses = phases * levels * levels
)

// Slots of an entry in the heaps of a queue.
const (
	slotObjective = iota
	slotLatest
	slotArrived
	entrySlots
)

// entry is a waiting request and its place in the order.
type entry[T any] struct {
	Waiting[T]
	objective time.Duration
	latest    time.Duration
	arrived   time.Duration
	// key orders the requests of an account in a class: the objective of those in time, or else the
	// arrival.
	key time.Duration
	// flow is nil once Latest has passed.
	flow *flow[T]
	pos  [entrySlots]int
}

func (e *entry[T]) position(slot int) *int { return &e.pos[slot] }

func (e *entry[T]) precedes(other *entry[T], _ int) bool { return e.Ticket < other.Ticket }

func (e *entry[T]) before(other *entry[T]) bool {
	if e.key != other.key {
		return e.key < other.key
	}
	return e.Ticket < other.Ticket
}

func (e *entry[T]) cost() float64 { return max(e.Item.Tokens, minCost) }

// class holds the requests of one phase, priority and rank.
//
// Within a class, a request is ordered by its start tag: the decayed usage of its account plus the
// cost of what its account has waiting before it in the class. The account with the least usage
// goes first, and the last in order is the end of a large account's burst also while none of the
// burst has been admitted.
type class[T any] struct {
	index    int
	requests int
	tokens   float64
	next     heap[float64, *flow[T]] // by scaled usage
	last     heap[float64, *flow[T]] // by lastKey, which may be out of date by decay
}

func (c *class[T]) phase() int { return c.index / (levels * levels) }

func (c *class[T]) priority() int { return c.index / levels % levels }

// classIndex returns the class of a request with the given objective, in order.
func (q *Queue[T]) classIndex(it Item, objective time.Duration) int {
	phase := phaseLate
	switch {
	case it.Started:
		phase = phaseStarted
	case objective > q.now:
		phase = phaseInTime
	}
	return (phase*levels+it.Priority)*levels + it.Rank
}

// orderKey returns what orders a request among those of its account in a class.
func orderKey(index int, objective, arrived time.Duration) time.Duration {
	if index/(levels*levels) == phaseInTime {
		return objective
	}
	return arrived
}

// lastKey is the negative start tag of the last request of a flow. A key that was computed earlier
// is at most the present one, because usage only decays until the flow is reordered.
func (q *Queue[T]) lastKey(f *flow[T]) float64 {
	return -(f.account.usage*q.decay + f.cost - f.tail().cost())
}

// place adds an entry to the class that it belongs to now.
func (q *Queue[T]) place(e *entry[T], a *account[T]) {
	index := q.classIndex(e.Item, e.objective)
	c := q.classes[index]
	if c == nil {
		c = &class[T]{index: index}
		c.last.slot = slotLast
		q.classes[index] = c
	}
	e.key = orderKey(index, e.objective, e.arrived)
	f := a.flow(c)
	fresh := f == nil
	if fresh {
		f = &flow[T]{account: a, class: c}
		a.flows = append(a.flows, f)
	}
	f.insert(e)
	e.flow = f
	c.requests++
	c.tokens += e.Item.Tokens
	q.nonEmpty[index/64] |= 1 << (index % 64)
	if fresh {
		c.next.insert(a.usage, f)
		c.last.insert(q.lastKey(f), f)
	} else {
		q.reorder(f)
	}
	if c.phase() == phaseInTime {
		q.times[slotObjective].insert(e.objective, e)
	}
}

// displace takes an entry out of its class.
func (q *Queue[T]) displace(e *entry[T]) {
	f := e.flow
	c := f.class
	if c.phase() == phaseInTime {
		q.times[slotObjective].remove(e)
	}
	if len(f.items) == 1 {
		// The heaps compare heads and tails, so that a flow leaves them before it is empty.
		c.next.remove(f)
		c.last.remove(f)
		f.delete(e)
		f.account.drop(f)
	} else {
		f.delete(e)
		q.reorder(f)
	}
	e.flow = nil
	c.requests--
	c.tokens = max(c.tokens-e.Item.Tokens, 0)
	if c.requests == 0 {
		c.tokens = 0
		q.nonEmpty[c.index/64] &^= 1 << (c.index % 64)
	}
}

func (a *account[T]) drop(f *flow[T]) {
	for i, g := range a.flows {
		if g == f {
			end := len(a.flows) - 1
			a.flows[i] = a.flows[end]
			a.flows[end] = nil
			a.flows = a.flows[:end]
			return
		}
	}
}

// reorder restores the order of a class after a flow or the usage of its account has changed.
func (q *Queue[T]) reorder(f *flow[T]) {
	f.class.next.update(f.account.usage, f)
	f.class.last.update(q.lastKey(f), f)
}

// nextClass returns the first class from an index on in which requests wait, or nil.
func (q *Queue[T]) nextClass(index int) *class[T] {
	for w := index / 64; w < len(q.nonEmpty); w++ {
		word := q.nonEmpty[w]
		if w == index/64 {
			word &= ^uint64(0) << (index % 64)
		}
		if word != 0 {
			return q.classes[w*64+bits.TrailingZeros64(word)]
		}
	}
	return nil
}

// lastEntry returns the last request in order, with those that are past Latest behind all others;
// an answer that has started comes before all requests that have not.
func (q *Queue[T]) lastEntry() *entry[T] {
	for i := len(q.expired) - 1; i >= 0; i-- {
		if !q.expired[i].Item.Started {
			return q.expired[i]
		}
	}
	for w := len(q.nonEmpty) - 1; w >= 0; w-- {
		if word := q.nonEmpty[w]; word != 0 {
			return q.classes[w*64+bits.Len64(word)-1].lastEntry(q)
		}
	}
	return q.expired[len(q.expired)-1]
}

func (c *class[T]) lastEntry(q *Queue[T]) *entry[T] {
	for {
		// Keys are lower bounds, so that the first one that is up to date is the smallest.
		key, f := c.last.first()
		if now := q.lastKey(f); now > key {
			c.last.update(now, f)
			continue
		}
		return f.tail()
	}
}

// advance sets the queue's time, which never goes back, and moves requests whose objective or
// latest start has passed.
func (q *Queue[T]) advance(now time.Time) {
	if !q.inUse {
		q.inUse, q.base = true, now
		for slot := range q.times {
			q.times[slot].slot = slot
		}
		q.waiting = make(map[Ticket]*entry[T])
		q.setDecay()
	}
	if t := now.Sub(q.base); t > q.now {
		q.now = t
		q.setDecay()
	}
	for latest := &q.times[slotLatest]; latest.len() > 0; {
		at, e := latest.first()
		if at >= q.now {
			break
		}
		q.unlink(e)
		q.expire(e)
	}
	for objective := &q.times[slotObjective]; objective.len() > 0; {
		at, e := objective.first()
		if at > q.now {
			break
		}
		a := e.flow.account
		q.displace(e)
		q.place(e, a)
	}
}

// expire keeps an entry that is past Latest until Expire returns it. Its index takes the place of
// the one in the heap by Latest, which it has left.
func (q *Queue[T]) expire(e *entry[T]) {
	e.pos[slotLatest] = len(q.expired)
	q.expired = append(q.expired, e)
}

// unlink takes an entry out of the order.
func (q *Queue[T]) unlink(e *entry[T]) {
	q.displace(e)
	q.times[slotArrived].remove(e)
	if !e.Item.Latest.IsZero() {
		q.times[slotLatest].remove(e)
	}
}
