package pkreplica

import (
	"cmp"

	"peridotknot.example/pkid"
	"peridotknot.example/pkstore"
)

// origin records how a roster first learned of an id.
type origin struct {
	// at is the revision of the first record.
	at pkstore.Revision
	// inFirstList is set if the id was in the first list, whose order does not reflect start order.
	inFirstList bool
}

// isLaterStart reports whether start time a is known to be later than b.
func isLaterStart(a, b pkid.StartTime) bool { return b != 0 && a > b }

// recordOrigin records the origin of an id that was not known before.
func (r *Roster) recordOrigin(rec Record, known bool) {
	if r.records == nil {
		r.records = map[pkid.TargetID]Record{}
		r.targets = map[pkid.TargetID]*Target{}
		r.origins = map[pkid.TargetID]origin{}
	}
	if !known {
		r.origins[rec.Info.ID] = origin{at: rec.Revision, inFirstList: r.revision == 0}
	}
}

// Restarted takes a start time reported by the replica itself and reports whether it is later than
// the known one. If so, the observations of the previous start are discarded, and the replica
// counts as holding no layers until its record lists some.
func (r *Roster) Restarted(id pkid.TargetID, born pkid.StartTime) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[id]
	if t == nil || !isLaterStart(born, t.Born) {
		return false
	}
	info := t.Info
	info.Born, info.Held = born, pkid.Range{}
	r.restart(t, info)
	r.rebuildIndex()
	return true
}

// restart replaces a target by one for a new start. Requests in flight, memory, failures and the
// leaving state belong to the previous start: carried over, they would make an empty engine look
// loaded or keep it from use.
func (r *Roster) restart(t *Target, info Info) {
	t.markEnded()
	r.ended = append(r.ended, t.Addr)
	r.targets[info.ID] = &Target{Info: info, state: &state{restarted: true}}
}

// markEnded records that the process of this start has ended.
func (t *Target) markEnded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
}

// Restarted reports whether an earlier start was known under the same id.
func (t *Target) Restarted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.restarted
}

// updateDisplaced marks the targets whose address belongs to a process that started later. An
// engine cut off from the store may restart under another id while a late write of its previous
// process lists the old id again; paths would then include one engine twice or one that holds no
// layers.
func (r *Roster) updateDisplaced(all []*Target) {
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

// setDisplaced sets whether another process has the target's address and reports whether the target
// was newly displaced.
func (t *Target) setDisplaced(is bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.displaced
	t.displaced = is
	return is && !before
}

// startedAfter reports whether a started after b, both listed at the same address. Without start
// times, the id that was learned later started later, since late writes of an old process name a
// known id. If both were in the first list, the replica with fewer heartbeats started later.
func (r *Roster) startedAfter(a, b *Target) bool {
	if a.Born != 0 && b.Born != 0 && a.Born != b.Born {
		return a.Born > b.Born
	}
	x, y := r.origins[a.ID], r.origins[b.ID]
	switch {
	case x.inFirstList && y.inFirstList:
		fewer := cmp.Compare(r.records[b.ID].Beats, r.records[a.ID].Beats)
		return cmp.Or(fewer, cmp.Compare(x.at, y.at)) > 0
	case x.inFirstList != y.inFirstList:
		return y.inFirstList
	default:
		return x.at > y.at
	}
}

// TakeEndedAddrs returns the addresses of processes that have ended since the last call.
func (r *Roster) TakeEndedAddrs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.ended
	r.ended = nil
	return out
}

// Revision returns the revision of a target's record.
func (r *Roster) Revision(id pkid.TargetID) pkstore.Revision {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.records[id].Revision
}
