package pkrate

import (
	"sync"
	"time"

	"peridotknot.example/pkid"
)

// Limit is the request rate that a target accepts from all entries together; the zero value is no
// limit.
type Limit struct {
	// Named is set if the target names a limit, which is Rate.
	Named bool
	Rate  pkid.RequestRate
}

// record is the limit in the latest response of a target.
type record struct {
	limit Limit
	// sentAt is when the request of that response was sent.
	sentAt time.Time
	// born is the start of the target, if known.
	born    pkid.StartTime
	permits permits
	// relayed is set if another entry has observed it.
	relayed bool
}

const (
	// retention is how long the latest response of a target counts.
	retention = 10 * time.Minute
	// minPruned is the number of targets below which none is dropped.
	minPruned = 256
)

// Table holds the limits of targets; the zero value is empty.
type Table struct {
	mu       sync.Mutex
	byTarget map[pkid.TargetID]record
	// named counts the targets that name a limit.
	named int
	// pruneAt is the number of targets at which those without a recent response are dropped.
	pruneAt int
	// announced holds the targets whose limit is sent to the other entries.
	announced map[pkid.TargetID]bool
}

// Record stores the limit in the response to a request that was sent to a target at sentAt; born is
// the start of the target, or zero if unknown. It returns the limit before and whether it has
// changed. A response to an earlier request than the latest, or of an earlier start, is ignored.
func (t *Table) Record(id pkid.TargetID, born pkid.StartTime, l Limit, sentAt time.Time) (before Limit, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(sentAt)
	last, known := t.byTarget[id]
	if known && (born < last.born || (born == last.born && sentAt.Before(last.sentAt))) {
		return last.limit, false
	}
	t.store(id, last, record{limit: l, sentAt: sentAt, born: born})
	return last.limit, l != last.limit
}

// store replaces the last record of a target.
func (t *Table) store(id pkid.TargetID, last, next record) {
	next.permits = last.permits
	t.byTarget[id] = next
	t.named += count(next.limit) - count(last.limit)
	if next.limit.Named || last.limit.Named {
		if t.announced == nil {
			t.announced = map[pkid.TargetID]bool{}
		}
		t.announced[id] = true
	}
}

func count(l Limit) int {
	if l.Named {
		return 1
	}
	return 0
}

// prune drops the targets without a recent response at now, if there are twice as many targets as
// after the last time.
func (t *Table) prune(now time.Time) {
	if t.byTarget == nil {
		t.byTarget = map[pkid.TargetID]record{}
	}
	if len(t.byTarget) < max(t.pruneAt, minPruned) {
		return
	}
	for id, r := range t.byTarget {
		if now.Sub(r.sentAt) >= retention {
			delete(t.byTarget, id)
			t.named -= count(r.limit)
		}
	}
	t.pruneAt = 2 * len(t.byTarget)
}

// Wait returns how long from now a request to a target must wait for a permit; zero if it may be
// sent now.
func (t *Table) Wait(now time.Time, id pkid.TargetID, born pkid.StartTime, s Share) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, limited := t.advance(now, id, born, s)
	if !limited {
		return 0
	}
	return max(p.next.Sub(now), 0)
}

// RetryAfter returns how long from now the caller of a refused request should wait until it comes
// back: until this entry has a permit for the target, or until any entry can be expected to have
// one, since the request may return to another.
func (t *Table) RetryAfter(now time.Time, id pkid.TargetID, born pkid.StartTime, s Share) time.Duration {
	return min(t.Wait(now, id, born, s), fleetInterval(t.Limit(id, born).Rate))
}

// Take takes a permit for a request to a target at now and reports whether there was one. A target
// without a limit needs none.
func (t *Table) Take(now time.Time, id pkid.TargetID, born pkid.StartTime, s Share) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, limited := t.advance(now, id, born, s)
	if !limited {
		return true
	}
	if !p.take(now) {
		return false
	}
	r := t.byTarget[id]
	r.permits = p
	t.byTarget[id] = r
	return true
}

// advance returns the permits for a target at now, and whether it has a limit.
func (t *Table) advance(now time.Time, id pkid.TargetID, born pkid.StartTime, s Share) (p permits, limited bool) {
	r := t.byTarget[id]
	if !r.limit.Named || r.born < born {
		return permits{}, false
	}
	r.permits.advance(now, s.interval(r.limit.Rate), s.placeOf(id))
	t.byTarget[id] = r
	return r.permits, true
}

// Limit returns the limit of a target; what an earlier start has named is ignored.
func (t *Table) Limit(id pkid.TargetID, born pkid.StartTime) Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byTarget[id]
	if r.born < born {
		return Limit{}
	}
	return r.limit
}

// Named returns the number of targets that name a limit.
func (t *Table) Named() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.named
}
