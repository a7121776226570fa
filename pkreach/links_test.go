package pkreach

import (
	"math/rand/v2"
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
		condition, changed := l.Record(start, "s", row.sample)
		assert.Equal(t, condition == CutOff, row.cutOff, "%+v", row.sample)
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
	assert.DeepEqual(t, l.ImpairedServices(), []pkid.ServiceID{"s"})
	condition, changed := l.Record(start, "s", Sample{Reached: 4, Failed: 4})
	assert.Assert(t, condition == CutOff && !changed)
	condition, changed = l.Record(start, "s", Sample{Reached: 5, Failed: 3})
	assert.Assert(t, condition == Whole && changed)
	assert.Equal(t, len(l.ImpairedServices()), 0)
	assert.Assert(t, l.Checked(start, "s") && !l.Checked(start.Add(resultTTL), "s"))
}

// Guards against waiting for the results of silent targets once enough others were reached or have refused, and
// against not waiting for targets whose silence would show that the links lose packets.
func TestSampleIsSettledOnceEnoughTargetsAreReached(t *testing.T) {
	for _, row := range []struct {
		sample  Sample
		missing int
		settled bool
	}{
		{Sample{}, 8, false},
		{Sample{Reached: 1}, 7, false},
		{Sample{Reached: 2}, 6, false},
		{Sample{Reached: 5}, 3, false},
		{Sample{Reached: 6}, 2, true},
		{Sample{Reached: 2, Failed: 4}, 2, true},
		{Sample{Reached: 2, Failed: 5, Silent: 1}, 1, true},
		{Sample{Reached: 2, Failed: 5, Silent: 2}, 1, false},
		{Sample{Reached: 3}, 1, true},
		{Sample{}, 0, true},
	} {
		assert.Equal(t, row.sample.Settled(row.missing), row.settled, "%+v, %d missing", row.sample, row.missing)
	}
}

// sampleOf returns the sample of targets over links that lose a share of the probes; the last dead ones never answer.
func sampleOf(random *rand.Rand, lost float64, targets, dead int) Sample {
	var s Sample
	for i := range targets {
		answers := func() bool { return i < targets-dead && random.Float64() >= lost }
		if answers() {
			s.Reached++
			s.Answered++
			continue
		}
		s.Failed++
		s.Silent++
		for attempt := 1; attempt <= FollowUps; attempt++ {
			if answers() {
				s.Answered++
				s.Lost += attempt
				break
			}
		}
	}
	return s
}

// Guards against links that lose packets and are taken for whole ones, so that each lost packet looks like a dead target;
// and against whole ones that count as lossy for dead targets or a few lost packets, so that dead targets are not
// found and requests take a detour.
func TestLinksThatLosePacketsAreToldFromDeadTargets(t *testing.T) {
	const samples, seeds = 60, 50
	for name, row := range map[string]struct {
		lost  float64
		dead  int
		lossy bool
	}{
		"half of the probes":                     {lost: 0.51, lossy: true},
		"half of the probes, one dead target":    {lost: 0.51, dead: 1, lossy: true},
		"no probe, one dead target":              {dead: 1},
		"no probe, three of eight targets dead":  {dead: 3},
		"one probe in sixteen, one dead target":  {lost: 0.06, dead: 1},
		"one probe in sixteen, two dead targets": {lost: 0.06, dead: 2},
	} {
		wrong := 0
		for seed := range uint64(seeds) {
			random := rand.New(rand.NewPCG(seed, 0))
			var l Links
			now := start
			for i := range samples {
				now = now.Add(RecheckInterval)
				l.Record(now, "s", sampleOf(random, row.lost, SampleSize, row.dead))
				if i > 0 && l.Impaired("s") != row.lossy {
					wrong++
				}
			}
			for range 4 {
				now = now.Add(RecheckInterval)
				l.Record(now, "s", sampleOf(random, 0, SampleSize, 0))
			}
			assert.Assert(t, !l.Impaired("s"), "%s: links in order again", name)
		}
		assert.Assert(t, wrong <= samples*seeds/50, "%s: %d of %d samples", name, wrong, samples*seeds)
	}
}

// Guards against an entry that is cut off for good from a service whose targets are all gone.
func TestServiceWithoutTargetsIsNotCutOff(t *testing.T) {
	var l Links
	l.Record(start, "s", Sample{Failed: 8})
	condition, changed := l.Record(start, "s", Sample{})
	assert.Assert(t, condition == Whole && changed)
}
