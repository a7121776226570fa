package pkretry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotknot.example/pkrate"
)

// Guards against retries that are allowed in one window, wait in their entry or their target, and arrive in a later one beside
// those that are allowed then.
func TestRetriesThatArriveLateStayWithinLimitOfEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Slack: 40, Window: 10 * time.Second, Share: pkrate.Share{Entries: 1}}
		var b Budget
		began := time.Unix(1_000_000, 0)
		now := began
		var waiting []*Charge
		var arrivals []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if charge := b.Charge(now, l); charge != nil {
				waiting = append(waiting, charge)
			}
			for range rapid.IntRange(0, 10).Draw(t, "go on") / 10 * len(waiting) {
				waiting[0].Settle(now, l.Window)
				waiting, arrivals = waiting[1:], append(arrivals, now)
			}
			n := 0
			for _, at := range arrivals {
				if now.Sub(at) < l.Window {
					n++
				}
			}
			assert.Assert(t, float64(n) <= l.Slack, "%d retries in a window", n)
		}
	})
}

// Guards against charges that count for ever, since nobody ends them, or twice, and against those of sends that were never made.
func TestChargesOfARequestEndOnce(t *testing.T) {
	const window = 10 * time.Second
	l := Limits{Slack: 100, Window: window, Share: pkrate.Share{Entries: 1}}
	now := time.Unix(1_000_000, 0)
	var b Budget
	count := func() float64 { return b.Usage(now, l).Retries }
	var c Charges
	c.End(now, window)
	c.Revert()
	c.Close(now, window)
	assert.Assert(t, !c.HasNext())

	first := b.Charge(now, l)
	c.SetNext(first)
	c.SetNext(nil)
	assert.Assert(t, c.HasNext())
	c.Begin(now, window)
	assert.Assert(t, !c.HasNext())
	c.Revert()
	assert.Assert(t, c.HasNext())
	now = now.Add(3 * window)
	assert.Equal(t, count(), 1.0, "it may yet arrive")

	c.Begin(now, window)
	c.SetNext(b.Charge(now, l))
	c.End(now, window)
	assert.Assert(t, c.HasNext())
	assert.Equal(t, count(), 2.0)
	c.SetNext(b.Charge(now, l))
	assert.Equal(t, count(), 2.0, "the one before was not sent")
	c.Begin(now, window)
	c.SetNext(b.Charge(now, l))
	c.Close(now, window)
	c.Close(now, window)
	assert.Equal(t, count(), 2.0)
	assert.Equal(t, b.unsettled, 0)
	first.Settle(now, window)
	first.Cancel()
	assert.Equal(t, count(), 2.0)
	assert.Equal(t, b.unsettled, 0)
	now = now.Add(window + window/bucketCount)
	assert.Equal(t, count(), 0.0)
}
