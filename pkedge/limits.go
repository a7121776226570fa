package pkedge

import (
	"net/http"
	"time"

	"peridotknot.example/pkforward"
	"peridotknot.example/pkid"
	"peridotknot.example/pkrate"
	"peridotknot.example/pkreplica"
)

// recordLimit records the rate limit that a target names in the response to a request sent at
// sentAt. A response as misdirected comes from another replica.
func (d *Daemon) recordLimit(t *pkreplica.Target, id pkid.RequestID, sentAt time.Time, resp *pkforward.Response) {
	if resp == nil || resp.Status == http.StatusMisdirectedRequest {
		return
	}
	for _, h := range resp.Invalid {
		d.metrics.invalidHeaders.WithLabelValues(string(h)).Inc()
	}
	if resp.IsInvalid(pkforward.HeaderRateLimit) {
		d.log.Debug("invalid header in the response of a target ignored", "target", t.ID, "request_id", id, "header", string(pkforward.HeaderRateLimit))
		return
	}
	before, changed := d.limits.Record(t.ID, t.Born, resp.Limit, sentAt)
	if changed {
		d.logLimit(t.ID, before, resp.Limit, "source", "response", "request_id", id, "age_ms", time.Since(sentAt).Milliseconds())
	}
}

// logLimit logs a changed rate limit of a target.
func (d *Daemon) logLimit(id pkid.TargetID, before, after pkrate.Limit, context ...any) {
	d.log.Info("rate limit of a target has changed", append([]any{
		"target", id, "limited", after.Named, "per_second", float64(after.Rate),
		"limited_before", before.Named, "per_second_before", float64(before.Rate),
	}, context...)...)
}
