package pkpace

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
)

var now = time.Unix(1000, 0)

func TestFactorIsLatestObservation(t *testing.T) {
	var table Table
	assert.Equal(t, table.Factor(now, "e", 0), Nominal)
	assert.Assert(t, !table.Record(now, "e", 0, 1.1, now), "healthy engines vary")
	assert.Assert(t, table.Record(now, "e", 0, 12, now))
	assert.Equal(t, table.Factor(now, "e", 0), Factor(12))
	later := now.Add(time.Second)
	assert.Assert(t, !table.Record(later, "e", 0, 11, later), "about as slow as before")
	assert.Assert(t, table.Record(later.Add(1), "e", 0, 1, later.Add(1)), "healthy again")
	assert.Equal(t, table.Factor(later.Add(1), "e", 0), Nominal)
}

// Guards against avoiding an engine for good after the entries that polled it are gone.
func TestObservationExpires(t *testing.T) {
	var table Table
	table.Record(now, "e", 0, 12, now)
	assert.Equal(t, table.Factor(now.Add(ttl), "e", 0), Nominal)
	assert.Equal(t, len(table.Observations(now.Add(ttl))), 0)
	assert.Equal(t, len(table.byTarget), 0)
}

// Guards against avoiding a restarted engine for what its earlier start reported, which entries
// that missed the restart still send.
func TestObservationOfEarlierStartIsIgnored(t *testing.T) {
	var table Table
	table.Record(now, "e", 5, 12, now)
	assert.Equal(t, table.Factor(now, "e", 6), Nominal)
	later := now.Add(time.Millisecond)
	table.Record(later, "e", 6, 2, later)
	assert.Assert(t, !table.Record(later.Add(1), "e", 5, 12, later.Add(1)))
	assert.Equal(t, table.Factor(later.Add(1), "e", 6), Factor(2))
}

// Guards against an observation that two entries keep alive by sending it back and forth, where the
// age does not include the delay of each message.
func TestGossipedObservationExpires(t *testing.T) {
	var a, b Table
	a.Record(now, "e", 0, 12, now)
	const interval, delay = 150 * time.Millisecond, 15 * time.Millisecond
	at := now
	for ; at.Sub(now) < 2*ttl; at = at.Add(interval) {
		for _, o := range a.Observations(at) {
			b.Merge(at.Add(delay), o)
		}
		for _, o := range b.Observations(at.Add(delay)) {
			a.Merge(at.Add(2*delay), o)
		}
	}
	assert.Equal(t, a.Factor(at, "e", 0), Nominal)
	assert.Equal(t, b.Factor(at, "e", 0), Nominal)
}

func TestObservationsAreBounded(t *testing.T) {
	var table Table
	for i := range 4 * maxObservations {
		table.Record(now, pkid.TargetID(fmt.Sprint(i)), 0, Factor(2+i), now)
	}
	observations := table.Observations(now.Add(time.Millisecond))
	assert.Equal(t, len(observations), maxObservations)
	assert.Equal(t, observations[0].Factor, Factor(min(2+4*maxObservations-1, int(maxFactor))))
}

func TestInvalidObservationsAreIgnored(t *testing.T) {
	var table Table
	for _, f := range []Factor{0, -3, Factor(math.NaN())} {
		assert.Assert(t, !table.Record(now, "e", 0, f, now))
	}
	assert.Assert(t, !table.Record(now, "e", 0, 12, now.Add(time.Second)), "an observation from the future")
	table.Merge(now, Observation{Target: "e", Factor: Factor(math.Inf(1)), AgeMS: -5})
	assert.Equal(t, table.Factor(now, "e", 0), maxFactor)
}
