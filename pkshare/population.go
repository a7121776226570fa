package pkshare

import (
	"time"

	"peridotknot.example/pkid"
)

const (
	// EntryRetention is how long an entry that has left still counts for limits of the whole
	// fleet, since its last retries are still within their window.
	EntryRetention = 10 * time.Second
	// sizeSettleTime is how long a count must not have grown before it is saved, so that a fleet
	// that starts is saved once.
	sizeSettleTime = 2 * time.Second
	// sizeShrinkTime is how long a count must have been lower than the saved one by sizeShrinkRatio
	// before it replaces it: an outage of many entries must not raise the limits of the others.
	sizeShrinkTime  = time.Minute
	sizeShrinkRatio = 0.8
)

// EntryCounts returns the number of entries of this one's data centre and of the fleet that share
// limits at now. It counts the registered entries, those heard from within EntryRetention, and for
// other data centres what their hubs have counted.
func (t *Table) EntryCounts(now time.Time, self Member, registered []Member) (local, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	localIDs := map[pkid.EntryID]bool{self.ID: true}
	remote := map[pkid.DataCenter]int{}
	for _, m := range registered {
		if m.DataCenter == self.DataCenter {
			localIDs[m.ID] = true
		} else {
			remote[m.DataCenter]++
		}
	}
	for id, p := range t.peers {
		if now.Sub(p.lastReceivedAt) >= EntryRetention {
			continue
		}
		if p.dataCenter == self.DataCenter {
			localIDs[id] = true
		} else {
			remote[p.dataCenter] = max(remote[p.dataCenter], p.localEntries)
		}
	}
	all = len(localIDs)
	for _, n := range remote {
		all += n
	}
	return len(localIDs), all
}

// ReportingCount returns the number of other entries whose loads are known at now.
func (t *Table) ReportingCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if global := t.globalSum(now); global != nil {
		return global.Entries - 1
	}
	sums := t.remoteSums(now)
	n := 0
	t.forEachDirect(now, sums, func(*peer) { n++ })
	for _, p := range sums {
		n += p.sum.Entries
	}
	return n
}

// Candidates returns the entries of a data centre that should be registered in the store: the
// preferred ones of those that are registered or heard from at now. Hubs appoint them, since the
// other entries do not know of one another and would all take the place of one that has left.
func (t *Table) Candidates(now time.Time, self Member, registered []Member) []Member {
	byID := map[pkid.EntryID]Member{}
	for _, m := range t.Members(now) {
		byID[m.ID] = m
	}
	for _, m := range registered {
		byID[m.ID] = m
	}
	byID[self.ID] = self
	var out []Member
	for _, m := range byID {
		if m.DataCenter == self.DataCenter {
			out = append(out, m)
		}
	}
	return firstPreferred(out, registeredPerDataCenter)
}

// Follows reports whether an entry is heard from at now and follows the store itself.
func (t *Table) Follows(now time.Time, id pkid.EntryID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[id]
	return p != nil && p.following && now.Sub(p.lastReceivedAt) < staleAfter
}

// Hears reports whether an entry is heard from at now.
func (t *Table) Hears(now time.Time, id pkid.EntryID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hears(now, id)
}

func (t *Table) hears(now time.Time, id pkid.EntryID) bool {
	p := t.peers[id]
	return p != nil && now.Sub(p.lastReceivedAt) < staleAfter
}

// RemoteFollower reports whether a hub of another data centre follows the store at now.
func (t *Table) RemoteFollower(now time.Time, dc pkid.DataCenter) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.remoteSums(now) {
		if p.following && p.dataCenter != dc {
			return true
		}
	}
	return false
}

// SizeRecord decides when the number of entries of a data centre is saved in the store. A hub that
// starts together with all other entries has heard from few of them, and takes the saved number.
// The zero value is ready to use.
type SizeRecord struct {
	highest  int
	grownAt  time.Time
	lowSince time.Time
}

// ShouldSave reports whether a count is to be saved at now in place of the one that is.
func (r *SizeRecord) ShouldSave(now time.Time, counted, saved int) bool {
	if counted > r.highest || r.grownAt.IsZero() {
		r.grownAt = now
	}
	r.highest = counted
	if counted > saved {
		r.lowSince = time.Time{}
		return now.Sub(r.grownAt) >= sizeSettleTime
	}
	low := float64(counted) < sizeShrinkRatio*float64(saved)
	return sustained(now, &r.lowSince, low, sizeShrinkTime)
}
