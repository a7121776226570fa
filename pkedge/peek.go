package pkedge

import (
	"context"
	"errors"
	"sync"
	"time"

	"peridotknot.example/pkstore"
	"peridotknot.example/pktimer"
)

// peekEvery is how often an entry that tells others looks at the configuration beside its watch: twice
// is less than the time within which a version must be in force, once is more than watches gather.
const peekEvery = 700 * time.Millisecond

// errUnheard ends watches that have not told what the store holds.
var errUnheard = errors.New("the watches miss what was written")

// unheard tells a watch that will not be answered from one with nothing to tell; the zero value has
// heard of nothing.
type unheard struct {
	mu sync.Mutex
	// told is the newest revision of the configuration that a list or a watch told.
	told pkstore.Revision
	// found is the one that the store had when it was last looked at.
	found pkstore.Revision
}

// hear takes a revision that a list or a watch told.
func (u *unheard) hear(at pkstore.Revision) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.told = max(u.told, at)
}

// knows says whether a list or a watch has told of a revision, or of a newer one.
func (u *unheard) knows(at pkstore.Revision) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return at <= u.told
}

// misses takes the revision that the store has, and says whether none as new as that of the look before
// has been told yet.
func (u *unheard) misses(at pkstore.Revision) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	missed := u.found > u.told
	u.found = at
	return missed
}

// peekConfig looks at the configuration beside the watch and begins all watches again where that misses
// a version: they lead the same way. Entries that tell others do it, since the rest hear by them.
func (d *Daemon) peekConfig(ctx context.Context) {
	var seen pkstore.Revision
	pktimer.Every(ctx, peekEvery, func(ctx context.Context) {
		if !d.sharing.first.Load() || d.book.Table() == nil || d.store.isOpen() {
			return
		}
		at, err := d.Feed.Reached(ctx)
		d.asked(callPeek, askerConfig, err)
		if err != nil || at == seen {
			return // a failure is counted, and the renewals of the lease tell what it means
		}
		item, err := d.Feed.Peek(ctx, d.ConfigKey)
		d.asked(callPeek, askerConfig, err)
		if err != nil {
			return
		}
		if d.unheard.misses(item.Revision) {
			d.adopt(item, "peek")
			d.watches.End(errUnheard)
		}
		if d.unheard.knows(item.Revision) {
			seen = at
		}
	})
}
