package pkrate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
)

var start = time.Unix(1_000_000, 0)

func perSecond(r pkid.RequestRate) Limit { return Limit{Named: true, Rate: r} }

// Guards against a limit that outlives the need of its target, and one that a late response brings
// back.
func TestLimitFollowsLatestRequest(t *testing.T) {
	var table Table
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	_, changed := table.Record("a", 0, perSecond(12.4), at(100))
	assert.Assert(t, changed)
	_, changed = table.Record("a", 0, Limit{}, at(50))
	assert.Assert(t, !changed, "a response from before the limit comes late")
	assert.Equal(t, table.Limit("a", 0), perSecond(12.4))
	before, changed := table.Record("a", 0, Limit{}, at(200))
	assert.Assert(t, changed)
	assert.Equal(t, before, perSecond(12.4))
	_, changed = table.Record("a", 0, perSecond(12.4), at(150))
	assert.Assert(t, !changed, "a response from before the end comes late")
	assert.Equal(t, table.Limit("a", 0), Limit{})
	assert.Equal(t, table.Named(), 0)
}

// Guards against the limit of a process that has ended: its successor under the same id is not in
// need, and late responses of the earlier one must not change that.
func TestLimitEndsWithStartOfTarget(t *testing.T) {
	var table Table
	table.Record("a", 5, perSecond(1), start)
	assert.Equal(t, table.Limit("a", 5), perSecond(1))
	assert.Equal(t, table.Limit("a", 6), Limit{})
	table.Record("a", 6, Limit{}, start.Add(time.Second))
	table.Record("a", 5, perSecond(1), start.Add(2*time.Second))
	assert.Equal(t, table.Limit("a", 6), Limit{})
}

// Guards against a table that grows with each start of each target, and a count of limited targets
// that drifts as they are dropped.
func TestOldResponsesAreDropped(t *testing.T) {
	var table Table
	now := start
	for i := range 20 * minPruned {
		now = now.Add(time.Second)
		table.Record(pkid.TargetID(fmt.Sprint(i)), 0, perSecond(1), now)
	}
	kept := int(retention / time.Second)
	assert.Assert(t, len(table.byTarget) <= 2*kept, "%d targets", len(table.byTarget))
	assert.Equal(t, table.Named(), len(table.byTarget))
	later := now.Add(2 * retention)
	for i := range 20 * minPruned {
		table.Record(pkid.TargetID(fmt.Sprint(i)), 0, Limit{}, later.Add(time.Duration(i)))
	}
	assert.Equal(t, table.Named(), 0)
}
