package pkedge

import (
	"context"
	"errors"
	"time"
)

const (
	// firstEventWait is how long a stream may stay without its first event before
	// its engines are asked: a prompt is read in 60 ms, under load in 300 ms.
	firstEventWait = 900 * time.Millisecond
	// nextEventWait is the same between events, which come each 30 to 60 ms.
	nextEventWait = 450 * time.Millisecond
	// giveUpAfter is how often a silent path is asked before another takes over.
	giveUpAfter = 3
)

// watchdog asks a silent path for the engine that it waits for.
type watchdog struct {
	timer *time.Timer
	fired chan struct{}
	quit  chan struct{}
	done  chan struct{}
}

func (w *watchdog) event() { w.timer.Reset(nextEventWait) }

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
	w.timer = time.AfterFunc(firstEventWait, func() {
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
			if (c.stalled(ctx, a) || (asked >= giveUpAfter && a.count() == 0)) && a.again && c.mayMove(a, whyDead) {
				a.cancel(errSilent)
				return
			}
			w.timer.Reset(nextEventWait)
		}
	}()
	return w
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
