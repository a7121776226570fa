package pkedge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
	"peridotknot.example/pkqueue"
	"peridotknot.example/pktimer"
)

const (
	// defaultLatencyObjective applies to streams of routes without one, or with one beyond their timeout.
	defaultLatencyObjective = time.Second
	// minPatience, objectivesPatience and gapsPatience are how long callers wait for an event: the
	// longest of minPatience and these multiples of the route's objectives.
	minPatience        = 2 * time.Second
	objectivesPatience = 4
	gapsPatience       = 8
	// durationWeight is the weight of a new sample in the moving averages of a pool's streams.
	durationWeight = 0.1
)

// Causes of refusals by a queue for room.
const (
	causeLate    = "late"    // the estimated wait exceeds what its caller waits
	causeFull    = "full"    // the queue is full
	causeExpired = "expired" // no room came in time
	causeBudget  = "budget"  // an engine had refused it, and the retry budget allowed no other send in time
)

// rooms are the queues for room in pools of engines.
type rooms struct {
	mu   sync.Mutex
	all  map[pkid.ServiceID]*room
	wake chan struct{}
	// waiting counts the requests in all queues.
	waiting atomic.Int64
}

// room is the queue for room in one pool.
type room struct {
	mu    sync.Mutex
	queue pkqueue.Queue[*waiter]
	// held are requests that the retry budget keeps out of the queue.
	held []*waiter
	// admittedAt is when a request last got a path, waitingSince since when the queue is not empty.
	admittedAt   time.Time
	waitingSince time.Time
	// duration and firstEvent are moving averages of how long streams take, and to their first event.
	duration   time.Duration
	firstEvent time.Duration
}

// waiter is a request that waits for a path.
type waiter struct {
	c       *call
	service *pkconfig.Service
	item    pkqueue.Item
	since   time.Time
	// ticket is its place in the queue; zero while the retry budget holds it.
	ticket pkqueue.Ticket
	// result receives the path or the reason why there is none; it has space for one.
	result chan admission
}

// admission is the end of a wait.
type admission struct {
	path targetPath
	err  error
}

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

// of returns the queue of a pool.
func (r *rooms) of(s pkid.ServiceID, limits pkqueue.Limits) *room {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == nil {
		r.all = map[pkid.ServiceID]*room{}
	}
	if r.all[s] == nil {
		r.all[s] = &room{queue: pkqueue.Queue[*waiter]{Limits: limits}}
	}
	return r.all[s]
}

// room returns the queue of a pool.
func (d *Daemon) room(s pkid.ServiceID) *room {
	return d.rooms.of(s, pkqueue.Limits{MaxWaiting: d.settings.Queue.MaxWaiting})
}

// queues reports whether requests are queued for room in the pool of a service.
func (d *Daemon) queues(table *pkconfig.Table, s *pkconfig.Service) bool {
	if s.Engine == nil || table == nil || d.settings.Queue.Mode == QueueNever {
		return false
	}
	return d.settings.Queue.Mode == QueueAlways || table.Ranked(s.ID)
}

// queuesFor reports whether requests are queued for room in the pool of a service; table may be nil.
func (d *Daemon) queuesFor(table *pkconfig.Table, id pkid.ServiceID) bool {
	if table == nil {
		return false
	}
	s, found := table.Service(id)
	return found && d.queues(table, s)
}

// roomFreed has the queues look for paths, since some room may be free.
func (d *Daemon) roomFreed() {
	if d.rooms.waiting.Load() == 0 {
		return
	}
	select {
	case d.rooms.wake <- struct{}{}:
	default: // woken already
	}
}

// dispatchRooms gives paths to waiting requests when room may be free, and in between since avoided
// targets are used again after a time.
func (d *Daemon) dispatchRooms(ctx context.Context) {
	for {
		if d.rooms.waiting.Load() == 0 {
			select {
			case <-ctx.Done():
				return
			case <-d.rooms.wake:
			}
		} else if !pktimer.SleepOrWake(ctx, capacityPollInterval, d.rooms.wake) {
			return
		}
		d.rooms.mu.Lock()
		all := make([]*room, 0, len(d.rooms.all))
		for _, r := range d.rooms.all {
			all = append(all, r)
		}
		d.rooms.mu.Unlock()
		for _, r := range all {
			r.dispatch(time.Now())
		}
	}
}

// dispatch gives paths to waiting requests at now in their order, and ends waits that are of no use any more.
func (r *room) dispatch(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.queue.Expire(now) {
		r.finish(w.Value, admission{err: r.refusal(now, w.Value, causeExpired)})
	}
	r.releaseHeld(now)
	r.admitAll(now)
}

// releaseHeld queues the requests that the retry budget held and allows at now, the oldest first, and ends the
// waits of those that are of no use any more.
func (r *room) releaseHeld(now time.Time) {
	if len(r.held) == 0 {
		return
	}
	slices.SortStableFunc(r.held, func(a, b *waiter) int { return a.item.Arrived.Compare(b.item.Arrived) })
	held := r.held
	r.held = nil
	for _, w := range held {
		switch {
		case now.After(w.item.Latest):
			r.finish(w, admission{err: r.refusal(now, w, causeBudget)})
		case w.c.hasRetry(now):
			r.enqueue(now, w)
		default:
			r.held = append(r.held, w)
		}
	}
}

// enqueue adds a request to the queue at now.
func (r *room) enqueue(now time.Time, w *waiter) {
	if r.queue.Len() == 0 {
		r.waitingSince = now
	}
	var dropped []pkqueue.Waiting[*waiter]
	w.ticket, dropped = r.queue.Push(now, w.item, w)
	for _, one := range dropped {
		r.finish(one.Value, admission{err: r.refusal(now, one.Value, causeFull)})
	}
}

// finish ends the wait of a request that is no longer in the queue.
func (r *room) finish(w *waiter, got admission) {
	w.c.rooms.waiting.Add(-1)
	w.result <- got
}

// admitAll gives paths to waiting requests at now until none of those whose turn it is has one.
func (r *room) admitAll(now time.Time) {
	for r.admitNext(now) {
		continue
	}
}

// admitNext gives a path to the first waiting request that has one at now, and reports whether one has, or has
// left the queue.
func (r *room) admitNext(now time.Time) bool {
	for _, one := range r.queue.Heads(now) {
		w := one.Value
		p, found := w.findPath(now)
		if !found {
			continue
		}
		if w.c.delivered > 0 && !w.c.chargeRetry() {
			r.queue.Remove(w.ticket)
			w.ticket = 0
			r.held = append(r.held, w)
			return true
		}
		if !w.c.takePermit(now, p.first()) {
			w.c.charged = w.c.delivered > 0
			continue
		}
		r.queue.Admit(now, w.ticket)
		r.admittedAt = now
		w.c.reservePath(now, w.service, &p)
		r.finish(w, admission{path: p})
		return true
	}
	return false
}

// hasRetry reports whether the retry budget allows another send of the request at now.
func (c *call) hasRetry(now time.Time) bool {
	return c.charged || c.budgets.of(c.service).HasRetries(now, c.retryLimits(now), 1)
}

// findPath returns a path for a waiting request at now. One that has waited for capacityTimeout may use engines
// that are avoided for a failure that may be transient.
func (w *waiter) findPath(now time.Time) (targetPath, bool) {
	q := w.c.queuedQuery(now, w.service, w.item)
	p, found := w.c.findPath(now, w.service, q)
	if !found && now.Sub(w.since) >= capacityTimeout {
		q.lastResort = true
		p, found = w.c.findPath(now, w.service, q)
	}
	return p, found
}

// queuedQuery returns the query at now for a path of a request that may be queued.
func (c *call) queuedQuery(now time.Time, s *pkconfig.Service, it pkqueue.Item) pathQuery {
	sends := 0
	if it.Started || c.runs > 0 {
		sends = c.sends
	}
	q := c.newPathQuery(s, it.Tokens, sends)
	if gap := c.route.GapObjective; q.maxCost > 0 && gap > 0 {
		q.maxCost = maxTokenCost(gap, s.Engine)
	}
	if sends == 0 {
		q.memoryShare -= c.reservedShare(now, s, it)
	}
	q.queued, q.unreported, q.place = true, c.unreported(now), c.placeAt(now)
	return q
}

// reservedShare returns the share of a pool's room that a request leaves at now for more urgent ones that wait
// at other entries.
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
	return pkqueue.Reserved(demands, it.Priority, room/float64(s.Engine.Layers))
}

// othersDemand returns what waits at now for room in a pool at other entries.
func (d *Daemon) othersDemand(time.Time, pkid.ServiceID) []pkqueue.Level { return nil }

// queueItem describes the request for the queue of a pool.
func (c *call) queueItem(now time.Time, s *pkconfig.Service, r *room) pkqueue.Item {
	objective := c.route.LatencyObjective
	if objective <= 0 || (c.route.Timeout > 0 && objective > c.route.Timeout) {
		objective = defaultLatencyObjective
	}
	it := pkqueue.Item{
		Started: c.headSent, Priority: c.route.Priority, Rank: c.route.Priority, Account: c.account, Arrived: c.began,
		Objective: c.began.Add(objective), Tokens: c.estimatedTokens(s.Engine),
	}
	if a, found := c.table.AccountByID(c.account); found && a.Priority != nil {
		it.Priority = *a.Priority
	}
	it.Latest = c.began.Add(max(minPatience, objectivesPatience*objective, gapsPatience*c.route.GapObjective))
	if c.headSent {
		it.Latest = now.Add(resumeTimeout)
	}
	if it.Latest.After(c.deadline) {
		it.Latest = c.deadline
	}
	it.Latest = it.Latest.Add(-r.firstEventTime())
	return it
}

// waitInQueue returns a path for the request whose load is reserved. If there is none, it waits in the
// queue of the pool until its turn, and is refused at once if that would take too long.
func (c *call) waitInQueue(ctx context.Context, s *pkconfig.Service) (targetPath, error) {
	now, r := time.Now(), c.room(s.ID)
	if c.delivered > 0 && !c.headSent {
		c.requeued++
	}
	w := &waiter{c: c, service: s, item: c.queueItem(now, s, r), since: now, result: make(chan admission, 1)}
	c.ahead = max(c.ahead, r.push(now, w))
	defer func() {
		took := time.Since(now)
		c.waited += took
		c.metrics.queueWait.Observe(took.Seconds())
	}()
	select {
	case got := <-w.result:
		return got.path, got.err
	case <-ctx.Done():
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

// push adds a request to the queue at now, gives it a path if it is its turn, or refuses it if it cannot have
// one in time. It returns how many requests were waiting.
func (r *room) push(now time.Time, w *waiter) (waiting int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting = r.queue.Len() + len(r.held)
	w.c.rooms.waiting.Add(1)
	if w.c.delivered > 0 && !w.c.hasRetry(now) {
		r.held = append(r.held, w)
		return waiting
	}
	ahead := r.ahead(now, w)
	r.enqueue(now, w)
	r.admitAll(now)
	if len(w.result) > 0 || w.ticket == 0 || w.item.Started {
		return waiting
	}
	if wait, known := r.estimate(now, w, ahead); known && now.Add(wait).After(w.item.Latest) && r.queue.Remove(w.ticket) {
		r.finish(w, admission{err: r.refusal(now, w, causeLate)})
	}
	return waiting
}

// remove takes a request out, and reports whether it was waiting.
func (r *room) remove(w *waiter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.Index(r.held, w)
	switch {
	case i >= 0:
		r.held = slices.Delete(r.held, i, i+1)
	case !r.queue.Remove(w.ticket):
		return false
	}
	w.c.rooms.waiting.Add(-1)
	return true
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
	since := r.admittedAt
	if r.waitingSince.After(since) {
		since = r.waitingSince
	}
	turnover.Stalled = now.Sub(since)
	return turnover.Wait(ahead)
}

// refusal returns the error for a request that is refused at now.
func (r *room) refusal(now time.Time, w *waiter, cause string) error {
	it := w.item
	wait, _ := r.estimate(now, w, r.ahead(now, w))
	out := &queueRefusal{cause: cause, wait: wait, retryAfter: pkqueue.RetryAfter(wait, w.c.deadline.Sub(now), rand.Float64())}
	w.c.metrics.queueRefused.WithLabelValues(cause).Inc()
	w.c.log.Info("request refused for lack of room", "request_id", w.c.req.Meta.ID, "service", w.service.ID, "account", it.Account, "priority", it.Priority, "rank", it.Rank,
		"cause", cause, "waiting", r.queue.Len(), "waited_ms", now.Sub(w.since).Milliseconds(), "wait_ms", wait.Milliseconds(), "retry_after_ms", out.retryAfter.Milliseconds())
	w.c.logShortage(now, w.c.req.Meta.ID, w.service, w.c.queuedQuery(now, w.service, it))
	return out
}

// recordStream records how long a stream took, and to its first event.
func (r *room) recordStream(duration, firstEvent time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.duration = movingAverage(r.duration, duration)
	r.firstEvent = movingAverage(r.firstEvent, firstEvent)
}

func movingAverage(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(durationWeight*float64(sample-mean))
}

// firstEventTime returns how long streams take on average to their first event.
func (r *room) firstEventTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstEvent
}

// queueRejection returns the answer to a request that was refused for lack of room, or nil.
func queueRejection(err error) *rejection {
	var refused *queueRefusal
	if errors.As(err, &refused) {
		return refused.rejection()
	}
	return nil
}
