package pkshare

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against entries that are cut off and know for a second only helpers which, as their hub learns just after its
// report, are cut off as well; and against a hub that reports without end while entries change.
func TestHelpersAreReportedAgainWhenMoreEntriesAreImpaired(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var s HelpSchedule
	assert.Assert(t, s.IsNew())
	s.Begin(now)
	assert.Assert(t, !s.IsNew() && !s.Next(now.Add(time.Minute), now, false), "no change, no message due")
	changed := now.Add(time.Millisecond)
	assert.Assert(t, !s.Next(changed, changed, true), "too soon")
	assert.Assert(t, s.Next(now.Add(minHelpInterval), changed, false))
	assert.Assert(t, !s.Next(now.Add(2*minHelpInterval), changed, false), "reported")

	s.Begin(now)
	reports := 0
	for at := now; at.Before(now.Add(10 * time.Second)); at = at.Add(time.Millisecond) {
		if s.Next(at, at.Add(time.Millisecond), true) {
			reports++
		}
	}
	assert.Assert(t, reports >= 10 && reports <= 20, "%d reports in ten seconds of changes", reports)
	s.Reset()
	assert.Assert(t, s.IsNew())
}
