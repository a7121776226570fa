package pkqueue

import (
	"math"
	"slices"
	"time"

	"peridotknot.example/pkid"
)

const (
	// usageDecay is the time constant with which tokens admitted for an account are forgotten.
	usageDecay = 5 * time.Second
	// minCost is charged at least, so that accounts whose requests state no length take turns too.
	minCost = 1
	// rebaseAfter bounds the exponent of scaled usage: exp(100) times any sum of admitted tokens is
	// far below the largest float64.
	rebaseAfter = 100 * usageDecay
	// minAccounts is the number of accounts below which those without usage are not swept.
	minAccounts = 64
	// maxExact is the number of accounts or requests that Ahead looks at one by one in a class;
	// beyond it, it extrapolates. It equals the default bound of a queue.
	maxExact = DefaultMaxWaiting
)

// account is a client account that waits or has been admitted recently.
type account[T any] struct {
	// usage is the sum of admitted tokens, each multiplied by exp(t/usageDecay) where t is the time
	// from the queue's reference to its admission. All accounts decay alike, so the order of these
	// sums changes with admissions only.
	usage float64
	flows []*flow[T]
}

// flow is what waits of an account in a class, the first in order first.
type flow[T any] struct {
	account *account[T]
	class   *class[T]
	items   []*entry[T]
	tokens  float64
	cost    float64
	pos     [flowSlots]int
}

func (f *flow[T]) head() *entry[T] { return f.items[0] }

func (f *flow[T]) tail() *entry[T] { return f.items[len(f.items)-1] }

// find returns the position of an entry, or the one it would be inserted at.
func (f *flow[T]) find(e *entry[T]) int {
	i, _ := slices.BinarySearchFunc(f.items, e, func(a, b *entry[T]) int {
		switch {
		case a.before(b):
			return -1
		case b.before(a):
			return 1
		}
		return 0
	})
	return i
}

func (f *flow[T]) insert(e *entry[T]) {
	if n := len(f.items); n == 0 || f.tail().before(e) {
		f.items = append(f.items, e)
	} else {
		f.items = slices.Insert(f.items, f.find(e), e)
	}
	f.tokens += e.Item.Tokens
	f.cost += e.cost()
}

func (f *flow[T]) delete(e *entry[T]) {
	if f.items[0] == e { // the usual case; does not move the rest
		f.items[0] = nil
		f.items = f.items[1:]
	} else {
		i := f.find(e)
		f.items = slices.Delete(f.items, i, i+1)
	}
	f.tokens -= e.Item.Tokens
	f.cost -= e.cost()
	if len(f.items) == 1 { // without the rounding errors of the sums, which would decide between equal tags
		f.tokens, f.cost = f.items[0].Item.Tokens, f.items[0].cost()
	}
}

// ahead returns the tokens of the first n requests, and their cost.
func (f *flow[T]) ahead(n int) (tokens, cost float64) {
	rest := len(f.items) - n
	switch {
	case n > maxExact && rest > maxExact:
		part := float64(n) / float64(len(f.items))
		return f.tokens * part, f.cost * part
	case n <= rest:
		for _, e := range f.items[:n] {
			tokens += e.Item.Tokens
			cost += e.cost()
		}
		return tokens, cost
	}
	tokens, cost = f.tokens, f.cost
	for _, e := range f.items[n:] {
		tokens -= e.Item.Tokens
		cost -= e.cost()
	}
	return max(tokens, 0), max(cost, 0)
}

func (a *account[T]) flow(c *class[T]) *flow[T] {
	for _, f := range a.flows {
		if f.class == c {
			return f
		}
	}
	return nil
}

// account returns the account of an identifier, and adds it if it is not known.
func (q *Queue[T]) account(id pkid.AccountID) *account[T] {
	a := q.accounts[id]
	if a == nil {
		q.sweep()
		a = &account[T]{}
		if q.accounts == nil {
			q.accounts = make(map[pkid.AccountID]*account[T])
		}
		q.accounts[id] = a
	}
	return a
}

// sweep forgets accounts that neither wait nor have usage left, whenever their number has doubled.
func (q *Queue[T]) sweep() {
	if len(q.accounts) < max(q.sweepAt, minAccounts) {
		return
	}
	for id, a := range q.accounts {
		if len(a.flows) == 0 && a.usage*q.decay < minCost {
			delete(q.accounts, id)
		}
	}
	q.sweepAt = 2 * len(q.accounts)
}

func (q *Queue[T]) setDecay() {
	q.decay = math.Exp(-float64(q.now-q.reference) / float64(usageDecay))
}

// charge adds an admitted cost to the usage of an account.
func (q *Queue[T]) charge(a *account[T], cost float64) {
	if q.now-q.reference > rebaseAfter {
		q.rebase()
	}
	a.usage += cost / q.decay
	for _, f := range a.flows {
		q.reorder(f)
	}
}

// rebase moves the reference of scaled usage to the queue's time.
func (q *Queue[T]) rebase() {
	for _, a := range q.accounts {
		if a.usage *= q.decay; a.usage < minCost {
			a.usage = 0
		}
	}
	q.reference = q.now
	q.setDecay()
	for _, c := range q.classes {
		if c != nil {
			c.next.rebuild(func(f *flow[T]) float64 { return f.account.usage })
			c.last.rebuild(q.lastKey)
		}
	}
}
