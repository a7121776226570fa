package pkedge

import (
	"context"
	"errors"
	"time"

	"peridotknot.example/pkstop"
	"peridotknot.example/pktimer"
)

// relayedPollInterval is how often a stopping daemon looks for relayed requests in progress.
const relayedPollInterval = 20 * time.Millisecond

// waitAndStop waits for the end of ctx and stops gracefully. The daemon reports that it is not
// ready but accepts requests for a while, since the load balancer keeps sending them. Then
// it closes the listener and idle connections, and waits for requests in progress until the grace
// period ends.
func (d *Daemon) waitAndStop(ctx context.Context) error {
	<-ctx.Done()
	schedule := pkstop.Schedule{Began: time.Now(), Grace: d.grace()}
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

// awaitEnd waits until the schedule ends, also if the grace period grows meanwhile, or until ctx is done.
func (d *Daemon) awaitEnd(ctx context.Context, schedule pkstop.Schedule) {
	for {
		schedule = schedule.Extend(d.grace())
		left := time.Until(schedule.EndsAt())
		if left <= 0 || !pktimer.Sleep(ctx, left) {
			return
		}
	}
}

// grace returns the grace period that is in force.
func (d *Daemon) grace() time.Duration { return seconds(d.stop.Load().GraceS) }
