package pkedge

import (
	"context"
	"errors"
	"time"

	"peridotknot.example/pkreplica"
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
		if listed {
			at, err = d.changes(ctx, f, at)
		} else {
			at, err = d.list(ctx, f)
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

// followConfig keeps the newest configuration in force.
func (d *Daemon) followConfig(ctx context.Context) {
	d.follow(ctx, follower{
		name:     "config",
		prefix:   d.ConfigKey,
		paceMost: configPaceMost,
		list: func(items []pkstore.Item, _ pkstore.Revision) {
			for _, one := range items {
				d.adopt(one, "list")
			}
		},
		change: func(events []pkstore.Event, _ pkstore.Revision) {
			for _, ev := range events {
				if !ev.Deleted {
					d.adopt(ev.Item, "watch")
				}
			}
		},
		// An entry that is told of the list sees by this watch that the store is away.
		lost: func() {
			if d.sharing.table.Led(time.Now()) {
				d.roster.StoreAway(time.Now())
			}
		},
		back: d.storeBack,
	})
}

// storeBack notes that the list is followed again.
func (d *Daemon) storeBack() {
	now := time.Now()
	d.roster.StoreBack(now, func(since time.Time) bool { return d.sharing.table.Followed(now, since) })
}

// adopt puts a configuration in force unless a newer one is. One that cannot be
// read is passed over: the one in force serves on.
func (d *Daemon) adopt(item pkstore.Item, source string) bool {
	if item.Key != d.ConfigKey {
		return false
	}
	c, err := d.Config(item.Value)
	if err != nil {
		d.log.Error("a configuration is passed over", "revision", item.Revision.String(), "source", source, "error", err)
		return false
	}
	first := d.book.Table() == nil
	if !d.book.Adopt(c, item.Revision) {
		return false
	}
	d.configItem.Store(&item)
	d.log.Info("configuration in force", "version", c.Version, "revision", item.Revision.String(), "source", source,
		"routes", len(c.Routes), "accounts", len(c.Accounts))
	if first {
		close(d.configured)
	}
	return true
}

// followReplicas keeps the list of replicas.
func (d *Daemon) followReplicas(ctx context.Context) {
	d.follow(ctx, follower{
		name:     "replicas",
		prefix:   d.ReplicaPrefix,
		paceMost: replicasPaceMost,
		list: func(items []pkstore.Item, at pkstore.Revision) {
			events := make([]pkstore.Event, len(items))
			for i := range items {
				events[i].Item = items[i]
			}
			changed := d.roster.Replace(time.Now(), d.records(events), at)
			d.listed.Store(true)
			d.replicasChanged(changed, at, "list")
		},
		change: func(events []pkstore.Event, at pkstore.Revision) {
			d.replicasChanged(d.roster.Apply(time.Now(), d.records(events), at), at, "watch")
		},
		led:  func(now time.Time) bool { return d.listed.Load() && d.sharing.table.Led(now) },
		lost: func() { d.roster.StoreAway(time.Now()) },
		back: d.storeBack,
	})
}

// records reads the entries of events. One that names no replica takes the place of an earlier
// sound one: the replica of that is not known to be there any more.
func (d *Daemon) records(events []pkstore.Event) []pkreplica.Record {
	out := make([]pkreplica.Record, 0, len(events))
	for _, ev := range events {
		if ev.Deleted {
			id := d.ReplicaID(ev.Item.Key)
			out = append(out, pkreplica.Record{Revision: ev.Item.Revision, Info: pkreplica.Info{ID: id}, Deleted: true})
			continue
		}
		record, err := d.Replica(ev.Item)
		if err != nil {
			d.log.Debug("an entry names no replica", "key", ev.Item.Key, "revision", ev.Item.Revision.String(), "error", err)
		}
		out = append(out, record)
	}
	return out
}

// replicasChanged logs what changed in the list, and lets go what belonged to processes that
// are gone.
func (d *Daemon) replicasChanged(changed []pkreplica.Record, at pkstore.Revision, source string) {
	if len(changed) == 0 {
		return
	}
	for _, one := range changed {
		d.logReplica(one, at, source)
	}
	for _, addr := range d.roster.Ended() {
		d.Conns.CloseIdle(addr)
	}
	d.streams.look()
}

func (d *Daemon) logReplica(one pkreplica.Record, at pkstore.Revision, source string) {
	d.log.Info("replica changed", "target", one.Info.ID, "service", one.Info.Service, "revision", one.Revision.String(),
		"known_to", at.String(), "source", source, "gone", one.Deleted, "leaving", one.Info.Leaving,
		"first", one.Info.Held.First, "end", one.Info.Held.End, "born", one.Info.Born, "addr", one.Info.Addr)
	if problem := d.problem(one); problem != "" {
		d.log.Warn("an entry names no replica to use", "target", one.Info.ID, "revision", one.Revision.String(), "source", source, "field", problem)
		d.metrics.unusable.WithLabelValues(problem).Inc()
	}
}

// problem returns the field of an entry that keeps its replica from being used; empty where
// none does.
func (d *Daemon) problem(one pkreplica.Record) string {
	table := d.book.Table()
	switch {
	case one.Unusable != "":
		return one.Unusable
	case one.Deleted || table == nil:
		return ""
	}
	s, found := table.Service(one.Info.Service)
	switch {
	case !found:
		return "service"
	case s.Engine != nil && !s.Engine.Has(one.Info.Held):
		return "layers"
	default:
		return ""
	}
}
