package pkedge

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkexchange"
	"peridotknot.example/pkforward"
	"peridotknot.example/pkid"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkserver"
	"peridotknot.example/pkverdict"
)

const (
	// maxSends bounds the sends of a request, including those that targets refuse.
	maxSends = 6
	// maxBufferedAnswer is the largest answer, in bytes, that is read to its end before it is
	// forwarded, so that the call can be retried if the answer breaks off.
	maxBufferedAnswer = 1 << 20
	// attemptTimeoutShare is the share of the remaining time after which an idempotent call to a
	// silent target is abandoned in favour of another one.
	attemptTimeoutShare = 0.4
)

// chooseService selects a service of a traffic split by a hash of the request's id, so that all
// entries select the same one.
func chooseService(r *pkconfig.Route, id pkid.RequestID) pkid.ServiceID {
	total := 0
	for _, s := range r.Services {
		total += max(s.Weight, 0)
	}
	if total == 0 || len(r.Services) == 1 {
		return r.Services[0].Service
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	at := int(h.Sum32() % uint32(total))
	for _, s := range r.Services {
		if at -= max(s.Weight, 0); at < 0 {
			return s.Service
		}
	}
	return r.Services[0].Service
}

// sendResult is the result of one send of a request.
type sendResult struct {
	// err is the failure of the send, or the result of the request if final is set.
	err   error
	final bool
	// last is set if the request must not be sent again.
	last bool
	// verdict is that of all sends so far.
	verdict pkverdict.Verdict
}

// servePlain serves a call to a plain service.
func (c *call) servePlain(ctx context.Context) error {
	verdict := pkverdict.NotRun
	var cause error
	for c.sends < maxSends && ctx.Err() == nil {
		result := c.sendPlain(ctx, verdict)
		if result.final {
			return result.err
		}
		verdict = result.verdict
		if result.last {
			cause = errors.Join(cause, result.err)
			break
		}
		cause = result.err
	}
	return c.finalError(ctx, verdict, cause)
}

// sendPlain sends a call to a target, or passes it on if this entry is cut off; verdict is that of the
// sends before.
func (c *call) sendPlain(ctx context.Context, verdict pkverdict.Verdict) sendResult {
	if held := cmp.Or(c.checkQuarantine(time.Now()), c.checkStop(time.Now())); held != nil {
		return sendResult{verdict: verdict, last: true, err: held}
	}
	if err := c.passedBack(verdict); err != nil {
		return sendResult{final: true, err: err}
	}
	if r, found := c.nextRelay(ctx); found {
		defer r.end()
		if !c.maySend(verdict) {
			return sendResult{verdict: verdict, last: true}
		}
		result := c.relayResult(r, verdict, c.relayPlain(ctx, r))
		result.last = !result.verdict.MayRetry(c.route.Retryable())
		return result
	}
	if c.isCutOff() {
		return sendResult{verdict: verdict, last: true}
	}
	impaired := c.links.Impaired(c.service)
	t, err := c.waitForTarget(ctx)
	if errors.Is(err, errNoTarget) && !impaired && c.findsLinksImpaired(ctx) {
		return sendResult{verdict: verdict, err: err}
	}
	if err == nil {
		err = c.checkStop(time.Now())
	}
	if err != nil || !c.maySend(verdict) {
		return sendResult{verdict: verdict, last: true, err: err}
	}
	return c.sendPlainTo(ctx, t, verdict)
}

// sendPlainTo sends a call to a target.
func (c *call) sendPlainTo(ctx context.Context, t *pkreplica.Target, verdict pkverdict.Verdict) sendResult {
	c.sends++
	resp, body, err := c.sendTo(ctx, t)
	if err == nil {
		c.recordSuccess(time.Now())
		return sendResult{final: true, err: c.forward(resp.Status, resp.Header, body)}
	}
	var sent *forwarded
	if errors.As(err, &sent) {
		return sendResult{final: true, err: sent.err}
	}
	c.recordIfInterrupted(time.Now(), err, t)
	verdict = pkverdict.Join(verdict, c.recordSendFailure(t, err))
	last := !verdict.MayRetry(c.route.Retryable())
	if resp != nil && (last || (verdict != pkverdict.NotRun && c.sends >= c.route.MaxAttempts)) {
		// The target's own error answer is forwarded unchanged.
		return sendResult{final: true, err: c.forward(resp.Status, resp.Header, body)}
	}
	if !last {
		c.afterUnreachable(ctx, err)
	}
	return sendResult{verdict: verdict, last: last, err: err}
}

// maySend reports whether another send is allowed, and charges a retry to the retry budget.
func (c *call) maySend(verdict pkverdict.Verdict) bool {
	if c.failed.Delivered() == 0 {
		// The retry budget bounds the requests that reach targets; a target that refused the
		// connection was sent nothing.
		return true
	}
	if !c.mayRetry(verdict) {
		return false
	}
	if !c.chargeRetry() {
		c.logBudgetSpent(time.Now())
		return false
	}
	return true
}

// logBudgetSpent logs that the retry budget allows the call no further send at now.
func (c *call) logBudgetSpent(now time.Time) {
	l := c.retryLimits(now)
	u := c.budgets.of(c.service).Usage(now, l)
	c.log.Warn("retry budget is spent", "request_id", c.req.Meta.ID, "service", c.service, "entries", l.Share.Entries,
		"live", c.gossip.table.LivePeerCount(now)+1, "listed", len(c.members.list()), "lease", c.members.holdsLease(), "shares", !now.Before(l.SharesSince), "inherited", u.Inherited,
		"requests", u.Requests, "retries", u.Retries, "in_flight", u.InFlight, "unconfirmed", u.Unconfirmed, "allowed", u.Allowed, "uptime_ms", now.Sub(c.started).Milliseconds())
}

// mayRetry reports whether the verdict and the limit of attempts allow another send.
func (c *call) mayRetry(verdict pkverdict.Verdict) bool {
	return verdict.MayRetry(c.route.Retryable()) && c.failed.Attempts() < c.route.MaxAttempts
}

// chargeRetry charges a send to the retry budget, unless that was done already, and reports whether
// the budget allows it.
func (c *call) chargeRetry() bool {
	now := time.Now()
	limits := c.retryLimits(now)
	if !c.charges.HasNext() {
		c.charges.SetNext(c.budgets.of(c.service).Charge(now, limits))
	}
	if !c.charges.HasNext() {
		return false
	}
	c.charges.Begin(now, limits.Window)
	c.suspendUnconfirmed(now)
	c.metrics.repeated.Inc()
	return true
}

// recordSendFailure records a failed send to a target and returns its verdict. The target is not tried again,
// unless its connection attempt has had no answer for the first time: the packet may be lost.
func (c *call) recordSendFailure(t *pkreplica.Target, err error) pkverdict.Verdict {
	var failure *pkverdict.Error
	if !errors.As(err, &failure) {
		failure = pkverdict.Lost(err)
	}
	if failure.Reason == pkverdict.ReasonUnreachable && !pkexchange.IsConnectionError(failure.Err) && !slices.Contains(c.unanswered, t.ID) {
		c.unanswered = append(c.unanswered, t.ID)
	} else {
		c.tried = append(c.tried, t.ID)
	}
	c.failed.Record(failure)
	c.metrics.failed.WithLabelValues(failure.Verdict.String(), string(failure.Reason)).Inc()
	c.log.Info("a send failed", "request_id", c.req.Meta.ID, "digest", c.traits.Request.String(), "parts", c.req.Meta.SharedParts, "target", t.ID, "send", c.sends,
		"verdict", failure.Verdict.String(), "reason", string(failure.Reason), "error", failure.Err)
	return failure.Verdict
}

// sendTo sends the call to one target and reads the complete answer. An answer that is returned
// together with an error is an error answer of the target.
func (c *call) sendTo(ctx context.Context, t *pkreplica.Target) (*pkforward.Response, []byte, error) {
	began := time.Now()
	left := c.deadline.Sub(began)
	if c.route.Retryable() && c.failed.Attempts()+1 < c.route.MaxAttempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(attemptTimeoutShare*float64(left)))
		defer cancel()
	}
	t.Begin(began, 0, 0, 0)
	defer t.Done(0)
	c.awaitDelivery(began, t)
	resp, err := c.Sender.Do(ctx, t.Addr, &c.req, pkforward.SendOptions{TimeBudget: left, Target: t.ID, Account: c.account})
	c.recordDelivery(ctx, time.Now(), t, resp, err)
	c.recordDemands([]*pkreplica.Target{t}, c.req.Meta.ID, began, resp)
	if resp != nil && resp.Load >= 0 {
		t.RecordReport(time.Now(), resp.Load)
	}
	if err != nil {
		c.recordTargetFailure(t, began, resp, err)
		return nil, nil, err
	}
	defer resp.Close()
	body, err := c.readAnswer(ctx, resp.Body, resp.Length)
	if errors.Is(err, pkserver.ErrBusy) {
		return resp, nil, c.forwardUnbuffered(ctx, resp, t, body)
	}
	if err == nil {
		err = c.checkBodyEnd(ctx, resp, t)
	}
	if err != nil {
		t.RecordFailure(time.Now())
		return nil, nil, err
	}
	took := time.Since(began)
	err = resp.CheckAnswer()
	switch {
	case errors.Is(err, pkexchange.ErrTargetFailed):
		// Recorded as slow, so that a target that fails quickly is not preferred.
		t.RecordSlow(took * 2)
		return resp, body, err
	case err != nil:
		t.RecordFailure(time.Now())
		return nil, nil, err
	}
	t.RecordSuccess(began, took)
	c.stopState.durations.Record(c.kind(), took)
	return resp, body, nil
}

// recordTargetFailure backs off from a target after a failed send or records it as slow. It does
// nothing if the caller has left.
func (c *call) recordTargetFailure(t *pkreplica.Target, began time.Time, resp *pkforward.Response, err error) {
	now := time.Now()
	switch {
	case c.r.Context().Err() != nil:
	case resp != nil && resp.Status == http.StatusMisdirectedRequest:
		// Another replica has the address: the target is gone.
		t.Avoid(now, now.Add(misdirectedTTL))
	case resp != nil:
		// The target is full.
		t.RecordSlow(now.Sub(began) * 2)
	case errors.Is(err, context.DeadlineExceeded):
		t.RecordSlow(now.Sub(began))
	default:
		until := c.avoidFailed(now, t, err)
		c.log.Info("target avoided after a failed send", "target", t.ID, "request_id", c.req.Meta.ID, "for_ms", until.Sub(now).Milliseconds(), "error", err)
	}
}

// avoidFailed avoids a target after a failure and returns until when. One that refuses connections is
// suspected.
func (d *Daemon) avoidFailed(now time.Time, t *pkreplica.Target, err error) time.Time {
	if errors.Is(err, syscall.ECONNREFUSED) {
		d.suspect(t, err)
	}
	return t.RecordFailure(now)
}

// misdirectedTTL is how long a target is avoided that answered a request as misdirected. Its record
// expires or changes within that time.
const misdirectedTTL = 5 * time.Second

// forward sends a complete answer of a target to the caller.
func (c *call) forward(status int, header http.Header, body []byte) error {
	h := c.w.Header()
	pkforward.CopyHeaders(h, header)
	if c.r.Method != http.MethodHead { // whose answer has the length that the target names
		h["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	c.writeHead(status)
	if _, err := c.w.Write(body); err != nil {
		return errCallerLeft
	}
	return nil
}
