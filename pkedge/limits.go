package pkedge

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkforward"
	"peridotknot.example/pkid"
	"peridotknot.example/pkrate"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pktimer"
)

// recordDemands records what a target asks for in the response to a request sent at sentAt. A
// response as misdirected comes from another replica.
func (d *Daemon) recordDemands(t *pkreplica.Target, id pkid.RequestID, sentAt time.Time, resp *pkforward.Response) {
	if resp == nil || resp.Status == http.StatusMisdirectedRequest {
		return
	}
	for _, h := range resp.Invalid {
		d.metrics.invalidHeaders.WithLabelValues(string(h)).Inc()
		d.log.Debug("invalid header in the response of a target ignored", "target", t.ID, "request_id", id, "header", string(h))
	}
	d.recordRest(time.Now(), t, id, resp)
	d.recordLimit(t, id, sentAt, resp)
}

// recordRest records that a target wants no requests from this entry for a time from now.
func (d *Daemon) recordRest(now time.Time, t *pkreplica.Target, id pkid.RequestID, resp *pkforward.Response) {
	if resp.RetryAfter > 0 {
		d.log.Info("target asks for rest", "target", t.ID, "for_ms", resp.RetryAfter.Milliseconds(), "request_id", id, "fault", resp.FaultAddr)
		t.Rest(now.Add(resp.RetryAfter))
	}
}

// recordLimit records the rate limit that a target names in the response to a request sent at
// sentAt.
func (d *Daemon) recordLimit(t *pkreplica.Target, id pkid.RequestID, sentAt time.Time, resp *pkforward.Response) {
	if resp.IsInvalid(pkforward.HeaderRateLimit) {
		return
	}
	before, changed := d.limits.Record(t.ID, t.Born, resp.Limit, sentAt)
	if changed {
		d.logLimit(t.ID, before, resp.Limit, "source", "response", "request_id", id, "age_ms", time.Since(sentAt).Milliseconds())
		if pkrate.IsUrgent(before, resp.Limit) {
			d.gossip.requestSend()
		}
	}
}

// mergeLimits merges the rate limits that another entry has observed, and forwards changes if there
// are hubs.
func (d *Daemon) mergeLimits(now time.Time, observations []pkrate.Observation, from pkid.EntryID) {
	urgent := false
	for _, o := range observations {
		before, changed := d.limits.Merge(now, o)
		if changed {
			d.logLimit(o.Target, before, o.Limit(), "source", "peer "+string(from), "age_ms", o.AgeMS)
			urgent = urgent || pkrate.IsUrgent(before, o.Limit())
		}
	}
	if urgent && d.gossip.withHubs.Load() {
		d.gossip.requestSend()
	}
}

// share returns this entry's part at now in what all entries share.
func (d *Daemon) share(now time.Time) pkrate.Share {
	return pkrate.Share{Entries: d.entryCount(now), Place: d.place}
}

// takePermit takes a permit at now for a request to a target, and reports whether there is one or
// the target names no limit.
func (d *Daemon) takePermit(now time.Time, t *pkreplica.Target) bool {
	return d.limits.Named() == 0 || d.limits.Take(now, t.ID, t.Born, d.share(now))
}

// rateLimitError is returned if each target that could serve a request is at its rate limit.
type rateLimitError struct {
	// wait is the time until this entry may send a request to one of them.
	wait time.Duration
	// retryAfter is the time after which the caller should come back, to this entry or another.
	retryAfter time.Duration
}

// Error returns the wait.
func (e *rateLimitError) Error() string {
	return fmt.Sprintf("all targets are at their rate limits for %v", e.wait)
}

// limitOf returns an error if all targets of a list are at their rate limits at now.
func (d *Daemon) limitOf(now time.Time, targets []*pkreplica.Target) *rateLimitError {
	if d.limits.Named() == 0 || len(targets) == 0 {
		return nil
	}
	share := d.share(now)
	out := &rateLimitError{wait: math.MaxInt64, retryAfter: math.MaxInt64}
	for _, t := range targets {
		wait := d.limits.Wait(now, t.ID, t.Born, share)
		if wait == 0 {
			return nil
		}
		out.wait = min(out.wait, wait)
		out.retryAfter = min(out.retryAfter, d.limits.RetryAfter(now, t.ID, t.Born, share))
	}
	return out
}

// entryLimit returns an error if each engine by which a path can enter a pool is at its rate limit
// at now.
func (c *call) entryLimit(now time.Time, s *pkconfig.Service) *rateLimitError {
	if s.Engine == nil {
		return c.targetLimit(now, s.ID)
	}
	q := c.requestQuery(s)
	return c.limitOf(now, slices.DeleteFunc(c.liveEngines(now, s.ID, s.Engine), func(t *pkreplica.Target) bool {
		return !t.Held.Contains(q.layers.First) || !q.allows(now, t)
	}))
}

// targetLimit returns an error if each target of a plain service that was not tried is at its rate
// limit at now.
func (c *call) targetLimit(now time.Time, s pkid.ServiceID) *rateLimitError {
	return c.limitOf(now, slices.DeleteFunc(c.roster.Live(now, s), func(t *pkreplica.Target) bool {
		return slices.Contains(c.tried, t.ID)
	}))
}

// chooseTarget returns a target of a plain service that was not tried and is not at its rate limit.
func (c *call) chooseTarget(now time.Time, s pkid.ServiceID) (*pkreplica.Target, bool) {
	limited, share := c.limits.Named() > 0, c.share(now)
	return c.roster.Choose(now, s, func(t *pkreplica.Target) bool {
		return !slices.Contains(c.tried, t.ID) && (!limited || c.limits.Wait(now, t.ID, t.Born, share) == 0)
	})
}

// errNoTarget is returned if a service has no target left to try.
var errNoTarget = errors.New("no target left to try")

// waitForTarget returns a target of a plain service and takes a permit for it. If each is at its rate
// limit, it waits up to capacityTimeout.
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
		err := c.targetLimit(now, c.service)
		switch {
		case err == nil:
			return nil, errNoTarget
		case now.Add(err.wait).After(until) || !pktimer.Sleep(ctx, err.wait):
			return nil, err
		}
	}
}

// logLimit logs a changed rate limit of a target.
func (d *Daemon) logLimit(id pkid.TargetID, before, after pkrate.Limit, context ...any) {
	d.log.Info("rate limit of a target has changed", append([]any{
		"target", id, "limited", after.Named, "per_second", float64(after.Rate),
		"limited_before", before.Named, "per_second_before", float64(before.Rate),
	}, context...)...)
}
