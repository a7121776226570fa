package pkadmit

import (
	"sync"
	"time"

	"peridotknot.example/pkid"
)

// Options bounds a gate.
type Options struct {
	// Queue is how many requests of one account may wait.
	Queue int
	// Hold is the time a request is taken to need before any was seen.
	Hold time.Duration
}

// DefaultOptions returns bounds that suit an entry of today's size.
func DefaultOptions() Options { return Options{Queue: 256, Hold: 300 * time.Millisecond} }

// Gate admits the requests of one pool.
type Gate struct {
	mu       sync.Mutex
	opts     Options
	limit    int
	inFlight int
	waiting  int
	// clock is the virtual time of the request that started last.
	clock    float64
	accounts map[pkid.AccountID]*account
	// hold is the mean time that a request holds its place, of the last ones.
	hold time.Duration
	seen int
}

// account is the queue of one client account.
type account struct {
	weight   float64
	inFlight int
	// behind is the virtual time up to which the account was served.
	behind float64
	queue  []*Ticket
}

// Ask is one request for admission.
type Ask struct {
	Account     pkid.AccountID
	Weight      int
	MaxInFlight int
	// Tokens is what the request is expected to use.
	Tokens   pkid.Tokens
	Deadline time.Time
	// Least is the least time that the request needs once it started.
	Least time.Duration
}

// Refusal says why a request was refused and when to come back.
type Refusal struct {
	// Late says that the deadline could not be met; otherwise the queue or
	// the account's limit is full.
	Late       bool
	RetryAfter time.Duration
}

// Error returns the reason.
func (r *Refusal) Error() string {
	if r.Late {
		return "the deadline cannot be met"
	}
	return "too many requests are waiting"
}

// Ticket is a request that waits or runs.
type Ticket struct {
	ask     Ask
	start   float64
	began   time.Time
	refused *Refusal
	ready   chan struct{}
}

// Ready is closed when the request may start or was refused.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Refused returns the refusal; nil lets the request start. It is valid once
// Ready is closed.
func (t *Ticket) Refused() *Refusal { return t.refused }

// NewGate returns a gate with room for limit requests.
func NewGate(o Options, limit int) *Gate {
	return &Gate{opts: o, limit: limit, hold: o.Hold, accounts: map[pkid.AccountID]*account{}}
}

// Enter takes a request in. A ticket must be given back with Leave, or with
// Withdraw if its caller goes away before Ready.
func (g *Gate) Enter(now time.Time, ask Ask) (*Ticket, *Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.account(ask)
	if a.inFlight+len(a.queue) >= ask.MaxInFlight || len(a.queue) >= g.opts.Queue {
		return nil, &Refusal{RetryAfter: g.retryAfter(a)}
	}
	if wait := g.wait(a); now.Add(wait + ask.Least).After(ask.Deadline) {
		return nil, &Refusal{Late: true, RetryAfter: g.retryAfter(a)}
	}
	t := &Ticket{ask: ask, ready: make(chan struct{})}
	t.start = max(g.clock, a.behind)
	a.behind = t.start + float64(ask.Tokens)/a.weight
	a.queue = append(a.queue, t)
	g.waiting++
	g.dispatch(now)
	return t, nil
}

// Leave gives back a ticket whose request ended after using tokens.
func (g *Gate) Leave(now time.Time, t *Ticket, used pkid.Tokens) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.accounts[t.ask.Account]
	g.inFlight--
	a.inFlight--
	// The account pays for what it used, not for what it asked for, or an
	// account that asks for much and gets little would starve.
	a.behind += float64(used-t.ask.Tokens) / a.weight
	g.learn(now.Sub(t.began))
	g.dispatch(now)
	g.forget(t.ask.Account, a)
}

// learn takes a request's time into the mean: fully at first, so that a wrong
// guess at the start refuses nobody for long, then as one of the last few.
func (g *Gate) learn(took time.Duration) {
	const last = 20
	g.seen = min(g.seen+1, last)
	g.hold += (took - g.hold) / time.Duration(g.seen)
}

// Withdraw takes a ticket back that its caller no longer waits for. It says
// whether the request had started, and so must be given back with Leave.
func (g *Gate) Withdraw(now time.Time, t *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !t.began.IsZero() {
		return true
	}
	g.remove(t)
	g.dispatch(now)
	return false
}

// SetLimit changes the room for requests.
func (g *Gate) SetLimit(now time.Time, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
	g.dispatch(now)
}

// Expire refuses the waiting requests that can no longer meet their deadline.
// They are told at once, because an answer held back is of no use to anyone.
func (g *Gate) Expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range g.accounts {
		kept := a.queue[:0]
		for _, t := range a.queue {
			if now.Add(t.ask.Least).After(t.ask.Deadline) {
				g.waiting--
				a.behind -= float64(t.ask.Tokens) / a.weight
				t.refused = &Refusal{Late: true, RetryAfter: g.retryAfter(a)}
				close(t.ready)
				continue
			}
			kept = append(kept, t)
		}
		clear(a.queue[len(kept):])
		a.queue = kept
	}
}

// Counts returns how many requests run and wait, and the limit.
func (g *Gate) Counts() (inFlight, waiting, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight, g.waiting, g.limit
}

func (g *Gate) account(ask Ask) *account {
	a, found := g.accounts[ask.Account]
	if !found {
		a = &account{behind: g.clock}
		g.accounts[ask.Account] = a
	}
	a.weight = float64(max(ask.Weight, 1))
	return a
}

// forget drops an account that is idle and owes nothing, so that the gate does
// not grow with every account that ever called.
func (g *Gate) forget(id pkid.AccountID, a *account) {
	if a.inFlight == 0 && len(a.queue) == 0 && a.behind <= g.clock {
		delete(g.accounts, id)
	}
}

func (g *Gate) remove(t *Ticket) {
	a := g.accounts[t.ask.Account]
	for i, one := range a.queue {
		if one == t {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			a.behind -= float64(t.ask.Tokens) / a.weight
			g.waiting--
			return
		}
	}
}

func (g *Gate) dispatch(now time.Time) {
	for g.inFlight < g.limit && g.waiting > 0 {
		a := g.furthestBehind()
		t := a.queue[0]
		a.queue[0] = nil
		a.queue = a.queue[1:]
		g.waiting--
		g.inFlight++
		a.inFlight++
		g.clock = max(g.clock, t.start)
		t.began = now
		close(t.ready)
	}
}

func (g *Gate) furthestBehind() *account {
	var best *account
	for _, a := range g.accounts {
		if len(a.queue) == 0 {
			continue
		}
		if best == nil || a.queue[0].start < best.queue[0].start {
			best = a
		}
	}
	return best
}

// wait estimates how long a new request of a would wait: its own requests that
// wait, times the accounts it shares the pool with, but never more than the
// whole queue.
func (g *Gate) wait(a *account) time.Duration {
	if g.inFlight < g.limit && g.waiting == 0 {
		return 0
	}
	weights := 0.0
	for _, other := range g.accounts {
		if other == a || len(other.queue) > 0 || other.inFlight > 0 {
			weights += other.weight
		}
	}
	ahead := min(float64(len(a.queue)+1)*weights/a.weight, float64(g.waiting+1))
	return time.Duration(ahead * float64(g.hold) / float64(max(g.limit, 1)))
}

func (g *Gate) retryAfter(a *account) time.Duration {
	return max(g.wait(a), time.Second)
}
