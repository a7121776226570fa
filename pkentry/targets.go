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
	vmsEvery    = 500 * time.Millisecond
	loadsEvery  = 200 * time.Millisecond
	loadTimeout = 500 * time.Millisecond
	loadsAtOnce = 32
	staleAfter  = 2 * time.Second
)

// followVMs keeps the table up to date with the platform's list.
func (e *Entry) followVMs(ctx context.Context) {
	pktimer.Every(ctx, vmsEvery, func(ctx context.Context) {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		list, err := e.ports.Platform.VMs(call)
		if errors.Is(err, pkplatform.ErrSame) {
			return
		}
		if err != nil {
			if ctx.Err() == nil {
				e.log.Warn("the VM list cannot be read; the last one stays", "error", err)
			}
			return
		}
		c := e.targets.Apply(list)
		if c.Added+c.Dropped > 0 {
			e.log.Info("targets changed", "added", c.Added, "dropped", c.Dropped)
		}
		if c.Kept > 0 {
			// Whether they stay depends on calls too, so the same list must
			// be applied again.
			e.ports.Platform.Forget()
			e.log.Warn("the VM list lost more than half of a pool; its targets stay until calls fail too", "kept", c.Kept)
		}
	})
}

// followLoads asks targets for their load.
func (e *Entry) followLoads(ctx context.Context) {
	pktimer.Every(ctx, loadsEvery, func(ctx context.Context) {
		var wg sync.WaitGroup
		slots := make(chan struct{}, loadsAtOnce)
		services := e.servicePools()
		all := e.targets.All()
		now := time.Now()
		members := e.peers.table.Neighbors(now)
		for _, t := range all {
			if !e.looksAfter(members, t.Info.ID) && !stale(t, now) {
				continue
			}
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				e.askLoad(ctx, t, services[t.Info.Pool])
			})
		}
		wg.Wait()
		if len(all) > 0 && e.view.Load() != nil {
			e.warm.Store(true)
		}
	})
}

// stale says whether a target's report is so old that its keeper among the
// neighbors seems to be lost.
func stale(t *pktarget.Target, now time.Time) bool {
	_, age, known := t.Reported(now)
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

func (e *Entry) askLoad(ctx context.Context, t *pktarget.Target, service bool) {
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

// observe records an engine's report.
func (e *Entry) observe(t *pktarget.Target, l pkengine.Load, now time.Time) {
	first := false
	if _, _, known := t.Reported(now); !known {
		first = true
	}
	t.Observe(pktarget.NewReport(l.Active, l.Queued, l.MaxBatch, l.StepUS, l.PerSeqUS, l.PrefillUS), now)
	t.Leave(pktarget.WitnessSelf, l.Leaving || l.Loading)
	changed := t.Hold(pktarget.Holding{
		Model:    l.Model,
		Version:  l.Version,
		Adapters: l.Adapters,
		Role:     l.Role,
		Range:    pkid.Range{First: l.First, End: l.End},
	})
	if changed || first {
		e.targets.Changed()
	}
}
