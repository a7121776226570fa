package pkadmit

import (
	"sync"
	"time"

	"peridotknot.example/pkid"
)

// Options are the bounds of a gate.
type Options struct {
	// MaxQueuePerAccount is the number of requests of one account that may wait.
	MaxQueuePerAccount int
	// InitialServiceTime is the assumed service time until requests have been observed.
	InitialServiceTime time.Duration
}

// DefaultOptions returns the default bounds.
func DefaultOptions() Options {
	return Options{MaxQueuePerAccount: 256, InitialServiceTime: 300 * time.Millisecond}
}

// Gate is the admission control of one pool.
type Gate struct {
	mu       sync.Mutex
	opts     Options
	limit    int
	inFlight int
	waiting  int
	// virtualTime is the start tag of the request that started last.
	virtualTime float64
	accounts    map[pkid.AccountID]*account
	// serviceTime is the moving average of the time that a request is in flight.
	serviceTime time.Duration
	samples     int
}

// account is the queue of one client account.
type account struct {
	weight   float64
	inFlight int
	// finishTag is the virtual time at which the account's last request finishes.
	finishTag float64
	queue     []*Ticket
}

// Request is a request for admission.
type Request struct {
	Account     pkid.AccountID
	Weight      int
	MaxInFlight int
	// Tokens is the expected token usage.
	Tokens   pkid.Tokens
	Deadline time.Time
	// MinServiceTime is the minimum time that the request needs once started.
	MinServiceTime time.Duration
}

// Refusal is the error of a request that was not admitted.
type Refusal struct {
	// Late is set if the deadline cannot be met; otherwise the queue is full or the account's limit
	// is reached.
	Late       bool
	RetryAfter time.Duration
}

// Error returns the message sent to the caller.
func (r *Refusal) Error() string {
	if r.Late {
		return "the deadline cannot be met"
	}
	return "too many requests are waiting"
}

// Ticket is the place of a request in the gate, waiting or running.
type Ticket struct {
	req       Request
	startTag  float64
	startedAt time.Time
	refused   *Refusal
	ready     chan struct{}
}

// Ready returns a channel that is closed when the request may start or was refused.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Refused returns the refusal, or nil if the request may start. It is valid once Ready is closed.
func (t *Ticket) Refused() *Refusal { return t.refused }

// NewGate returns a gate for at most limit requests in flight.
func NewGate(o Options, limit int) *Gate {
	return &Gate{opts: o, limit: limit, serviceTime: o.InitialServiceTime, accounts: map[pkid.AccountID]*account{}}
}

// Enter queues a request or refuses it. Each ticket must be passed to Leave, or to Cancel if the
// caller disconnects before Ready is closed.
func (g *Gate) Enter(now time.Time, req Request) (*Ticket, *Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.account(req)
	if a.inFlight+len(a.queue) >= req.MaxInFlight || len(a.queue) >= g.opts.MaxQueuePerAccount {
		return nil, &Refusal{RetryAfter: g.retryAfter(a)}
	}
	if wait := g.estimateWait(a); now.Add(wait + req.MinServiceTime).After(req.Deadline) {
		return nil, &Refusal{Late: true, RetryAfter: g.retryAfter(a)}
	}
	t := &Ticket{req: req, ready: make(chan struct{})}
	t.startTag = max(g.virtualTime, a.finishTag)
	a.finishTag = t.startTag + float64(req.Tokens)/a.weight
	a.queue = append(a.queue, t)
	g.waiting++
	g.dispatch(now)
	return t, nil
}

// Leave returns the ticket of a request that ended after using tokens.
func (g *Gate) Leave(now time.Time, t *Ticket, used pkid.Tokens) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.accounts[t.req.Account]
	g.inFlight--
	a.inFlight--
	// Charge the actual usage instead of the estimate, so that overestimates do not starve the
	// account.
	a.finishTag += float64(used-t.req.Tokens) / a.weight
	g.observeServiceTime(now.Sub(t.startedAt))
	g.dispatch(now)
	g.dropIdleAccount(t.req.Account, a)
}

// observeServiceTime updates the average: the first samples outweigh the initial assumption, later
// ones have a fixed weight.
func (g *Gate) observeServiceTime(took time.Duration) {
	const window = 20
	g.samples = min(g.samples+1, window)
	g.serviceTime += (took - g.serviceTime) / time.Duration(g.samples)
}

// Cancel gives up the ticket of a caller that has disconnected. It reports whether the request had
// already started, in which case Leave must be called.
func (g *Gate) Cancel(now time.Time, t *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !t.startedAt.IsZero() {
		return true
	}
	g.remove(t)
	g.dispatch(now)
	return false
}

// SetLimit changes the number of requests that may be in flight.
func (g *Gate) SetLimit(now time.Time, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
	g.dispatch(now)
}

// Expire refuses the waiting requests that can no longer meet their deadline, so that their callers
// can retry elsewhere.
func (g *Gate) Expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range g.accounts {
		kept := a.queue[:0]
		for _, t := range a.queue {
			if now.Add(t.req.MinServiceTime).After(t.req.Deadline) {
				g.waiting--
				a.finishTag -= float64(t.req.Tokens) / a.weight
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

// Counts returns the number of requests in flight and waiting, and the limit.
func (g *Gate) Counts() (inFlight, waiting, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight, g.waiting, g.limit
}

func (g *Gate) account(req Request) *account {
	a, found := g.accounts[req.Account]
	if !found {
		a = &account{finishTag: g.virtualTime}
		g.accounts[req.Account] = a
	}
	a.weight = float64(max(req.Weight, 1))
	return a
}

// dropIdleAccount removes an account without requests whose finish tag has passed, so that the gate
// does not grow with every account that ever called.
func (g *Gate) dropIdleAccount(id pkid.AccountID, a *account) {
	if a.inFlight == 0 && len(a.queue) == 0 && a.finishTag <= g.virtualTime {
		delete(g.accounts, id)
	}
}

func (g *Gate) remove(t *Ticket) {
	a := g.accounts[t.req.Account]
	for i, queued := range a.queue {
		if queued == t {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			a.finishTag -= float64(t.req.Tokens) / a.weight
			g.waiting--
			return
		}
	}
}

func (g *Gate) dispatch(now time.Time) {
	for g.inFlight < g.limit && g.waiting > 0 {
		a := g.nextAccount()
		t := a.queue[0]
		a.queue[0] = nil
		a.queue = a.queue[1:]
		g.waiting--
		g.inFlight++
		a.inFlight++
		g.virtualTime = max(g.virtualTime, t.startTag)
		t.startedAt = now
		close(t.ready)
	}
}

func (g *Gate) nextAccount() *account {
	var best *account
	for _, a := range g.accounts {
		if len(a.queue) == 0 {
			continue
		}
		if best == nil || a.queue[0].startTag < best.queue[0].startTag {
			best = a
		}
	}
	return best
}

// estimateWait estimates how long a new request of a would wait: its own queue scaled by the
// weights of the active accounts, at most the whole queue.
func (g *Gate) estimateWait(a *account) time.Duration {
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
	return time.Duration(ahead * float64(g.serviceTime) / float64(max(g.limit, 1)))
}

func (g *Gate) retryAfter(a *account) time.Duration {
	return max(g.estimateWait(a), time.Second)
}
