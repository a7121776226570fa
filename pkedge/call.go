package pkedge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkforward"
	"peridotknot.example/pkid"
	"peridotknot.example/pkquarantine"
	"peridotknot.example/pkrelay"
	"peridotknot.example/pkretry"
	"peridotknot.example/pkserver"
	"peridotknot.example/pkverdict"
)

// call is a caller's request in progress.
type call struct {
	*Daemon
	w       http.ResponseWriter
	r       *http.Request
	table   *pkconfig.Table
	route   *pkconfig.Route
	service pkid.ServiceID
	account pkid.AccountID
	req     pkforward.Request
	// traits are what the request has in common with others; none until the body is read.
	traits pkquarantine.Traits
	began  time.Time
	// deadline is the earliest of the caller's, the route's and the default deadline.
	deadline time.Time
	// sends counts the sends of the request, failed those that have failed.
	sends  int
	failed pkverdict.Sends
	// relayed is the request as another entry has passed it on; nil if it came from its caller.
	relayed *pkrelay.Request
	// bodyRead is set once the body was read to its end.
	bodyRead bool
	// holding is what the request holds of the memory for callers.
	holding *pkserver.Holding
	// relays counts the entries that the request was passed on to.
	relays pkrelay.Attempts
	// unreachableAt is when a send last failed in a way that the links may explain; zero if none has.
	unreachableAt time.Time
	// search is the search for an entry to pass the request on to.
	search pkrelay.Search
	// tried lists the targets that are not tried again, unanswered those whose connection attempt had no
	// answer once.
	tried      []pkid.TargetID
	unanswered []pkid.TargetID
	// unconfirmed is the target of the first send, if that was given up without a sign that it has arrived.
	unconfirmed pkid.TargetID
	// charges are the retries that were charged to the retry budget for the request.
	charges pkretry.Charges
	// headSent is set once the head of the answer was sent to the caller, answering too, for other goroutines.
	headSent  bool
	answering atomic.Bool
	// path is the path of the last send of a stream, firstEvent the time from the start of the
	// request to the first event, and events the number of events sent to the caller.
	path       string
	firstEvent time.Duration
	events     int
	// lastEventAt is when the last event was sent, longestGap the longest time between two
	// events.
	lastEventAt time.Time
	longestGap  time.Duration
	// reroutes counts the path changes of all attempts.
	reroutes int
	// waited is how long the request waited in queues for room, ahead the number of requests that it found there,
	// requeued how often it came back from an engine that refused it.
	// It was queued first at queuedAt.
	queuedAt time.Time
	waited   time.Duration
	ahead    int
	requeued int
}

// rejection is an error answer of the router itself.
type rejection struct {
	status     int
	retryAfter time.Duration
	reason     string
}

// Error returns the reason and the status.
func (r *rejection) Error() string { return fmt.Sprintf("%s (status %d)", r.reason, r.status) }

// errCallerLeft ends a request whose caller has disconnected.
var errCallerLeft = errors.New("caller has disconnected")

// finish logs the outcome of a request and answers one that failed.
func (c *call) finish(err error) {
	c.charges.Close(time.Now(), c.retryWindow())
	took := time.Since(c.began)
	outcome := "answered"
	var rej *rejection
	switch {
	case err == nil:
	case errors.Is(err, errCallerLeft):
		outcome = "left"
	case errors.As(err, &rej):
		outcome = rej.reason
	default:
		outcome = "broken"
	}
	name, kind, rank := "", "", 0
	if c.route != nil {
		name, kind, rank = c.route.Name, c.route.Kind.String(), c.route.Priority
	}
	c.metrics.requests.WithLabelValues(kind, outcome).Inc()
	if c.relayed != nil {
		c.metrics.relayed.WithLabelValues("received", outcome).Inc()
	}
	c.log.Info("request", "request_id", c.req.Meta.ID, "digest", c.traits.Request.String(), "parts", c.req.Meta.SharedParts, "route", name, "kind", kind, "account", c.account, "service", c.service, "priority", c.priority(), "rank", rank,
		"outcome", outcome, "sends", c.sends, "runs", c.failed.Runs(), "ms", took.Milliseconds(), "config", c.version(), "path", c.path, "first_ms", c.firstEvent.Milliseconds(), "events", c.events, "pause_ms", c.longestGap.Milliseconds(),
		"mended", c.reroutes, "relays", c.relays.Count(), "relayed_by", c.relayedBy(), "waited_ms", c.waited.Milliseconds(), "ahead", c.ahead, "requeued", c.requeued, "error", err)
	switch {
	case err == nil:
	case c.headSent || rej == nil:
		// The answer has started or the caller has left. Aborting the connection shows the caller
		// that the answer is incomplete.
		c.resetUnframed()
		panic(http.ErrAbortHandler)
	case c.leavesBody():
		if err := c.holding.Refuse(c.w, func() { c.reject(rej) }); err != nil {
			c.log.Debug("refused caller has disconnected", "request_id", c.req.Meta.ID, "error", err)
		}
	default:
		c.reject(rej)
	}
}

// maxDiscard is the size of an unread body, in bytes, that is read in vain so that its connection can be used again.
const maxDiscard = 4 << 10

// leavesBody reports whether the request is refused while its body may still be arriving.
func (c *call) leavesBody() bool {
	return c.relayed == nil && !c.bodyRead && (c.r.ContentLength < 0 || c.r.ContentLength > maxDiscard)
}

// priority returns the priority of the client account, or else that of the route.
func (c *call) priority() int {
	if c.route == nil {
		return 0
	}
	if a, found := c.table.AccountByID(c.account); found && a.Priority != nil {
		return *a.Priority
	}
	return c.route.Priority
}

// relayedBy returns the entry that has passed the request on; empty if it came from its caller.
func (c *call) relayedBy() pkid.EntryID {
	if c.relayed == nil {
		return ""
	}
	return c.relayed.From
}

// resumeAfter returns the last event that the caller of a relayed stream has received.
func (c *call) resumeAfter() string {
	if c.relayed == nil {
		return ""
	}
	return c.relayed.LastEventID
}

func (c *call) version() pkconfig.Version {
	if c.table == nil {
		return 0
	}
	return c.table.Version
}

func (c *call) reject(rej *rejection) {
	h := c.w.Header()
	if rej.retryAfter > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(rej.retryAfter.Seconds(), 'f', -1, 64)}
	}
	if c.req.Meta.ID != "" {
		c.Dialect.SetRequestID(h, c.req.Meta.ID)
	}
	if c.relayed != nil {
		c.setRelayVerdict(rej)
	}
	h["Content-Length"] = []string{"0"}
	c.w.WriteHeader(rej.status)
}

// identify returns the traits of the request once its body is read.
func (c *call) identify() pkquarantine.Traits {
	r := &c.req
	identity := pkquarantine.Identity{Account: c.account, Method: r.Method, Host: hostOf(r.Host), URI: r.URI, Body: r.Body}
	out := pkquarantine.Traits{Request: identity.Digest()}
	for _, part := range r.Meta.SharedParts {
		out.Parts = append(out.Parts, pkquarantine.PartDigest(c.service, part))
	}
	return out
}

// resolve finds the route, the client account and the service of a request.
func (c *call) resolve() error {
	route, found := c.table.Route(hostOf(c.r.Host), c.r.URL.Path)
	if !found {
		return &rejection{status: http.StatusNotFound, reason: "no_route"}
	}
	c.route = route
	if c.table.RequiresKeys() && !route.Public {
		account, found := c.table.Account(c.req.Meta.APIKey)
		if !found {
			return &rejection{status: http.StatusUnauthorized, reason: "unknown_key"}
		}
		c.account = account.ID
	}
	c.service = chooseService(route, c.req.Meta.ID)
	return nil
}

func hostOf(hostport string) string {
	if host, _, err := net.SplitHostPort(hostport); err == nil {
		return host
	}
	return hostport
}

// readBody reads the complete body: it may have to be sent again, and net/http detects that a
// caller disconnects only after the body was read.
func (c *call) readBody() error {
	c.req.Method, c.req.Host, c.req.URI, c.req.Header = c.r.Method, c.r.Host, c.r.RequestURI, c.r.Header
	control := http.NewResponseController(c.w)
	if err := control.SetWriteDeadline(c.deadline.Add(writeGrace)); err != nil {
		return err
	}
	if c.relayed != nil {
		c.req.Body = c.relayed.Body
		return nil
	}
	body, err := c.holding.ReadAll(c.r.Context(), c.r.Body, c.r.ContentLength, bodyLimit(c.table))
	if rej := bodyRejection(err); rej != nil {
		return rej
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	c.req.Body, c.bodyRead = body, true
	return control.SetReadDeadline(time.Time{})
}

// finalError returns the error answer of a request whose deadline has passed or whose targets
// failed. Only a request that no target can have run is reported as not run.
func (c *call) finalError(ctx context.Context, verdict pkverdict.Verdict, cause error) error {
	if c.r.Context().Err() != nil {
		return errCallerLeft
	}
	late := ctx.Err() != nil
	var busy *busyError
	switch {
	case errors.Is(cause, errQuarantined):
		return c.quarantineRejection(time.Now(), verdict)
	case errors.Is(cause, errStopping) || errors.Is(context.Cause(ctx), errStopping):
		return stopRejection(verdict)
	case verdict == pkverdict.NotRun && errors.As(cause, &busy):
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: busy.retryAfter, reason: busy.reason}
	case verdict == pkverdict.NotRun && late:
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAfterTimeout, reason: "deadline_not_run"}
	case verdict == pkverdict.NotRun:
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAfterFailure, reason: "no_target"}
	case late:
		return &rejection{status: http.StatusGatewayTimeout, reason: "deadline"}
	default:
		c.log.Warn("request failed at its targets, answered with 502", "request_id", c.req.Meta.ID, "error", cause)
		return &rejection{status: http.StatusBadGateway, reason: "target_lost"}
	}
}
