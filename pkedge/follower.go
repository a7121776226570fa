package pkedge

import (
	"context"
	"errors"
	"time"

	"peridotknot.example/pkshare"
	"peridotknot.example/pkstore"
	"peridotknot.example/pktimer"
)

const (
	// changesPace gathers changes of the list and of members: a tenth of the time
	// within which a leaving replica must get no more requests.
	changesPace = 200 * time.Millisecond
	// ledPoll is how soon an entry that is told of changes looks whether it still is.
	ledPoll = 250 * time.Millisecond
	// ledSoon is how long after its start an entry that is not among the first of its data centre
	// waits for those to tell it what changes, once it has read a list. While a fleet starts the
	// lists change all the time, and each change was a call of each entry: of 195 entries they
	// made a seventh of all calls of a calm day. What an entry that has just started knows may be
	// that old.
	ledSoon = 3 * time.Second
	// rolesKnown is how long after its start an entry knows whether others will tell it: it has
	// read the members, and has brought its links up to date since.
	rolesKnown = 2 * linksEvery * pkshare.Every
	// pacedEntries is how many entries may follow at that pace: each change wakes the
	// watches of all, and the store counts each as a call. More gather for longer.
	pacedEntries = 8
	// configPaceMost, replicasPaceMost and membersPaceMost bound that: configurations must
	// be in force and replicas that leave be known of within two seconds, members are needed
	// only by those that pass on what others tell.
	configPaceMost   = 500 * time.Millisecond
	replicasPaceMost = 500 * time.Millisecond
	membersPaceMost  = 1500 * time.Millisecond
)

// follower is what a loop does with a prefix of the store.
type follower struct {
	name   string
	prefix string
	// paceMost bounds how long changes gather after some came.
	paceMost time.Duration
	// list takes all items at a revision, change what changed since.
	list   func(items []pkstore.Item, at pkstore.Revision)
	change func(events []pkstore.Event, at pkstore.Revision)
	// led says whether another entry tells what changes; nil says never.
	led func(now time.Time) bool
	// lost and back are told when the store is lost and when it answers again.
	lost func()
	back func()
}

// follow lists a prefix and then reads its changes, until ctx ends. It lists again
// after each break: a watch that takes up again while the store loses its history
// waits without a word of what was written meanwhile, and a key that was revoked
// then served for five seconds. The list costs one call.
func (d *Daemon) follow(ctx context.Context, f follower) {
	var at pkstore.Revision
	listed, failures := false, 0
	for ctx.Err() == nil {
		if told, soon := d.told(time.Now(), f); told || (soon && listed) {
			// What is told has no place in a watch's order: list again after it.
			listed = listed && !told
			pktimer.Sleep(ctx, ledPoll)
			continue
		}
		if !listed {
			d.store.enter(ctx)
		}
		var err error
		began := time.Now()
		if listed {
			at, err = d.changes(ctx, f, at)
		} else {
			at, err = d.list(ctx, f)
		}
		if err != nil && listed && ctx.Err() == nil {
			d.noteWatchEnd(f, time.Since(began), err)
		}
		switch {
		case err == nil:
			d.store.answered()
			if failures > 0 {
				failures = 0
				d.log.Info("the store is back", "watch", f.name, "revision", at.String())
				tell(f.back)
			}
			listed = true
		case errors.Is(err, pkstore.ErrCompacted):
			d.log.Warn("the store no longer has the history", "watch", f.name, "revision", at.String())
			listed = false
		default:
			listed = false
			if failures == 0 && ctx.Err() == nil {
				d.log.Warn("the store is lost", "watch", f.name, "revision", at.String(), "error", err)
				tell(f.lost)
			}
			failures++
			d.store.failed(time.Now())
		}
	}
}

// noteWatchEnd logs and counts a watch that ended, after a wait, without an answer to go on from.
func (d *Daemon) noteWatchEnd(f follower, waited time.Duration, err error) {
	reason := watchEnd(err)
	d.metrics.watchEnds.WithLabelValues(f.name, reason).Inc()
	d.log.Info("a watch has ended", "watch", f.name, "reason", reason, "waited_ms", waited.Milliseconds(), "error", err)
}

// watchEnd returns why a watch that ended with an error did, as it stands in logs and metrics.
func watchEnd(err error) string {
	switch {
	case errors.Is(err, pkstore.ErrCompacted):
		return "history"
	case errors.Is(err, context.Canceled):
		return "silence"
	case errors.Is(err, pkstore.ErrRefused):
		return "refused"
	default:
		return "connection"
	}
}

// told says whether another entry tells at now what changes under a prefix, or soon will.
func (d *Daemon) told(now time.Time, f follower) (told, soon bool) {
	if f.led == nil {
		return false, false
	}
	return f.led(now), d.ledSoon(now)
}

// ledSoon says whether this entry has started just now into a fleet in which others will tell
// it what changes.
func (d *Daemon) ledSoon(now time.Time) bool {
	age := now.Sub(d.started)
	if age < rolesKnown {
		return true
	}
	return age < ledSoon && d.sharing.withHubs.Load() && !d.sharing.first.Load()
}

func (d *Daemon) list(ctx context.Context, f follower) (pkstore.Revision, error) {
	items, at, err := d.Store.List(ctx, f.prefix)
	d.asked(callList, f.name, err)
	if err != nil {
		return 0, err
	}
	d.noteEra(time.Now(), at, f.name)
	f.list(items, at)
	return at, nil
}

func (d *Daemon) changes(ctx context.Context, f follower, at pkstore.Revision) (pkstore.Revision, error) {
	// A watch waits for long; when the lease cannot be kept either, the store is
	// silent and the watch is cut.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer d.members.onSilence(cancel)()
	events, next, err := d.Feed.Changes(ctx, f.prefix, at)
	d.asked(callWatch, f.name, err)
	if err != nil {
		return at, err
	}
	if len(events) > 0 {
		f.change(events, next)
		pktimer.Sleep(ctx, pace(d.entries(time.Now()), f.paceMost))
	}
	return next, nil
}

// pace returns how long changes gather where so many entries follow them.
func pace(entries int, most time.Duration) time.Duration {
	return min(changesPace*time.Duration(max(entries, pacedEntries))/pacedEntries, most)
}

func tell(do func()) {
	if do != nil {
		do()
	}
}
