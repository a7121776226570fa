package pkreach

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
)

var start = time.Unix(1_000_000, 0)

// Guards against an entry that takes the failure of some targets for a cut of its links, and against
// one that takes a single spared target for links in order.
func TestCutOffFromAlmostAllTargets(t *testing.T) {
	for _, row := range []struct {
		sample Sample
		cutOff bool
	}{
		{Sample{}, false},
		{Sample{Reached: 8}, false},
		{Sample{Reached: 2, Failed: 6}, false},
		{Sample{Reached: 1, Failed: 7}, true},
		{Sample{Failed: 8}, true},
		{Sample{Reached: 1, Failed: 1}, false},
		{Sample{Failed: 2}, true},
		{Sample{Failed: 1}, true},
	} {
		var l Links
		cutOff, changed := l.Record(start, "s", row.sample)
		assert.Equal(t, cutOff, row.cutOff, "%+v", row.sample)
		assert.Equal(t, changed, row.cutOff)
		assert.Equal(t, l.CutOff("s"), row.cutOff)
		assert.Assert(t, !l.CutOff("other"))
	}
}

// Guards against an entry that changes between cut off and in order with each sample while a part of
// its links is back.
func TestCutOffUntilMostTargetsAreReached(t *testing.T) {
	var l Links
	l.Record(start, "s", Sample{Failed: 8})
	assert.DeepEqual(t, l.CutOffServices(), []pkid.ServiceID{"s"})
	cutOff, changed := l.Record(start, "s", Sample{Reached: 4, Failed: 4})
	assert.Assert(t, cutOff && !changed)
	cutOff, changed = l.Record(start, "s", Sample{Reached: 5, Failed: 3})
	assert.Assert(t, !cutOff && changed)
	assert.Equal(t, len(l.CutOffServices()), 0)
	assert.Assert(t, l.Checked(start, "s") && !l.Checked(start.Add(resultTTL), "s"))
}

// Guards against waiting for the results of silent targets once enough others were reached.
func TestSampleIsSettledOnceEnoughTargetsAreReached(t *testing.T) {
	assert.Assert(t, !Sample{}.Settled(8))
	assert.Assert(t, !Sample{Reached: 1}.Settled(7))
	assert.Assert(t, Sample{Reached: 2}.Settled(6))
	assert.Assert(t, Sample{Reached: 1}.Settled(1))
	assert.Assert(t, Sample{}.Settled(0))
}

// Guards against an entry that is cut off for good from a service whose targets are all gone.
func TestServiceWithoutTargetsIsNotCutOff(t *testing.T) {
	var l Links
	l.Record(start, "s", Sample{Failed: 8})
	cutOff, changed := l.Record(start, "s", Sample{})
	assert.Assert(t, !cutOff && changed)
}
