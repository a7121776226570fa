package pkedge

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
	"peridotknot.example/pklayers"
	"peridotknot.example/pklease"
	"peridotknot.example/pkowner"
	"peridotknot.example/pkreach"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkstore"
	"peridotknot.example/pktimer"
)

const (
	// reconcileInterval is how often the owner compares what engines hold with the plan.
	reconcileInterval = 200 * time.Millisecond
	// orderTimeout bounds a report or an order, which take some milliseconds.
	orderTimeout = 600 * time.Millisecond
	// maxConcurrentOrders bounds the engines that receive an order at the same time.
	maxConcurrentOrders = 8
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

// reconcilePools plans the pools of engines and orders changes while this daemon is their owner.
func (d *Daemon) reconcilePools(ctx context.Context) {
	pktimer.Every(ctx, reconcileInterval, func(ctx context.Context) {
		owns := d.ensureOwnership(ctx)
		table := d.configs.Table()
		d.logIdle(owns, table)
		if !owns {
			d.schedulers = nil
			return
		}
		if table == nil || !d.listed.Load() {
			return
		}
		if time.Now().Before(d.handoverUntil) {
			d.recordActed(time.Now())
			return
		}
		for i := range table.Services {
			if s := &table.Services[i]; s.Engine != nil {
				d.reconcilePool(ctx, s.ID, s.Engine)
			}
		}
		if now := time.Now(); !d.cutOffFromPools(now) {
			d.recordActed(now)
		}
	})
}

// recordActed records that this daemon acts as the owner of the pools at now.
func (d *Daemon) recordActed(now time.Time) {
	d.members.mu.Lock()
	defer d.members.mu.Unlock()
	d.members.actedAt = now
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

// logIdle logs why this daemon orders nothing though it holds the owner's key, and when that ends.
func (d *Daemon) logIdle(owns bool, table *pkconfig.Table) {
	m := &d.members
	m.mu.Lock()
	held, known := m.lease.Fence(), m.knownOwner()
	m.mu.Unlock()
	reason := ""
	switch {
	case held == 0:
	case known.owner != d.settings.Entry:
		reason = "not known as owner"
	case !owns:
		reason = "lease"
	case table == nil:
		reason = "no configuration"
	case !d.listed.Load():
		reason = "no list of replicas"
	case d.cutOffFromPools(time.Now()):
		reason = "cut off"
	}
	if reason == d.idleReason {
		return
	}
	d.idleReason = reason
	d.log.Warn("ability to order engines has changed", "reason", reason, "fence", held, "owner", known.owner, "revision", known.revision.String())
}

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
	d.log.Info("owns the pools", "revision", out.Item.Revision.String(), "idle_owner", owner)
	return true
}

// poolScheduler returns the scheduler of a pool.
func (d *Daemon) poolScheduler(s pkid.ServiceID) *pkowner.Scheduler {
	if d.schedulers == nil {
		d.schedulers = map[pkid.ServiceID]*pkowner.Scheduler{}
	}
	if d.schedulers[s] == nil {
		d.schedulers[s] = &pkowner.Scheduler{}
	}
	return d.schedulers[s]
}

// reconcilePool sends orders to the engines whose layers differ from the plan of their pool.
func (d *Daemon) reconcilePool(ctx context.Context, s pkid.ServiceID, m *pklayers.Model) {
	if d.links.CutOff(s) {
		return // what this entry cannot reach may be in order
	}
	scheduler := d.poolScheduler(s)
	tasks := scheduler.Next(time.Now(), m, d.liveEngines(time.Now(), s, m))
	outcomes := make([]pkowner.Outcome, len(tasks))
	slots := make(chan struct{}, maxConcurrentOrders)
	var wg sync.WaitGroup
	for i := range tasks {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			outcomes[i] = d.orderEngine(ctx, tasks[i])
		})
	}
	wg.Wait()
	for i, task := range tasks {
		scheduler.RecordOutcome(time.Now(), m, task, outcomes[i])
	}
}

// orderEngine reads an engine's report and sends it an order while this daemon's lease is valid.
func (d *Daemon) orderEngine(ctx context.Context, task pkowner.Task) pkowner.Outcome {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := d.readReport(ctx, task.Target)
	if err != nil {
		d.log.Warn("engine report was not read, no order sent", "target", task.Target.ID, "error", err)
		return pkowner.Rejected
	}
	d.recordActed(time.Now())
	if report.Busy || task.Target.IsGone(time.Now()) {
		return pkowner.Rejected
	}
	if report.Held == task.Layers {
		return pkowner.Done
	}
	d.members.mu.Lock()
	may, fence := d.members.lease.MayAct(pktimer.BootClock()), d.members.lease.Fence()
	d.members.mu.Unlock()
	if !may {
		return pkowner.Rejected
	}
	out, err := d.Engines.Place(ctx, task.Target.Addr, pkowner.Order{Layers: task.Layers, Fence: fence, ExpectedOrders: report.AcceptedOrders})
	d.log.Info("engine ordered to hold layers", "target", task.Target.ID, "first", task.Layers.First, "end", task.Layers.End,
		"held_first", report.Held.First, "held_end", report.Held.End, "orders", report.AcceptedOrders, "fence", fence,
		"outcome", out.String(), "error", err)
	d.metrics.orders.WithLabelValues(out.String()).Inc()
	return out
}

// readReport reads an engine's report. It suspects the previous start of an engine that has
// restarted, which the report shows before the list does.
func (d *Daemon) readReport(ctx context.Context, t *pkreplica.Target) (pkowner.Report, error) {
	requested := time.Now()
	report, err := d.Engines.Report(ctx, t.Addr)
	if err != nil {
		return report, err
	}
	t.ProbeAnswered(requested)
	d.updatePace(t, report, requested)
	later := d.roster.Restarted(t.ID, report.Born)
	if !later && !report.LostLayers(t.Held) {
		return report, nil
	}
	now := time.Now()
	if !t.IsGone(now) || later {
		d.log.Info("engine has restarted", "target", t.ID, "born", report.Born, "before", t.Born, "orders", report.AcceptedOrders,
			"first", t.Held.First, "end", t.Held.End)
	}
	d.Conns.CloseIdle(t.Addr)
	d.suspectRestarted(now, t)
	return report, nil
}

// suspectRestarted suspects the previous start of an engine that has lost all its layers, here and
// at the other entries, so that its streams are moved off it.
func (d *Daemon) suspectRestarted(now time.Time, t *pkreplica.Target) {
	s := suspicion{until: now.Add(suspectTTL), fault: faultGone, startTime: t.Born}
	d.applySuspicion(now, t, s)
	d.gossip.announceSuspicion(t.ID, s)
}
