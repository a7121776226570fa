package pkedge

import (
	"context"
	"sync"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
	"peridotknot.example/pklayers"
	"peridotknot.example/pkowner"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pktimer"
)

const (
	// reconcileInterval is how often the owner compares what engines hold with the plan.
	reconcileInterval = 200 * time.Millisecond
	// orderTimeout bounds a report or an order, which take some milliseconds.
	orderTimeout = 600 * time.Millisecond
	// maxConcurrentOrders bounds the engines that receive an order at the same time.
	maxConcurrentOrders = 8
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

// orderEngine reads an engine's report and sends it an order while this daemon's lease is valid. If the report
// cannot be read, it checks the links: an owner that is neither designated nor serves streams has no other
// connections to engines that would show a cut.
func (d *Daemon) orderEngine(ctx context.Context, task pkowner.Task) pkowner.Outcome {
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := d.readReport(orderCtx, task.Target)
	if err != nil {
		d.log.Warn("engine report was not read, no order sent", "target", task.Target.ID, "error", err)
		if s := task.Target.Service; !d.links.CheckedWithin(time.Now(), s, lostCheckInterval) {
			d.linkCondition(ctx, s, task.Target.ID)
		}
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
	out, err := d.Engines.Place(orderCtx, task.Target.Addr, pkowner.Order{Layers: task.Layers, Fence: fence, ExpectedOrders: report.AcceptedOrders})
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
	d.budgets.of(t.Service).Confirm(time.Now(), d.retryWindow(), t.ID)
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
