package pkedge

import (
	"sync"
	"time"

	"peridotknot.example/pkquarantine"
	"peridotknot.example/pkstore"
)

// eraClock is which era of the store is known, and since when.
type eraClock struct {
	mu     sync.Mutex
	known  bool
	newest pkstore.Era
	// since is when the newest era was first heard of after another one, owned whether this
	// daemon owned the pools until then.
	since time.Time
	owned bool
}

// enter notes at now an era and says whether it comes after another one that was known, in which
// this daemon may have owned the pools.
func (e *eraClock) enter(now time.Time, era pkstore.Era, owned bool) (before pkstore.Era, later bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before, later = e.newest, e.known && era > e.newest
	if later {
		e.since, e.owned = now, owned
	}
	e.known, e.newest = true, max(e.newest, era)
	return before, later
}

// settled says whether at now this daemon may take the pools over as far as the store's era is
// concerned. An owner of the era before may act until it learns of the new one, or until its
// lease would have ended: two owners would order engines by turns. It goes on itself at once.
func (e *eraClock) settled(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.since.IsZero() || e.owned || now.Sub(e.since) >= leaseTTL
}

// noteEra takes the era of what the store, or a peer, said at now. Where the store has come back
// from an older copy, this daemon's lease is lost with all that was written under it, although
// nothing says so until it is renewed; and requests that are held must be saved again.
func (d *Daemon) noteEra(now time.Time, rev pkstore.Revision, source string) {
	if rev == 0 {
		return
	}
	m := &d.members
	m.mu.Lock()
	owned := m.owner == d.settings.Entry
	before, later := d.era.enter(now, rev.Era(), owned)
	if later {
		m.owner, m.ownerRevision, m.ownRevision = "", 0, 0
		m.lease.Lost()
	}
	m.mu.Unlock()
	if !later {
		return
	}
	saves := 0
	if d.sharing.first.Load() {
		saves = d.quarantine.saveAgain(now)
	}
	d.metrics.eras.Inc()
	d.log.Warn("the store came back from an older copy", "era", rev.Era(), "before", before, "source", source,
		"owned", owned, "held_requests_to_save", saves)
}

// saveAgain has all requests that are held at now written to the store again, and returns how many.
func (q *quarantine) saveAgain(now time.Time) int {
	held := q.table.Held(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, one := range held {
		if q.unsaved == nil {
			q.unsaved = map[pkquarantine.Digest]bool{}
		}
		q.unsaved[one.Digest] = true
	}
	return len(held)
}
