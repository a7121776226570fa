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
	// watchEvery is how often the engines to be watched are compared with the list.
	watchEvery = 500 * time.Millisecond
	// holdLeast is how soon a connection to the same engine is made again: engines close
	// idle ones after a second or more, and reset those that are too many at once.
	holdLeast = 200 * time.Millisecond
)

// watchEngines holds an idle connection to each engine of its own data centre, where this
// entry is among the first there. The connection ends with the engine's process, and no
// other can be made: that says within milliseconds, and for certain, what silent streams say
// after some tens more, of which callers accept few.
func (d *Daemon) watchEngines(ctx context.Context) {
	watched := map[process]context.CancelFunc{}
	var wg sync.WaitGroup
	defer wg.Wait()
	pktimer.Every(ctx, watchEvery, func(ctx context.Context) {
		wanted := d.toWatch(time.Now())
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
	born pkid.Birth
}

// toWatch returns the engines that this entry watches at now.
func (d *Daemon) toWatch(now time.Time) map[process]*pkreplica.Target {
	out := map[process]*pkreplica.Target{}
	table := d.book.Table()
	if table == nil || !d.sharing.first.Load() {
		return out
	}
	for i := range table.Services {
		s := &table.Services[i]
		if s.Engine == nil {
			continue
		}
		for _, t := range d.engines(now, s.ID, s.Engine) {
			if t.DataCenter == d.settings.DataCenter {
				out[process{id: t.ID, addr: t.Addr, born: t.Born}] = t
			}
		}
	}
	return out
}

// watchEngine holds connections to an engine, one after the other, until ctx ends.
func (d *Daemon) watchEngine(ctx context.Context, t *pkreplica.Target) {
	for ctx.Err() == nil {
		began := time.Now()
		err := d.Engines.Hold(ctx, t.Addr)
		now := time.Now()
		pause := holdLeast - now.Sub(began)
		if ctx.Err() == nil && errors.Is(err, syscall.ECONNREFUSED) {
			d.suspect(t, now.Add(suspectPause), err)
			d.log.Info("an engine's process is gone", "target", t.ID, "error", err)
			pause = suspectPause / 2
		}
		if !pktimer.Sleep(ctx, max(pause, 0)) {
			return
		}
	}
}
