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
	// lists change all the time, and each change would be a call of each entry. What an entry that
	// has just started knows may be that old.
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

var (
	// errSilence ends watches while the store answers nothing at all.
	errSilence = errors.New("the store is silent")
	// errReconnected ends watches that began before calls got no answer, once new connections are
	// answered again: connections that fall silent are not closed, and a watch on one of them looks
	// like one that has nothing to tell.
	errReconnected = errors.New("the store answers over new connections")
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

// progress is how far a follower has come.
type progress struct {
	at pkstore.Revision
	// listed says that all is known up to at, failures counts the calls since then that failed.
	listed   bool
	failures int
}

// follow lists a prefix and then reads its changes, until ctx ends. It lists again
// after each break: a watch that takes up again while the store loses its history
// waits without a word of what was written meanwhile, such as a key that was revoked.
func (d *Daemon) follow(ctx context.Context, f follower) {
	var p progress
	for ctx.Err() == nil {
		if told, soon := d.told(time.Now(), f); told || (soon && p.listed) {
			// What is told has no place in a watch's order: list again after it.
			p.listed = p.listed && !told
			pktimer.Sleep(ctx, ledPoll)
			continue
		}
		began, watched := time.Now(), p.listed
		err := d.advance(ctx, f, &p)
		if ctx.Err() != nil {
			return
		}
		if err != nil && watched {
			d.noteWatchEnd(f, time.Since(began), err)
		}
		d.noteCall(f, &p, err)
	}
}

// advance makes the follower's next call to the store.
func (d *Daemon) advance(ctx context.Context, f follower, p *progress) (err error) {
	if p.listed {
		p.at, err = d.changes(ctx, f, p.at)
		return err
	}
	d.store.wait(ctx)
	p.at, err = d.list(ctx, f)
	return err
}

// noteCall notes how the follower's last call to the store ended.
func (d *Daemon) noteCall(f follower, p *progress, err error) {
	switch {
	case err == nil:
		d.store.recordSuccess()
		if p.failures > 0 {
			p.failures = 0
			d.log.Info("the store is back", "watch", f.name, "revision", p.at.String())
			tell(f.back)
		}
	case errors.Is(err, pkstore.ErrCompacted):
		d.log.Warn("the store no longer has the history", "watch", f.name, "revision", p.at.String())
	case errors.Is(err, errReconnected), errors.Is(err, errUnheard):
	default:
		if p.failures == 0 {
			d.log.Warn("the store is lost", "watch", f.name, "revision", p.at.String(), "error", err)
			tell(f.lost)
		}
		p.failures++
		d.store.recordFailure(time.Now())
	}
	p.listed = err == nil
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
	case errors.Is(err, errSilence):
		return "silence"
	case errors.Is(err, errReconnected):
		return "reconnected"
	case errors.Is(err, errUnheard):
		return "unheard"
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
	ctx, ended := d.watches.Begin(ctx)
	defer ended()
	events, next, err := d.Feed.Changes(ctx, f.prefix, at)
	d.asked(callWatch, f.name, err)
	if err != nil {
		return at, errors.Join(err, context.Cause(ctx))
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
