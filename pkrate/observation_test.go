package pkrate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
)

// Guards against entries that each find out about a limit, or its end, by requests of their own.
func TestLimitAndItsEndReachOtherEntries(t *testing.T) {
	var one, two Table
	one.Record("a", 0, perSecond(12.4), start)
	now := start.Add(100 * time.Millisecond)
	for _, o := range one.Observations(now, false) {
		before, changed := two.Merge(now, o)
		assert.Assert(t, changed)
		assert.Equal(t, before, Limit{})
	}
	assert.Equal(t, two.Limit("a", 0), perSecond(12.4))
	assert.Equal(t, len(two.Observations(now, false)), 0, "only hubs relay")
	assert.Equal(t, len(two.Observations(now, true)), 1)
	ended := start.Add(5 * time.Second)
	one.Record("a", 0, Limit{}, ended)
	for _, o := range one.Observations(ended, false) {
		_, changed := two.Merge(ended, o)
		assert.Assert(t, changed)
	}
	assert.Equal(t, two.Limit("a", 0), Limit{})
	assert.Equal(t, len(one.Observations(ended.Add(announceTime), true)), 0)
	assert.Equal(t, len(one.announced), 0)
}

// Guards against reports of peers that come late: they neither bring back a limit that has ended nor
// end one that this entry has been told of since.
func TestLateReportsChangeNothing(t *testing.T) {
	var table Table
	table.Record("a", 5, perSecond(1), start)
	late := start.Add(200 * time.Millisecond)
	for _, o := range []Observation{
		{Target: "a", AgeMS: 250, Born: 5},
		{Target: "a", AgeMS: 0, Born: 4},
		{Target: "a", Named: true, Rate: 3, AgeMS: int64(announceTime / time.Millisecond), Born: 6},
		{Target: "unknown", AgeMS: 10},
	} {
		_, changed := table.Merge(late, o)
		assert.Assert(t, !changed, "%+v", o)
	}
	assert.Equal(t, table.Limit("a", 5), perSecond(1))
	table.Record("a", 5, Limit{}, start.Add(time.Second))
	_, changed := table.Merge(start.Add(1200*time.Millisecond), Observation{Target: "a", Named: true, Rate: 1, AgeMS: 1200, Born: 5})
	assert.Assert(t, !changed)
	_, changed = table.Merge(start.Add(1200*time.Millisecond), Observation{Target: "a", Named: true, Rate: 2, AgeMS: 0, Born: 6})
	assert.Assert(t, changed, "a later start is in need of its own")
}

// Guards against a limit that entries keep alive by sending it back and forth after the last
// response, where the age leaves out the delay of each message.
func TestRelayedObservationGrowsOld(t *testing.T) {
	var a, b Table
	a.Record("t", 0, perSecond(3), start)
	const interval, delay = 150 * time.Millisecond, 15 * time.Millisecond
	at := start
	for ; at.Sub(start) < 2*announceTime; at = at.Add(interval) {
		for _, o := range a.Observations(at, true) {
			b.Merge(at.Add(delay), o)
		}
		for _, o := range b.Observations(at.Add(delay), true) {
			a.Merge(at.Add(2*delay), o)
		}
	}
	assert.Equal(t, len(a.Observations(at, true)), 0)
	assert.Equal(t, len(b.Observations(at, true)), 0)
}

// Guards against messages that grow with the number of limited targets.
func TestObservationsAreBounded(t *testing.T) {
	var table Table
	for i := range 4 * maxObservations {
		table.Record(pkid.TargetID(fmt.Sprintf("t-%03d", i)), 0, perSecond(1), start.Add(time.Duration(i)*time.Millisecond))
	}
	out := table.Observations(start.Add(time.Second), false)
	assert.Equal(t, len(out), maxObservations)
	assert.Equal(t, out[0].Target, pkid.TargetID(fmt.Sprintf("t-%03d", 3*maxObservations)), "the latest are sent")
	assert.Assert(t, SameLimits(out, table.Observations(start.Add(2*time.Second), false)))
}
