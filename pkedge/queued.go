package pkedge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkqueue"
)

const (
	// defaultLatencyObjective applies to streams of routes without one, or with one beyond their timeout.
	defaultLatencyObjective = time.Second
	// minPatience, objectivesPatience and gapsPatience are how long callers wait for an event: the
	// longest of minPatience and these multiples of the route's objectives.
	minPatience        = 2 * time.Second
	objectivesPatience = 4
	gapsPatience       = 8
	// stalledAfter is how long nobody must have been started for a pool to lack engines and not only room: a
	// crashed engine is back, or replaced, after some seconds.
	stalledAfter = time.Second
)

// Causes of refusals by a queue for room.
const (
	causeLate    = "late"    // the estimated wait exceeds what its caller waits, or no engine is large enough
	causeFull    = "full"    // the queue is full
	causeExpired = "expired" // no room came in time
	causeBudget  = "budget"  // an engine had refused it, and the retry budget allowed no other send in time
)

// queueRefusal is returned if a request is refused since it cannot have room in time.
type queueRefusal struct {
	cause string
	// wait is the estimated wait, retryAfter when the caller should come back.
	wait       time.Duration
	retryAfter time.Duration
}

// Error returns the cause.
func (e *queueRefusal) Error() string { return "no room in time: " + e.cause }

func (e *queueRefusal) rejection() *rejection {
	return &rejection{status: http.StatusServiceUnavailable, retryAfter: e.retryAfter, reason: "full"}
}

// hasRetry reports whether the retry budget allows another send of the request at now.
func (c *call) hasRetry(now time.Time) bool {
	return c.charges.HasNext() || c.budgets.of(c.service).HasRetries(now, c.retryLimits(now), 1)
}

// findPath returns a path for a waiting request at now. One that has waited for capacityTimeout may use engines
// that are avoided for a failure that may be transient.
func (r *room) findPath(now time.Time, w *waiter) (targetPath, bool) {
	q := w.c.queuedQuery(now, w.service, w.item)
	p, found := r.search(now, w, q)
	if !found && now.Sub(w.since) >= capacityTimeout {
		q.lastResort = true
		p, found = r.search(now, w, q)
	}
	return p, found
}

// search returns a path for a query at now, unless one that asked for no more has found none since room was last
// freed: many requests that wait would otherwise take all of a small VM's processor to find nothing.
func (r *room) search(now time.Time, w *waiter, q pathQuery) (targetPath, bool) {
	if slices.ContainsFunc(r.failed, q.asksAsMuchAs) {
		return targetPath{}, false
	}
	p, found := w.c.findPath(now, w.service, q)
	if !found {
		r.failed = append(r.failed, q)
	}
	return p, found
}

// asksAsMuchAs reports whether each path for the query would also be one for the other, so that there is none if the
// other found none. Both are for whole paths of one pool from this entry; urgency changes costs, not what fits.
func (q pathQuery) asksAsMuchAs(other pathQuery) bool {
	return q.tokens >= other.tokens && q.memoryShare <= other.memoryShare && (other.lastResort || !q.lastResort) &&
		(other.maxCost == 0 || (q.maxCost > 0 && q.maxCost <= other.maxCost))
}

// queuedQuery returns the query at now for a path of a request that may be queued.
func (c *call) queuedQuery(now time.Time, s *pkconfig.Service, it pkqueue.Item) pathQuery {
	sends := c.countedSends(it)
	q := c.newPathQuery(s, it.Tokens, sends)
	if gap := c.route.GapObjective; q.maxCost > 0 && gap > 0 {
		q.maxCost = maxTokenCost(gap, s.Engine)
	}
	if sends == 0 {
		q.memoryShare -= c.reservedShare(now, s, it)
	}
	q.queued, q.fleet, q.place = true, c.fleet(now), c.placeAt(now)
	return q
}

// countedSends returns the number of sends that let a request use more room: those of one that may have run.
func (c *call) countedSends(it pkqueue.Item) int {
	if it.Started || c.failed.Runs() > 0 {
		return c.sends
	}
	return 0
}

// canEverFit reports whether each layer that engines hold at now has one that could take the request if it had
// nothing else to do. Layers that no engine holds may get one.
func (c *call) canEverFit(now time.Time, s *pkconfig.Service, it pkqueue.Item) bool {
	share := c.newPathQuery(s, it.Tokens, c.countedSends(it)).memoryShare
	held, fits := make([]bool, s.Engine.Layers), make([]bool, s.Engine.Layers)
	for _, t := range c.liveEngines(now, s.ID, s.Engine) {
		fit := it.Tokens <= share*s.Engine.KVCapacity(t.Kind, t.Held.Len())
		for l := t.Held.First; l < t.Held.End; l++ {
			held[l], fits[l] = true, fits[l] || fit
		}
	}
	return slices.Equal(held, fits)
}

// reservedShare returns the share of a pool's room that a request leaves at now for more urgent ones that wait
// at other entries. One that can no longer be in time leaves it for all that can.
func (d *Daemon) reservedShare(now time.Time, s *pkconfig.Service, it pkqueue.Item) float64 {
	demands := d.othersDemand(now, s.ID)
	if len(demands) == 0 {
		return 0
	}
	room := 0.0
	for _, t := range d.liveEngines(now, s.ID, s.Engine) {
		held := t.Held.Len()
		room += s.Engine.KVCapacity(t.Kind, held) * float64(held)
	}
	priority := it.Priority
	if !now.Before(it.Objective) {
		priority = pkqueue.LeastUrgent
	}
	return pkqueue.Reserved(demands, priority, room/float64(s.Engine.Layers))
}

// queueItem describes the request for the queue of a pool.
func (c *call) queueItem(now time.Time, s *pkconfig.Service, r *room) pkqueue.Item {
	objective := c.route.LatencyObjective
	if objective <= 0 || (c.route.Timeout > 0 && objective > c.route.Timeout) {
		objective = defaultLatencyObjective
	}
	it := pkqueue.Item{
		Started: c.headSent, Priority: c.priority(), Rank: c.route.Priority, Account: c.account, Arrived: c.began,
		Objective: c.began.Add(objective), Tokens: c.estimatedTokens(s.Engine),
	}
	// Callers wait for an event once they have sent their request.
	if c.queuedAt.IsZero() {
		c.queuedAt = now
	}
	from := c.queuedAt
	it.Latest = from.Add(max(minPatience, objectivesPatience*c.route.LatencyObjective, gapsPatience*c.route.GapObjective))
	if c.headSent {
		from = now
		it.Latest = from.Add(resumeTimeout)
	}
	if it.Latest.After(c.deadline) {
		it.Latest = c.deadline
	}
	// Where first events take longer than a caller waits, no request would be started, and the mean never change.
	it.Latest = it.Latest.Add(-min(r.firstEventTime(), max(it.Latest.Sub(from), 0)/2))
	return it
}

// waitInQueue returns a path for the request whose load is reserved. If there is none, it waits in the
// queue of the pool until its turn, and is refused at once if that would take too long.
func (c *call) waitInQueue(ctx context.Context, s *pkconfig.Service) (targetPath, error) {
	now, r := time.Now(), c.room(s.ID)
	if c.failed.Delivered() > 0 && !c.headSent {
		c.requeued++
	}
	w := &waiter{c: c, service: s, item: c.queueItem(now, s, r), since: now, result: make(chan admission, 1)}
	if err := c.poolBusy(now, s); err != nil && !c.headSent && now.Add(err.wait).After(w.item.Latest) {
		return targetPath{}, err
	}
	c.ahead = max(c.ahead, r.push(now, w))
	defer func() {
		took := time.Since(now)
		c.waited += took
		c.metrics.queueWait.Observe(took.Seconds())
	}()
	if got, ended := c.awaitTurn(ctx, w); ended {
		return got.path, got.err
	}
	if r.remove(w) {
		return targetPath{}, ctx.Err()
	}
	if got := <-w.result; got.err == nil {
		got.path.release(w.item.Tokens)
		c.roomFreed()
	}
	return targetPath{}, ctx.Err()
}

// awaitTurn waits for the end of a wait, and reports whether it came before that of ctx. Meanwhile engines that are
// avoided for silence are asked on behalf of a stream that has started.
func (c *call) awaitTurn(ctx context.Context, w *waiter) (admission, bool) {
	var tick <-chan time.Time
	if w.item.Started {
		ticker := time.NewTicker(roomPollInterval)
		defer ticker.Stop()
		tick = ticker.C
	}
	for {
		select {
		case got := <-w.result:
			return got, true
		case <-ctx.Done():
			return admission{}, false
		case now := <-tick:
			c.recheckSilent(ctx, now, w.service.ID)
		}
	}
}

// ahead returns the tokens of the requests that go at now before one that is not in the queue, here and at
// other entries.
func (r *room) ahead(now time.Time, w *waiter) float64 {
	sum := r.queue.Ahead(now, w.item)
	for _, level := range w.c.othersDemand(now, w.service.ID) {
		if level.Priority <= w.item.Priority {
			sum += level.Tokens
		}
	}
	return sum
}

// estimate returns how long a request that the given tokens go before will wait from now, and whether that is
// known.
func (r *room) estimate(now time.Time, w *waiter, ahead float64) (time.Duration, bool) {
	d, m := w.c.Daemon, w.service.Engine
	turnover := pkqueue.Turnover{Duration: r.duration}
	for _, t := range d.liveEngines(now, w.service.ID, m) {
		turnover.InFlight += (t.OwnLoad().Tokens + t.PeerLoad().Tokens) / float64(m.Layers)
	}
	turnover.Stalled = r.stalled(now)
	return turnover.Wait(ahead)
}

// refusal returns the error for a request that is refused at now.
func (r *room) refusal(now time.Time, w *waiter, cause string) error {
	it := w.item
	wait, _ := r.estimate(now, w, r.ahead(now, w))
	// A request that has waited in vain shows that the wait is as long at least.
	wait = max(wait, now.Sub(w.since))
	if r.stalled(now) >= stalledAfter {
		wait = max(wait, retryAfterFull)
	}
	out := &queueRefusal{cause: cause, wait: wait, retryAfter: pkqueue.RetryAfter(wait, w.c.deadline.Sub(now), rand.Float64())}
	w.c.metrics.queueRefused.WithLabelValues(cause).Inc()
	w.c.log.Info("request refused for lack of room", "request_id", w.c.req.Meta.ID, "service", w.service.ID, "account", it.Account, "priority", it.Priority, "rank", it.Rank,
		"cause", cause, "waiting", r.queue.Len(), "waited_ms", now.Sub(w.since).Milliseconds(), "wait_ms", wait.Milliseconds(), "retry_after_ms", out.retryAfter.Milliseconds())
	w.c.logShortage(now, w.c.req.Meta.ID, w.service, w.c.queuedQuery(now, w.service, it))
	return out
}
