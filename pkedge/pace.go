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
	// paceEvery is how often an entry asks an engine that it watches and that is known to be slow;
	// two entries watch each. Reports are some hundred milliseconds old, and each question costs.
	paceEvery = time.Second
	// paceSeldom is the same of engines that are as fast as their kind, as far as is known. Most of
	// those that turn slow are found sooner: streams through them fall silent, and they are asked
	// for a sign of life.
	paceSeldom = 5 * time.Second
	// paceLook is how often it is looked which engines are due: questions are spread over time.
	paceLook = 250 * time.Millisecond
	// paceTimeout bounds a question; engines answer in milliseconds whatever their load.
	paceTimeout = 200 * time.Millisecond
)

// askPaces asks the engines that this entry watches how fast they are.
//
// An engine that is several times as slow as its kind for some seconds says so in its report
// alone. Chosen by what kinds declare, paths went on leading over such engines, and one answer in
// five was late by them. Two entries of each data centre ask for all, since each entry asking for
// itself costs more than what it learns is worth.
func (d *Daemon) askPaces(ctx context.Context) {
	due := map[process]time.Time{}
	var wg sync.WaitGroup
	defer wg.Wait()
	pktimer.Every(ctx, paceLook, func(ctx context.Context) {
		now := time.Now()
		wanted := d.toWatch(now)
		for one := range due {
			if _, still := wanted[one]; !still {
				delete(due, one)
			}
		}
		for one, t := range wanted {
			pause := d.pacePause(now, t)
			at, known := due[one]
			switch {
			case !known:
				due[one] = now.Add(rand.N(pause))
			case !now.Before(at):
				due[one] = now.Add(pause)
				wg.Go(func() { d.askPace(ctx, t) })
			case at.Sub(now) > pause:
				due[one] = now.Add(rand.N(pause))
			}
		}
	})
}

// pacePause returns how long after a question at now an engine is asked for its pace again.
func (d *Daemon) pacePause(now time.Time, t *pkreplica.Target) time.Duration {
	if d.paces.Factor(now, t.ID, t.Born) > pkpace.Usual {
		return paceEvery
	}
	return paceSeldom
}

// askPace reads an engine's report for its pace.
func (d *Daemon) askPace(ctx context.Context, t *pkreplica.Target) {
	ctx, cancel := context.WithTimeout(ctx, paceTimeout)
	defer cancel()
	if _, err := d.report(ctx, t); err != nil && ctx.Err() == nil {
		d.log.Debug("an engine was not asked for its pace", "target", t.ID, "error", err)
	}
}

// learnPace takes what an engine's report, asked for at a time, says of its pace, and tells the
// others at once where that is news.
func (d *Daemon) learnPace(t *pkreplica.Target, report pkowner.Report, asked time.Time) {
	factor := pkpace.Factor(report.Pace)
	if !d.paces.Learn(time.Now(), t.ID, report.Born, factor, asked) {
		return
	}
	d.log.Info("an engine has another pace", "target", t.ID, "factor", report.Pace, "source", "report")
	d.sharing.hurry()
}

// hearPaces takes what another entry says of engines' paces, and passes news on where there are
// hubs.
func (d *Daemon) hearPaces(now time.Time, words []pkpace.Word) {
	news := false
	for _, w := range words {
		if d.paces.Hear(now, w) {
			news = true
		}
	}
	if news && d.sharing.withHubs.Load() {
		d.sharing.hurry()
	}
}

// hurry asks for a message before the next is due.
func (s *sharing) hurry() {
	select {
	case s.urgent <- struct{}{}:
	default: // a message is asked for already
	}
}
