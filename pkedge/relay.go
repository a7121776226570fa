package pkedge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"peridotknot.example/pkexchange"
	"peridotknot.example/pkid"
	"peridotknot.example/pkreach"
	"peridotknot.example/pkrelay"
	"peridotknot.example/pkserver"
	"peridotknot.example/pktimer"
	"peridotknot.example/pkverdict"
)

const (
	// lostCheckInterval is the shortest time between checks of the links after connections that were
	// lost.
	lostCheckInterval = 500 * time.Millisecond
	// maxCutOffSends bounds the sends of a request over links that reach almost no target.
	maxCutOffSends = 2
	// relayCopies is how many times its size a body takes while it is encoded for another entry.
	relayCopies = 2
)

// relay is one pass of a request to another entry.
type relay struct {
	peer pkrelay.Peer
	end  func()
}

// nextRelay returns the entry to pass the request on to, if the links of this entry to the targets are impaired and
// those of another one are not. It waits while a hub may report one, and a request that cannot be refused any more also
// while the links are cut.
func (c *call) nextRelay(ctx context.Context) (relay, bool) {
	if c.relayed != nil || !c.links.Impaired(c.service) {
		return relay{}, false
	}
	now := time.Now()
	c.search.Begin(now)
	r, found := c.tryRelay(now)
	for pause := c.searchPause(now); !found && pause > 0 && pktimer.Sleep(ctx, pause); pause = c.searchPause(now) {
		now = time.Now()
		r, found = c.tryRelay(now)
	}
	if !found {
		c.log.Info("no entry to pass a request on to", "request_id", c.req.Meta.ID, "service", c.service,
			"candidates", len(c.relayCandidates(now, c.service)), "relays", c.relays.Count())
	}
	return r, found
}

// tryRelay returns an entry to pass the request on to at now, if one is known.
func (c *call) tryRelay(now time.Time) (relay, bool) {
	if !c.relays.Allowed() {
		return relay{}, false
	}
	candidates := c.relayCandidates(now, c.service)
	if c.relays.NeedsConfirmed() && c.gossip.withHubs.Load() {
		candidates = slices.DeleteFunc(candidates, func(one pkrelay.Peer) bool { return !one.Confirmed })
	}
	peer, found := c.relayPeers.Choose(now, candidates)
	if !found {
		return relay{}, false
	}
	return relay{peer: peer, end: c.relayPeers.Begin(peer.ID)}, true
}

// searchPause returns how long to wait from now until another entry is looked for; zero if there is nothing to wait for.
func (c *call) searchPause(now time.Time) time.Duration {
	return c.search.Pause(now, pkrelay.Prospects{
		CutOff:       c.links.CutOff(c.service),
		HubMayReport: c.relays.Allowed() && c.gossip.withHubs.Load() && !c.gossip.table.HelpReported(now, c.relays.PassedBackAt()),
		Refusable:    !c.mayNotBeRefused(),
	})
}

// isCutOff reports whether the request has been sent in vain, has no way left to the targets and can be refused as not
// run.
func (c *call) isCutOff() bool {
	return c.sends >= maxCutOffSends && !c.mayNotBeRefused() && c.links.CutOff(c.service)
}

// relayCandidates returns the other entries whose links to the targets of a service may be whole at now.
func (d *Daemon) relayCandidates(now time.Time, s pkid.ServiceID) []pkrelay.Peer {
	var out []pkrelay.Peer
	for _, m := range d.gossip.table.RelayMembers(now, d.self(), s, d.members.list()) {
		if m.ID != d.settings.Entry {
			out = append(out, pkrelay.Peer{ID: m.ID, Addr: m.Addr, Near: m.Near, Confirmed: m.Confirmed})
		}
	}
	return out
}

// send passes the request on and returns the response of a target, or the failure.
func (r relay) send(ctx context.Context, c *call, lastEventID string) (*http.Response, error) {
	now := time.Now()
	copies := relayCopies * len(c.req.Body)
	if err := c.holding.Grow(ctx, copies); err != nil {
		c.relays.Record(now, false)
		return nil, &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonUnreachable, Err: err}
	}
	defer c.holding.Shrink(copies)
	resp, err := c.relayClient.Do(ctx, r.peer.Addr, &pkrelay.Request{
		From: c.settings.Entry, Method: c.req.Method, Host: c.req.Host, URI: c.req.URI, Header: c.req.Header, Body: c.req.Body,
		RemainingMS: max(c.deadline.Sub(now).Milliseconds(), 1), Version: c.version(), Runs: c.failed.Attempts(), LastEventID: lastEventID,
	})
	ended := time.Now()
	c.endSend(ended, err)
	passedBack := err != nil && resp != nil && pkrelay.PassedBack(resp)
	c.relays.Record(ended, passedBack)
	if !passedBack {
		c.sends++
	}
	if err == nil {
		c.relayPeers.Served(r.peer.ID)
		c.metrics.relayed.WithLabelValues("sent", "answered").Inc()
		return resp, nil
	}
	outcome := "refused"
	switch {
	case resp == nil:
		outcome = "lost"
		c.relayPeers.Avoid(now, r.peer.ID)
	case passedBack:
		outcome = "passed_back"
		c.relayPeers.Avoid(now, r.peer.ID)
	case isLinkCut(err):
		outcome = "cut_off"
		c.relayPeers.Avoid(now, r.peer.ID)
	default:
		c.relayPeers.Refused(now, r.peer.ID)
	}
	c.metrics.relayed.WithLabelValues("sent", outcome).Inc()
	return resp, c.relayError(resp, err)
}

// relayError returns the error of a relay that failed: the answer for the caller where the other entry
// has refused the request for good or its time is up, or else the failure of a send.
func (c *call) relayError(resp *http.Response, err error) error {
	if resp == nil {
		return err
	}
	_ = resp.Body.Close() // an answer of the entry itself has no body
	var failure *pkverdict.Error
	refused := errors.As(err, &failure) && failure.Verdict == pkverdict.NotRun && !pkrelay.PassedBack(resp)
	if !c.headSent && (refused || resp.StatusCode == http.StatusGatewayTimeout) {
		return &rejection{status: resp.StatusCode, retryAfter: retryAfterOf(resp.Header), reason: resp.Header.Get(pkrelay.HeaderReason)}
	}
	return err
}

// retryAfterOf returns the time in the Retry-After header of another entry; zero if there is none.
func retryAfterOf(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || s <= 0 {
		return 0
	}
	return seconds(s)
}

// relayResult returns the result of a relay that ended with an error or nil; verdict is that of the sends
// before.
func (c *call) relayResult(r relay, verdict pkverdict.Verdict, err error) sendResult {
	var rej *rejection
	switch {
	case err == nil:
		return sendResult{final: true}
	case errors.As(err, &rej) && verdict != pkverdict.NotRun:
		// The other entry has not sent the request, but this one has before.
		return sendResult{verdict: verdict, last: true, err: err}
	case rej != nil:
		return sendResult{final: true, err: err}
	case errors.Is(err, errCallerLeft) || c.r.Context().Err() != nil:
		return sendResult{final: true, err: errCallerLeft}
	}
	var failure *pkverdict.Error
	if !errors.As(err, &failure) {
		failure = pkverdict.Lost(err)
	}
	c.failed.Record(failure)
	c.log.Info("a relay failed", "request_id", c.req.Meta.ID, "peer", r.peer.ID, "send", c.sends, "verdict", failure.Verdict.String(), "error", failure.Err)
	return sendResult{verdict: pkverdict.Join(verdict, failure.Verdict), err: err}
}

// relayPlain passes a call on and sends its complete answer to the caller.
func (c *call) relayPlain(ctx context.Context, r relay) error {
	resp, err := r.send(ctx, c, "")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := c.readAnswer(ctx, resp.Body, resp.ContentLength)
	if errors.Is(err, pkserver.ErrBusy) {
		return c.copyAnswer(resp.StatusCode, resp.Header, resp.ContentLength, body, resp.Body)
	}
	if err != nil {
		return err
	}
	return c.forward(resp.StatusCode, resp.Header, body)
}

// relayStream passes a stream on, after the last event that the caller has received, and forwards its
// events.
func (c *call) relayStream(ctx context.Context, r relay, state *streamState) error {
	c.path = "relay:" + string(r.peer.ID)
	resp, err := r.send(ctx, c, state.lastEventID)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		body, err := c.readAnswer(ctx, resp.Body, resp.ContentLength)
		switch {
		case err != nil:
			return err
		case c.headSent:
			return pkverdict.Lost(pkexchange.ErrTargetFailed)
		}
		return c.forward(resp.StatusCode, resp.Header, body)
	}
	return c.forwardEvents(ctx, answerHead{status: resp.StatusCode, header: resp.Header}, resp.Body, state, func(time.Time) {})
}

// afterUnreachable checks the links of this entry after a send to a target has failed, so that the
// next send can be a relay at once.
func (c *call) afterUnreachable(ctx context.Context, err error) {
	var failure *pkverdict.Error
	if !errors.As(err, &failure) || c.r.Context().Err() != nil {
		return
	}
	c.unreachableAt = time.Now()
	switch {
	case failure.Reason == pkverdict.ReasonUnreachable:
		c.linkCondition(ctx, c.service, "")
	case failure.Reason == pkverdict.ReasonTargetLost && !errors.Is(err, pkexchange.ErrTargetFailed) && !errors.Is(err, pkexchange.ErrAltered):
		if !c.links.CheckedWithin(time.Now(), c.service, lostCheckInterval) {
			c.linkCondition(ctx, c.service, "")
		}
		if c.failed.Attempts() >= c.route.MaxAttempts && c.failed.HasUnanswered() && !c.links.CheckedWithin(time.Now(), c.service, pkreach.RecheckInterval) {
			c.linkCondition(ctx, c.service, "") // the check had no result, or came before the cut
		}
	}
	if c.links.CutOff(c.service) {
		c.failed.RecordCut()
	}
}

// findsLinksImpaired reports whether the links, which were whole before the request has found no target, are impaired. It
// checks them if no check has ended since a send failed: a check may have had no result, or have come too soon.
func (c *call) findsLinksImpaired(ctx context.Context) bool {
	if !c.unreachableAt.IsZero() && !c.links.CheckedWithin(time.Now(), c.service, time.Since(c.unreachableAt)) {
		c.linkCondition(ctx, c.service, "")
	}
	return c.links.Impaired(c.service)
}

// isLinkCut reports whether a send failed because the links of its sender were cut.
func isLinkCut(err error) bool {
	var failure *pkverdict.Error
	return errors.As(err, &failure) && failure.Reason == pkverdict.ReasonCutOff
}

// passedBack returns the answer to an entry that has passed a request on, if the links of this entry are impaired as well:
// it has sent the request to no target, or was cut off from all that may have run it.
func (c *call) passedBack(verdict pkverdict.Verdict) error {
	if c.relayed == nil || c.headSent || !c.links.Impaired(c.service) {
		return nil
	}
	switch {
	case verdict == pkverdict.NotRun && c.failed.Delivered() == 0:
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAfterFailure, reason: pkrelay.ReasonCutOff}
	case verdict == pkverdict.MayHaveRun && c.links.CutOff(c.service) && c.failed.Attempts() == c.relayed.Runs:
		return &rejection{status: http.StatusBadGateway, reason: pkrelay.ReasonLinksCut}
	default:
		return nil
	}
}

// serveRelayed serves a request that another entry has passed on.
func (d *Daemon) serveRelayed(w http.ResponseWriter, r *http.Request) {
	d.active.Add(1)
	defer d.active.Add(-1)
	d.relayedActive.Add(1)
	defer d.relayedActive.Add(-1)
	c := &call{Daemon: d, w: w, r: r, began: time.Now(), table: d.configs.Table(), relayed: &pkrelay.Request{}}
	control := http.NewResponseController(w)
	c.holding = pkserver.NewRequest(&d.server.Budget, c.began, func() {
		_ = control.SetReadDeadline(c.began) // the connection may be closed
	})
	defer c.holding.Close()
	h := w.Header()
	h["Date"], h["Content-Type"] = nil, nil
	if err := c.acceptRelayed(r); err != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxBufferedAnswer)) // the connection is used again
		c.finish(err)
		return
	}
	d.refreshLoads(c.began)
	c.finish(c.run())
}

// acceptRelayed reads a relayed request. The error is its final answer.
func (c *call) acceptRelayed(r *http.Request) error {
	control := http.NewResponseController(c.w)
	if err := control.SetReadDeadline(c.began.Add(bodyTimeout)); err != nil {
		return err
	}
	in, err := c.readRelayed(r)
	if errors.Is(err, pkserver.ErrBusy) {
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAfterBusy, reason: pkrelay.ReasonBusy}
	}
	if err != nil {
		c.log.Warn("invalid relayed request", "addr", r.RemoteAddr, "error", err)
		return &rejection{status: http.StatusBadRequest, reason: pkrelay.ReasonInvalid}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	c.relayed = in
	c.failed = pkverdict.NewSends(in.Runs)
	if c.r, err = in.HTTP(r.Context()); err != nil {
		c.r = r
		c.log.Warn("invalid relayed request", "peer", in.From, "error", err)
		return &rejection{status: http.StatusBadRequest, reason: pkrelay.ReasonInvalid}
	}
	switch {
	case c.stopping.Load():
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAfterFailure, reason: pkrelay.ReasonStopping}
	case c.table == nil || c.table.Version < in.Version:
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAfterFailure, reason: pkrelay.ReasonOlderConfig}
	}
	return nil
}

// readRelayed reads and decodes a relayed request.
func (c *call) readRelayed(r *http.Request) (*pkrelay.Request, error) {
	if err := c.holding.Admit(r.Context()); err != nil {
		return nil, err
	}
	limit := bodyLimit(c.table)
	raw, err := c.holding.ReadAll(r.Context(), r.Body, r.ContentLength, pkrelay.MaxBytes(limit))
	if err != nil {
		return nil, err
	}
	if err := c.holding.Grow(r.Context(), len(raw)); err != nil {
		return nil, err
	}
	in, err := pkrelay.Decode(raw, limit)
	if err != nil {
		return nil, err
	}
	c.holding.ShrinkTo(len(in.Body))
	return in, nil
}

// setRelayVerdict marks an answer of this entry itself to the entry that has passed a request on.
func (c *call) setRelayVerdict(rej *rejection) {
	verdict := pkverdict.NotRun
	if rej.status == http.StatusBadGateway || rej.status == http.StatusGatewayTimeout {
		verdict = pkverdict.MayHaveRun
	}
	h := c.w.Header()
	h[pkrelay.HeaderVerdict] = []string{verdict.String()}
	h[pkrelay.HeaderReason] = []string{rej.reason}
}
