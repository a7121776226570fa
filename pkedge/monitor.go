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
	// monitorInterval is how often the monitored engines are compared with the list.
	monitorInterval = 500 * time.Millisecond
	// minReconnectInterval is the shortest time between connections to one engine. Engines close
	// idle connections after a second or more, and reset those beyond their limit.
	minReconnectInterval = 200 * time.Millisecond
)

// monitorEngines holds an idle connection to each engine of its own data centre if this entry is
// designated there. The connection ends with the engine's process and cannot be made again, which
// shows a crash within milliseconds and with certainty, sooner than silent streams do.
func (d *Daemon) monitorEngines(ctx context.Context) {
	monitored := map[process]context.CancelFunc{}
	var wg sync.WaitGroup
	defer wg.Wait()
	pktimer.Every(ctx, monitorInterval, func(ctx context.Context) {
		wanted := d.monitoredEngines(time.Now())
		for one, cancel := range monitored {
			if _, still := wanted[one]; !still {
				cancel()
				delete(monitored, one)
			}
		}
		for one, t := range wanted {
			if monitored[one] != nil {
				continue
			}
			inner, cancel := context.WithCancel(ctx)
			monitored[one] = cancel
			wg.Go(func() { d.monitorEngine(inner, t) })
		}
	})
}

// process is one start of an engine at an address.
type process struct {
	id        pkid.TargetID
	addr      string
	startTime pkid.StartTime
}

// monitoredEngines returns the engines that this entry monitors at now.
func (d *Daemon) monitoredEngines(now time.Time) map[process]*pkreplica.Target {
	out := map[process]*pkreplica.Target{}
	table := d.configs.Table()
	if table == nil || !d.gossip.designated.Load() {
		return out
	}
	for i := range table.Services {
		s := &table.Services[i]
		if s.Engine == nil {
			continue
		}
		for _, t := range d.liveEngines(now, s.ID, s.Engine) {
			if t.DataCenter == d.settings.DataCenter {
				out[process{id: t.ID, addr: t.Addr, startTime: t.Born}] = t
			}
		}
	}
	return out
}

// monitorEngine holds connections to an engine, one after another, until ctx ends.
func (d *Daemon) monitorEngine(ctx context.Context, t *pkreplica.Target) {
	for ctx.Err() == nil {
		began := time.Now()
		err := d.Engines.AwaitClose(ctx, t.Addr)
		now := time.Now()
		pause := minReconnectInterval - now.Sub(began)
		if ctx.Err() == nil && errors.Is(err, syscall.ECONNREFUSED) {
			d.suspect(t, err)
			d.log.Info("engine refuses connections, avoided as crashed", "target", t.ID, "error", err)
			pause = suspectTTL / 2
		}
		if !pktimer.Sleep(ctx, max(pause, 0)) {
			return
		}
	}
}
