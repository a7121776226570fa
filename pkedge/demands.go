package pkedge

import (
	"net/http"
	"time"

	"peridotknot.example/pkforward"
	"peridotknot.example/pkid"
	"peridotknot.example/pkrate"
	"peridotknot.example/pkreplica"
)

// recordDemands records what targets ask for in the response to a request sent at sentAt. The first
// target has answered, the others are the engines behind it. A response as misdirected comes from
// another replica.
func (d *Daemon) recordDemands(targets []*pkreplica.Target, id pkid.RequestID, sentAt time.Time, resp *pkforward.Response) {
	if resp == nil || resp.Status == http.StatusMisdirectedRequest {
		return
	}
	for _, h := range resp.Invalid {
		d.metrics.invalidHeaders.WithLabelValues(string(h)).Inc()
		d.log.Debug("invalid header in the response of a target ignored", "target", targets[0].ID, "request_id", id, "header", string(h))
	}
	now := time.Now()
	if resp.Leaving {
		d.recordLeaving(now, targets[0], id)
	}
	d.recordRest(now, targets, id, resp)
	d.recordLimit(targets[0], id, sentAt, resp)
}

// recordLeaving records that a target announces its leaving, and reports it to the other entries. Its
// record may still list it as ready.
func (d *Daemon) recordLeaving(now time.Time, t *pkreplica.Target, id pkid.RequestID) {
	if !t.MarkAnnouncedLeaving(now) {
		return
	}
	d.log.Info("target says that it leaves", "target", t.ID, "request_id", id, "record_leaving", t.Leaving)
	d.suspectStaleRecord(now, t)
	d.streams.wakeUp()
}

// recordRest records that the target which refused a request takes none of this entry for a time from
// now, and neither does the engine on whose behalf it refused.
func (d *Daemon) recordRest(now time.Time, targets []*pkreplica.Target, id pkid.RequestID, resp *pkforward.Response) {
	if resp.RetryAfter <= 0 {
		return
	}
	for i, t := range targets {
		if i == 0 || t.Addr == resp.FaultAddr {
			d.log.Info("target asks for rest", "target", t.ID, "for_ms", resp.RetryAfter.Milliseconds(), "request_id", id, "behind", i)
			t.Rest(now.Add(resp.RetryAfter))
		}
	}
	end := int64(now.Add(resp.RetryAfter).Sub(d.started))
	for last := d.lastRestEnd.Load(); end > last && !d.lastRestEnd.CompareAndSwap(last, end); last = d.lastRestEnd.Load() {
		continue // another response has set it meanwhile
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

// logLimit logs a changed rate limit of a target.
func (d *Daemon) logLimit(id pkid.TargetID, before, after pkrate.Limit, context ...any) {
	d.log.Info("rate limit of a target has changed", append([]any{
		"target", id, "limited", after.Named, "per_second", float64(after.Rate),
		"limited_before", before.Named, "per_second_before", float64(before.Rate),
	}, context...)...)
}
