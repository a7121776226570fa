package pkedge

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pklease"
	"peridotknot.example/pkshare"
	"peridotknot.example/pkstore"
	"peridotknot.example/pktimer"
)

const (
	// leaseTTL is how long a daemon that fell silent stays a member and an owner;
	// a pool without an owner serves on, it is only not mended.
	leaseTTL = 4 * time.Second
	// leaseMargin is kept of the lease: an order takes some milliseconds and is
	// given up after orderTimeout.
	leaseMargin = time.Second
	// leaseEvery is how often the lease is renewed by an entry that others depend on, the owner
	// of the pools or one that tells them what changes: two renewals may be lost.
	leaseEvery = time.Second
	// leaseEveryLed is the same of an entry that is told by others: one renewal may be lost.
	// On a calm day of 195 entries renewals were a quarter of what the store charged.
	leaseEveryLed = 1800 * time.Millisecond
	// leaseEveryLost is how often a lost lease is asked for anew: that is a whole call to the
	// store, which mostly is away then.
	leaseEveryLost = 2 * time.Second
	// leaseLook is how often it is looked whether a renewal is due.
	leaseLook = 200 * time.Millisecond
	// registerSoon is how long after its start a daemon registers though it could not read the
	// members, which takes some milliseconds.
	registerSoon = time.Second
	// registerLook is how often it looks whether it has read them.
	registerLook = 10 * time.Millisecond
	// silentAfter is how many renewals in a row fail before watches that wait are
	// taken for dead.
	silentAfter = 2
	// leaveTimeout bounds the last call of a stop.
	leaveTimeout = 300 * time.Millisecond
	// lateMember is how long a member that is gone still counts in the shares of
	// the retry budget: its last repeats are still in the window.
	lateMember = 10 * time.Second
)

const (
	memberKey = "entry/"
	ownerKey  = "owner"
)

// members is what a daemon knows of the others, and its own lease.
type members struct {
	mu sync.Mutex
	// seen is when each daemon was last a member; zero while it is one.
	seen map[pkid.EntryID]time.Time
	// peers is how the others know each member.
	peers map[pkid.EntryID]pkshare.Member
	// owner is the daemon that owns the pools, at a revision.
	owner         pkid.EntryID
	ownerRevision pkstore.Revision
	known         bool
	// ownRevision is the revision of this daemon's own entry, as it was last read.
	ownRevision pkstore.Revision
	// told is how many members a hub last named; zero once the list was read again.
	told int

	id    pkstore.LeaseID
	lease pklease.Lease
	// failures counts failed renewals in a row.
	failures int
	// unanswered says that a renewal got no answer, and none since has shown that the store serves
	// this entry.
	unanswered bool
}

// entries returns how many daemons share what is bounded over all; told is how many hubs
// tell of, zero where none does. A daemon that has lost its hubs, and perhaps the store with
// them, goes on with the greater of what they said and what it read: a share that is too
// small holds the bound.
func (m *members) entries(now time.Time, told int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if told > 0 {
		m.told = told
		return told
	}
	listed := 0
	for _, gone := range m.seen {
		if gone.IsZero() || now.Sub(gone) < lateMember {
			listed++
		}
	}
	return max(m.told, listed, 1)
}

// membersLed says whether hubs tell at now what this entry would follow the members for.
// The members change with each entry that comes, goes or loses its lease, and each change
// was a call to the store of each of 78 entries: 1,400 a day with trouble, a fifth of all.
// The owner of the pools must see who comes after it.
func (d *Daemon) membersLed(now time.Time) bool {
	m := &d.members
	m.mu.Lock()
	may := m.known && m.owner != d.settings.Entry
	m.mu.Unlock()
	return may && d.sharing.table.Led(now)
}

// list returns the members that take messages.
func (m *members) list() []pkshare.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]pkshare.Member, 0, len(m.peers))
	for _, one := range m.peers {
		out = append(out, one)
	}
	return out
}

// kept notes a renewal that succeeded or failed. It returns how many failed in a row before it and
// what it shows of watches under way; nil where it shows nothing.
func (m *members) kept(err error) (failures int, shows error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	failures = m.failures
	if err == nil {
		m.failures = 0
	} else {
		m.failures++
	}
	switch {
	case answered(err):
		if m.unanswered {
			shows = errReconnected
		}
		m.unanswered = false
	case !errors.Is(err, pkstore.ErrRefused):
		m.unanswered = true
	}
	if m.failures == silentAfter && !answered(err) {
		shows = errSilence
	}
	return failures, shows
}

// answered says whether a renewal that ended with an error or none shows that the store serves this
// entry: one that knows no such lease does.
func answered(err error) bool { return err == nil || errors.Is(err, pkstore.ErrNoLease) }

// entries returns how many daemons share at now what is bounded over all.
func (d *Daemon) entries(now time.Time) int {
	return d.members.entries(now, d.sharing.table.MembersTold(now))
}

// followMembers keeps the list of daemons and the owner.
func (d *Daemon) followMembers(ctx context.Context) {
	m := &d.members
	d.follow(ctx, follower{
		name:     "members",
		prefix:   d.OwnPrefix,
		paceMost: membersPaceMost,
		list: func(items []pkstore.Item, _ pkstore.Revision) {
			now := time.Now()
			d.takeSaved(now, items)
			m.mu.Lock()
			defer m.mu.Unlock()
			m.owner, m.ownerRevision, m.ownRevision, m.known, m.told = "", 0, 0, true, 0
			for id, gone := range m.seen {
				if gone.IsZero() {
					m.seen[id] = now
					delete(m.peers, id)
				}
			}
			for _, one := range items {
				if one.Key == d.memberKey() {
					m.ownRevision = one.Revision
				}
				m.take(now, strings.TrimPrefix(one.Key, d.OwnPrefix), pkstore.Event{Item: one})
			}
		},
		change: func(events []pkstore.Event, _ pkstore.Revision) {
			now := time.Now()
			d.takeSaved(now, written(events))
			m.mu.Lock()
			defer m.mu.Unlock()
			for _, ev := range events {
				m.take(now, strings.TrimPrefix(ev.Item.Key, d.OwnPrefix), ev)
			}
		},
		led: d.membersLed,
	})
}

// written returns the items of events that wrote one.
func written(events []pkstore.Event) []pkstore.Item {
	var out []pkstore.Item
	for _, ev := range events {
		if !ev.Deleted {
			out = append(out, ev.Item)
		}
	}
	return out
}

func (m *members) take(now time.Time, key string, ev pkstore.Event) {
	if key == ownerKey {
		if ev.Item.Revision < m.ownerRevision {
			return
		}
		m.owner, m.ownerRevision = pkid.EntryID(ev.Item.Value), ev.Item.Revision
		if ev.Deleted {
			m.owner = ""
		}
		return
	}
	name, found := strings.CutPrefix(key, memberKey)
	if !found {
		return
	}
	if m.seen == nil {
		m.seen = map[pkid.EntryID]time.Time{}
		m.peers = map[pkid.EntryID]pkshare.Member{}
	}
	id := pkid.EntryID(name)
	if ev.Deleted {
		m.seen[id] = now
		delete(m.peers, id)
		return
	}
	m.seen[id] = time.Time{}
	one := pkshare.Member{ID: id}
	// A member whose value is not readable, of another build, still has its share of
	// what is bounded over all.
	if err := json.Unmarshal(ev.Item.Value, &one); err == nil && one.Addr != "" {
		m.peers[id] = one
	}
}

// keepLease keeps this daemon's lease and its entry among the members.
func (d *Daemon) keepLease(ctx context.Context) {
	d.awaitMembers(ctx)
	registered := false
	var kept time.Time
	var pause time.Duration
	pktimer.Every(ctx, leaseLook, func(ctx context.Context) {
		now := time.Now()
		if d.stopping.Load() || now.Sub(kept) < pause {
			return
		}
		kept = now
		err := d.keepOnce(ctx, &registered)
		pause = d.leasePause(now, err)
		if answered(err) {
			d.store.renewed(time.Now())
		}
		if err != nil && ctx.Err() == nil {
			d.log.Warn("the lease was not renewed", "error", err)
		}
		failures, shows := d.members.kept(err)
		if err == nil && failures > 0 {
			d.log.Info("the lease is renewed again", "failures", failures)
		}
		if shows != nil {
			d.watches.End(shows)
		}
	})
}

// leasePause returns how long after a renewal at now, which ended with an error or none, the
// next is due.
func (d *Daemon) leasePause(now time.Time, err error) time.Duration {
	m := &d.members
	m.mu.Lock()
	lost, failures := m.id == 0, m.failures
	m.mu.Unlock()
	refused := errors.Is(err, pkstore.ErrRefused)
	switch {
	case !lost && !answered(err) && !refused && failures == 0:
		// Tried over a new connection at once: watches may wait on silent ones meanwhile.
		return 0
	case lost && err != nil && !errors.Is(err, pkstore.ErrNoLease):
		return leaseEveryLost
	case d.sharing.first.Load() || !d.membersLed(now):
		return leaseEvery
	default:
		return leaseEveryLed
	}
}

func (d *Daemon) keepOnce(ctx context.Context, registered *bool) error {
	m := &d.members
	sent := pktimer.Boot()
	m.mu.Lock()
	kept := m.id
	m.mu.Unlock()
	if kept == 0 {
		id, err := d.Store.Grant(ctx, leaseTTL)
		d.asked(callGrant, askerLease, err)
		if err != nil {
			return err
		}
		m.mu.Lock()
		m.id = id
		m.mu.Unlock()
		*registered = false
	} else if err := d.renew(ctx, kept); err != nil {
		if errors.Is(err, pkstore.ErrNoLease) {
			m.mu.Lock()
			m.id, m.ownRevision = 0, 0
			m.lease.Lost()
			m.mu.Unlock()
		}
		return err
	}
	m.mu.Lock()
	m.lease.Renewed(sent)
	m.mu.Unlock()
	if *registered {
		return nil
	}
	return d.register(ctx, registered)
}

// awaitMembers waits a little until the members have been read. Written blindly, the entry of
// a daemon that was killed met the one that it had left, and each start of 195 entries took a
// second write of each.
func (d *Daemon) awaitMembers(ctx context.Context) {
	m := &d.members
	for began := time.Now(); time.Since(began) < registerSoon; {
		m.mu.Lock()
		known := m.known
		m.mu.Unlock()
		if known || !pktimer.Sleep(ctx, registerLook) {
			return
		}
	}
}

func (d *Daemon) renew(ctx context.Context, id pkstore.LeaseID) error {
	err := d.Store.Renew(ctx, id)
	d.asked(callRenew, askerLease, err)
	return err
}

func (d *Daemon) write(ctx context.Context, asker string, w pkstore.Swap) (pkstore.Swapped, error) {
	out, err := d.Store.Swap(ctx, w)
	d.asked(callWrite, asker, err)
	return out, err
}

// memberKey returns the key of this daemon's own entry.
func (d *Daemon) memberKey() string { return d.OwnPrefix + memberKey + string(d.settings.Entry) }

// register writes this daemon's entry under its lease, over one that it left
// behind when it last ran.
func (d *Daemon) register(ctx context.Context, registered *bool) error {
	value, err := json.Marshal(d.self())
	if err != nil {
		return err
	}
	m := &d.members
	m.mu.Lock()
	w := pkstore.Swap{Key: d.memberKey(), Value: value, Lease: m.id, Old: m.ownRevision}
	m.mu.Unlock()
	out, err := d.write(ctx, askerLease, w)
	if err == nil && !out.Done {
		w.Old = out.Item.Revision
		out, err = d.write(ctx, askerLease, w)
	}
	if err != nil {
		return err
	}
	*registered = out.Done
	return nil
}

// self returns this daemon as the others know it.
func (d *Daemon) self() pkshare.Member {
	s := &d.settings
	return pkshare.Member{ID: s.Entry, Addr: d.sharing.addr, DataCenter: s.DataCenter, ProcessorShare: s.ProcessorShare}
}

// leave gives the lease up, so that another daemon owns at once.
func (d *Daemon) leave(ctx context.Context) {
	m := &d.members
	m.mu.Lock()
	id := m.id
	m.lease.Lost()
	m.mu.Unlock()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	err := d.Store.Revoke(ctx, id)
	d.asked(callRevoke, askerLease, err)
	if err != nil {
		d.log.Warn("the lease was not given up and ends by itself", "error", err)
	}
}
