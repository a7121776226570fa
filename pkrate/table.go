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

// record is what the latest response of a target says of its limit.
type record struct {
	limit Limit
	// sentAt is when the request of that response was sent.
	sentAt time.Time
	// born is the start of the target, if known.
	born pkid.StartTime
}

// Table holds the limits of targets; the zero value is empty.
type Table struct {
	mu       sync.Mutex
	byTarget map[pkid.TargetID]record
}

// Record stores the limit in the response to a request that was sent to a target at sentAt; born is
// the start of the target, or zero if unknown. It returns the limit before and whether it has
// changed. A response to an earlier request than the latest, or of an earlier start, is ignored.
func (t *Table) Record(id pkid.TargetID, born pkid.StartTime, l Limit, sentAt time.Time) (before Limit, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, known := t.byTarget[id]
	if known && (born < last.born || (born == last.born && sentAt.Before(last.sentAt))) {
		return last.limit, false
	}
	if t.byTarget == nil {
		t.byTarget = map[pkid.TargetID]record{}
	}
	t.byTarget[id] = record{limit: l, sentAt: sentAt, born: born}
	return last.limit, l != last.limit
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
	n := 0
	for _, r := range t.byTarget {
		if r.limit.Named {
			n++
		}
	}
	return n
}
