package pkedge

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
	"peridotknot.example/pkrelay"
	"peridotknot.example/pkstop"
	"peridotknot.example/pktimer"
	"peridotknot.example/pkverdict"
)

const (
	// relayedPollInterval is how often a stopping daemon looks for relayed requests in progress.
	relayedPollInterval = 20 * time.Millisecond
	// retryAfterStopping is the Retry-After delay of a stopping daemon; others can serve the request at once.
	retryAfterStopping = 100 * time.Millisecond
	// reasonStopped is the outcome of requests that may have run and have no answer when the daemon stops.
	reasonStopped = "stopped"
)

// errStopping ends a request that cannot be answered before the daemon stops.
var errStopping = errors.New("the daemon stops before the request could be answered")

// requestKind is a kind of requests that take about as long.
type requestKind struct {
	service pkid.ServiceID
	kind    pkconfig.Kind
}

// stop is the state of a daemon's stop.
type stop struct {
	// schedule is nil until the stop begins.
	schedule  atomic.Pointer[pkstop.Schedule]
	durations pkstop.Durations[requestKind]
	// ending is done once requests without an answer are given up, by giveUp.
	ending context.Context
	giveUp context.CancelFunc
}

// kind returns the kind of the request, by how long it takes.
func (c *call) kind() requestKind { return requestKind{service: c.service, kind: c.route.Kind} }

// checkStop returns errStopping if the daemon stops and the request, sent at now, would not end before. A request whose
// answer has begun is sent in any case.
func (c *call) checkStop(now time.Time) error {
	schedule := c.stopState.schedule.Load()
	if schedule == nil || c.headSent {
		return nil
	}
	if schedule.Extend(c.grace()).Allows(now, c.stopState.durations.Of(c.kind())) {
		return nil
	}
	return errStopping
}

// untilStop returns a context that ends with the cause errStopping if the request has no answer when the daemon stops.
func (c *call) untilStop(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(c.stopState.ending, func() {
		if !c.answering.Load() {
			cancel(errStopping)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// writeHead sends the head of the answer.
func (c *call) writeHead(status int) {
	c.headSent = true
	c.answering.Store(true)
	c.w.WriteHeader(status)
}

// stopRejection returns the answer to a request that is given up since the daemon stops.
func stopRejection(verdict pkverdict.Verdict) *rejection {
	if verdict == pkverdict.NotRun {
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAfterStopping, reason: pkrelay.ReasonStopping}
	}
	return &rejection{status: http.StatusBadGateway, reason: reasonStopped}
}

// waitAndStop waits for the end of ctx and stops gracefully. The daemon reports that it is not
// ready but accepts requests for a while, since the load balancer keeps sending them. Then
// it closes the listener and idle connections, and waits for requests in progress until the grace
// period ends.
func (d *Daemon) waitAndStop(ctx context.Context) error {
	<-ctx.Done()
	schedule := pkstop.Schedule{Began: time.Now(), Grace: d.grace()}
	d.stopState.schedule.Store(&schedule)
	d.stopping.Store(true)
	d.log.Info("stopping", "grace_s", schedule.Grace.Seconds(), "active", d.active.Load())
	drain, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() {
		defer cancel()
		d.awaitEnd(drain, schedule)
	}()
	d.revokeLease(drain)
	pktimer.Sleep(drain, time.Until(schedule.AcceptsUntil()))
	err := d.server.Shutdown(drain)
	for d.relayedActive.Load() > 0 && pktimer.Sleep(drain, relayedPollInterval) {
		continue // the entries that have passed these requests on wait for them
	}
	d.log.Info("stopped", "active", d.active.Load(), "after", time.Since(schedule.Began).String())
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// awaitEnd waits until the schedule ends, or until ctx is done. It gives up the requests without an answer before.
func (d *Daemon) awaitEnd(ctx context.Context, schedule pkstop.Schedule) {
	d.awaitTime(ctx, schedule, pkstop.Schedule.AnswersAt)
	d.stopState.giveUp()
	d.awaitTime(ctx, schedule, pkstop.Schedule.EndsAt)
}

// awaitTime waits until a time of the schedule, also if the grace period grows meanwhile, or until ctx is done.
func (d *Daemon) awaitTime(ctx context.Context, schedule pkstop.Schedule, at func(pkstop.Schedule) time.Time) {
	for {
		schedule = schedule.Extend(d.grace())
		left := time.Until(at(schedule))
		if left <= 0 || !pktimer.Sleep(ctx, left) {
			return
		}
	}
}

// grace returns the grace period that is in force.
func (d *Daemon) grace() time.Duration { return seconds(d.stop.Load().GraceS) }
