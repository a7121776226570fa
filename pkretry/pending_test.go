package pkretry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkrate"
)

// Guards against retries that were sent to a target that stands still in several windows, and arrive in one.
func TestUnconfirmedSendsCountUntilTheyHaveArrived(t *testing.T) {
	const window = 10 * time.Second
	l := Limits{Slack: 100, Window: window, Share: pkrate.Share{Entries: 1}}
	var b Budget
	now := time.Unix(1_000_000, 0)
	spend := func() int {
		n := 0
		for tryRetry(&b, now, l) {
			b.Suspend(now, window, "stopped")
			n++
		}
		return n
	}
	assert.Equal(t, spend(), 85)
	for range 4 {
		now = now.Add(window + 2*time.Second)
		assert.Equal(t, spend(), 0, "none of them has arrived")
	}
	b.Confirm(now, window, "stopped")
	assert.Equal(t, b.Usage(now, l).Retries, 85.0)
	now = now.Add(window)
	assert.Equal(t, spend(), 0)
	now = now.Add(2 * time.Second)
	assert.Equal(t, spend(), 85)

	b.Drop("stopped")
	now = now.Add(window + 2*time.Second)
	assert.Equal(t, spend(), 85, "the target has ended")
	now = now.Add((pendingWindows + 1) * window)
	assert.Equal(t, spend(), 85, "taken for lost")
}

// Guards against counting a retry twice because its target was slow to answer.
func TestConfirmedSendsCountOnce(t *testing.T) {
	const window = 10 * time.Second
	l := Limits{Slack: 100, Window: window, Share: pkrate.Share{Entries: 1}}
	var b Budget
	now := time.Unix(1_000_000, 0)
	for range 40 {
		assert.Assert(t, tryRetry(&b, now, l))
		b.Suspend(now, window, "slow")
		now = now.Add(50 * time.Millisecond)
		b.Confirm(now, window, "slow")
	}
	assert.Equal(t, b.Usage(now, l).Retries, 40.0)
}
