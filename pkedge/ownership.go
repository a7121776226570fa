package pkedge

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
	"peridotknot.example/pklease"
	"peridotknot.example/pkreach"
	"peridotknot.example/pkstore"
	"peridotknot.example/pktimer"
)

const (
	// takeoverDelay is how long the pools must be without an owner before an entry that is not
	// designated in its data centre tries to become it.
	takeoverDelay = 3 * time.Second
	// stepDownDelay is how long an owner must have been cut off from a pool before it gives up the owner's key.
	// Its engines do without orders for as long.
	stepDownDelay = time.Second
	// ownerActTimeout is how long after it has last acted an owner tells the others that it acts. A call to an
	// engine takes up to orderTimeout.
	ownerActTimeout = 1500 * time.Millisecond
	// ownerIdleTimeout is how long the holder of the owner's key may tell that it does not act before another
	// entry takes over. A new owner needs one message to tell that it acts.
	ownerIdleTimeout = 3 * time.Second
	// handoverDelay is how long a previous owner that is alive may take to read that its key was replaced, and
	// to end the orders that it has begun.
	handoverDelay = maxMembersBatchDelay + orderTimeout
	// acquireRetryDelay is the delay after a failed write of the owner's key; within that time a
	// lease renewal shows whether the store answers again.
	acquireRetryDelay = leaseRenewInterval
	// acquireJitter spreads the daemons' attempts to become the owner.
	acquireJitter = 150 * time.Millisecond
)

// ensureOwnership reports whether this daemon is the owner, after trying to become it if there is
// none.
func (d *Daemon) ensureOwnership(ctx context.Context) bool {
	m := &d.members
	m.mu.Lock()
	id, owner, known, rev, holds := m.leaseID, m.owner, m.known, m.ownerRevision, m.mayHoldOwnerKey(d.settings.Entry)
	may, answered := m.lease.MayAct(pktimer.BootClock()), m.failures == 0
	m.mu.Unlock()
	if !known || id == 0 || d.stopping.Load() {
		return false
	}
	if owner != "" && owner != d.settings.Entry && !d.ownerIdle(time.Now(), ownerAt{owner: owner, revision: rev}) {
		d.ownerlessSince = time.Time{}
		return false
	}
	if owner == d.settings.Entry && may {
		return !d.stepDown(ctx, rev)
	}
	if !answered || !d.mayAcquire(time.Now(), holds) {
		return false
	}
	if !pktimer.Sleep(ctx, rand.N(acquireJitter)) {
		return false
	}
	return d.writeOwnerKey(ctx, id, owner, rev)
}

// mayAcquire reports whether this daemon may try to become the owner at now; holds is set if the owner's
// key may be its own, which nobody else then writes. To bound the writes to the store, the designated
// entries of each data centre otherwise try at once and the others only after takeoverDelay. An entry served
// by a hub learns late of a new owner and does not try, and a daemon whose write has failed waits for
// acquireRetryDelay. An entry that is cut off from a pool could not order its engines.
func (d *Daemon) mayAcquire(now time.Time, holds bool) bool {
	if now.Before(d.nextAcquire) || !d.era.mayTakeOver(now) || d.cutOffFromPools(now) {
		return false
	}
	if holds {
		return true
	}
	if d.gossip.table.ServedByHub(now) {
		d.ownerlessSince = time.Time{}
		return false
	}
	if d.ownerlessSince.IsZero() {
		d.ownerlessSince = now
	}
	designated := d.gossip.designated.Load() && now.Sub(d.started) >= roleSettleTime
	return designated || now.Sub(d.ownerlessSince) >= takeoverDelay
}

// cutOffFromPools reports whether this daemon is cut off from a pool of engines at now, or has lossy links to one
// while another entry has not.
func (d *Daemon) cutOffFromPools(now time.Time) bool {
	table := d.configs.Table()
	return table != nil && slices.ContainsFunc(table.Services, func(s pkconfig.Service) bool {
		if s.Engine == nil {
			return false
		}
		links := d.links.Condition(s.ID)
		return links == pkreach.CutOff || (links == pkreach.Lossy && len(d.relayCandidates(now, s.ID)) > 0)
	})
}

// stepDown gives up the owner's key at a revision if this daemon has been cut off from a pool for
// stepDownDelay, and reports whether it has: another entry may reach the engines.
func (d *Daemon) stepDown(ctx context.Context, rev pkstore.Revision) bool {
	now := time.Now()
	if !d.cutOffFromPools(now) {
		d.cutOffSince = time.Time{}
		return false
	}
	if d.cutOffSince.IsZero() {
		d.cutOffSince = now
	}
	if now.Sub(d.cutOffSince) < stepDownDelay {
		return false
	}
	d.cutOffSince = time.Time{}
	m := &d.members
	m.mu.Lock()
	m.lease.Lost()
	m.mu.Unlock()
	out, err := d.write(ctx, askerOwner, pkstore.Swap{Key: d.OwnPrefix + ownerKey, Old: rev, Delete: true})
	if err != nil {
		d.log.Warn("pool ownership was not given up", "error", err)
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if out.Succeeded {
		out.Item.Value = nil // the key is removed
	}
	d.applyOwnerWrite(out.Item)
	return true
}

// applyOwnerWrite applies the item of the owner's key that a write has left, or has met; the caller holds members.mu.
func (d *Daemon) applyOwnerWrite(item pkstore.Item) {
	m := &d.members
	before := m.knownOwner()
	switch {
	case item.Revision >= m.ownerRevision:
		m.owner, m.ownerRevision = pkid.EntryID(item.Value), item.Revision
	case item.Revision == 0: // the key that was known is gone
		m.owner = ""
	}
	d.logOwner(before, "write", item.Revision)
}

// writeOwnerKey writes the owner's key under this daemon's lease. A key that is there, of a previous run of
// this daemon or of an owner that does not act, is replaced.
func (d *Daemon) writeOwnerKey(ctx context.Context, id pkstore.LeaseID, owner pkid.EntryID, rev pkstore.Revision) bool {
	w := pkstore.Swap{Key: d.OwnPrefix + ownerKey, Value: []byte(d.settings.Entry), Lease: id}
	if owner != "" {
		w.Old = rev
	}
	m := &d.members
	m.setOwnerWrite(true)
	sent := pktimer.BootClock()
	out, err := d.write(ctx, askerOwner, w)
	if err != nil {
		d.log.Warn("pool ownership was not acquired", "error", err)
		d.nextAcquire = time.Now().Add(acquireRetryDelay)
		if errors.Is(err, pkstore.ErrRefused) || errors.Is(err, pkstore.ErrNoLease) {
			m.setOwnerWrite(false)
		}
		return false
	}
	m.setOwnerWrite(false)
	m.mu.Lock()
	defer m.mu.Unlock()
	d.applyOwnerWrite(out.Item)
	if !out.Succeeded || m.leaseID != id {
		return false
	}
	m.lease.Terms = pklease.Terms{TTL: leaseTTL, Margin: leaseMargin}
	m.lease.Granted(sent, pkid.FencingToken(out.Item.Revision))
	if owner != "" && owner != d.settings.Entry {
		d.handoverUntil = time.Now().Add(handoverDelay)
	}
	d.cutOffSince = time.Time{}
	d.log.Info("owns the pools", "revision", out.Item.Revision.String(), "idle_owner", owner)
	return true
}

// actingRevision returns the revision of the owner's key if this daemon holds it and has lately acted on
// it at now, or zero.
func (d *Daemon) actingRevision(now time.Time) pkstore.Revision {
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owner != d.settings.Entry || !m.lease.MayAct(pktimer.BootClock()) || now.Sub(m.actedAt) >= ownerActTimeout {
		return 0
	}
	return pkstore.Revision(m.lease.Fence())
}

// ownerIdle reports whether the holder of the owner's key has told for some time before now that it does
// not act on it. One that is not heard of may act.
func (d *Daemon) ownerIdle(now time.Time, one ownerAt) bool {
	if !d.gossip.table.OwnerIdle(now, one.owner, one.revision) {
		d.idleOwner = ownerAt{}
		return false
	}
	if d.idleOwner != one {
		d.idleOwner, d.idleSince = one, now
	}
	return now.Sub(d.idleSince) >= ownerIdleTimeout
}
