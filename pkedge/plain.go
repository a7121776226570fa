package pkedge

import (
	"context"
	"errors"
	"hash/fnv"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkforward"
	"peridotknot.example/pkid"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkretry"
	"peridotknot.example/pkverdict"
)

const (
	// maxSends bounds how often a request is offered, also to targets that refuse.
	maxSends = 6
	// wholeLimit is the largest answer of a plain service that is read to its end
	// before it is passed on, so that one that breaks off can be asked for again.
	wholeLimit = 1 << 20
	// hedgeShare is the share of the time left after which an idempotent call is
	// given up on a silent target while another can still be asked.
	hedgeShare = 0.4
)

// chooseService draws the service of a split route by the request's id, so that
// all entries agree on a request.
func chooseService(r *pkconfig.Route, id pkid.RequestID) pkid.ServiceID {
	total := 0
	for _, s := range r.Services {
		total += max(s.Weight, 0)
	}
	if total == 0 || len(r.Services) == 1 {
		return r.Services[0].Service
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash takes everything
	at := int(h.Sum32() % uint32(total))
	for _, s := range r.Services {
		if at -= max(s.Weight, 0); at < 0 {
			return s.Service
		}
	}
	return r.Services[0].Service
}

func (c *call) retryTerms() pkretry.Terms {
	return c.retry.Load().terms(c.entries(c.began))
}

// plain serves a call to a plain service.
func (c *call) plain(ctx context.Context) error {
	verdict := pkverdict.NotRun
	var cause error
	for c.sends < maxSends && ctx.Err() == nil {
		if held := c.checkQuarantine(time.Now()); held != nil {
			cause = held
			break
		}
		t, found := c.roster.Choose(time.Now(), c.service, c.tried)
		if !found || !c.mayStart(verdict) {
			break
		}
		c.sends++
		a, body, err := c.once(ctx, t)
		if err == nil {
			c.recordSuccess(time.Now())
			return c.pass(a, body)
		}
		c.suspectFailedSend(time.Now(), err, t)
		cause = err
		verdict = pkverdict.Join(verdict, c.note(t, err))
		if verdict != pkverdict.NotRun && a != nil && c.sends >= c.route.MaxAttempts {
			// The target's own failure is passed on as it is.
			return c.pass(a, body)
		}
		if !verdict.MayRepeat(c.route.Repeatable()) {
			if a != nil {
				return c.pass(a, body)
			}
			break
		}
	}
	return c.ended(ctx, verdict, cause)
}

// mayStart says whether a further send is allowed.
func (c *call) mayStart(verdict pkverdict.Verdict) bool {
	if c.arrived == 0 {
		// A target that refused the connection was not sent anything, and the bound on
		// repeats counts what reaches targets. Counted as a repeat, a third of the
		// callers who met a crashed engine were turned away for a spent budget.
		return true
	}
	if !c.mayRepeat(verdict) {
		return false
	}
	if !c.pay() {
		c.log.Warn("the retry budget is spent", "request_id", c.req.Ask.ID, "service", c.service, "entries", c.entries(time.Now()))
		return false
	}
	return true
}

// mayRepeat says whether a request that came to a verdict may be sent again at all.
func (c *call) mayRepeat(verdict pkverdict.Verdict) bool {
	return verdict.MayRepeat(c.route.Repeatable()) && c.runs < c.route.MaxAttempts
}

// pay counts a further send in the retry budget and says whether it allows it.
func (c *call) pay() bool {
	if !c.paid && !c.budgets.of(c.service).Repeat(time.Now(), c.retryTerms()) {
		return false
	}
	c.paid = false
	c.metrics.repeated.Inc()
	return true
}

// note records a failed send for the target and the request and returns its
// verdict.
func (c *call) note(t *pkreplica.Target, err error) pkverdict.Verdict {
	c.tried = append(c.tried, t.ID)
	var failure *pkverdict.Error
	if !errors.As(err, &failure) {
		failure = &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: err}
	}
	c.count(failure)
	c.metrics.failed.WithLabelValues(failure.Verdict.String(), string(failure.Reason)).Inc()
	c.log.Info("a send failed", "request_id", c.req.Ask.ID, "digest", c.digest.String(), "target", t.ID, "send", c.sends,
		"verdict", failure.Verdict.String(), "reason", string(failure.Reason), "error", failure.Err)
	return failure.Verdict
}

// count counts a failed send by what may have come of it.
func (c *call) count(failure *pkverdict.Error) {
	if failure.Verdict != pkverdict.NotRun {
		c.runs++
	}
	if failure.Reason != pkverdict.ReasonUnreachable {
		c.arrived++
	}
}

// errOwnFailure marks an answer by which the target itself says that it failed.
var errOwnFailure = errors.New("the target answered with a failure")

// once sends the call to one target and reads the answer whole. With an error, an
// answer that is not nil is the target's own failure.
func (c *call) once(ctx context.Context, t *pkreplica.Target) (*pkforward.Answer, []byte, error) {
	began := time.Now()
	left := c.deadline.Sub(began)
	if c.route.Repeatable() && c.runs+1 < c.route.MaxAttempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(hedgeShare*float64(left)))
		defer cancel()
	}
	t.Begin(began, 0, 0, 0)
	defer t.Done(0)
	a, err := c.Sender.Do(ctx, t.Addr, &c.req, pkforward.Send{Left: left, Target: t.ID, Account: c.account})
	if a != nil && a.Load >= 0 {
		t.Reported(time.Now(), a.Load)
	}
	if err != nil {
		c.blame(t, began, a, err)
		return nil, nil, err
	}
	defer a.Close()
	body, err := a.ReadWhole(wholeLimit)
	if err != nil {
		t.Failed(time.Now())
		return nil, nil, err
	}
	took := time.Since(began)
	switch {
	case a.Status >= http.StatusInternalServerError:
		// It ran. A target that fails fast must not look like a fast target.
		t.Slow(took * 2)
		return a, body, &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: errOwnFailure}
	case a.Status/100 == 2 && !a.Sealed, a.Header.Get("Content-Encoding") != "":
		// Not the target's own bytes: something on the way spoiled them.
		t.Failed(time.Now())
		return nil, nil, &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: errSpoiled}
	}
	t.Succeeded(took)
	return a, body, nil
}

// errSpoiled marks an answer that is not the target's own.
var errSpoiled = errors.New("the answer is not the target's own")

// blame passes a target over after a failure that was its own: not where the
// caller left or its time was up.
func (c *call) blame(t *pkreplica.Target, began time.Time, a *pkforward.Answer, err error) {
	now := time.Now()
	switch {
	case c.r.Context().Err() != nil:
	case a != nil && a.Status == http.StatusMisdirectedRequest:
		// Another replica has the address: the one asked for is gone.
		t.Avoid(now.Add(misdirectedPause))
	case a != nil:
		// Full. Its load report says for how long.
		t.Slow(now.Sub(began) * 2)
	case errors.Is(err, context.DeadlineExceeded):
		t.Slow(now.Sub(began))
	default:
		until := c.failed(now, t, err)
		c.log.Info("a target is passed over", "target", t.ID, "request_id", c.req.Ask.ID, "for_ms", until.Sub(now).Milliseconds(), "error", err)
	}
}

// failed passes a target over after a failure and returns until when. One that refuses
// connections has no process; the other entries are told, or each of them would learn it
// by callers of its own.
func (d *Daemon) failed(now time.Time, t *pkreplica.Target, err error) time.Time {
	until := t.Failed(now)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return until
	}
	until = now.Add(suspectTTL)
	d.suspect(t, until, err)
	return until
}

// misdirectedPause is how long a target whose address another replica has is
// passed over; its entry lapses within that time.
const misdirectedPause = 5 * time.Second

// pass passes a whole answer on as it is.
func (c *call) pass(a *pkforward.Answer, body []byte) error {
	h := c.w.Header()
	pkforward.Forward(h, a.Header)
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	c.begun = true
	c.w.WriteHeader(a.Status)
	if _, err := c.w.Write(body); err != nil {
		return errCallerLeft
	}
	return nil
}
