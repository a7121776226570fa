package pkentry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"peridotknot.example/pkhead"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pkmember"
	"peridotknot.example/pkstore"
	"peridotknot.example/pktimer"
)

const (
	storeTimeout = 2 * time.Second
	// rereadInterval bounds the delay of an update if a watch stalls silently.
	rereadInterval = 10 * time.Second
	// watchersPerNeighborhood is the number of entries in a neighborhood that watch the store. The
	// others get new revisions from peers, and reread the head about every
	// nonWatcherRereadInterval as a fallback.
	watchersPerNeighborhood  = 2
	nonWatcherRereadInterval = 30 * time.Second
	initialBackoff           = 100 * time.Millisecond
	maxBackoff               = 5 * time.Second
)

// manifestState is the manifest in force, the alarm about it, and whether the store was reachable
// at the last attempt.
type manifestState struct {
	mu      sync.Mutex
	body    []byte
	head    pkhead.Head
	since   time.Time
	alarm   string
	storeOK bool
}

// syncManifest keeps the manifest in force in sync with the store, with backoff after errors.
func (e *Entry) syncManifest(ctx context.Context) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		err := e.syncOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			backoff = initialBackoff
			continue
		}
		e.setStoreOK(false)
		e.log.Warn("the store cannot be followed", "error", err, "again_in", backoff)
		// Jitter keeps the entries from reconnecting all at once after a store outage.
		pause := backoff/2 + time.Duration(newRand().Int64N(int64(backoff)))
		if !pktimer.Sleep(ctx, pause) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// syncOnce reads the head, then watches it for at most rereadInterval, because a stalled watch looks
// like one without changes. An entry that is not a watcher waits for its next reread instead.
func (e *Entry) syncOnce(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	item, err := e.ports.Store.Load(call, pkhead.HeadKey)
	cancel()
	if err != nil {
		return err
	}
	e.setStoreOK(true)
	if err := e.adoptIfNewer(ctx, item); err != nil {
		e.log.Error("failed to adopt manifest head", "error", err)
	}
	if !e.isWatcher(time.Now()) {
		e.waitAsNonWatcher(ctx)
		return nil
	}
	watch, cancel := context.WithTimeout(ctx, rereadInterval)
	defer cancel()
	err = e.ports.Store.Watch(watch, pkhead.HeadKey, item.Revision, func(ev pkstore.Event) {
		if ev.Deleted {
			return
		}
		if err := e.adoptIfNewer(ctx, ev.Item); err != nil {
			e.log.Error("failed to adopt manifest head", "error", err)
		}
	})
	if watch.Err() != nil {
		return nil
	}
	return err
}

// isWatcher reports whether this entry watches the store. A watch occupies a call to the store while
// it is open, so only a few entries per neighborhood have one.
func (e *Entry) isWatcher(now time.Time) bool {
	self := e.peers.table.Self()
	for _, m := range pkmember.TopRanked(e.peers.table.Neighbors(now), pkhead.HeadKey, watchersPerNeighborhood) {
		if m.Instance == self.Instance {
			return true
		}
	}
	return false
}

// waitAsNonWatcher waits until the next reread is due or this entry becomes a watcher.
func (e *Entry) waitAsNonWatcher(ctx context.Context) {
	until := time.Now().Add(nonWatcherRereadInterval/2 + time.Duration(newRand().Int64N(int64(nonWatcherRereadInterval))))
	for time.Now().Before(until) && !e.isWatcher(time.Now()) {
		if !pktimer.Sleep(ctx, linkInterval) {
			return
		}
	}
}

func (e *Entry) setStoreOK(ok bool) {
	e.manifest.mu.Lock()
	defer e.manifest.mu.Unlock()
	e.manifest.storeOK = ok
}

// adoptIfNewer adopts the manifest of the head in item if it is newer than the one in force.
func (e *Entry) adoptIfNewer(ctx context.Context, item pkstore.Item) error {
	if item.Revision == 0 {
		return nil
	}
	head, err := pkhead.Decode(item.Value)
	if err != nil || head.Revision == 0 {
		return err
	}
	if !e.isNewer(head.Publication) {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	body, err := pkhead.Body(call, e.ports.Store, head.Publication)
	if err != nil {
		return err
	}
	return e.adopt(head, body, time.Now())
}

// isNewer reports whether a publication is newer than the manifest in force. It sets the alarm if
// the publication is older or conflicts, and clears it if both are the same.
func (e *Entry) isNewer(p pkhead.Publication) bool {
	view := e.view.Load()
	if view == nil {
		return true
	}
	switch pkhead.Compare(view.Revision, view.Digest, p.Revision, p.Digest) {
	case pkhead.Adopt:
		return true
	case pkhead.Older:
		e.setAlarm(fmt.Sprintf("the store offers revision %d, %d is in force: was it restored from an older copy?", p.Revision, view.Revision))
	case pkhead.Conflict:
		e.setAlarm(fmt.Sprintf("two manifests have revision %d", p.Revision))
	case pkhead.Same:
		e.setAlarm("")
	}
	return false
}

// setAlarm sets the alarm shown by status; an empty one clears it.
func (e *Entry) setAlarm(alarm string) {
	e.manifest.mu.Lock()
	defer e.manifest.mu.Unlock()
	if alarm != "" && alarm != e.manifest.alarm {
		e.log.Error("manifest alarm", "alarm", alarm)
	}
	e.manifest.alarm = alarm
}

// adopt parses body and puts it in force unless the manifest in force has the same or a later
// revision.
func (e *Entry) adopt(head pkhead.Head, body []byte, now time.Time) error {
	m, err := pkmanifest.Parse(head.Name, body)
	if err != nil {
		return fmt.Errorf("invalid manifest revision %d: %w", head.Revision, err)
	}
	e.manifest.mu.Lock()
	defer e.manifest.mu.Unlock()
	if view := e.view.Load(); view != nil && view.Revision >= head.Revision {
		return nil
	}
	e.view.Store(pkmanifest.NewView(m, head.Revision, head.Digest))
	e.manifest.head = head
	e.manifest.body = body
	e.manifest.since = now
	e.manifest.alarm = ""
	e.targets.InvalidatePlans()
	if e.peers != nil {
		e.peers.wakeAll()
	}
	e.log.Info("manifest in force", "revision", head.Revision, "name", m.Name)
	return nil
}
