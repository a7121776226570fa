package pkedge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkserver"
	"peridotknot.example/pkverdict"
)

const (
	// configTimeout is how long connections wait for the first configuration before requests are
	// refused for lack of one.
	configTimeout = 2 * time.Second
	// writeGrace is the time that a caller has after the deadline to read the rest of an answer.
	writeGrace = time.Second
	// bodyTimeout bounds the time that a caller may take to send a body.
	bodyTimeout = 10 * time.Second
	// defaultTimeout bounds a request if neither its route nor its caller sets a shorter time.
	defaultTimeout = 60 * time.Second
)

// defaultLimits apply while no configuration is known. Requests are refused with 503 then, and their headers may be as
// long as a configuration might allow, since 431 would be final.
var defaultLimits = pkconfig.Limits{HeaderBytes: http.DefaultMaxHeaderBytes, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// callerServer serves the HTTP requests of callers.
type callerServer struct {
	pkserver.Server
	guard pkserver.Guard
	// limitsMu guards the order in which limits are applied.
	limitsMu sync.Mutex
}

// prepareServer sets what the server of callers does, with the default limits.
func (d *Daemon) prepareServer() {
	d.server.Handler = http.HandlerFunc(d.serveCaller)
	d.server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, callerConnKey{}, conn)
	}
	d.server.ErrorLog = d.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
	d.applyLimits()
}

// applyLimits applies the limits of the configuration in force.
func (d *Daemon) applyLimits() {
	d.server.limitsMu.Lock() // a configuration may come into force meanwhile
	defer d.server.limitsMu.Unlock()
	l := d.callerLimits()
	d.server.guard.Apply()
	err := d.server.SetLimits(pkserver.Limits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout})
	if err != nil {
		d.log.Error("new limits on headers and connections are not applied", "error", err)
	}
}

// serveCallers serves callers until ctx ends. It waits up to configTimeout for the first configuration;
// connections queue in the listener meanwhile.
func (d *Daemon) serveCallers(ctx context.Context) error {
	wait := time.NewTimer(configTimeout)
	defer wait.Stop()
	select {
	case <-d.configured:
	case <-wait.C:
	case <-ctx.Done():
		return d.callers.Close()
	}
	return untilDone(ctx, d.server.Serve(d.callers))
}

// callerConnKey is the context key of a request's connection.
type callerConnKey struct{}

// resetUnframed makes the connection of a broken answer end with a reset if the answer has no chunks, as for
// callers of HTTP/1.0, which would take its end for that of the answer.
func (c *call) resetUnframed() {
	conn, found := c.r.Context().Value(callerConnKey{}).(interface{ SetLinger(seconds int) error })
	if !found || c.r.ProtoAtLeast(1, 1) {
		return
	}
	if err := conn.SetLinger(0); err != nil {
		c.log.Warn("connection of a broken answer is closed without a reset", "request_id", c.req.Meta.ID, "error", err)
	}
}

func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	d.active.Add(1)
	defer d.active.Add(-1)
	c := &call{Daemon: d, w: w, r: r, began: time.Now(), table: d.configs.Table(), holding: pkserver.HoldingOf(r.Context())}
	d.refreshLoads(c.began)
	h := w.Header()
	// Keeps net/http from adding headers that the target did not send.
	h["Date"] = nil
	h["Content-Type"] = nil
	if d.stopping.Load() {
		h["Connection"] = []string{"close"}
	}
	err := c.boundBody()
	if err == nil {
		err = c.run()
	}
	c.finish(err)
}

// boundBody bounds the time that the caller may take to send a body, also one that is only read to be discarded.
func (c *call) boundBody() error {
	if c.r.ContentLength == 0 {
		return nil
	}
	return http.NewResponseController(c.w).SetReadDeadline(c.began.Add(bodyTimeout))
}

// run serves one request and returns once the answer was sent or cannot be.
func (c *call) run() error {
	if c.table == nil {
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: time.Second, reason: "no_configuration"}
	}
	c.req.Meta = c.Dialect.ParseRequest(c.r.Header)
	if err := c.resolve(); err != nil {
		return err
	}
	c.holding.SetAccount(string(c.account))
	if c.relayed == nil && c.holding.Admit(c.r.Context()) != nil {
		return bodyRejection(pkserver.ErrBusy)
	}
	c.setDeadline()
	if err := c.readBody(); err != nil {
		return err
	}
	c.traits = c.identify()
	if c.checkQuarantine(c.began) != nil {
		return c.quarantineRejection(c.began, pkverdict.NotRun)
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	ctx, end := c.untilStop(ctx)
	defer end()
	if c.relayed == nil { // the entry that passed it on has counted it
		c.budgets.of(c.service).RecordRequest(c.began, c.retryLimits(c.began))
	}
	s, found := c.table.Service(c.service)
	if !found {
		s = &pkconfig.Service{ID: c.service}
	}
	if s.Engine != nil || c.route.Kind == pkconfig.Stream {
		return c.serveStream(ctx, s)
	}
	return c.servePlain(ctx)
}

// setDeadline sets the earliest of the deadlines of the request.
func (c *call) setDeadline() {
	c.deadline = c.began.Add(defaultTimeout)
	limits := []time.Duration{c.route.Timeout, c.req.Meta.TimeBudget}
	if c.relayed != nil {
		limits = append(limits, c.relayed.Remaining())
	}
	for _, limit := range limits {
		if limit > 0 && c.began.Add(limit).Before(c.deadline) {
			c.deadline = c.began.Add(limit)
		}
	}
}

const (
	// retryAfterFailure is the Retry-After delay if all targets refused or could not be reached:
	// failed targets are avoided by then.
	retryAfterFailure = 500 * time.Millisecond
	// retryAfterTimeout is the Retry-After delay if the deadline passed before the request ran.
	retryAfterTimeout = time.Second
)
