package pkretry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkrate"
)

// Guards against a budget that may be spent once more since its window was changed while a daemon runs.
func TestBudgetOutlivesAChangeOfItsWindow(t *testing.T) {
	const window = 10 * time.Second
	for _, next := range []time.Duration{window / 4, window / 2, 2 * window, 6 * window} {
		t.Run(fmt.Sprint(next), func(t *testing.T) {
			l := Limits{Ratio: 0.2, Slack: 100, Window: window, Share: pkrate.Share{Entries: 1}}
			var b Budget
			now := time.Unix(1_000_000, 0)
			spend := func() int {
				n := 0
				for tryRetry(&b, now, l) {
					n++
				}
				return n
			}
			for range 50 {
				b.RecordRequest(now, l)
			}
			assert.Equal(t, spend(), 93)
			now = now.Add(window / 2)
			b.Suspend(now, window, "stopped")
			now = now.Add(window / 20)
			l.Window = next
			_, inTime := b.RetryWait(now, l, next/2)
			assert.Assert(t, !inTime)
			assert.Equal(t, spend(), 0)
			now = now.Add(next)
			assert.Equal(t, spend(), 0, "its retries count for a window from the change on")
			now = now.Add(next / 2)
			assert.Equal(t, spend(), 84, "one that its target has not confirmed counts on")
			b.Confirm(now, next, "stopped")
			now = now.Add(2 * next)
			assert.Equal(t, spend(), 85)
		})
	}
}
