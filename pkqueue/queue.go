package pkqueue

import (
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
	// Account is the client account of the request; empty if there is none.
	Account pkid.AccountID
	// Arrived is when the request came; one that is queued again keeps it.
	Arrived time.Time
	// Objective is until when its first event is in time.
	Objective time.Time
	// Latest is until when it is of use to start the request; zero if there is no bound.
	Latest time.Time
	// Tokens is the length of its prompt and its answer.
	Tokens float64
}

// Ticket identifies a waiting request in its queue.
type Ticket uint64

// DefaultMaxWaiting is the number of requests that a queue holds by default.
const DefaultMaxWaiting = 512

// Limits bound a queue; the zero value stands for the defaults.
type Limits struct {
	// MaxWaiting is the largest number of waiting requests.
	MaxWaiting int
}

// Waiting is a request in a queue.
type Waiting[T any] struct {
	Ticket Ticket
	Item   Item
	Value  T
}

// Level is what waits of one priority.
type Level struct {
	Priority int
	Requests int
	Tokens   float64
}

// Queue holds the requests that wait for room in a pool; the zero value is empty. It is not safe for
// concurrent use.
type Queue[T any] struct {
	Limits Limits
	last   Ticket
	all    []Waiting[T]
}

// Push adds a request at now and returns the requests that are dropped for lack of space, which may
// be the new one.
func (q *Queue[T]) Push(_ time.Time, it Item, value T) (Ticket, []Waiting[T]) {
	q.last++
	q.all = append(q.all, Waiting[T]{Ticket: q.last, Item: it, Value: value})
	return q.last, nil
}

// Remove takes a request out, and reports whether it was waiting.
func (q *Queue[T]) Remove(t Ticket) bool {
	for i := range q.all {
		if q.all[i].Ticket == t {
			q.all = append(q.all[:i], q.all[i+1:]...)
			return true
		}
	}
	return false
}

// Heads returns the first request at now of each class that may be started next, the best first.
func (q *Queue[T]) Heads(time.Time) []Waiting[T] {
	if len(q.all) == 0 {
		return nil
	}
	return append([]Waiting[T](nil), q.all[0])
}

// Admit takes a request out to start it at now, and reports whether it was waiting.
func (q *Queue[T]) Admit(_ time.Time, t Ticket) bool { return q.Remove(t) }

// Expire takes out and returns the requests that are of no use any more at now.
func (q *Queue[T]) Expire(now time.Time) []Waiting[T] {
	var out, kept []Waiting[T]
	for _, w := range q.all {
		if !w.Item.Latest.IsZero() && now.After(w.Item.Latest) {
			out = append(out, w)
		} else {
			kept = append(kept, w)
		}
	}
	q.all = kept
	return out
}

// Ahead returns the tokens of the waiting requests that go before a request at now.
func (q *Queue[T]) Ahead(time.Time, Item) float64 {
	sum := 0.0
	for _, w := range q.all {
		sum += w.Item.Tokens
	}
	return sum
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.all) }

// Demand returns what waits at now and can still be in time, by priority.
func (q *Queue[T]) Demand(time.Time) []Level { return nil }
