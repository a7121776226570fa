package pkqueue

import (
	"math"
	"time"

	"peridotknot.example/pkid"
)

// Item describes a waiting request.
type Item struct {
	// Started is set if its answer has started and must go on.
	Started bool
	// Priority is that of its client account, or else of its route; 0 is the most urgent.
	Priority int
	// Rank is the priority of its route, which decides between equal priorities.
	Rank int
	// Account is the client account of the request; those without one share the empty account.
	Account pkid.AccountID
	// Arrived is when the request came; one that is queued again keeps it. Push replaces a zero time
	// and one after now by now.
	Arrived time.Time
	// Objective is until when its first event is in time; never if zero.
	Objective time.Time
	// Latest is until when it is of use to start the request; zero if there is no bound.
	Latest time.Time
	// Tokens is the length of its prompt and its answer, from 0 to 1e9.
	Tokens float64
}

// Ticket identifies a waiting request in its queue.
type Ticket uint64

// DefaultMaxWaiting is the number of requests that a queue holds by default.
const DefaultMaxWaiting = 512

// Limits bound a queue; the zero value stands for the defaults.
type Limits struct {
	// MaxWaiting is the largest number of waiting requests; the default if not positive. Where it is
	// reached within a fraction of an objective, the least urgent requests are dropped before they
	// have waited for long enough to have their turn as the longest waiting.
	MaxWaiting int
}

// Waiting is a request in a queue.
type Waiting[T any] struct {
	Ticket Ticket
	Item   Item
	Value  T
}

// Level is what waits of one priority, in requests and in tokens of prompts and answers.
type Level struct {
	Priority int
	Requests int
	Tokens   float64
}

const (
	// agedEvery is the number of admissions of which at least one goes to the request that has
	// waited longest.
	agedEvery = 8
	// maxHeads bounds the candidates for one admission, and so the cost of a decision where requests
	// of many priorities and ranks wait.
	maxHeads = 16
	// maxTokens is the largest length of a request that is believed.
	maxTokens = 1e9
)

// Queue holds the requests that wait for capacity of a pool; the zero value is empty. It is not
// safe for concurrent use. Its time is the latest that any method was given and never goes back.
type Queue[T any] struct {
	Limits Limits

	inUse      bool
	ranked     bool // whether some class is
	base       time.Time
	now        time.Duration // since base, as all times of entries
	reference  time.Duration // of scaled usage
	decay      float64       // from scaled usage to tokens at now
	last       Ticket
	waiting    map[Ticket]*entry[T]
	classes    [nClasses]*class[T]
	nonEmpty   [(nClasses + 63) / 64]uint64 // bit set of the classes with requests
	objectives timeline[T]
	latest     timeline[T]
	arrivals   timeline[T]
	expired    []*entry[T]
	accounts   map[pkid.AccountID]*account[T]
	sweepAt    int
	notAged    int // admissions since that of the request that had waited longest
}

// Push adds a request at now and returns the requests that are dropped for lack of space, which may
// be the new one.
//
// It addresses bursts of 1.5 to 2.6 times the usual load while a tenth of the capacity is lost: the
// last in order is dropped, not whichever request arrives while the queue is full.
func (q *Queue[T]) Push(now time.Time, it Item, value T) (Ticket, []Waiting[T]) {
	q.advance(now)
	it = checked(it, now)
	q.last++
	e := &entry[T]{
		Waiting:   Waiting[T]{Ticket: q.last, Item: it, Value: value},
		objective: q.since(it.Objective),
		arrived:   q.since(it.Arrived),
	}
	q.waiting[e.Ticket] = e
	latest := q.since(it.Latest)
	if !it.Latest.IsZero() && latest < q.now {
		q.expire(e)
	} else {
		q.place(e, q.account(it.Account))
		q.arrivals.insert(e.arrived, e, len(q.waiting))
		if !it.Latest.IsZero() {
			q.latest.insert(latest, e, len(q.waiting))
		}
	}
	var dropped []Waiting[T]
	for len(q.waiting) > q.Limits.Bound() {
		last := q.lastEntry()
		dropped = append(dropped, last.Waiting)
		q.take(last)
	}
	return e.Ticket, dropped
}

// Bound returns the largest number of waiting requests.
func (l Limits) Bound() int {
	if l.MaxWaiting > 0 {
		return l.MaxWaiting
	}
	return DefaultMaxWaiting
}

// checked replaces values of a request that are out of range.
func checked(it Item, now time.Time) Item {
	it.Priority = min(max(it.Priority, 0), levels-1)
	it.Rank = min(max(it.Rank, 0), levels-1)
	if it.Arrived.IsZero() || it.Arrived.After(now) {
		it.Arrived = now
	}
	if !(it.Tokens > 0) || math.IsInf(it.Tokens, 1) {
		it.Tokens = 0
	}
	it.Tokens = min(it.Tokens, maxTokens)
	return it
}

// since returns a time as the queue keeps it; the zero time is before all others.
func (q *Queue[T]) since(t time.Time) time.Duration {
	if t.IsZero() {
		return math.MinInt64
	}
	return t.Sub(q.base)
}

// forget takes an entry out of the index, and releases its value: timelines may keep the entry.
func (q *Queue[T]) forget(e *entry[T]) {
	var none T
	e.Value = none
	delete(q.waiting, e.Ticket)
}

// take removes an entry from the queue.
func (q *Queue[T]) take(e *entry[T]) {
	q.forget(e)
	if q.ranked && len(q.waiting) < q.Limits.Bound()/2 {
		q.unrank()
	}
	if e.flow != nil {
		q.displace(e)
		return
	}
	i, end := e.outdated, len(q.expired)-1
	q.expired[i] = q.expired[end]
	q.expired[i].outdated = i
	q.expired[end] = nil
	q.expired = q.expired[:end]
}

// Remove takes a request out, and reports whether it was waiting.
func (q *Queue[T]) Remove(t Ticket) bool {
	e := q.waiting[t]
	if e == nil {
		return false
	}
	q.take(e)
	return true
}

// Heads returns the first request at now of each class that may be started next, the best first; a
// class is what has the same phase (started, in time, late), priority and rank.
//
// It addresses a large account's burst beside small accounts, and loads of urgent requests that
// exceed the capacity: the request that has waited longest is first for one in eight admissions.
func (q *Queue[T]) Heads(now time.Time) []Waiting[T] {
	q.advance(now)
	_, oldest := q.arrivals.first()
	if oldest == nil {
		return nil
	}
	var found [maxHeads]*entry[T]
	n := 0
	if q.notAged >= agedEvery-1 {
		found[0] = oldest
		n++
	}
	for c := q.nextClass(0); c != nil && n < maxHeads; c = q.nextClass(c.index + 1) {
		_, f := c.next.first()
		if e := f.head(); e != found[0] {
			found[n] = e
			n++
		}
	}
	heads := make([]Waiting[T], n)
	for i, e := range found[:n] {
		heads[i] = e.Waiting
	}
	return heads
}

// Admit takes a request out to start it at now, counts it for its account, and reports whether it
// was waiting.
func (q *Queue[T]) Admit(now time.Time, t Ticket) bool {
	q.advance(now)
	e := q.waiting[t]
	if e == nil {
		return false
	}
	q.notAged++
	if _, oldest := q.arrivals.first(); oldest == e {
		q.notAged = 0
	}
	var a *account[T]
	if e.flow != nil {
		a = e.flow.account
	} else {
		a = q.account(e.Item.Account)
	}
	q.take(e)
	q.charge(a, e.cost())
	return true
}

// Expire takes out and returns the requests that are of no use any more at now.
func (q *Queue[T]) Expire(now time.Time) []Waiting[T] {
	q.advance(now)
	if len(q.expired) == 0 {
		return nil
	}
	out := make([]Waiting[T], len(q.expired))
	for i, e := range q.expired {
		out[i] = e.Waiting
		q.forget(e)
	}
	q.expired = nil
	return out
}

// Ahead returns the tokens of the waiting requests that go before a request that arrives at now.
//
// It is exact for other classes and for the request's account. Of other accounts in its class it
// counts what brings their usage to that at which the request has its turn.
func (q *Queue[T]) Ahead(now time.Time, it Item) float64 {
	q.advance(now)
	it = checked(it, now)
	objective := q.since(it.Objective)
	index := q.classIndex(it, objective)
	sum := 0.0
	c := q.nextClass(0)
	for ; c != nil && c.index < index; c = q.nextClass(c.index + 1) {
		sum += c.tokens
	}
	if c == nil || c.index != index {
		return sum
	}
	e := &entry[T]{Waiting: Waiting[T]{Ticket: math.MaxUint64, Item: it}}
	e.key = orderKey(index, objective, q.since(it.Arrived))
	turn := 0.0
	var own *flow[T]
	if a := q.accounts[it.Account]; a != nil {
		turn = a.usage * q.decay
		if own = a.flow(c); own != nil {
			tokens, cost := own.ahead(own.find(e))
			sum += tokens
			turn += cost
		}
	}
	return sum + c.before(e, own, turn, q.decay)
}

// before returns the tokens of the flows of a class other than own that go before an entry whose
// turn is at the given usage.
func (c *class[T]) before(e *entry[T], own *flow[T], turn, decay float64) float64 {
	flows := c.next.nodes
	step := (len(flows) + maxExact - 1) / maxExact
	sum := 0.0
	for i := 0; i < len(flows); i += step {
		f := flows[i].flow
		if f == own {
			continue
		}
		gap := turn - flows[i].key*decay
		if gap > 0 || gap == 0 && f.head().before(e) {
			sum += min(f.tokens, max(gap, f.head().Item.Tokens))
		}
	}
	return sum * float64(step)
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Demand returns what waits at now and can still be in time, or has started, by priority.
func (q *Queue[T]) Demand(now time.Time) []Level {
	q.advance(now)
	var sums [levels]Level
	n := 0
	for c := q.nextClass(0); c != nil && c.phase() < phaseLate; c = q.nextClass(c.index + 1) {
		sum := &sums[c.priority()]
		if sum.Requests == 0 {
			n++
		}
		sum.Requests += c.requests
		sum.Tokens += c.tokens
	}
	if n == 0 {
		return nil
	}
	demand := make([]Level, 0, n)
	for priority, sum := range sums {
		if sum.Requests > 0 {
			sum.Priority = priority
			demand = append(demand, sum)
		}
	}
	return demand
}
