package pkreplica

import (
	"time"
)

// deletionGrace is how long after the store's return a record that was deleted during the outage
// still counts as present. Live replicas write their records again within two seconds.
const deletionGrace = 2200 * time.Millisecond

// applyDeletion applies a deleted or unusable record to its target, which is nil if unknown, and
// reports whether the record changed anything.
func applyDeletion(now time.Time, t *Target, old, rec Record) bool {
	if t == nil {
		return rec.Unusable != ""
	}
	t.markDeleted(now, rec.Unusable != "")
	return !old.Deleted || old.Unusable != rec.Unusable
}

// markLeaving records when the target was first seen to drain.
func (t *Target) markLeaving(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leavingAt.IsZero() {
		t.leavingAt = now
	}
}

// markDeleted records that the target's record was deleted or, if invalid is set, that the record
// exists but is unusable.
func (t *Target) markDeleted(now time.Time, invalid bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deletedAt = now
	t.recordInvalid = invalid
}

// markPresent records that the target's record exists. If heldChanged is set, the record lists
// other layers than before, which ends an avoidance for stale layers.
func (t *Target) markPresent(heldChanged bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deletedAt = time.Time{}
	if heldChanged && t.staleLayers {
		t.staleLayers = false
		t.avoidUntil = time.Time{}
	}
}

// MarkStoreUnavailable records at now that the list cannot be followed at present.
func (r *Roster) MarkStoreUnavailable(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.unavailable {
		r.unavailable, r.lostAt = true, now
	}
}

// MarkStoreAvailable records at now that the list is followed again. followed reports whether any peer
// followed the list without a gap since the given time. If one did, only this entry had lost the
// store, so records missing from its list count as deleted at once; granting them the grace period
// of an outage would keep sending requests to removed replicas.
func (r *Roster) MarkStoreAvailable(now time.Time, followed func(since time.Time) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.unavailable {
		return
	}
	r.unavailable = false
	if !followed(r.lostAt) {
		r.returnedAt = now
	}
}

// MarkPeerStoreAvailable records that the store returned to a peer at the given time. It only matters if
// this entry has lost the store as well: the peer then reports records deleted during the outage
// first, and they get the grace period. Otherwise only the peer had lost the store, and deleted
// records count at once.
func (r *Roster) MarkPeerStoreAvailable(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unavailable && at.After(r.returnedAt) {
		r.returnedAt = at
	}
}

// StoreRecoveredAt returns when the store last returned; zero if it was never unavailable.
func (r *Roster) StoreRecoveredAt() time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.returnedAt
}

// StoreUnavailable reports whether the list cannot be followed at present.
func (r *Roster) StoreUnavailable() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.unavailable
}

// removed reports whether a target counts as removed at now. A store that was unavailable drops the
// records of live replicas; applying these deletions at once would empty a pool.
func (r *Roster) removed(now time.Time, t *Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.displaced || (!t.deletedAt.IsZero() && !now.Before(t.removedFrom(r.returnedAt)))
}

// removedFrom returns when a target without a record starts to count as removed, given when the
// store last returned.
func (t *Target) removedFrom(returnedAt time.Time) time.Time {
	graceEnd := returnedAt.Add(deletionGrace)
	if t.recordInvalid || returnedAt.IsZero() || t.deletedAt.Before(returnedAt) || t.deletedAt.After(graceEnd) {
		return t.deletedAt
	}
	return graceEnd
}

// LeavingFor returns how long a target has been known at now to be draining or removed; zero if it
// is neither.
func (r *Roster) LeavingFor(now time.Time, t *Target) time.Duration {
	r.mu.RLock()
	returnedAt := r.returnedAt
	r.mu.RUnlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !t.leavingAt.IsZero():
		return now.Sub(t.leavingAt)
	case !t.deletedAt.IsZero():
		return max(now.Sub(t.removedFrom(returnedAt)), 0)
	default:
		return 0
	}
}

func (t *Target) avoidedUntil() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.avoidUntil
}
