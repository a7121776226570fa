package pkedge

import (
	"context"
	"errors"
	"time"
)

const (
	// firstEventTimeout is how long a stream may wait for its first event before its path is
	// checked. A prompt is read in 60 ms, under load in 300 ms.
	firstEventTimeout = 900 * time.Millisecond
	// nextEventTimeout is the same between events. Events come every 30 to 60 ms.
	nextEventTimeout = 450 * time.Millisecond
	// maxSilentChecks is the number of checks after which a path without a first event is given up.
	maxSilentChecks = 3
)

// watchdog checks the path of a stream whose events stop.
type watchdog struct {
	timer *time.Timer
	fired chan struct{}
	quit  chan struct{}
	done  chan struct{}
}

func (w *watchdog) reset() { w.timer.Reset(nextEventTimeout) }

func (w *watchdog) stop() {
	w.timer.Stop()
	close(w.quit)
	<-w.done
}

// startWatchdog starts a watchdog that cancels an attempt if another one can take over and the path
// waits for a dead engine, or has had no first event after maxSilentChecks. Engines end such a
// request themselves, but only after seconds. Without a replacement, or with live engines, a late
// answer is better than a broken one.
func (c *call) startWatchdog(ctx context.Context, a *attempt) *watchdog {
	w := &watchdog{fired: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{})}
	w.timer = time.AfterFunc(firstEventTimeout, func() {
		select {
		case w.fired <- struct{}{}:
		default:
		}
	})
	go func() {
		defer close(w.done)
		for checks := 1; ; checks++ {
			select {
			case <-w.quit:
				return
			case <-w.fired:
			}
			if (c.checkStalled(ctx, a) || (checks >= maxSilentChecks && a.eventCount() == 0)) && a.canRetry && c.reserveRetry(a, reasonDead) {
				a.cancel(errPathSilent)
				return
			}
			w.timer.Reset(nextEventTimeout)
		}
	}()
	return w
}

// checkStalled asks the first engine of a path for stalled requests, suspects the engines that they
// wait for and reports whether this request is among them. An unreachable first engine is suspected
// too, and counts as stalled.
func (c *call) checkStalled(parent context.Context, a *attempt) bool {
	ctx, cancel := context.WithTimeout(parent, orderTimeout/2)
	defer cancel()
	first := a.currentPath().first()
	if len(a.currentPath().hops) == 0 {
		return false // plain services have no reports
	}
	report, err := c.readReport(ctx, first)
	if parent.Err() != nil {
		// The attempt was canceled meanwhile, which is no failure of the engine.
		return false
	}
	now := time.Now()
	if errors.Is(err, context.DeadlineExceeded) {
		return false // this VM may be the slow one
	}
	if err != nil {
		if c.r.Context().Err() == nil {
			c.suspect(first, err)
			c.log.Info("engine suspected after a failed report", "target", first.ID, "request_id", c.req.Meta.ID, "error", err)
		}
		return true
	}
	found := false
	for _, one := range report.Stalled {
		for _, t := range a.currentPath().targets {
			if t.Addr != one.Addr {
				continue
			}
			found = found || one.ID == c.req.Meta.ID
			if !t.IsDead(now) {
				c.log.Info("stalled engine suspected", "target", t.ID, "request_id", one.ID)
			}
			c.suspect(t, nil)
		}
	}
	return found
}
