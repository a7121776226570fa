package pkreplica

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkstore"
)

// Record is the record of one replica in the list at a revision of the store. Peers exchange it
// encoded under its field names.
type Record struct {
	Revision pkstore.Revision
	Info     Info
	// Beats is the number of heartbeats the replica has written since its start.
	Beats uint64
	// Deleted marks a deleted record. Info then holds only the ID and, if known, the start that the
	// record belonged to; Beats holds the last known count.
	Deleted bool
	// Unusable names the invalid field of a record that exists but does not describe a usable
	// replica. Deleted is set with it.
	Unusable string
}

// Roster is the set of replicas in the list; the zero value is empty.
type Roster struct {
	mu      sync.RWMutex
	records map[pkid.TargetID]Record
	targets map[pkid.TargetID]*Target
	// origins records how each id was first learned.
	origins map[pkid.TargetID]origin
	// all holds the targets sorted by id, byService the same grouped by service. Both slices are
	// replaced, never modified.
	all       []*Target
	byService map[pkid.ServiceID][]*Target
	// ended holds the addresses of processes that are known to have ended.
	ended    []string
	revision pkstore.Revision
	// era is the newest known pkstore.Era, which counts the restores of the store from a copy.
	era         pkstore.Era
	recoveredAt time.Time
	// unavailable is set while the list cannot be followed, since lostAt.
	unavailable bool
	lostAt      time.Time
}

// Apply applies records, ignoring older ones, and returns those that changed something. at is the
// store revision up to which the list is then known.
func (r *Roster) Apply(now time.Time, records []Record, at pkstore.Revision) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enterEra(now, at.Era())
	var changed []Record
	for _, rec := range records {
		r.enterEra(now, rec.Revision.Era())
		if r.apply(now, rec) {
			changed = append(changed, rec)
		}
	}
	r.revision = max(r.revision, at)
	if len(changed) > 0 {
		r.rebuildIndex()
	}
	return changed
}

// ApplyDelta applies the records of a peer's list between two revisions and returns those that
// changed something. The list counts as known up to at only if it was known up to after.
func (r *Roster) ApplyDelta(now time.Time, records []Record, after, at pkstore.Revision) []Record {
	if r.At() < after {
		at = 0
	}
	return r.Apply(now, records, at)
}

// Replace applies a complete list at a revision: replicas not in it are deleted.
func (r *Roster) Replace(now time.Time, records []Record, at pkstore.Revision) []Record {
	named := map[pkid.TargetID]bool{}
	for _, rec := range records {
		named[rec.Info.ID] = true
	}
	r.mu.RLock()
	for id, old := range r.records {
		if !named[id] && !old.Deleted && old.Revision <= at {
			records = append(records, Record{Revision: at, Info: Info{ID: id}, Deleted: true})
		}
	}
	r.mu.RUnlock()
	return r.Apply(now, records, at)
}

// enterEra advances to a newer era of the store. A store restored from an older copy lacks the
// latest records of live replicas until they write them again, so the deletion grace period starts.
func (r *Roster) enterEra(now time.Time, e pkstore.Era) {
	if e <= r.era {
		return
	}
	if r.era != 0 || len(r.records) > 0 {
		r.recoveredAt = now
	}
	r.era = e
}

// isOlderCopyOf reports whether a record of a later era is older than the known record: the store
// was restored from a copy that holds an earlier state of it. Applying it would make a leaving
// replica take requests again, bring back a deleted one, or reset the layers an engine holds. A
// record that the replica wrote after the restore has a higher heartbeat count.
func (rec Record) isOlderCopyOf(known Record) bool {
	return rec.Revision.Era() > known.Revision.Era() && !rec.Deleted &&
		rec.Info.Born == known.Info.Born && rec.Beats <= known.Beats
}

func (r *Roster) apply(now time.Time, rec Record) bool {
	id := rec.Info.ID
	old, found := r.records[id]
	if found && rec.Revision <= old.Revision {
		return false
	}
	r.recordOrigin(rec, found)
	t := r.targets[id]
	if t != nil && !rec.Deleted && isLaterStart(t.Born, rec.Info.Born) {
		// A late write of an earlier start: the record of the present start still applies.
		old.Revision = rec.Revision
		r.records[id] = old
		return false
	}
	if t != nil && rec.Info.Born == 0 {
		rec.Info.Born = t.Born
	}
	if found && rec.isOlderCopyOf(old) {
		old.Revision = rec.Revision
		r.records[id] = old
		return false
	}
	if rec.Deleted {
		rec.Beats = max(rec.Beats, old.Beats)
	}
	r.records[id] = rec
	if rec.Deleted {
		return applyDeletion(now, t, old, rec)
	}
	return r.update(now, t, old, rec)
}

// update applies a record that is not deleted to its target, which is nil if unknown, and reports
// whether the record changed anything.
func (r *Roster) update(now time.Time, t *Target, old, rec Record) bool {
	id := rec.Info.ID
	switch {
	case t == nil:
		r.targets[id] = &Target{Info: rec.Info, state: &state{}}
	case isLaterStart(rec.Info.Born, t.Born):
		r.restart(t, rec.Info)
	case t.Info != rec.Info:
		r.targets[id] = &Target{Info: rec.Info, state: t.state}
		r.targets[id].markPresent(rec.Info.Held != t.Held)
	default:
		t.markPresent(false)
		return old.Deleted
	}
	if rec.Info.Leaving {
		r.targets[id].markLeaving(now)
	}
	return true
}

func (r *Roster) rebuildIndex() {
	r.byService = map[pkid.ServiceID][]*Target{}
	r.all = slices.SortedFunc(maps.Values(r.targets), func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	for _, t := range r.all {
		r.byService[t.Service] = append(r.byService[t.Service], t)
	}
	r.updateDisplaced(r.all)
}

// At returns the store revision up to which the list is known.
func (r *Roster) At() pkstore.Revision {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.revision
}

// Since returns the records newer than a revision, ordered by revision.
func (r *Roster) Since(rev pkstore.Revision) []Record {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []Record
	for _, rec := range r.records {
		if rec.Revision > rev {
			out = append(out, rec)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}

// Live returns the targets of a service that accept new requests at now.
func (r *Roster) Live(now time.Time, s pkid.ServiceID) []*Target {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []*Target
	for _, t := range r.byService[s] {
		if !t.Leaving && !t.AnnouncedLeaving() && !r.removed(now, t) {
			out = append(out, t)
		}
	}
	return out
}

// All returns all targets sorted by id, including removed ones; the caller must not modify the
// slice.
func (r *Roster) All() []*Target {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.all
}

// Target returns the target with the given id.
func (r *Roster) Target(id pkid.TargetID) (*Target, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	t, found := r.targets[id]
	return t, found
}

// Choose returns the live target of a service with the shortest expected wait that may be used. If
// every such target is avoided for failures, it returns the one whose avoidance ends first, since
// it may still answer.
func (r *Roster) Choose(now time.Time, s pkid.ServiceID, mayUse func(*Target) bool) (*Target, bool) {
	var best, fallback *Target
	for _, t := range r.Live(now, s) {
		if !mayUse(t) {
			continue
		}
		if t.Avoided(now) {
			if fallback == nil || t.avoidedUntil().Before(fallback.avoidedUntil()) {
				fallback = t
			}
			continue
		}
		if best == nil || t.expectedWait(now) < best.expectedWait(now) {
			best = t
		}
	}
	if best == nil {
		best = fallback
	}
	return best, best != nil
}
