package pkedge

import (
	"context"
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
	// durationWeight is the weight of a new sample in the moving averages of a pool's streams.
	durationWeight = 0.1
	// roomPollInterval is how often waiting requests search for a path without an event that frees room: avoided
	// targets are used again after a time. A search takes a millisecond on the smallest VMs.
	roomPollInterval = 50 * time.Millisecond
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
	// failed are the searches for a path that found none since room was last freed.
	failed []pathQuery
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

// queuesAny reports whether requests are queued for room in some pool; table may be nil.
func (d *Daemon) queuesAny(table *pkconfig.Table) bool {
	return table != nil && slices.ContainsFunc(table.Services, func(s pkconfig.Service) bool { return d.queues(table, &s) })
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
		} else if !pktimer.SleepOrWake(ctx, roomPollInterval, d.rooms.wake) {
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
	r.failed = r.failed[:0]
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
		if w.c.hasRetry(now) {
			r.enqueue(now, w)
		} else {
			r.hold(now, w)
		}
	}
}

// hold keeps a request out of the queue until the retry budget allows another send, or refuses it at once if
// that will not be in time. Its caller may come back sooner, since the budget does not limit new requests.
func (r *room) hold(now time.Time, w *waiter) {
	c := w.c
	_, inTime := c.budgets.of(c.service).RetryWait(now, c.retryLimits(now), w.item.Latest.Sub(now))
	if len(r.held) >= r.queue.Limits.Bound() && !w.item.Started {
		r.finish(w, admission{err: r.refusal(now, w, causeFull)})
		return
	}
	if !inTime && (!w.item.Started || now.After(w.item.Latest)) {
		r.finish(w, admission{err: r.refusal(now, w, causeBudget)})
		return
	}
	r.held = append(r.held, w)
}

// enqueue adds a request to the queue at now.
func (r *room) enqueue(now time.Time, w *waiter) {
	if r.queue.Len() == 0 {
		r.waitingSince = now
		r.failed = r.failed[:0]
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
		p, found := r.findPath(now, w)
		if !found {
			continue
		}
		if w.c.failed.Delivered() > 0 && !w.c.chargeRetry() {
			r.queue.Remove(w.ticket)
			w.ticket = 0
			r.hold(now, w)
			return true
		}
		if !w.c.takePermit(now, p.first()) {
			// Another request took the last permit; a retry that was charged is kept for the next try.
			w.c.charges.Revert()
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

// push adds a request to the queue at now, gives it a path if it is its turn, or refuses it if it cannot have
// one in time. It returns how many requests were waiting.
func (r *room) push(now time.Time, w *waiter) (waiting int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting = r.queue.Len() + len(r.held)
	if w.c.rooms.waiting.Add(1) == 1 {
		defer w.c.roomFreed() // the dispatcher looks at intervals only while requests wait
	}
	if w.c.failed.Delivered() > 0 && !w.c.hasRetry(now) {
		r.hold(now, w)
		return waiting
	}
	ahead := r.ahead(now, w)
	r.enqueue(now, w)
	r.admitAll(now)
	if len(w.result) > 0 || w.ticket == 0 || w.item.Started {
		return waiting
	}
	wait, known := r.estimate(now, w, ahead)
	late := known && now.Add(wait).After(w.item.Latest) || !w.c.canEverFit(now, w.service, w.item)
	if late && r.queue.Remove(w.ticket) {
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

// stalled returns how long at now no request was started although some waited.
func (r *room) stalled(now time.Time) time.Duration {
	if r.queue.Len() == 0 {
		return 0
	}
	if r.admittedAt.After(r.waitingSince) {
		return now.Sub(r.admittedAt)
	}
	return now.Sub(r.waitingSince)
}

// demand returns what waits in the queue at now and can still be in time, by priority.
func (r *room) demand(now time.Time) []pkqueue.Level {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.Demand(now)
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
