package pkedge

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pktimer"
)

const (
	// watchInterval is how often the watched engines are compared with the list.
	watchInterval = 500 * time.Millisecond
	// minHoldInterval is the shortest time between connections to one engine: engines close idle
	// connections after a second or more, and reset those beyond their limit.
	minHoldInterval = 200 * time.Millisecond
)

// watchEngines holds an idle connection to each engine of its own data centre if this entry is
// among the first there. The connection ends with the engine's process and cannot be made again,
// which shows a crash within milliseconds and with certainty, sooner than silent streams do.
func (d *Daemon) watchEngines(ctx context.Context) {
	watched := map[process]context.CancelFunc{}
	var wg sync.WaitGroup
	defer wg.Wait()
	pktimer.Every(ctx, watchInterval, func(ctx context.Context) {
		wanted := d.watchedEngines(time.Now())
		for one, cancel := range watched {
			if _, still := wanted[one]; !still {
				cancel()
				delete(watched, one)
			}
		}
		for one, t := range wanted {
			if watched[one] != nil {
				continue
			}
			inner, cancel := context.WithCancel(ctx)
			watched[one] = cancel
			wg.Go(func() { d.watchEngine(inner, t) })
		}
	})
}

// process is one start of an engine at an address.
type process struct {
	id   pkid.TargetID
	addr string
	born pkid.StartTime
}

// watchedEngines returns the engines that this entry watches at now.
func (d *Daemon) watchedEngines(now time.Time) map[process]*pkreplica.Target {
	out := map[process]*pkreplica.Target{}
	table := d.book.Table()
	if table == nil || !d.gossip.first.Load() {
		return out
	}
	for i := range table.Services {
		s := &table.Services[i]
		if s.Engine == nil {
			continue
		}
		for _, t := range d.liveEngines(now, s.ID, s.Engine) {
			if t.DataCenter == d.settings.DataCenter {
				out[process{id: t.ID, addr: t.Addr, born: t.Born}] = t
			}
		}
	}
	return out
}

// watchEngine holds connections to an engine, one after another, until ctx ends.
func (d *Daemon) watchEngine(ctx context.Context, t *pkreplica.Target) {
	for ctx.Err() == nil {
		began := time.Now()
		err := d.Engines.AwaitClose(ctx, t.Addr)
		now := time.Now()
		pause := minHoldInterval - now.Sub(began)
		if ctx.Err() == nil && errors.Is(err, syscall.ECONNREFUSED) {
			d.suspect(t, now.Add(suspectTTL), err)
			d.log.Info("engine process is gone", "target", t.ID, "error", err)
			pause = suspectTTL / 2
		}
		if !pktimer.Sleep(ctx, max(pause, 0)) {
			return
		}
	}
}
