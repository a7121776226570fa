package pkreplica

import (
	"time"
)

// deletionGrace is how long after the store is available again a record that was deleted during the
// outage still counts as present. Live replicas write their records again within two seconds.
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

// markLeaving records when the target was first seen leaving.
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
	if heldChanged && t.staleRecord {
		t.staleRecord = false
		t.avoidUntil, t.backoffUntil = time.Time{}, time.Time{}
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

// MarkStoreAvailable records at now that the list is followed again. followed reports whether any
// peer followed the list without a gap since the given time. If one did, the outage was local to
// this entry, and records missing from its list count as deleted at once.
func (r *Roster) MarkStoreAvailable(now time.Time, followed func(since time.Time) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.unavailable {
		return
	}
	r.unavailable = false
	if !followed(r.lostAt) {
		r.recoveredAt = now
	}
}

// MarkPeerStoreAvailable records that a peer could reach the store again at the given time. It only
// matters if this entry has lost the store as well: the peer then reports records deleted during
// the outage first, and they get the grace period. Otherwise only the peer had lost the store, and
// deleted records count at once.
func (r *Roster) MarkPeerStoreAvailable(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unavailable && at.After(r.recoveredAt) {
		r.recoveredAt = at
	}
}

// StoreRecoveredAt returns when the store was last available again; zero if it was never
// unavailable.
func (r *Roster) StoreRecoveredAt() time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.recoveredAt
}

// StoreUnavailable reports whether the list cannot be followed at present.
func (r *Roster) StoreUnavailable() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.unavailable
}

// Removed reports whether a target counts as removed from the list at now.
func (r *Roster) Removed(now time.Time, t *Target) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.removed(now, t)
}

// removed reports whether a target counts as removed at now. A store that was unavailable drops the
// records of live replicas; applying these deletions at once would empty a pool.
func (r *Roster) removed(now time.Time, t *Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.displaced || (!t.deletedAt.IsZero() && !now.Before(t.removedFrom(r.recoveredAt)))
}

// removedFrom returns when a target without a record starts to count as removed, given when the
// store was last available again.
func (t *Target) removedFrom(recoveredAt time.Time) time.Time {
	graceEnd := recoveredAt.Add(deletionGrace)
	if t.recordInvalid || recoveredAt.IsZero() || t.deletedAt.Before(recoveredAt) || t.deletedAt.After(graceEnd) {
		return t.deletedAt
	}
	return graceEnd
}

// LeavingFor returns how long a target has been known at now to be leaving or removed; zero if it
// is neither.
func (r *Roster) LeavingFor(now time.Time, t *Target) time.Duration {
	r.mu.RLock()
	recoveredAt := r.recoveredAt
	r.mu.RUnlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !t.leavingAt.IsZero():
		return now.Sub(t.leavingAt)
	case !t.deletedAt.IsZero():
		return max(now.Sub(t.removedFrom(recoveredAt)), 0)
	default:
		return 0
	}
}

func (t *Target) avoidedUntil() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.avoidedUntilLocked()
}
