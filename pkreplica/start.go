package pkreplica

import (
	"cmp"

	"peridotknot.example/pkid"
	"peridotknot.example/pkstore"
)

// origin is how a roster came to know of an id.
type origin struct {
	// at is the revision of its first record.
	at pkstore.Revision
	// listed says that it stood in the first list, whose order says nothing.
	listed bool
}

// after says whether a birth is known to be that of a later start.
func after(a, b pkid.Birth) bool { return b != 0 && a > b }

// know notes an id that was not known before.
func (r *Roster) know(one Record, known bool) {
	if r.records == nil {
		r.records = map[pkid.TargetID]Record{}
		r.targets = map[pkid.TargetID]*Target{}
		r.origins = map[pkid.TargetID]origin{}
	}
	if !known {
		r.origins[one.Info.ID] = origin{at: one.Revision, listed: r.at == 0}
	}
}

// Restarted takes a birth that a replica told itself and says whether it is of a later start
// than the one that is known. The replica counts as holding nothing until its entry says
// otherwise, and all that was seen of it before ends.
func (r *Roster) Restarted(id pkid.TargetID, born pkid.Birth) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[id]
	if t == nil || !after(born, t.Born) {
		return false
	}
	info := t.Info
	info.Born, info.Held = born, pkid.Range{}
	r.restart(t, info)
	r.sort()
	return true
}

// restart puts a new start in the place of a target. Requests in flight, memory, failures and
// whether it left belong to the old one: kept, an engine that came back empty counted as
// half full, and one that had left before was never used again.
func (r *Roster) restart(t *Target, info Info) {
	t.end()
	r.ended = append(r.ended, t.Addr)
	r.targets[info.ID] = &Target{Info: info, seen: &seen{restarted: true}}
}

// end notes that the process of this start is gone for good.
func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
}

// Restarted says whether another start was known under the same id before this one.
func (t *Target) Restarted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.restarted
}

// displace finds the targets whose address a process has that started later. An engine that
// was cut off from the store starts again under another id, and what its old process had
// written comes through late and lists it again: half of all paths then named an engine
// twice or one that holds nothing, and 45 of 100 requests were refused for twenty seconds.
func (r *Roster) displace(all []*Target) {
	holders := map[string]*Target{}
	for _, t := range all {
		if t.Addr == "" || r.records[t.ID].Deleted {
			continue
		}
		if h := holders[t.Addr]; h == nil || r.startedAfter(t, h) {
			holders[t.Addr] = t
		}
	}
	for _, t := range all {
		h := holders[t.Addr]
		if t.setDisplaced(h != nil && h != t) {
			r.ended = append(r.ended, t.Addr)
		}
	}
}

// setDisplaced notes whether another process has the target's address and says whether that
// is new.
func (t *Target) setDisplaced(is bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.displaced
	t.displaced = is
	return is && !before
}

// startedAfter says whether a started after b, both of them listed at one address. The id that
// came to be known later is that of the later start, since what an old process wrote names an
// id that is known. Of two that stood in the first list, the one with fewer heartbeats is.
func (r *Roster) startedAfter(a, b *Target) bool {
	if a.Born != 0 && b.Born != 0 && a.Born != b.Born {
		return a.Born > b.Born
	}
	x, y := r.origins[a.ID], r.origins[b.ID]
	switch {
	case x.listed && y.listed:
		fewer := cmp.Compare(r.records[b.ID].Beats, r.records[a.ID].Beats)
		return cmp.Or(fewer, cmp.Compare(x.at, y.at)) > 0
	case x.listed != y.listed:
		return y.listed
	default:
		return x.at > y.at
	}
}

// Ended returns the addresses that processes have left to others since it was last asked.
func (r *Roster) Ended() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.ended
	r.ended = nil
	return out
}

// Revision returns the revision of the entry that is known of a target.
func (r *Roster) Revision(id pkid.TargetID) pkstore.Revision {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.records[id].Revision
}
