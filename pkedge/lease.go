package pkedge

import (
	"context"
	"encoding/json"
	"errors"
	"time"

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
	// leaseEveryLed is the same of an entry that is told by others, of which there are many: one
	// renewal may be lost.
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
)

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
			d.store.recordLeaseRenewal(time.Now())
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
// a daemon that was killed meets the one that it has left, and takes a second write.
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
