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
	// changeBatchDelay is the delay between a change and the next watch, within which further
	// changes are collected, in fleets of up to batchBaseEntries.
	changeBatchDelay = 200 * time.Millisecond
	// startPollInterval is how often a starting entry checks whether it still waits for a hub, and
	// hubSearchInterval how often it reads the members meanwhile.
	startPollInterval = 10 * time.Millisecond
	hubSearchInterval = 500 * time.Millisecond
	// relayPollInterval is how often an entry served by a hub checks that it still is.
	relayPollInterval = 250 * time.Millisecond
	// relayStartTimeout is how long after its start an entry waits for a hub to serve it before it
	// watches a list itself, since each change costs every watching entry a call.
	relayStartTimeout = 3 * time.Second
	// roleSettleTime is how long after its start an entry's role is settled: by then it has read
	// the members and updated its peer links.
	roleSettleTime = 2 * roundsPerPeerLinkUpdate * pkshare.Interval
	// batchBaseEntries is the number of entries above which changes are collected for longer, in
	// proportion: each change ends the watches of all entries, and each watch is a call to the
	// store.
	batchBaseEntries = 8
	// maxConfigBatchDelay, maxReplicasBatchDelay and maxMembersBatchDelay bound the time that
	// changes are collected. Configurations and draining replicas must be known to all entries
	// within two seconds; changes of the members may take longer.
	maxConfigBatchDelay   = 500 * time.Millisecond
	maxReplicasBatchDelay = 500 * time.Millisecond
	maxMembersBatchDelay  = 1500 * time.Millisecond
)

var (
	// errStoreSilent ends watches after maxRenewalFailures failed lease renewals.
	errStoreSilent = errors.New("store does not answer")
	// errReconnected ends watches once the store answers again over new connections: old
	// connections that fell silent stay open, and a watch on one of them looks like one without
	// changes.
	errReconnected = errors.New("store answers again over a new connection")
)

// follower describes how a prefix of the store is followed.
type follower struct {
	name   string
	prefix string
	// maxBatchDelay bounds the time that changes are collected.
	maxBatchDelay time.Duration
	// onList is called with all items at a revision, onChange with the changes since.
	onList   func(items []pkstore.Item, at pkstore.Revision)
	onChange func(events []pkstore.Event, at pkstore.Revision)
	// relayed reports whether another entry relays the changes; nil means never.
	relayed func(now time.Time) bool
	// mayBeStale is set if a list may be some seconds old: the watch that follows delivers what it
	// lacks, and each page costs a tenth.
	mayBeStale bool
	// findsHubs is set if the prefix shows the hubs of the fleet. It is then listed while this entry
	// waits for a hub.
	findsHubs bool
	// onLost and onBack are called when the store is lost and when it answers again; both may be
	// nil.
	onLost func()
	onBack func()
}

// progress is the state of a follower's loop.
type progress struct {
	at pkstore.Revision
	// listed is set if the prefix is known up to revision at; failures counts consecutive failed
	// calls.
	listed   bool
	failures int
	// compacted is set if the store no longer had the changes since the last list.
	compacted bool
	// listedAt is when the prefix was last listed.
	listedAt time.Time
}

// follow lists a prefix and then watches its changes, until ctx ends. It lists again after each
// failed watch: a watch resumed after the store has compacted its history would miss writes, such
// as the revocation of a key.
func (d *Daemon) follow(ctx context.Context, f follower) {
	var p progress
	for ctx.Err() == nil {
		now := time.Now()
		if f.relayed != nil && f.relayed(now) {
			// Relayed changes have no position in a watch: list again afterwards.
			p.listed = false
			pktimer.Sleep(ctx, relayPollInterval)
			continue
		}
		if d.awaitsRelay(now, f, &p) {
			pktimer.Sleep(ctx, startPollInterval)
			continue
		}
		began, watched := time.Now(), p.listed
		err := d.advance(ctx, f, &p)
		if ctx.Err() != nil {
			return
		}
		if err != nil && watched {
			d.recordWatchEnd(f, time.Since(began), err)
		}
		d.recordCallResult(f, &p, err)
	}
}

// advance makes the follower's next call to the store, a list or a watch.
func (d *Daemon) advance(ctx context.Context, f follower, p *progress) (err error) {
	if p.listed {
		p.at, err = d.watchPrefix(ctx, f, p.at)
		return err
	}
	d.store.wait(ctx)
	p.listedAt = time.Now()
	p.at, err = d.listPrefix(ctx, f, f.mayBeStale && p.failures == 0 && !p.compacted)
	return err
}

// recordCallResult records the result of the follower's last call to the store.
func (d *Daemon) recordCallResult(f follower, p *progress, err error) {
	switch {
	case err == nil:
		d.store.recordSuccess()
		if p.failures > 0 {
			p.failures = 0
			d.log.Info("the store is back", "watch", f.name, "revision", p.at.String())
			callIfSet(f.onBack)
		}
	case errors.Is(err, pkstore.ErrCompacted):
		d.log.Warn("the store no longer has the history", "watch", f.name, "revision", p.at.String())
	case errors.Is(err, errReconnected), errors.Is(err, errStaleWatch):
	default:
		if p.failures == 0 {
			d.log.Warn("the store is lost", "watch", f.name, "revision", p.at.String(), "error", err)
			callIfSet(f.onLost)
		}
		p.failures++
		d.store.recordFailure(time.Now())
	}
	p.listed = err == nil
	p.compacted = errors.Is(err, pkstore.ErrCompacted)
}

// recordWatchEnd logs and counts a watch that ended with an error.
func (d *Daemon) recordWatchEnd(f follower, waited time.Duration, err error) {
	reason := watchEndReason(err)
	d.metrics.watchEnds.WithLabelValues(f.name, reason).Inc()
	d.log.Info("watch ended", "watch", f.name, "reason", reason, "waited_ms", waited.Milliseconds(), "error", err)
}

// watchEndReason returns the reason for the end of a watch as given in logs and metrics.
func watchEndReason(err error) string {
	switch {
	case errors.Is(err, pkstore.ErrCompacted):
		return "history"
	case errors.Is(err, errStoreSilent):
		return "silence"
	case errors.Is(err, errReconnected):
		return "reconnected"
	case errors.Is(err, errStaleWatch):
		return "unheard"
	case errors.Is(err, pkstore.ErrRefused):
		return "refused"
	default:
		return "connection"
	}
}

// awaitsRelay reports whether a starting entry makes no call for a follower at now, since a hub is
// expected to relay the prefix.
func (d *Daemon) awaitsRelay(now time.Time, f follower, p *progress) bool {
	awaitsHub := d.awaitsHub(now)
	switch {
	case f.relayed == nil:
		return false
	case f.findsHubs && awaitsHub:
		return p.listed && now.Sub(p.listedAt) < hubSearchInterval
	case awaitsHub:
		return true
	default:
		return p.listed && d.relayExpected(now)
	}
}

// awaitsHub reports whether this entry has just started and waits at now for a hub.
func (d *Daemon) awaitsHub(now time.Time) bool {
	v := pkshare.StartView{View: d.registrationView(now), UsesHubs: d.gossip.withHubs.Load(), Designated: d.gossip.designated.Load()}
	v.KnowsOthers = d.members.knowsOthers(d.settings.Entry)
	v.MembersRead = v.MembersRead && d.gossip.rolesKnown.Load()
	if at := d.hubsSeenAt.Load(); at != nil {
		v.HubsSeenAt = *at
	}
	return d.registration.AwaitsHub(now, v)
}

// relayExpected reports whether this entry has just started and others may soon relay changes to
// it.
func (d *Daemon) relayExpected(now time.Time) bool {
	age := now.Sub(d.started)
	if age < roleSettleTime {
		return true
	}
	return age < relayStartTimeout && d.gossip.withHubs.Load() && !d.gossip.designated.Load()
}

func (d *Daemon) listPrefix(ctx context.Context, f follower, stale bool) (pkstore.Revision, error) {
	call, list := callList, d.Store.List
	if stale {
		call, list = callStaleList, d.Feed.ListStale
	}
	items, at, err := list(ctx, f.prefix)
	d.recordStoreCall(call, f.name, err)
	if err != nil {
		return 0, err
	}
	d.recordEra(time.Now(), at, f.name)
	f.onList(items, at)
	return at, nil
}

func (d *Daemon) watchPrefix(ctx context.Context, f follower, at pkstore.Revision) (pkstore.Revision, error) {
	ctx, ended := d.watches.Begin(ctx)
	defer ended()
	events, next, err := d.Feed.Changes(ctx, f.prefix, at)
	d.recordStoreCall(callWatch, f.name, err)
	if err != nil {
		return at, errors.Join(err, context.Cause(ctx))
	}
	if len(events) > 0 {
		f.onChange(events, next)
		pktimer.Sleep(ctx, batchDelay(d.entryCount(time.Now()), f.maxBatchDelay))
	}
	return next, nil
}

// batchDelay returns how long changes are collected in a fleet of the given size.
func batchDelay(entries int, limit time.Duration) time.Duration {
	return min(changeBatchDelay*time.Duration(max(entries, batchBaseEntries))/batchBaseEntries, limit)
}

func callIfSet(f func()) {
	if f != nil {
		f()
	}
}
