package pkedge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkforward"
	"peridotknot.example/pklayers"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pktimer"
	"peridotknot.example/pkverdict"
)

const (
	// fullWait is how long a request waits for room in the pool: callers' objective
	// is half a second, and a refusal in time lets them come back.
	fullWait = 120 * time.Millisecond
	// begunWait is the same for a stream whose answer has begun: its caller is lost
	// by a refusal, and waits two seconds for the next event.
	begunWait = 1500 * time.Millisecond
	// fullPoll is how often a waiting request looks again.
	fullPoll = 10 * time.Millisecond
	// budgetPoll is how often a stream looks whether the retry budget allows a send again; it
	// frees a tenth of its window at a time.
	budgetPoll = 50 * time.Millisecond
	// retryFull is when a caller that found the pool full may come back: answers
	// end after two to four seconds, so a quarter of the pool is free by then.
	retryFull = 2500 * time.Millisecond
)

// flowing is the state of a stream over its attempts.
type flowing struct {
	// last is the id of the last event that went to the caller.
	last string
	// events counts them.
	events int
}

// errSilent cancels an attempt whose engines say nothing.
var errSilent = errors.New("the path is silent")

// errMoved cancels an attempt whose stream goes on by another.
var errMoved = errors.New("an engine of the path is dead or leaves")

// stream serves a request whose answer is a stream, of engines or of a plain service.
func (c *call) stream(ctx context.Context, s *pkconfig.Service) error {
	verdict := pkverdict.NotRun
	var cause error
	var f flowing
	for c.sends < maxSends && ctx.Err() == nil {
		if !c.mayStart(verdict) && !c.waitForBudget(ctx, verdict) {
			break
		}
		p, err := c.waitForPath(ctx, s)
		if err != nil {
			cause = err
			break
		}
		if cause = c.checkQuarantine(time.Now()); cause != nil {
			break
		}
		c.sends++
		err = c.attempt(ctx, s, p, &f)
		if err == nil {
			return nil
		}
		if errors.Is(err, errCallerLeft) || c.r.Context().Err() != nil {
			return errCallerLeft
		}
		cause = err
		verdict = pkverdict.Join(verdict, c.noteStream(p, err, &f))
	}
	if c.begun {
		return fmt.Errorf("the stream broke off after %d events: %w", f.events, cause)
	}
	if verdict == pkverdict.NotRun && ctx.Err() == nil && errors.Is(cause, errFull) {
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryFull, reason: "full"}
	}
	return c.ended(ctx, verdict, cause)
}

func (c *call) noteStream(p targetPath, err error, f *flowing) pkverdict.Verdict {
	var failure *pkverdict.Error
	if !errors.As(err, &failure) {
		failure = &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: err}
	}
	c.count(failure)
	if len(p.hops) == 0 {
		c.tried = append(c.tried, p.first().ID)
	}
	c.metrics.failed.WithLabelValues(failure.Verdict.String(), string(failure.Reason)).Inc()
	c.log.Info("a send failed", "request_id", c.req.Ask.ID, "digest", c.digest.String(), "path", p.String(), "send", c.sends, "events", f.events,
		"verdict", failure.Verdict.String(), "reason", string(failure.Reason), "error", failure.Err)
	return failure.Verdict
}

// waitForBudget waits until the retry budget allows a further send of a stream whose answer
// has begun: its caller is lost without it, and waits two seconds for the next event. Small
// VMs among many have ten repeats in ten seconds; streams that had left an engine broke off
// when the engine that they were sent to next refused them and the budget was spent.
func (c *call) waitForBudget(ctx context.Context, verdict pkverdict.Verdict) bool {
	if !c.begun || !c.mayRepeat(verdict) {
		return false
	}
	until := time.Now().Add(begunWait)
	for pktimer.Sleep(ctx, budgetPoll) {
		if c.pay() {
			return true
		}
		if time.Now().After(until) {
			return false
		}
	}
	return false
}

// errFull says that no path has room.
var errFull = errors.New("no path has room")

// waitForPath chooses a path, and waits a little where none has room.
func (c *call) waitForPath(ctx context.Context, s *pkconfig.Service) (targetPath, error) {
	tick := time.NewTicker(fullPoll)
	defer tick.Stop()
	until := time.Now().Add(fullWait)
	if c.begun {
		until = time.Now().Add(begunWait)
	}
	for {
		now := time.Now()
		p, found := c.chooseRoute(now, s)
		switch {
		case found:
			return p, nil
		case now.After(until):
			return c.lastRoute(now, s)
		}
		select {
		case <-ctx.Done():
			return targetPath{}, ctx.Err()
		case <-tick.C:
		}
	}
}

// lastRoute returns a path over engines that have failed lately, where no other has room:
// some answer may still come, and without it there is none for certain.
func (c *call) lastRoute(now time.Time, s *pkconfig.Service) (targetPath, error) {
	if s.Engine == nil {
		return targetPath{}, errFull
	}
	q := c.pathQuery(s)
	q.lastResort = true
	if p, found := c.findPath(now, s, q); found {
		return p, nil
	}
	c.logShortage(now, c.req.Ask.ID, s, q)
	return targetPath{}, errFull
}

// chooseRoute returns a path over engines, or the one target of a plain service.
func (c *call) chooseRoute(now time.Time, s *pkconfig.Service) (targetPath, bool) {
	if s.Engine != nil {
		return c.findPath(now, s, c.pathQuery(s))
	}
	t, found := c.roster.Choose(now, s.ID, c.tried)
	if !found {
		return targetPath{}, false
	}
	return targetPath{parts: []pklayers.Part{{ID: t.ID}}, targets: []*pkreplica.Target{t}}, true
}

// pathQuery returns the query for a path of the request.
func (c *call) pathQuery(s *pkconfig.Service) pathQuery {
	q := c.newPathQuery(s, c.size(s.Engine), c.sends)
	if pause := c.route.PauseObjective; q.maxCost > 0 && pause > 0 {
		q.maxCost = maxTokenCost(pause, s.Engine)
	}
	return q
}

// size returns how many tokens a request will probably hold.
func (c *call) size(m *pklayers.Model) float64 {
	if m == nil {
		return 0
	}
	answer := c.req.Ask.LikelyTokens
	if answer == 0 {
		answer = m.AnswerTokens
	}
	if most := c.req.Ask.MostTokens; most > 0 {
		answer = min(answer, most)
	}
	return float64(c.req.Ask.PromptTokens + answer)
}

// attempt sends the stream over one path and passes its events on.
func (c *call) attempt(ctx context.Context, s *pkconfig.Service, p targetPath, f *flowing) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.path = p.String()
	a := c.newAttempt(time.Now(), s, p, cancel)
	defer func() {
		a.recordFailure(time.Now(), err)
		c.mended += a.end()
		c.paid = a.charged.Load()
	}()
	watch := c.startWatchdog(ctx, a)
	defer watch.stop()
	send := pkforward.Send{Left: c.deadline.Sub(a.began), Target: p.first().ID, Account: c.account, Path: p.hops, LastEvent: f.last}
	answer, err := c.Sender.Do(ctx, p.first().Addr, &c.req, send)
	if err != nil {
		c.blamePath(ctx, a, answer, err)
		return err
	}
	defer answer.Close()
	if answer.Status/100 != 2 {
		body, err := answer.ReadWhole(wholeLimit)
		if err != nil {
			return err
		}
		if c.begun || (answer.Status >= http.StatusInternalServerError && a.canRetry) {
			return &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: errOwnFailure}
		}
		return c.pass(answer, body)
	}
	if !answer.Sealed || answer.Header.Get("Content-Encoding") != "" {
		return &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: errSpoiled}
	}
	return c.passEvents(ctx, a, answer, f, watch)
}

// passEvents passes whole events on as they come.
func (c *call) passEvents(ctx context.Context, a *attempt, answer *pkforward.Answer, f *flowing, watch *watchdog) error {
	events := pkforward.NewEvents(answer.Body)
	control := http.NewResponseController(c.w)
	for {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			return c.endStream(answer, f)
		}
		if err != nil {
			if cause := context.Cause(ctx); errors.Is(cause, errSilent) || errors.Is(cause, errMoved) {
				err = cause
			}
			return &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: err}
		}
		if !c.begun {
			c.begun = true
			c.firstEvent = time.Since(c.began)
			c.metrics.firstEvent.Observe(c.firstEvent.Seconds())
			// Not before the first event: a head that is taken over and then given
			// up would put one target's signature on the router's own failure.
			pkforward.Forward(c.w.Header(), answer.Header)
			delete(c.w.Header(), "Content-Length")
			c.w.WriteHeader(answer.Status)
		}
		if _, err := c.w.Write(ev.Raw); err != nil {
			return errCallerLeft
		}
		if ev.ID != "" {
			f.last = ev.ID
		}
		f.events++
		c.events++
		now := time.Now()
		if c.events > 1 {
			c.longest = max(c.longest, now.Sub(c.lastEvent))
		}
		c.lastEvent = now
		if !events.Ready() {
			if err := control.Flush(); err != nil {
				return errCallerLeft
			}
			watch.reset()
			if a.recordEvent(now) {
				c.recordSuccess(now)
			}
		}
	}
}

// endStream ends the caller's answer as whole. An answer without a length ends
// like one that broke off, and its last event decides.
func (c *call) endStream(answer *pkforward.Answer, f *flowing) error {
	if f.events == 0 {
		return &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: io.ErrUnexpectedEOF}
	}
	c.recordSuccess(time.Now())
	return nil
}

// blamePath passes over what was at fault on a path.
func (c *call) blamePath(ctx context.Context, a *attempt, answer *pkforward.Answer, err error) {
	now := time.Now()
	if c.r.Context().Err() != nil || errors.Is(context.Cause(ctx), errSilent) || errors.Is(context.Cause(ctx), errMoved) {
		return
	}
	fault := a.currentPath().first()
	if answer != nil && answer.Fault != "" {
		for _, t := range a.currentPath().targets {
			if t.Addr == answer.Fault {
				fault = t
			}
		}
	}
	var until time.Time
	if answer != nil && answer.Status == http.StatusMisdirectedRequest {
		until = c.suspectMisplaced(now, fault)
	} else {
		until = c.failed(now, fault, err)
		c.queueRefusedEngine(now, a, fault, answer)
	}
	c.log.Info("a target is passed over", "target", fault.ID, "request_id", c.req.Ask.ID, "path", a.currentPath().String(),
		"for_ms", until.Sub(now).Milliseconds(), "error", err)
}
