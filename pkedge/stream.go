package pkedge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkexchange"
	"peridotknot.example/pkforward"
	"peridotknot.example/pkserver"
	"peridotknot.example/pktimer"
	"peridotknot.example/pkverdict"
)

const (
	// capacityTimeout is how long a new request waits for a path with capacity. Callers expect the
	// first event within half a second, and an early refusal lets them retry.
	capacityTimeout = 120 * time.Millisecond
	// resumeTimeout is how long a stream whose answer has started waits for a path or for the retry
	// budget: its answer would break off otherwise, and callers wait two seconds for an event.
	resumeTimeout = 1500 * time.Millisecond
	// capacityPollInterval is how often a waiting request searches for a path again.
	capacityPollInterval = 10 * time.Millisecond
	// budgetPollInterval is how often a waiting stream checks the retry budget, which frees a tenth
	// of its window at a time.
	budgetPollInterval = 50 * time.Millisecond
	// retryAfterFull is the Retry-After delay if the pool is full. Answers end after two to four
	// seconds, so that a quarter of the pool is free by then.
	retryAfterFull = 2500 * time.Millisecond
)

// streamState is the state of a stream across its attempts.
type streamState struct {
	// lastEventID is the id of the last event forwarded to the caller.
	lastEventID string
	// events counts the events forwarded to the caller.
	events int
}

// errPathSilent cancels an attempt whose path sends no events.
var errPathSilent = errors.New("path sends no events")

// errRerouted cancels an attempt that must leave its path; its stream continues by another attempt
// unless the request is quarantined.
var errRerouted = errors.New("an engine of the path is dead or draining")

// serveStream serves a request for a stream of events, from engines or from a plain service.
func (c *call) serveStream(ctx context.Context, s *pkconfig.Service) error {
	verdict := pkverdict.NotRun
	var cause error
	state := streamState{lastEventID: c.resumeAfter()}
	queued := c.queues(c.table, s)
	for c.sends < maxSends && ctx.Err() == nil {
		if !c.maySendStream(ctx, queued, verdict) {
			break
		}
		result := c.sendStream(ctx, s, verdict, &state)
		if result.final {
			return result.err
		}
		verdict = result.verdict
		if result.err != nil {
			cause = result.err
		}
		if result.last {
			break
		}
	}
	if c.headSent {
		return fmt.Errorf("stream broke off after %d events: %w", state.events, cause)
	}
	if rej := c.refusalOf(ctx, verdict, cause); rej != nil {
		return rej
	}
	return c.finalError(ctx, verdict, cause)
}

// refusalOf returns the answer to a stream that was refused before it was sent, or nil; verdict is that of its
// sends, cause why it is not sent.
func (c *call) refusalOf(ctx context.Context, verdict pkverdict.Verdict, cause error) *rejection {
	if verdict != pkverdict.NotRun {
		return nil
	}
	var queued *queueRefusal
	switch {
	case errors.Is(cause, errProbation):
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAfterProbation, reason: "probation"}
	case errors.As(cause, &queued):
		return queued.rejection()
	case ctx.Err() == nil && errors.Is(cause, errNoCapacity):
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAfterFull, reason: "full"}
	default:
		return nil
	}
}

// maySendStream reports whether another send is allowed, and charges a retry to the retry budget. Requests that
// are queued for room are charged for a retry when their turn comes, or when they are passed on.
func (c *call) maySendStream(ctx context.Context, queued bool, verdict pkverdict.Verdict) bool {
	if queued {
		return c.failed.Delivered() == 0 || c.mayRetry(verdict)
	}
	return c.maySend(verdict) || c.waitForBudget(ctx, verdict)
}

// sendStream sends a request for a stream over a path, or passes it on if this entry is cut off; verdict
// is that of the sends before.
func (c *call) sendStream(ctx context.Context, s *pkconfig.Service, verdict pkverdict.Verdict, state *streamState) sendResult {
	if err := c.passedBack(verdict); err != nil {
		return sendResult{final: true, err: err}
	}
	if err := c.checkStop(time.Now()); err != nil {
		return sendResult{verdict: verdict, last: true, err: err}
	}
	if r, found := c.nextRelay(ctx); found {
		defer r.end()
		if c.queues(c.table, s) && !c.maySend(verdict) && !c.waitForBudget(ctx, verdict) {
			return sendResult{verdict: verdict, last: true}
		}
		return c.relayResult(r, verdict, c.relayStream(ctx, r, state))
	}
	if c.isCutOff() {
		return sendResult{verdict: verdict, last: true}
	}
	c.awaitCrashCheck(ctx)
	impaired := c.links.Impaired(c.service)
	p, err := c.waitForPath(ctx, s)
	if errors.Is(err, errNoCapacity) && !impaired && c.findsLinksImpaired(ctx) {
		c.charges.Revert()
		return sendResult{verdict: verdict, err: err}
	}
	if err == nil {
		err = c.admitToPath(time.Now(), s, p)
	}
	if err != nil {
		return sendResult{verdict: verdict, last: true, err: err}
	}
	return c.sendStreamOver(ctx, s, p, verdict, state)
}

// admitToPath returns an error if the request may not use a path at now, whose load it releases: it is suspected to crash
// engines, or the daemon stops before it would end.
func (c *call) admitToPath(now time.Time, s *pkconfig.Service, p targetPath) error {
	err := c.checkStop(now)
	if err == nil {
		err = c.admitSuspect(now)
	}
	if err != nil && p.reserved {
		p.release(c.estimatedTokens(s.Engine))
	}
	return err
}

// sendStreamOver sends a request for a stream over a path.
func (c *call) sendStreamOver(ctx context.Context, s *pkconfig.Service, p targetPath, verdict pkverdict.Verdict, state *streamState) sendResult {
	c.sends++
	err := c.sendOverPath(ctx, s, p, state)
	if err == nil {
		return sendResult{final: true}
	}
	if errors.Is(err, errCallerLeft) || c.r.Context().Err() != nil {
		return sendResult{final: true, err: errCallerLeft}
	}
	verdict = pkverdict.Join(verdict, c.recordStreamFailure(p, err, state))
	c.afterUnreachable(ctx, err)
	return sendResult{verdict: verdict, err: err}
}

func (c *call) recordStreamFailure(p targetPath, err error, state *streamState) pkverdict.Verdict {
	var failure *pkverdict.Error
	if !errors.As(err, &failure) {
		failure = pkverdict.Lost(err)
	}
	c.failed.Record(failure)
	if len(p.hops) == 0 {
		c.tried = append(c.tried, p.first().ID)
	}
	c.metrics.failed.WithLabelValues(failure.Verdict.String(), string(failure.Reason)).Inc()
	c.log.Info("a send failed", "request_id", c.req.Meta.ID, "digest", c.traits.Request.String(), "parts", c.req.Meta.SharedParts, "path", p.String(), "send", c.sends, "events", state.events,
		"verdict", failure.Verdict.String(), "reason", string(failure.Reason), "error", failure.Err)
	return failure.Verdict
}

// waitForBudget waits until the retry budget allows another send of a stream whose answer has
// started, and reports whether it does within resumeTimeout. Without another send the answer would
// break off.
func (c *call) waitForBudget(ctx context.Context, verdict pkverdict.Verdict) bool {
	if !c.headSent || !c.mayRetry(verdict) {
		return false
	}
	until := time.Now().Add(resumeTimeout)
	for pktimer.Sleep(ctx, budgetPollInterval) {
		if c.chargeRetry() {
			return true
		}
		if time.Now().After(until) {
			return false
		}
	}
	return false
}

// sendOverPath sends the request over one path and forwards the events of the answer.
func (c *call) sendOverPath(ctx context.Context, s *pkconfig.Service, p targetPath, state *streamState) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.path = p.String()
	a := c.newAttempt(time.Now(), s, p, cancel)
	defer func() {
		a.recordFailure(time.Now(), err)
		c.reroutes += a.end(time.Now())
		c.charges.SetNext(a.nextCharge)
	}()
	watch := c.startWatchdog(ctx, a)
	defer watch.stop()
	send := pkforward.SendOptions{TimeBudget: c.deadline.Sub(a.began), Target: p.first().ID, Account: c.account, Path: p.hops, LastEventID: state.lastEventID}
	c.awaitDelivery(a.began, p.first())
	resp, err := c.Sender.Do(ctx, p.first().Addr, &c.req, send)
	c.recordDelivery(ctx, time.Now(), p.first(), resp, err)
	c.recordDemands(p.targets, c.req.Meta.ID, a.began, resp)
	if err != nil {
		c.recordPathFailure(ctx, a, resp, err)
		return err
	}
	defer resp.Close()
	if resp.Status/100 != 2 {
		return c.forwardFailure(ctx, a, resp)
	}
	if err := resp.CheckAnswer(); err != nil {
		return err
	}
	err = c.forwardEvents(ctx, answerHead{status: resp.Status, header: resp.Header}, resp.Body, state, func(now time.Time) {
		watch.reset()
		if a.recordEvent(now) {
			c.recordSuccess(now)
		}
	})
	if err == nil {
		err = c.checkBodyEnd(ctx, resp, p.first())
	}
	if err == nil && send.LastEventID == "" {
		c.stopState.durations.Record(c.kind(), time.Since(a.began))
	}
	if err == nil && !a.isProven() {
		c.recordCompletion(time.Now(), p.first(), a.firstEvent())
	}
	return err
}

// forwardFailure forwards the answer of a target that does not begin a stream. The error is a *pkverdict.Error if the
// request may be sent again, or if the answer cannot be read whole.
func (c *call) forwardFailure(ctx context.Context, a *attempt, resp *pkforward.Response) error {
	body, err := c.readAnswer(ctx, resp.Body, resp.Length)
	if errors.Is(err, pkserver.ErrBusy) {
		return pkverdict.Lost(err)
	}
	if err == nil {
		err = c.checkBodyEnd(ctx, resp, a.currentPath().first())
	}
	if err != nil {
		return err
	}
	if c.headSent || (resp.Status >= http.StatusInternalServerError && a.canRetry) {
		return pkverdict.Lost(pkexchange.ErrTargetFailed)
	}
	if err := resp.CheckAnswer(); err != nil && !errors.Is(err, pkexchange.ErrTargetFailed) {
		return err
	}
	return c.forward(resp.Status, resp.Header, body)
}

// answerHead is the status and the header of an answer.
type answerHead struct {
	status int
	header http.Header
}

// forwardEvents forwards complete events of an answer to the caller as they arrive, and calls onEvent
// when no more events are buffered.
func (c *call) forwardEvents(ctx context.Context, head answerHead, body io.Reader, state *streamState, onEvent func(now time.Time)) error {
	events := pkforward.NewEventReader(body)
	events.Grow = func(n int) error { return c.holding.Grow(ctx, n) }
	defer func() { c.holding.Shrink(events.Grown()) }()
	control := http.NewResponseController(c.w)
	for {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			return c.streamResult(state)
		}
		if err != nil {
			if cause := context.Cause(ctx); errors.Is(cause, errPathSilent) || errors.Is(cause, errRerouted) {
				err = cause
			}
			return pkverdict.Lost(err)
		}
		if !c.headSent {
			c.firstEvent = time.Since(c.began)
			c.metrics.firstEvent.Observe(c.firstEvent.Seconds())
			// Headers are copied only now: if the attempt failed before its first event, they would
			// put the target's seal on an error answer of the router.
			pkforward.CopyHeaders(c.w.Header(), head.header)
			delete(c.w.Header(), "Content-Length")
			c.writeHead(head.status)
		}
		if _, err := c.w.Write(ev.Raw); err != nil {
			return errCallerLeft
		}
		if ev.ID != "" {
			state.lastEventID = ev.ID
		}
		state.events++
		c.events++
		now := time.Now()
		if c.events > 1 {
			c.longestGap = max(c.longestGap, now.Sub(c.lastEventAt))
		}
		c.lastEventAt = now
		if !events.Buffered() {
			if err := control.Flush(); err != nil {
				return errCallerLeft
			}
			onEvent(now)
		}
	}
}

// streamResult returns the result of an answer that ended normally: one without any event counts as
// broken off.
func (c *call) streamResult(state *streamState) error {
	if state.events == 0 {
		return pkverdict.Lost(io.ErrUnexpectedEOF)
	}
	return nil
}

// recordPathFailure avoids the target that caused a failed send: the one named in the answer, or
// the first of the path.
func (c *call) recordPathFailure(ctx context.Context, a *attempt, resp *pkforward.Response, err error) {
	now := time.Now()
	if c.r.Context().Err() != nil || errors.Is(context.Cause(ctx), errPathSilent) || errors.Is(context.Cause(ctx), errRerouted) {
		return
	}
	culprit := a.currentPath().first()
	if resp != nil && resp.FaultAddr != "" {
		for _, t := range a.currentPath().targets {
			if t.Addr == resp.FaultAddr {
				culprit = t
			}
		}
	}
	var until time.Time
	if resp != nil && resp.Status == http.StatusMisdirectedRequest {
		until = c.suspectStaleRecord(now, culprit)
	} else {
		until = c.avoidFailed(now, culprit, err)
		c.queueRefusalCause(now, a, culprit, resp)
	}
	c.log.Info("target avoided after a failed send", "target", culprit.ID, "request_id", c.req.Meta.ID, "path", a.currentPath().String(),
		"for_ms", until.Sub(now).Milliseconds(), "error", err)
}
