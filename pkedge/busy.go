package pkedge

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
	"peridotknot.example/pkrate"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pktimer"
)

// busyError is returned if each target that could serve a request is at its rate limit or has asked
// for rest.
type busyError struct {
	// reason is the outcome of the request.
	reason string
	// wait is the time until this entry may send a request to one of them.
	wait time.Duration
	// retryAfter is the time after which the caller should come back, to this entry or another.
	retryAfter time.Duration
}

// Outcomes of requests that are refused for what targets ask for.
const (
	reasonRateLimited = "rate_limited"
	reasonResting     = "resting"
)

// Error returns the reason and the wait.
func (e *busyError) Error() string { return fmt.Sprintf("all targets are %s for %v", e.reason, e.wait) }

// anyBusy reports whether some target may be at its rate limit or rest at now. Most of the time none
// is, and requests that wait need not ask each.
func (d *Daemon) anyBusy(now time.Time) bool {
	return d.limits.Named() > 0 || int64(now.Sub(d.started)) < d.lastRestEnd.Load()
}

// takePermit takes a permit at now for a request to a target, and reports whether there is one or
// the target names no limit.
func (d *Daemon) takePermit(now time.Time, t *pkreplica.Target) bool {
	return d.limits.Named() == 0 || d.limits.Take(now, t.ID, t.Born, d.share(now))
}

// busyFor returns how long from now a target takes no request of this entry, or nil if it takes one.
// Only requests that entries send count for its rate limit; those are sent to the first engine of a
// path.
func (d *Daemon) busyFor(now time.Time, t *pkreplica.Target, first bool, s pkrate.Share) *busyError {
	if rest := t.RestsFor(now); rest > 0 {
		return &busyError{reason: reasonResting, wait: rest, retryAfter: rest}
	}
	if !first || d.limits.Named() == 0 {
		return nil
	}
	wait := d.limits.Wait(now, t.ID, t.Born, s)
	if wait == 0 {
		return nil
	}
	return &busyError{reason: reasonRateLimited, wait: wait, retryAfter: d.limits.RetryAfter(now, t.ID, t.Born, s)}
}

// poolBusy returns an error if some layer of a pool has engines that could take a request at now, and
// all of them are busy.
func (c *call) poolBusy(now time.Time, s *pkconfig.Service) *busyError {
	if s.Engine == nil {
		return c.serviceBusy(now, s.ID)
	}
	if !c.anyBusy(now) {
		return nil
	}
	q, share := c.requestQuery(s), c.share(now)
	busy, free := make([]*busyError, s.Engine.Layers), make([]bool, s.Engine.Layers)
	for _, t := range c.liveEngines(now, s.ID, s.Engine) {
		if t.Avoided(now) && t.RestsFor(now) == 0 {
			continue
		}
		for l := t.Held.First; l < t.Held.End; l++ {
			err := c.busyFor(now, t, l == q.layers.First, share)
			free[l] = free[l] || err == nil
			busy[l] = sooner(busy[l], err)
		}
	}
	var out *busyError
	for l, err := range busy {
		if !free[l] && err != nil && (out == nil || err.wait > out.wait) {
			out = err
		}
	}
	return out
}

// sooner returns the error that ends first; nil counts as none.
func sooner(a, b *busyError) *busyError {
	if a == nil || (b != nil && b.wait < a.wait) {
		return b
	}
	return a
}

// serviceBusy returns an error if each target of a plain service is busy at now, or was tried and has
// failed.
func (c *call) serviceBusy(now time.Time, s pkid.ServiceID) *busyError {
	if !c.anyBusy(now) {
		return nil
	}
	var out *busyError
	share := c.share(now)
	for _, t := range c.roster.Live(now, s) {
		err := c.busyFor(now, t, true, share)
		if err == nil && !slices.Contains(c.tried, t.ID) {
			return nil
		}
		out = sooner(out, err)
	}
	return out
}

// chooseTarget returns a target of a plain service that was not tried and is not busy at now.
func (c *call) chooseTarget(now time.Time, s pkid.ServiceID) (*pkreplica.Target, bool) {
	var share pkrate.Share
	anyBusy := c.anyBusy(now)
	if anyBusy {
		share = c.share(now)
	}
	return c.roster.Choose(now, s, func(t *pkreplica.Target) bool {
		return !slices.Contains(c.tried, t.ID) && (!anyBusy || c.busyFor(now, t, true, share) == nil)
	})
}

// errNoTarget is returned if a service has no target left to try.
var errNoTarget = errors.New("no target left to try")

// waitForTarget returns a target of a plain service and takes a permit for it. If each is busy, it
// waits up to capacityTimeout.
func (c *call) waitForTarget(ctx context.Context) (*pkreplica.Target, error) {
	until := time.Now().Add(capacityTimeout)
	for {
		now := time.Now()
		if t, found := c.chooseTarget(now, c.service); found {
			if c.takePermit(now, t) {
				return t, nil
			}
			continue // another request took the last permit
		}
		err := c.serviceBusy(now, c.service)
		switch {
		case err == nil:
			return nil, errNoTarget
		case now.Add(err.wait).After(until) || !pktimer.Sleep(ctx, err.wait):
			return nil, err
		}
	}
}
