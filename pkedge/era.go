package pkedge

import (
	"sync"
	"time"

	"peridotknot.example/pkquarantine"
	"peridotknot.example/pkstore"
)

// eraTracker tracks the newest known era of the store. A new era begins when the store is restored
// from an older copy.
type eraTracker struct {
	mu     sync.Mutex
	known  bool
	newest pkstore.Era
	// since is when the newest era became known, zero for the first one. owned is set if this
	// daemon owned the pools in the era before.
	since time.Time
	owned bool
}

// observe records an era at now, and reports whether it is later than the one known before. owned
// is whether this daemon owns the pools.
func (e *eraTracker) observe(now time.Time, era pkstore.Era, owned bool) (before pkstore.Era, later bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before, later = e.newest, e.known && era > e.newest
	if later {
		e.since, e.owned = now, owned
	}
	e.known, e.newest = true, max(e.newest, era)
	return before, later
}

// mayTakeOver reports whether the era allows this daemon to become the owner of the pools at now.
// The owner of the previous era may act until it learns of the new one or its lease would have
// expired. Other daemons wait for that, so that there are never two owners; the owner itself need
// not.
func (e *eraTracker) mayTakeOver(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.since.IsZero() || e.owned || now.Sub(e.since) >= leaseTTL
}

// recordEra records the era of a revision received at now from the store or a peer. When the store
// was restored from an older copy, this daemon's lease is lost with all keys written under it, and
// quarantined requests must be saved again.
func (d *Daemon) recordEra(now time.Time, rev pkstore.Revision, source string) {
	if rev == 0 {
		return
	}
	m := &d.members
	m.mu.Lock()
	owned := m.owner == d.settings.Entry
	before, later := d.era.observe(now, rev.Era(), owned)
	if later {
		m.owner, m.ownerRevision, m.ownRevision, m.ownerWrite = "", 0, 0, false
		m.lease.Lost()
	}
	m.mu.Unlock()
	if !later {
		return
	}
	saves := 0
	if d.gossip.designated.Load() {
		saves = d.quarantine.resaveAll(now)
	}
	d.metrics.storeRestores.Inc()
	d.log.Warn("the store came back from an older copy", "era", rev.Era(), "before", before, "source", source,
		"owned", owned, "held_requests_to_save", saves)
}

// resaveAll marks all quarantined requests at now to be saved again, and returns their number.
func (q *quarantine) resaveAll(now time.Time) int {
	held := q.table.QuarantinedCases(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, one := range held {
		if q.unsaved == nil {
			q.unsaved = map[pkquarantine.Digest]pkquarantine.StartID{}
		}
		q.unsaved[one.Digest] = anyCrash
	}
	return len(held)
}
