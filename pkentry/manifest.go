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
	// rereadEvery bounds the harm of a watch that went silent.
	rereadEvery = 10 * time.Second
	// watchers is how many entries of a neighborhood watch the store; the
	// others hear from them, and reread now and then in case they do not.
	watchers      = 2
	rereadUnasked = 30 * time.Second
	backOffFirst  = 100 * time.Millisecond
	backOffMost   = 5 * time.Second
)

// follower is what the entry knows of the store's head.
type follower struct {
	mu      sync.Mutex
	body    []byte
	head    pkhead.Head
	since   time.Time
	alarm   string
	storeOK bool
}

// followManifest keeps the manifest in force up to date with the store.
func (e *Entry) followManifest(ctx context.Context) {
	backOff := backOffFirst
	for ctx.Err() == nil {
		err := e.followOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			backOff = backOffFirst
			continue
		}
		e.setStore(false)
		e.log.Warn("the store cannot be followed", "error", err, "again_in", backOff)
		// Jitter: all entries lose the store at one moment, and must not all
		// return at one moment.
		pause := backOff/2 + time.Duration(newRand().Int64N(int64(backOff)))
		if !pktimer.Sleep(ctx, pause) {
			return
		}
		backOff = min(2*backOff, backOffMost)
	}
}

// followOnce reads the head and watches it until the watch ends. The reread
// limit ends a watch that is well, too: one that went silent looks the same.
func (e *Entry) followOnce(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	item, err := e.ports.Store.Load(call, pkhead.HeadKey)
	cancel()
	if err != nil {
		return err
	}
	e.setStore(true)
	if err := e.consider(ctx, item); err != nil {
		e.log.Error("the head was not adopted", "error", err)
	}
	if !e.watches(time.Now()) {
		e.waitAsNonWatcher(ctx)
		return nil
	}
	watch, cancel := context.WithTimeout(ctx, rereadEvery)
	defer cancel()
	err = e.ports.Store.Watch(watch, pkhead.HeadKey, item.Revision, func(ev pkstore.Event) {
		if ev.Deleted {
			return
		}
		if err := e.consider(ctx, ev.Item); err != nil {
			e.log.Error("the head was not adopted", "error", err)
		}
	})
	if watch.Err() != nil {
		return nil
	}
	return err
}

// watches says whether it falls to this entry to watch the store. A watch
// counts as a call for as long as it waits, so not every entry has one.
func (e *Entry) watches(now time.Time) bool {
	self := e.peers.table.Self()
	for _, m := range pkmember.First(e.peers.table.Neighbors(now), pkhead.HeadKey, watchers) {
		if m.Instance == self.Instance {
			return true
		}
	}
	return false
}

// waitAsNonWatcher waits for the next reread, or until it falls to this entry
// to watch.
func (e *Entry) waitAsNonWatcher(ctx context.Context) {
	until := time.Now().Add(rereadUnasked/2 + time.Duration(newRand().Int64N(int64(rereadUnasked))))
	for time.Now().Before(until) && !e.watches(time.Now()) {
		if !pktimer.Sleep(ctx, tendPeersEvery) {
			return
		}
	}
}

func (e *Entry) setStore(ok bool) {
	e.follow.mu.Lock()
	defer e.follow.mu.Unlock()
	e.follow.storeOK = ok
}

// consider adopts the head's manifest if it is newer than what is in force.
func (e *Entry) consider(ctx context.Context, item pkstore.Item) error {
	if item.Revision == 0 {
		return nil
	}
	head, err := pkhead.Decode(item.Value)
	if err != nil || head.Revision == 0 {
		return err
	}
	if !e.newer(head.Publication) {
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

// newer says whether a publication should replace what is in force, and raises
// an alarm if the two contradict each other.
func (e *Entry) newer(p pkhead.Publication) bool {
	view := e.view.Load()
	if view == nil {
		return true
	}
	switch pkhead.Consider(view.Revision, view.Digest, p.Revision, p.Digest) {
	case pkhead.Adopt:
		return true
	case pkhead.Older:
		e.raise(fmt.Sprintf("the store offers revision %d, %d is in force: was it restored from an older copy?", p.Revision, view.Revision))
	case pkhead.Conflict:
		e.raise(fmt.Sprintf("two manifests have revision %d", p.Revision))
	case pkhead.Same:
		e.raise("")
	}
	return false
}

func (e *Entry) raise(alarm string) {
	e.follow.mu.Lock()
	defer e.follow.mu.Unlock()
	if alarm != "" && alarm != e.follow.alarm {
		e.log.Error("manifest alarm", "alarm", alarm)
	}
	e.follow.alarm = alarm
}

// adopt puts a body in force.
func (e *Entry) adopt(head pkhead.Head, body []byte, now time.Time) error {
	m, err := pkmanifest.Parse(head.Name, body)
	if err != nil {
		return fmt.Errorf("revision %d is faulty: %w", head.Revision, err)
	}
	e.follow.mu.Lock()
	defer e.follow.mu.Unlock()
	if view := e.view.Load(); view != nil && view.Revision >= head.Revision {
		return nil
	}
	e.view.Store(pkmanifest.NewView(m, head.Revision, head.Digest))
	e.follow.head = head
	e.follow.body = body
	e.follow.since = now
	e.follow.alarm = ""
	e.targets.Changed()
	if e.peers != nil {
		e.peers.kick()
	}
	e.log.Info("manifest in force", "revision", head.Revision, "name", m.Name)
	return nil
}
