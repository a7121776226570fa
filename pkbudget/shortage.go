package pkbudget

import "time"

// shortageTime is how long the budget must be short no more before a shortage has ended.
const shortageTime = 5 * time.Second

// Counts counts what was refused or evicted since the start.
type Counts struct {
	RefusedConnections, EvictedConnections int64
	RefusedRequests, EvictedRequests       int64
}

// minus returns what was counted since before.
func (c Counts) minus(before Counts) Counts {
	return Counts{
		RefusedConnections: c.RefusedConnections - before.RefusedConnections, EvictedConnections: c.EvictedConnections - before.EvictedConnections,
		RefusedRequests: c.RefusedRequests - before.RefusedRequests, EvictedRequests: c.EvictedRequests - before.EvictedRequests,
	}
}

// shortage is a time in which the budget is short.
type shortage struct {
	began, last time.Time
	// before has the counts when it began.
	before   Counts
	reported bool
}

// Report is a change of whether the budget is short.
type Report struct {
	// Short is set if a shortage has begun, and not if it has ended.
	Short bool
	// Lasted is how long the shortage has lasted, and Counts is what was refused or evicted in it.
	Lasted time.Duration
	Counts Counts
}

// recordShort counts that a caller was refused or evicted at now; the caller holds mu.
func (b *Budget[O]) recordShort(now time.Time, count *int64) {
	if b.shortage.began.IsZero() {
		b.shortage = shortage{began: now, before: b.counts}
	}
	b.shortage.last = now
	*count++
}

// Report returns a change that was not reported yet, by now.
func (b *Budget[O]) Report(now time.Time) (r Report, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &b.shortage
	if s.began.IsZero() {
		return Report{}, false
	}
	r = Report{Short: true, Lasted: s.last.Sub(s.began), Counts: b.counts.minus(s.before)}
	switch {
	case !s.reported:
		s.reported = true
		return r, true
	case now.Sub(s.last) >= shortageTime:
		r.Short = false
		*s = shortage{}
		return r, true
	default:
		return Report{}, false
	}
}
