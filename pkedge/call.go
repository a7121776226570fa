package pkedge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkforward"
	"peridotknot.example/pkid"
	"peridotknot.example/pkquarantine"
	"peridotknot.example/pkverdict"
)

// call is one request of a caller on its way through the daemon.
type call struct {
	*Daemon
	w       http.ResponseWriter
	r       *http.Request
	table   *pkconfig.Table
	route   *pkconfig.Route
	service pkid.ServiceID
	account pkid.AccountID
	req     pkforward.Request
	// digest is the same for requests that differ by their ids alone; zero until the body is read.
	digest pkquarantine.Digest
	began  time.Time
	// deadline is when the caller, or the operator for it, waits no longer.
	deadline time.Time
	// sends and runs count targets that the request was sent to, and those of them
	// that may have run it.
	sends int
	runs  int
	// arrived counts the sends that may have reached a target.
	arrived int
	// tried are targets that are not tried again.
	tried []pkid.TargetID
	// paid says that the next send was counted in the retry budget already.
	paid bool
	// begun says that the answer's head has gone out.
	begun bool
	// path is the path of the last send of a stream, firstEvent the time to its
	// first event, events how many went out.
	path       string
	firstEvent time.Duration
	events     int
	// lastEvent is when the last event went out, longest the longest pause.
	lastEvent time.Time
	longest   time.Duration
	mended    int
}

// rejection is a final answer of the router's own.
type rejection struct {
	status     int
	retryAfter time.Duration
	reason     string
}

// Error returns the reason.
func (r *rejection) Error() string { return fmt.Sprintf("%s (status %d)", r.reason, r.status) }

// errCallerLeft ends the work of a request whose caller has gone.
var errCallerLeft = errors.New("the caller has left")

// finish gives the final answer of a request that failed, and logs the outcome.
func (c *call) finish(err error) {
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
	name, kind := "", ""
	if c.route != nil {
		name, kind = c.route.Name, c.route.Kind.String()
	}
	c.metrics.requests.WithLabelValues(kind, outcome).Inc()
	c.log.Info("request", "request_id", c.req.Ask.ID, "digest", c.digest.String(), "route", name, "kind", kind, "account", c.account,
		"outcome", outcome, "sends", c.sends, "runs", c.runs, "ms", took.Milliseconds(), "config", c.version(), "path", c.path, "first_ms", c.firstEvent.Milliseconds(), "events", c.events, "pause_ms", c.longest.Milliseconds(),
		"mended", c.mended, "error", err)
	switch {
	case err == nil:
	case c.begun || rej == nil:
		// The answer has begun, or nobody waits for one. A connection that merely
		// ended would make a cut answer look whole.
		panic(http.ErrAbortHandler)
	default:
		c.reject(rej)
	}
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
	if c.req.Ask.ID != "" {
		c.Dialect.Mark(h, c.req.Ask.ID)
	}
	h["Content-Length"] = []string{"0"}
	c.w.WriteHeader(rej.status)
}

// identity returns what makes the request the same when it comes again.
func (c *call) identity() pkquarantine.Identity {
	r := &c.req
	return pkquarantine.Identity{Account: c.account, Method: r.Method, Host: hostOf(r.Host), URI: r.URI, Body: r.Body}
}

// resolve finds the route, the client account and the service of a request.
func (c *call) resolve() error {
	route, found := c.table.Route(hostOf(c.r.Host), c.r.URL.Path)
	if !found {
		return &rejection{status: http.StatusNotFound, reason: "no_route"}
	}
	c.route = route
	if c.table.Keyed() && !route.Public {
		account, found := c.table.Account(c.req.Ask.Key)
		if !found {
			return &rejection{status: http.StatusUnauthorized, reason: "unknown_key"}
		}
		c.account = account.ID
	}
	c.service = chooseService(route, c.req.Ask.ID)
	return nil
}

func hostOf(hostport string) string {
	if host, _, err := net.SplitHostPort(hostport); err == nil {
		return host
	}
	return hostport
}

// readBody reads the caller's body whole: what may be sent again must be kept, and
// net/http notices that a caller leaves only once its body is read.
func (c *call) readBody() error {
	limit := c.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultLimits.BodyBytes
	}
	if c.r.ContentLength > limit {
		c.w.Header()["Connection"] = []string{"close"}
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	}
	control := http.NewResponseController(c.w)
	if err := control.SetWriteDeadline(c.deadline.Add(writeSlack)); err != nil {
		return err
	}
	c.req.Method, c.req.Host, c.req.URI, c.req.Header = c.r.Method, c.r.Host, c.r.RequestURI, c.r.Header
	if c.r.ContentLength == 0 {
		return nil
	}
	if err := control.SetReadDeadline(c.began.Add(bodyTime)); err != nil {
		return err
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	case err != nil:
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	c.req.Body = body
	return control.SetReadDeadline(time.Time{})
}

// ended returns the final answer of a request whose time is up or whose targets
// failed. Only one that no target can have run is told as not run.
func (c *call) ended(ctx context.Context, verdict pkverdict.Verdict, cause error) error {
	if c.r.Context().Err() != nil {
		return errCallerLeft
	}
	late := ctx.Err() != nil
	switch {
	case errors.Is(cause, errQuarantined):
		return c.quarantineRejection(time.Now(), verdict)
	case verdict == pkverdict.NotRun && late:
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryLate, reason: "deadline_not_run"}
	case verdict == pkverdict.NotRun:
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retrySoon, reason: "no_target"}
	case late:
		return &rejection{status: http.StatusGatewayTimeout, reason: "deadline"}
	default:
		c.log.Warn("a request failed at its targets", "request_id", c.req.Ask.ID, "error", cause)
		return &rejection{status: http.StatusBadGateway, reason: "target_lost"}
	}
}
