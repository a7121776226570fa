package pkedge

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkquarantine"
)

// Guards against a request that crashes one replica more than the limit: it must not be sent again while a crash
// that would quarantine it is not found yet. Without a known crash, or once the target is found alive, nothing waits.
func TestRequestWaitsForACrashThatWouldQuarantineIt(t *testing.T) {
	for _, row := range []struct {
		name         string
		known        int
		interrupted  int
		find         func(d *Daemon, now time.Time)
		wait, atMost time.Duration
		quarantined  bool
	}{
		{name: "gone", known: 2, interrupted: 1, find: func(d *Daemon, now time.Time) { d.target(t, "a").MarkGone(now, now.Add(suspectTTL)) }, wait: 100 * time.Millisecond, atMost: 200 * time.Millisecond, quarantined: true},
		{name: "alive", known: 2, interrupted: 1, find: func(d *Daemon, now time.Time) { d.quarantine.clearInterrupted(d.target(t, "a"), now) }, wait: 100 * time.Millisecond, atMost: 200 * time.Millisecond},
		{name: "not found out", known: 2, interrupted: 1, find: func(*Daemon, time.Time) {}, wait: crashWindow, atMost: crashWindow},
		{name: "below the limit", known: 1, interrupted: 1, find: func(*Daemon, time.Time) {}},
		{name: "no known crash", interrupted: pkquarantine.CrashLimit, find: func(*Daemon, time.Time) {}},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, _ := poolDaemon(engine("a", "x", 0, 80))
				began := time.Now()
				for i := range row.known {
					d.quarantine.table.RecordCrash(began, began, requestOf(poison), pkquarantine.StartID(i+1))
				}
				c := newCall(d, poison)
				for range row.interrupted {
					c.recordInterrupted(began, d.target(t, "a"), true)
				}
				time.AfterFunc(100*time.Millisecond, func() {
					row.find(d, time.Now())
					d.checkInterrupted(time.Now())
				})
				c.awaitCrashCheck(t.Context())
				waited := time.Since(began)
				assert.Assert(t, row.wait <= waited && waited <= row.atMost, "%v", waited)
				assert.Equal(t, c.admitSuspect(time.Now()) != nil, row.quarantined)
				time.Sleep(crashWindow)
			})
		})
	}
}
