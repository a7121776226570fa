package pkedge

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkowner"
	"peridotknot.example/pkverdict"
)

// recoveringEngines answer reports from a time on, each after a delay.
type recoveringEngines struct {
	pkowner.Engines
	from    time.Time
	delay   time.Duration
	reports atomic.Int64
}

func (e *recoveringEngines) Report(ctx context.Context, _ string) (pkowner.Report, error) {
	e.reports.Add(1)
	delay := max(time.Until(e.from), e.delay)
	select {
	case <-ctx.Done():
		return pkowner.Report{}, ctx.Err()
	case <-time.After(delay):
		return pkowner.Report{AcceptedOrders: 1}, nil
	}
}

// Guards against a stream that breaks off although the engines that it waits for serve again: all engines of a layer
// have held still and are avoided for longer than it may wait. Engines that stay silent, are slow to answer, or have
// ended must not be used, and be asked rarely.
func TestStartedStreamGoesOnOnceSilentEnginesAnswer(t *testing.T) {
	for name, row := range map[string]struct {
		// stillFor is how long the engines hold still from the start of the wait.
		stillFor time.Duration
		delay    time.Duration
		fault    fault
		headSent bool
		runs     int
		goesOn   bool
	}{
		"engines that go on":                        {stillFor: 400 * time.Millisecond, headSent: true, goesOn: true},
		"engines that go on and answer in time":     {stillFor: 400 * time.Millisecond, delay: livenessTimeout / 2, headSent: true, goesOn: true},
		"engines that go on and are slow to answer": {stillFor: 400 * time.Millisecond, delay: 2 * livenessTimeout, headSent: true},
		"engines that stay silent":                  {stillFor: time.Minute, headSent: true},
		"engines that have ended":                   {fault: faultGone, headSent: true},
		"a stream that has not started":             {},
		"a stream that may have run":                {stillFor: 400 * time.Millisecond, runs: 1, goesOn: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, s := poolDaemon(engine("a", "x", 0, 40), engine("b", "x", 0, 40), engine("c", "x", 40, 80))
				began := time.Now()
				engines := &recoveringEngines{from: began.Add(row.stillFor), delay: row.delay}
				d.Engines = engines
				for _, id := range []pkid.TargetID{"a", "b"} {
					one := suspicion{until: began.Add(suspectTTL), fault: row.fault}
					d.applySuspicion(began, d.target(t, id), one)
					d.gossip.suspects[id] = one
				}
				c := attemptOver(t, d, s, "c").call
				c.headSent, c.failed = row.headSent, pkverdict.NewSends(row.runs)
				p, err := c.waitForPath(t.Context(), s)
				took := time.Since(began)
				if !row.goesOn {
					assert.Assert(t, errors.Is(err, errNoCapacity), "%v", err)
					assert.Assert(t, engines.reports.Load() <= 2*livenessReports*int64(took/livenessInterval+1))
					assert.Equal(t, len(d.message(time.Now()).Suspects), 2)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, len(p.targets), 2)
				assert.Assert(t, took <= row.stillFor+livenessInterval+livenessTimeout, "%v", took)
				assert.Equal(t, len(d.message(time.Now()).Suspects), 0)
			})
		})
	}
}

// Guards against a refused connection that an earlier answer makes undone.
func TestAnswerDoesNotReviveAnEndedTarget(t *testing.T) {
	d, _ := poolDaemon(engine("a", "x", 0, 80))
	one, now := d.target(t, "a"), time.Now()
	d.applySuspicion(now, one, suspicion{until: now.Add(suspectTTL), fault: faultOf(syscall.ECONNREFUSED)})
	one.EndSilence(now)
	assert.Assert(t, one.IsGone(now) && one.IsDead(now) && !one.IsSilent(now))
}
