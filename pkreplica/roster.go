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

// Record is one replica's entry in the list at a revision of the store.
type Record struct {
	Revision pkstore.Revision
	Info     Info
	// Beats is how many heartbeats the replica had written since its start.
	Beats uint64
	// Deleted says that the entry is gone; Info then has only its ID and, as far as they are
	// known, the start that it was of. Beats then is the count that was last known.
	Deleted bool
	// Unusable is the field that keeps an entry which is there from naming a replica; Deleted
	// is set with it.
	Unusable string
}

// Roster is the replicas that the list names; the zero value is empty.
type Roster struct {
	mu      sync.RWMutex
	records map[pkid.TargetID]Record
	targets map[pkid.TargetID]*Target
	// origins is how each id came to be known.
	origins map[pkid.TargetID]origin
	// all keeps the targets sorted by id, order the same by service. Neither slice changes once it
	// is made.
	all   []*Target
	order map[pkid.ServiceID][]*Target
	// ended is the addresses of processes that are gone for good.
	ended []string
	at    pkstore.Revision
	// era is the newest era of the store that is known.
	era      pkstore.Era
	returned time.Time
	// away says that the list cannot be followed, lost since when.
	away bool
	lost time.Time
}

// Apply takes records, older ones are passed over; at is the store's revision
// that the list is known up to. It returns the records that changed something.
func (r *Roster) Apply(now time.Time, records []Record, at pkstore.Revision) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enter(now, at.Era())
	var changed []Record
	for _, one := range records {
		r.enter(now, one.Revision.Era())
		if r.apply(now, one) {
			changed = append(changed, one)
		}
	}
	r.at = max(r.at, at)
	if len(changed) > 0 {
		r.sort()
	}
	return changed
}

// Learn takes what another entry knows of the list between two revisions; it returns
// the records that changed something. The list counts as known up to the second one
// only where it was known up to the first.
func (r *Roster) Learn(now time.Time, records []Record, after, at pkstore.Revision) []Record {
	if r.At() < after {
		at = 0
	}
	return r.Apply(now, records, at)
}

// Replace takes a whole list at a revision: what it does not name is gone.
func (r *Roster) Replace(now time.Time, records []Record, at pkstore.Revision) []Record {
	named := map[pkid.TargetID]bool{}
	for _, one := range records {
		named[one.Info.ID] = true
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

// enter notes at now that the store is in an era. One that has come back from an older copy lacks
// what replicas wrote since; they write it again, and live meanwhile.
func (r *Roster) enter(now time.Time, e pkstore.Era) {
	if e <= r.era {
		return
	}
	if r.era != 0 || len(r.records) > 0 {
		r.returned = now
	}
	r.era = e
}

// saysLess says whether a record is of a later era and yet older than one that is known: the copy
// that the store came back from has the entry as it was some seconds before. A replica that left
// since would get requests again, one that is gone would come back to life, and one that was given
// layers would count as empty. What the replica writes itself has a higher count of heartbeats.
func (one Record) saysLess(known Record) bool {
	return one.Revision.Era() > known.Revision.Era() && !one.Deleted &&
		one.Info.Born == known.Info.Born && one.Beats <= known.Beats
}

func (r *Roster) apply(now time.Time, one Record) bool {
	id := one.Info.ID
	old, found := r.records[id]
	if found && one.Revision <= old.Revision {
		return false
	}
	r.know(one, found)
	t := r.targets[id]
	if t != nil && !one.Deleted && after(t.Born, one.Info.Born) {
		// Written late by an earlier start: what the present one said still holds.
		old.Revision = one.Revision
		r.records[id] = old
		return false
	}
	if t != nil && one.Info.Born == 0 {
		one.Info.Born = t.Born
	}
	if found && one.saysLess(old) {
		old.Revision = one.Revision
		r.records[id] = old
		return false
	}
	if one.Deleted {
		one.Beats = max(one.Beats, old.Beats)
	}
	r.records[id] = one
	if one.Deleted {
		return lapse(now, t, old, one)
	}
	return r.update(now, t, old, one)
}

// update takes what a record says of a target that may be known, and says whether that is new.
func (r *Roster) update(now time.Time, t *Target, old, one Record) bool {
	id := one.Info.ID
	switch {
	case t == nil:
		r.targets[id] = &Target{Info: one.Info, seen: &seen{}}
	case after(one.Info.Born, t.Born):
		r.restart(t, one.Info)
	case t.Info != one.Info:
		r.targets[id] = &Target{Info: one.Info, seen: t.seen}
		r.targets[id].back(one.Info.Held != t.Held)
	default:
		t.back(false)
		return old.Deleted
	}
	if one.Info.Leaving {
		r.targets[id].leaves(now)
	}
	return true
}

func (r *Roster) sort() {
	r.order = map[pkid.ServiceID][]*Target{}
	r.all = slices.SortedFunc(maps.Values(r.targets), func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	for _, t := range r.all {
		r.order[t.Service] = append(r.order[t.Service], t)
	}
	r.displace(r.all)
}

// At returns the store's revision that the list is known up to.
func (r *Roster) At() pkstore.Revision {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.at
}

// Since returns the records after a revision.
func (r *Roster) Since(rev pkstore.Revision) []Record {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []Record
	for _, one := range r.records {
		if one.Revision > rev {
			out = append(out, one)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}

// Live returns the targets of a service that take new work at now.
func (r *Roster) Live(now time.Time, s pkid.ServiceID) []*Target {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []*Target
	for _, t := range r.order[s] {
		if !t.Leaving && !r.gone(now, t) {
			out = append(out, t)
		}
	}
	return out
}

// All returns all targets, also those that are gone, sorted by id; the caller must not change the
// slice.
func (r *Roster) All() []*Target {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.all
}

// Target returns a target by its id.
func (r *Roster) Target(id pkid.TargetID) (*Target, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	t, found := r.targets[id]
	return t, found
}

// Choose returns the live target of a service with the shortest expected wait
// that is none of avoid. If all that is left is passed over for failures, it
// returns the one whose pause ends first: some answer may still come.
func (r *Roster) Choose(now time.Time, s pkid.ServiceID, avoid []pkid.TargetID) (*Target, bool) {
	var best, worst *Target
	for _, t := range r.Live(now, s) {
		if slices.Contains(avoid, t.ID) {
			continue
		}
		if t.Avoided(now) {
			if worst == nil || t.until().Before(worst.until()) {
				worst = t
			}
			continue
		}
		if best == nil || t.wait(now) < best.wait(now) {
			best = t
		}
	}
	if best == nil {
		best = worst
	}
	return best, best != nil
}
