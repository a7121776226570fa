package pkedge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a restarted entry that retries as if nothing had been spent in the window before:
// until a window has passed since its start it must hold back.
func TestRestartedEntryHoldsBackRetriesForAWindow(t *testing.T) {
	d, _ := poolDaemon()
	d.retry.Store(&Retry{Ratio: 0.2, WindowS: 10, Slack: 200})
	d.started = time.Unix(1_000_000, 0)
	retriesAfter := func(age time.Duration) int {
		now, n := d.started.Add(age), 0
		for d.budgets.of("models").TryRetry(now, d.retryLimits(now)) {
			n++
		}
		return n
	}
	assert.Equal(t, retriesAfter(0), 0)
	assert.Assert(t, retriesAfter(5*time.Second) <= 10)
	assert.Assert(t, retriesAfter(10*time.Second) > 100)
}
