package pkentry

import (
	"context"
	"errors"
	"sync"
	"time"

	"peridotknot.example/pkengine"
	"peridotknot.example/pkid"
	"peridotknot.example/pkplatform"
	"peridotknot.example/pktarget"
	"peridotknot.example/pktimer"
)

const (
	vmPollInterval     = 500 * time.Millisecond
	loadPollInterval   = 200 * time.Millisecond
	loadTimeout        = 500 * time.Millisecond
	maxConcurrentLoads = 32
	// staleAfter is the age from which a load report counts as stale.
	staleAfter = 2 * time.Second
)

// pollVMs keeps the target table in sync with the platform's VM list.
func (e *Entry) pollVMs(ctx context.Context) {
	pktimer.Every(ctx, vmPollInterval, func(ctx context.Context) {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		list, err := e.ports.Platform.VMs(call)
		if errors.Is(err, pkplatform.ErrUnchanged) {
			return
		}
		if errors.Is(err, pkplatform.ErrInvalidEntries) {
			e.log.Warn("entries of the VM list are ignored", "error", err)
			err = nil
		}
		if err != nil {
			if ctx.Err() == nil {
				e.log.Warn("failed to read the VM list; keeping the last one", "error", err)
			}
			return
		}
		c := e.targets.Apply(list)
		if c.Added+c.Dropped > 0 {
			e.log.Info("targets changed", "added", c.Added, "dropped", c.Dropped)
		}
		if c.Kept > 0 {
			// Whether these targets are dropped also depends on failed calls, so the list must be
			// applied again even if it is unchanged.
			e.ports.Platform.Forget()
			e.log.Warn("VM list lost more than half of a pool; keeping its targets until calls to them fail", "kept", c.Kept)
		}
	})
}

// pollLoads fetches the loads of the targets assigned to this entry, and of those whose reports are
// stale.
func (e *Entry) pollLoads(ctx context.Context) {
	pktimer.Every(ctx, loadPollInterval, func(ctx context.Context) {
		var wg sync.WaitGroup
		slots := make(chan struct{}, maxConcurrentLoads)
		services := e.servicePools()
		all := e.targets.All()
		now := time.Now()
		members := e.peers.table.Neighbors(now)
		for _, t := range all {
			if !e.isPoller(members, t.Info.ID) && !stale(t, now) {
				continue
			}
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				e.pollLoad(ctx, t, services[t.Info.Pool])
			})
		}
		wg.Wait()
		if len(all) > 0 && e.view.Load() != nil {
			e.loadsPolled.Store(true)
		}
	})
}

// stale reports whether a target's last report is missing or so old that the neighbor which polls it
// may have failed.
func stale(t *pktarget.Target, now time.Time) bool {
	_, age, known := t.LastReport(now)
	return !known || age > staleAfter
}

func (e *Entry) servicePools() map[pkid.PoolID]bool {
	out := map[pkid.PoolID]bool{}
	if view := e.view.Load(); view != nil {
		for _, s := range view.Manifest.Services {
			out[s.Pool] = true
		}
	}
	return out
}

func (e *Entry) pollLoad(ctx context.Context, t *pktarget.Target, service bool) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if service {
		l, err := e.ports.Platform.ServiceLoad(ctx, t.Info.Addr)
		if err == nil {
			t.Observe(pktarget.Report{Active: l.Active, MaxBatch: l.Max}, time.Now())
		}
		return
	}
	l, err := e.ports.Engines.Load(ctx, t.Info.Addr)
	if err != nil {
		return
	}
	e.observe(t, l, time.Now())
}

// observe applies an engine's load report to its target.
func (e *Entry) observe(t *pktarget.Target, l pkengine.Load, now time.Time) {
	first := false
	if _, _, known := t.LastReport(now); !known {
		first = true
	}
	t.Observe(pktarget.NewReport(l.Active, l.Queued, l.MaxBatch, l.StepUS, l.PerSeqUS, l.PrefillUS), now)
	t.SetLeaving(pktarget.SourceTarget, l.Leaving || l.Loading)
	changed := t.SetHolding(pktarget.Holding{
		Model:    l.Model,
		Version:  l.Version,
		Adapters: l.Adapters,
		Role:     l.Role,
		Range:    pkid.Range{First: l.First, End: l.End},
	})
	if changed || first {
		e.targets.InvalidatePlans()
	}
}
