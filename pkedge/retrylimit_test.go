package pkedge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pktimer"
)

// Guards against a restarted entry that retries as if nothing had been spent in the window before:
// until a window has passed since its start, and the time for which others may go on unnoticed, it must hold back.
func TestRestartedEntryHoldsBackRetriesForAWindow(t *testing.T) {
	d, _ := poolDaemon()
	d.retry.Store(&Retry{Ratio: 0.2, WindowS: 10, Slack: 200})
	started := time.Unix(1_000_000, 0)
	d.members.standing.Start(started, pktimer.BootClock())
	d.members.census.BeginList(started)
	now := started
	retriesAfter := func(age time.Duration) int {
		for ; now.Before(started.Add(age)); now = now.Add(100 * time.Millisecond) {
			d.updateStanding(now)
		}
		n := 0
		l := d.retryLimits(now)
		for c := d.budgets.of("models").Charge(now, l); c != nil; c = d.budgets.of("models").Charge(now, l) {
			c.Settle(now, l.Window)
			n++
		}
		return n
	}
	assert.Equal(t, retriesAfter(0), 0)
	assert.Assert(t, retriesAfter(5*time.Second) <= 10)
	assert.Assert(t, retriesAfter(10*time.Second) <= 20)
	assert.Assert(t, retriesAfter(13*time.Second) > 100)
}
