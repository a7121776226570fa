package pkedge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pklayers"
	"peridotknot.example/pklease"
	"peridotknot.example/pkowner"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkstore"
	"peridotknot.example/pktimer"
)

const (
	// ownEvery is how often the owner compares what engines hold with the plan.
	ownEvery = 200 * time.Millisecond
	// orderTimeout bounds a report or an order; both are answered in milliseconds.
	orderTimeout = 600 * time.Millisecond
	// ordersAtOnce bounds the engines that are ordered at the same time.
	ordersAtOnce = 8
	// ownerAbsent is how long a pool may be without an owner until an entry that is not among
	// the first of its data centre tries to become it.
	ownerAbsent = 3 * time.Second
	// acquirePause is how soon a daemon whose write of the owner's key failed tries again: as
	// soon as its lease is renewed next, which shows that the store answers it.
	acquirePause = leaseEvery
	// ownJitter spreads the attempts of daemons to become the owner.
	ownJitter = 150 * time.Millisecond
)

// own plans the pools of engines while this daemon holds the owner's key.
func (d *Daemon) own(ctx context.Context) {
	pktimer.Every(ctx, ownEvery, func(ctx context.Context) {
		if !d.owns(ctx) {
			d.desks = nil
			return
		}
		table := d.book.Table()
		if table == nil || !d.listed.Load() {
			return
		}
		for i := range table.Services {
			if s := &table.Services[i]; s.Engine != nil {
				d.orderPool(ctx, s.ID, s.Engine)
			}
		}
	})
}

// owns says whether this daemon is the owner, and tries to become it where there
// is none.
func (d *Daemon) owns(ctx context.Context) bool {
	m := &d.members
	m.mu.Lock()
	id, owner, known, rev := m.id, m.owner, m.known, m.ownerRevision
	may, answered := m.lease.MayAct(pktimer.Boot()), m.failures == 0
	m.mu.Unlock()
	if !known || id == 0 || d.stopping.Load() {
		return false
	}
	if owner != "" && owner != d.settings.Entry {
		d.ownerless = time.Time{}
		return false
	}
	if owner == d.settings.Entry && may {
		return true
	}
	if !answered || !d.mayAcquire(time.Now()) {
		return false
	}
	if !pktimer.Sleep(ctx, rand.N(ownJitter)) {
		return false
	}
	return d.acquire(ctx, id, owner, rev)
}

// mayAcquire says whether this daemon may try at now to become the owner. Entries that are told
// of the list see late who won, and their VMs are the small ones: each loss of an owner made all
// of 78 entries write. The first entries of each data centre try at once and the others only
// where none of those does: at the start of 195 entries all of them wrote.
//
// One that the store turns away, as it does with some, waits like its lists do: entries that
// tried again each 0.2 s made 425 failing writes on a day.
func (d *Daemon) mayAcquire(now time.Time) bool {
	if now.Before(d.acquireNext) || !d.era.settled(now) {
		return false
	}
	if d.sharing.table.Led(now) {
		d.ownerless = time.Time{}
		return false
	}
	if d.ownerless.IsZero() {
		d.ownerless = now
	}
	first := d.sharing.first.Load() && now.Sub(d.started) >= rolesKnown
	return first || now.Sub(d.ownerless) >= ownerAbsent
}

// acquire writes the owner's key under this daemon's lease. An entry of its own
// that a former run left is written over.
func (d *Daemon) acquire(ctx context.Context, id pkstore.LeaseID, owner pkid.EntryID, rev pkstore.Revision) bool {
	w := pkstore.Swap{Key: d.OwnPrefix + ownerKey, Value: []byte(d.settings.Entry), Lease: id}
	if owner == d.settings.Entry {
		w.Old = rev
	}
	sent := pktimer.Boot()
	out, err := d.write(ctx, askerOwner, w)
	if err != nil {
		d.log.Warn("the pools were not taken over", "error", err)
		d.acquireNext = time.Now().Add(acquirePause)
		return false
	}
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	if out.Item.Revision >= m.ownerRevision {
		m.owner, m.ownerRevision = pkid.EntryID(out.Item.Value), out.Item.Revision
	}
	if !out.Done || m.id != id {
		return false
	}
	m.lease.Terms = pklease.Terms{TTL: leaseTTL, Margin: leaseMargin}
	m.lease.Began(sent, pkid.Fence(out.Item.Revision))
	d.log.Info("owns the pools", "revision", out.Item.Revision.String())
	return true
}

// deskOf returns the orders under way of a pool.
func (d *Daemon) deskOf(s pkid.ServiceID) *pkowner.Desk {
	if d.desks == nil {
		d.desks = map[pkid.ServiceID]*pkowner.Desk{}
	}
	if d.desks[s] == nil {
		d.desks[s] = &pkowner.Desk{}
	}
	return d.desks[s]
}

// orderPool orders what differs from the plan.
func (d *Daemon) orderPool(ctx context.Context, s pkid.ServiceID, m *pklayers.Model) {
	desk := d.deskOf(s)
	tasks := desk.Next(time.Now(), m, d.engines(time.Now(), s, m))
	outcomes := make([]pkowner.Outcome, len(tasks))
	slots := make(chan struct{}, ordersAtOnce)
	var wg sync.WaitGroup
	for i := range tasks {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			outcomes[i] = d.order(ctx, tasks[i])
		})
	}
	wg.Wait()
	for i, task := range tasks {
		desk.Sent(time.Now(), m, task, outcomes[i])
	}
}

// order reads an engine and orders it, if this daemon may still do so.
func (d *Daemon) order(ctx context.Context, task pkowner.Task) pkowner.Outcome {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := d.report(ctx, task.Target)
	if err != nil {
		d.log.Warn("an engine was not read", "target", task.Target.ID, "error", err)
		return pkowner.Rejected
	}
	if report.Busy || task.Target.IsGone(time.Now()) {
		return pkowner.Rejected
	}
	if report.Held == task.Layers {
		return pkowner.Done
	}
	d.members.mu.Lock()
	may, fence := d.members.lease.MayAct(pktimer.Boot()), d.members.lease.Fence()
	d.members.mu.Unlock()
	if !may {
		return pkowner.Rejected
	}
	out, err := d.Engines.Place(ctx, task.Target.Addr, pkowner.Order{Layers: task.Layers, Fence: fence, Orders: report.Orders})
	d.log.Info("ordered an engine", "target", task.Target.ID, "first", task.Layers.First, "end", task.Layers.End,
		"held_first", report.Held.First, "held_end", report.Held.End, "orders", report.Orders, "fence", fence,
		"outcome", out.String(), "error", err)
	d.metrics.orders.WithLabelValues(out.String()).Inc()
	return out
}

// report reads an engine's report, and what it says of the engine's start: an engine that has
// started again says so before the list does, which waits for the store.
func (d *Daemon) report(ctx context.Context, t *pkreplica.Target) (pkowner.Report, error) {
	asked := time.Now()
	report, err := d.Engines.Report(ctx, t.Addr)
	if err != nil {
		return report, err
	}
	t.Answered(asked)
	d.learnPace(t, report, asked)
	later := d.roster.Restarted(t.ID, report.Born)
	if !later && !report.Empty(t.Held) {
		return report, nil
	}
	now := time.Now()
	if !t.IsGone(now) || later {
		d.log.Info("an engine has started again", "target", t.ID, "born", report.Born, "before", t.Born, "orders", report.Orders,
			"first", t.Held.First, "end", t.Held.End)
	}
	d.Conns.CloseIdle(t.Addr)
	d.lost(now, t)
	return report, nil
}

// lost passes over the start of an engine that has lost all that it held, here and at the
// other entries, and takes its streams off it.
func (d *Daemon) lost(now time.Time, t *pkreplica.Target) {
	one := suspicion{until: now.Add(suspectPause), fault: faultGone, born: t.Born}
	d.pass(t, one)
	d.sharing.suspect(t.ID, one)
}
