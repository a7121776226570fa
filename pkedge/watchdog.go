package pkedge

import (
	"context"
	"errors"
	"time"

	"peridotknot.example/pkstall"
)

// watchdog asks a silent path for the engine that it waits for.
type watchdog struct {
	timer *time.Timer
	// patience is how long the path may stay silent.
	patience pkstall.Patience
	fired    chan struct{}
	quit     chan struct{}
	done     chan struct{}
}

func (w *watchdog) event() { w.timer.Reset(w.patience.Next) }

func (w *watchdog) stop() {
	w.timer.Stop()
	close(w.quit)
	<-w.done
}

// watchOver cancels an attempt whose path waits for a dead engine, or has no first
// event for long without one being known, where another attempt can take over.
// Engines cut such a request themselves, but only after seconds; where nothing can
// take over, or engines live, an answer that is late is better than one broken off.
func (c *call) watchOver(ctx context.Context, a *attempt) *watchdog {
	w := &watchdog{fired: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{})}
	w.patience = pkstall.PatienceFor(c.route.Objective, c.route.PauseObjective, c.firsts.Usual())
	w.timer = time.AfterFunc(w.patience.First, func() {
		select {
		case w.fired <- struct{}{}:
		default:
		}
	})
	go func() {
		defer close(w.done)
		for asked := 1; ; asked++ {
			select {
			case <-w.quit:
				return
			case <-w.fired:
			}
			if (c.stalled(ctx, a) && a.again && c.mayMove(a, whyDead)) || (asked >= w.patience.Asks && c.lost(a)) {
				a.cancel(errSilent)
				return
			}
			w.timer.Reset(w.patience.Next)
		}
	}()
	return w
}

// lost says whether an attempt has no event after all that its caller can wait, though no engine of
// it is known to be dead, and may be sent again. Moves off dead engines come first in what may be
// sent again.
func (c *call) lost(a *attempt) bool {
	return a.count() == 0 && a.again && c.mayMove(a, whyLost)
}

// stalled asks the first engine of a path what the request waits for.
func (c *call) stalled(parent context.Context, a *attempt) bool {
	ctx, cancel := context.WithTimeout(parent, orderTimeout/2)
	defer cancel()
	first := a.route().first()
	if len(a.route().hops) == 0 {
		return false // plain services make no reports
	}
	report, err := c.report(ctx, first)
	if parent.Err() != nil {
		// The attempt has ended meanwhile, which says nothing of the engine. Taken for a
		// failure, it had all entries pass over a live first engine for four seconds.
		return false
	}
	now := time.Now()
	if errors.Is(err, context.DeadlineExceeded) {
		return false // this VM may be the slow one
	}
	if err != nil {
		if c.r.Context().Err() == nil {
			c.suspect(first, now.Add(suspectPause), err)
			c.log.Info("a silent engine is passed over", "target", first.ID, "request_id", c.req.Ask.ID, "error", err)
		}
		return true
	}
	found := false
	for _, one := range report.Stalled {
		for _, t := range a.route().targets {
			if t.Addr != one.Addr {
				continue
			}
			found = found || one.ID == c.req.Ask.ID
			if !t.IsDead(now) {
				c.log.Info("an engine that others wait for is passed over", "target", t.ID, "request_id", one.ID)
			}
			c.suspect(t, now.Add(suspectPause), nil)
		}
	}
	return found
}
