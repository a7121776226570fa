package pkqueue

import (
	"math/bits"
	"slices"
	"time"
)

// Phases of a waiting request, in order.
const (
	phaseStarted = iota
	phaseInTime
	phaseLate
	phases
)

// LeastUrgent is the priority of the least urgent requests; priorities and ranks beyond it count as it.
const LeastUrgent = 9

const (
	levels   = LeastUrgent + 1
	nClasses = phases * levels * levels
)

// entry is a waiting request and its place in the order.
type entry[T any] struct {
	Waiting[T]
	objective time.Duration
	arrived   time.Duration
	// key orders the requests of an account in a class: the objective of those in time, or else the
	// arrival.
	key time.Duration
	// flow is nil once Latest has passed.
	flow *flow[T]
	// outdated is its index among those that are past Latest.
	outdated int
}

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
	next     flowHeap[T] // by scaled usage
	// last is by lastKey, which may be out of date by decay. It is kept only if ranked, which is from
	// a drop on until the queue is half empty.
	last   flowHeap[T]
	ranked bool
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
		if c.ranked {
			c.last.insert(q.lastKey(f), f)
		}
	} else {
		q.reorder(f)
	}
	if c.phase() == phaseInTime {
		q.objectives.insert(e.objective, e, len(q.waiting))
	}
}

// displace takes an entry out of its class.
func (q *Queue[T]) displace(e *entry[T]) {
	f := e.flow
	c := f.class
	if len(f.items) == 1 {
		// The heaps compare heads and tails, so that a flow leaves them before it is empty.
		c.next.remove(f)
		if c.ranked {
			c.last.remove(f)
		}
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
	if f.class.ranked {
		f.class.last.update(q.lastKey(f), f)
	}
}

// rank orders the flows of a class by their last requests.
func (q *Queue[T]) rank(c *class[T]) {
	c.last.nodes = slices.Clone(c.next.nodes)
	c.last.rebuild(q.lastKey)
	c.ranked, q.ranked = true, true
}

// unrank drops the order by last requests of all classes. The cost of the next rank is spread over
// the pushes until the queue is full again.
func (q *Queue[T]) unrank() {
	for _, c := range q.classes {
		if c != nil {
			c.last.nodes, c.ranked = nil, false
		}
	}
	q.ranked = false
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
	if !c.ranked {
		q.rank(c)
	}
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
		q.objectives.inTime = true
		q.waiting = make(map[Ticket]*entry[T])
		q.setDecay()
	}
	if t := now.Sub(q.base); t > q.now {
		q.now = t
		q.setDecay()
	}
	for {
		at, e := q.latest.first()
		if e == nil || at >= q.now {
			break
		}
		q.displace(e)
		q.expire(e)
	}
	for {
		at, e := q.objectives.first()
		if e == nil || at > q.now {
			break
		}
		a := e.flow.account
		q.displace(e)
		q.place(e, a)
	}
}

// expire keeps an entry that is past Latest until Expire returns it.
func (q *Queue[T]) expire(e *entry[T]) {
	e.outdated = len(q.expired)
	q.expired = append(q.expired, e)
}
