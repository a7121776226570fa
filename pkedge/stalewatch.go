package pkedge

import (
	"context"
	"errors"
	"sync"
	"time"

	"peridotknot.example/pkstore"
	"peridotknot.example/pktimer"
)

// configPollInterval is how often designated entries poll the configuration. A stale watch is found
// after two polls, within the time in which a version must be in force; one interval is longer than
// the delay for collecting changes.
const configPollInterval = 700 * time.Millisecond

// errStaleWatch ends watches after one has missed a revision of the configuration.
var errStaleWatch = errors.New("watch missed a revision of the configuration")

// staleWatchDetector detects that the watch of the configuration is stale, by comparing what it
// delivered with polls. The zero value is ready to use.
type staleWatchDetector struct {
	mu sync.Mutex
	// delivered is the newest revision of the configuration that a list or a watch delivered.
	delivered pkstore.Revision
	// polled is the revision found by the last poll.
	polled pkstore.Revision
}

// recordDelivered records a revision that a list or a watch delivered.
func (w *staleWatchDetector) recordDelivered(at pkstore.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delivered = max(w.delivered, at)
}

// hasDelivered reports whether a list or a watch has delivered a revision or a newer one.
func (w *staleWatchDetector) hasDelivered(at pkstore.Revision) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return at <= w.delivered
}

// recordPoll records the revision found by a poll, and reports whether the watch has missed the one
// found by the poll before.
func (w *staleWatchDetector) recordPoll(at pkstore.Revision) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	missed := w.polled > w.delivered
	w.polled = at
	return missed
}

// pollConfig polls the configuration and restarts all watches if the one of the configuration has
// missed a revision, since the others may be stale for the same reason. Only designated entries
// that follow the configuration poll, since they relay changes to the others.
func (d *Daemon) pollConfig(ctx context.Context) {
	var seen pkstore.Revision
	pktimer.Every(ctx, configPollInterval, func(ctx context.Context) {
		if !d.gossip.designated.Load() || d.isServed(time.Now()) || d.configs.Table() == nil || d.store.isOpen() {
			return
		}
		at, err := d.Feed.StaleRevision(ctx)
		d.recordStoreCall(callPeek, askerConfig, err)
		if err != nil || at == seen {
			return // failures are counted; lease renewals detect a lost store
		}
		item, err := d.Feed.LoadStale(ctx, d.ConfigKey)
		d.recordStoreCall(callPeek, askerConfig, err)
		if err != nil {
			return
		}
		if d.staleWatch.recordPoll(item.Revision) {
			d.adopt(item, "peek")
			d.watches.CancelAll(errStaleWatch)
		}
		if d.staleWatch.hasDelivered(item.Revision) {
			seen = at
		}
	})
}
