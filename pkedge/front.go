package pkedge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkverdict"
)

const (
	// configWait is how long callers' connections wait for the first
	// configuration before they are told that there is none.
	configWait = 2 * time.Second
	// writeSlack is how long after a request's end its caller may take the rest.
	writeSlack = time.Second
	// bodyTime bounds how long a caller may take to send a body where it does not
	// say how long it waits.
	bodyTime = 10 * time.Second
	// defaultTimeout bounds a request whose route and caller say nothing.
	defaultTimeout = 60 * time.Second
)

// defaultLimits hold while no configuration is known.
var defaultLimits = pkconfig.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// front serves callers.
type front struct {
	d  *Daemon
	mu sync.Mutex
	// server is set once the limits are known.
	server *http.Server
	closed bool
}

func newFront(d *Daemon) *front { return &front{d: d} }

// run serves callers until ctx ends. Connections wait in the listener's queue for
// the first configuration, whose limits the server takes.
func (f *front) run(ctx context.Context) error {
	wait := time.NewTimer(configWait)
	defer wait.Stop()
	select {
	case <-f.d.configured:
	case <-wait.C:
	case <-ctx.Done():
		return nil
	}
	limits := defaultLimits
	if table := f.d.book.Table(); table != nil {
		limits = table.Limits
	}
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return nil
	}
	f.server = &http.Server{
		Handler:           http.HandlerFunc(f.serve),
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		ErrorLog:          f.d.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	f.mu.Unlock()
	return untilDone(ctx, f.server.Serve(f.d.callers))
}

func (f *front) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	if f.server == nil {
		_ = f.d.callers.Close() // nothing was served from it
		return
	}
	_ = f.server.Close() // what is left was given its time
}

func (f *front) shutdown(ctx context.Context) error {
	f.mu.Lock()
	server := f.server
	f.mu.Unlock()
	if server == nil {
		return nil
	}
	return server.Shutdown(ctx)
}

func (f *front) serve(w http.ResponseWriter, r *http.Request) {
	d := f.d
	d.active.Add(1)
	defer d.active.Add(-1)
	c := &call{Daemon: d, w: w, r: r, began: time.Now(), table: d.book.Table()}
	h := w.Header()
	// net/http would add a date and guess a type; the answer is the target's.
	h["Date"] = nil
	h["Content-Type"] = nil
	if d.stopping.Load() {
		h["Connection"] = []string{"close"}
	}
	err := c.run()
	c.finish(err)
}

// run serves one request; it returns once the answer has gone out or can't.
func (c *call) run() error {
	if c.table == nil {
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: time.Second, reason: "no_configuration"}
	}
	c.req.Ask = c.Dialect.Ask(c.r.Header)
	if err := c.resolve(); err != nil {
		return err
	}
	c.deadline = c.began.Add(defaultTimeout)
	for _, limit := range []time.Duration{c.route.Timeout, c.req.Ask.Left} {
		if limit > 0 && c.began.Add(limit).Before(c.deadline) {
			c.deadline = c.began.Add(limit)
		}
	}
	if err := c.readBody(); err != nil {
		return err
	}
	c.digest = c.identity().Digest()
	if c.checkQuarantine(c.began) != nil {
		return c.quarantineRejection(c.began, pkverdict.NotRun)
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	c.budgets.of(c.service).Request(c.began, c.retryTerms())
	s, found := c.table.Service(c.service)
	if !found {
		s = &pkconfig.Service{ID: c.service}
	}
	if s.Engine != nil || c.route.Kind == pkconfig.Stream {
		return c.stream(ctx, s)
	}
	return c.plain(ctx)
}

const (
	// retrySoon is when a caller may come back to a service whose targets refused
	// or could not be reached: a failed target is passed over by then.
	retrySoon = 500 * time.Millisecond
	// retryLate is the same for a request that waited out its time.
	retryLate = time.Second
)
