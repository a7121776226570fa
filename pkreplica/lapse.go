package pkreplica

import (
	"time"
)

// lapseGrace is how long after the store's return an entry that lapsed meanwhile
// still counts: the platform writes those of live replicas again within two
// seconds.
const lapseGrace = 2200 * time.Millisecond

// lapse takes a record that names no replica any more, of a target that may be known, and says
// whether that is new.
func lapse(now time.Time, t *Target, old, one Record) bool {
	if t == nil {
		return one.Unusable != ""
	}
	t.lapsed(now, one.Unusable != "")
	return !old.Deleted || old.Unusable != one.Unusable
}

// leaves notes at now that the target leaves.
func (t *Target) leaves(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leavingAt.IsZero() {
		t.leavingAt = now
	}
}

// lapsed notes at now that the target has no entry any more, or, for certain, one that names
// no replica.
func (t *Target) lapsed(now time.Time, certain bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.goneAt = now
	t.goneForCertain = certain
}

// back notes that the target's entry is there, and whether it says something new of what the
// target holds.
func (t *Target) back(moved bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.goneAt = time.Time{}
	if moved && t.misplaced {
		t.misplaced = false
		t.avoidUntil = time.Time{}
	}
}

// StoreAway notes at now that the list cannot be followed at present.
func (r *Roster) StoreAway(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.away {
		r.away, r.lost = true, now
	}
}

// StoreBack notes at now that the list is followed again. Where others followed it all the while,
// which followed says of a time since when, the store has turned this entry away alone: what its
// list lacks is gone. Taken for an outage, a replica whose entry was removed meanwhile got requests
// for two seconds more, later than a leaving one may get any.
func (r *Roster) StoreBack(now time.Time, followed func(since time.Time) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.away {
		return
	}
	r.away = false
	if !followed(r.lost) {
		r.returned = now
	}
}

// StoreReturned notes that the store returned to another entry at a time. Where it is
// away for this one too, what lapsed meanwhile is told by that entry first, and must not
// count as gone at once. Where it is not, the other was turned away alone: taken for an
// outage, a replica whose entry was removed got requests for two seconds more.
func (r *Roster) StoreReturned(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away && at.After(r.returned) {
		r.returned = at
	}
}

// Returned returns when the store last returned; zero where it was never away.
func (r *Roster) Returned() time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.returned
}

// Away says whether the list cannot be followed at present.
func (r *Roster) Away() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.away
}

// gone says whether a target's entry counts as gone at now. A store that was away
// drops entries of live replicas; to believe it at once would empty a pool.
func (r *Roster) gone(now time.Time, t *Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.displaced || (!t.goneAt.IsZero() && !now.Before(t.goneFrom(r.returned)))
}

// goneFrom returns from when on a target without an entry counts as gone, where the
// store last returned at returned.
func (t *Target) goneFrom(returned time.Time) time.Time {
	believed := returned.Add(lapseGrace)
	if t.goneForCertain || returned.IsZero() || t.goneAt.Before(returned) || t.goneAt.After(believed) {
		return t.goneAt
	}
	return believed
}

// LeavingFor returns how long it is known at now that a target leaves or is gone;
// zero where it is neither.
func (r *Roster) LeavingFor(now time.Time, t *Target) time.Duration {
	r.mu.RLock()
	returned := r.returned
	r.mu.RUnlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !t.leavingAt.IsZero():
		return now.Sub(t.leavingAt)
	case !t.goneAt.IsZero():
		return max(now.Sub(t.goneFrom(returned)), 0)
	default:
		return 0
	}
}

func (t *Target) until() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.avoidUntil
}
