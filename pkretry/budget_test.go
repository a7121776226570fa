package pkretry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotknot.example/pkrate"
)

// tryRetry charges a retry that arrives at once, and reports whether the budget allows it.
func tryRetry(b *Budget, now time.Time, l Limits) bool {
	c := b.Charge(now, l)
	c.Settle(now, l.Window)
	return c != nil
}

func TestRetriesStayWithinLimitOfEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Ratio: 0.2, Slack: 40, Window: 10 * time.Second, Share: pkrate.Share{Entries: rapid.IntRange(1, 8).Draw(t, "entries")}}
		var b Budget
		now := time.Unix(1_000_000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now, limits)
				requests = append(requests, now)
				continue
			}
			if tryRetry(&b, now, limits) {
				retries = append(retries, now)
			}
			in := func(all []time.Time, ago time.Duration) float64 {
				n := 0.0
				for _, at := range all {
					if age := now.Sub(at) - ago; 0 <= age && age < limits.Window {
						n++
					}
				}
				return n
			}
			// The bound uses the busiest of this window, the previous one and the one shifted by
			// half a window.
			most := max(in(requests, 0), in(requests, limits.Window/2), in(requests, limits.Window))
			bound := limits.Ratio*most + limits.Slack/float64(limits.Share.Entries)
			if got := in(retries, 0); got > bound {
				t.Fatalf("%v retries in a window, limit is %v", got, bound)
			}
		}
	})
}

func TestRetriesAreAllowedAgainAfterWindow(t *testing.T) {
	limits := Limits{Slack: 10, Window: 10 * time.Second}
	var b Budget
	now := time.Unix(1_000_000, 0)
	n := 0
	for tryRetry(&b, now, limits) {
		n++
	}
	assert.Equal(t, n, 8)
	assert.Assert(t, !tryRetry(&b, now.Add(5*time.Second), limits))
	assert.Assert(t, tryRetry(&b, now.Add(11*time.Second), limits))
}

// Two bursts of retries 9.5 s apart lie within one window of 10 s. Guards against a window that is
// short by up to a bucket, which would allow each burst the full limit.
func TestBurstsInOneWindowShareLimit(t *testing.T) {
	limits := Limits{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}
	for begin := range 10 {
		var b Budget
		now := time.Unix(1000, 0)
		b.RecordRequest(now, limits)
		now = now.Add(time.Duration(begin) * 100 * time.Millisecond)
		spent := 0
		for _, wait := range []time.Duration{0, 9500 * time.Millisecond} {
			now = now.Add(wait)
			for tryRetry(&b, now, limits) {
				spent++
			}
		}
		assert.Assert(t, spent <= 20, "%d retries in 9.5 s, limit is 20", spent)
	}
}

// Guards against holding a request for a retry that the budget will not allow in time, and against giving up on
// one that it will: the wait must be when a retry is allowed if none is made meanwhile.
func TestRetryWaitIsWhenARetryIsAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		limits := Limits{Ratio: 0.2, Slack: 40, Window: 10 * time.Second, Share: pkrate.Share{Entries: rapid.IntRange(1, 8).Draw(t, "entries")}}
		if rapid.Bool().Draw(t, "starting") {
			limits.Started = now
		}
		var b Budget
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			b.RecordRequest(now, limits)
			tryRetry(&b, now, limits)
		}
		within := time.Duration(rapid.IntRange(0, 12_000).Draw(t, "within")) * time.Millisecond
		wait, found := b.RetryWait(now, limits, within)
		if !found {
			wait = within + retryWaitStep
		}
		for early := time.Duration(0); early < wait && early <= within; early += retryWaitStep {
			assert.Assert(t, !b.HasRetries(now.Add(early), limits, 1), "after %v, %v was told", early, wait)
		}
		if found {
			assert.Assert(t, b.HasRetries(now.Add(wait), limits, 1), "after %v", wait)
		}
	})
}
