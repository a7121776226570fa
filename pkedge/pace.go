package pkedge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"peridotknot.example/pkowner"
	"peridotknot.example/pkpace"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pktimer"
)

const (
	// slowReportInterval is how often an entry polls an engine that it monitors and that is known
	// to be slow; two entries monitor each engine.
	slowReportInterval = time.Second
	// reportInterval is the same for other engines. Most engines that become slow are found sooner,
	// since their streams fall silent and their liveness is checked.
	reportInterval = 5 * time.Second
	// reportScanInterval is how often the engines due for a poll are looked up, which spreads the
	// polls over time.
	reportScanInterval = 250 * time.Millisecond
	// reportTimeout bounds a poll; engines answer within milliseconds under any load.
	reportTimeout = 200 * time.Millisecond
)

// pollPaces polls the engines that this entry monitors for their pace, the step time relative to
// that declared for their kind.
//
// An engine that is slow for some seconds shows it only in its report, and paths chosen by the
// declared speed of its kind would keep using it. Two entries of each data centre poll on behalf of
// all, which bounds the load of the polls.
func (d *Daemon) pollPaces(ctx context.Context) {
	due := map[process]time.Time{}
	var wg sync.WaitGroup
	defer wg.Wait()
	pktimer.Every(ctx, reportScanInterval, func(ctx context.Context) {
		now := time.Now()
		wanted := d.monitoredEngines(now)
		for one := range due {
			if _, still := wanted[one]; !still {
				delete(due, one)
			}
		}
		for one, t := range wanted {
			pause := d.pollInterval(now, t)
			at, known := due[one]
			switch {
			case !known:
				due[one] = now.Add(rand.N(pause))
			case !now.Before(at) && t.RestsFor(now) > 0:
				due[one] = now.Add(t.RestsFor(now))
			case !now.Before(at):
				due[one] = now.Add(pause)
				wg.Go(func() { d.pollPace(ctx, t) })
			case at.Sub(now) > pause:
				due[one] = now.Add(rand.N(pause))
			}
		}
	})
}

// pollInterval returns how long after a poll at now an engine is polled again.
func (d *Daemon) pollInterval(now time.Time, t *pkreplica.Target) time.Duration {
	if d.paces.Factor(now, t.ID, t.Born) > pkpace.Nominal {
		return slowReportInterval
	}
	return reportInterval
}

// pollPace reads an engine's report.
func (d *Daemon) pollPace(ctx context.Context, t *pkreplica.Target) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := d.readReport(ctx, t); err != nil && ctx.Err() == nil {
		d.log.Debug("engine pace was not read", "target", t.ID, "error", err)
	}
}

// updatePace records the pace in an engine's report, which was requested at the given time, and
// reports it to the other entries at once if it has changed.
func (d *Daemon) updatePace(t *pkreplica.Target, report pkowner.Report, requested time.Time) {
	factor := pkpace.Factor(report.Factor)
	if !d.paces.Record(time.Now(), t.ID, report.Born, factor, requested) {
		return
	}
	d.log.Info("engine pace has changed", "target", t.ID, "factor", report.Factor, "source", "report")
	d.gossip.requestSend()
}

// mergePaces merges the observations of another entry, and forwards changes if there are hubs.
func (d *Daemon) mergePaces(now time.Time, observations []pkpace.Observation) {
	changed := false
	for _, r := range observations {
		if d.paces.Merge(now, r) {
			changed = true
		}
	}
	if changed && d.gossip.withHubs.Load() {
		d.gossip.requestSend()
	}
}
