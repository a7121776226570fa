package pklayers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
)

// Callers see pauses of half a second though no engine is busy. Streams take the fast
// engines, which stand in two data centres, rather than the slow ones of one; each
// adds its prompt to the pipe between them, and all wait for one another's prompts.
func TestStreamsLeaveABusyPipeBeforeItIsFull(t *testing.T) {
	m := testModel()
	engines := []Engine{
		{ID: "fast-1", DataCenter: "a", Kind: "h100", Held: pkid.Range{First: 0, End: 40}, Cost: m.StepTime("h100", 1)},
		{ID: "fast-2", DataCenter: "b", Kind: "h100", Held: pkid.Range{First: 40, End: 80}, Cost: m.StepTime("h100", 1)},
		{ID: "slow", DataCenter: "a", Kind: "l4", Held: pkid.Range{First: 0, End: 80}, Cost: m.StepTime("l4", 1)},
	}
	perSecond := float64(time.Second) / float64(m.TransferTime(1))
	for _, row := range []struct {
		use     float64
		crosses bool
	}{
		{0, true}, {0.3, true}, {0.5, false}, {0.9, false}, {5, false},
	} {
		c := Costs{Hop: 100 * time.Microsecond, Crossing: func(_, _ pkid.DataCenter) time.Duration {
			return m.PipeCost(row.use * perSecond)
		}}
		p, found := Find(m.All(), engines, c, "a")
		assert.Assert(t, found)
		crosses := p.Parts[len(p.Parts)-1].ID == "fast-2"
		assert.Equal(t, crosses, row.crosses, "at a use of %v", row.use)
	}
}

func TestPipeCostGrowsWithUse(t *testing.T) {
	m := testModel()
	assert.Equal(t, m.PipeCost(0), time.Duration(0))
	last := time.Duration(0)
	for tokens := 1000.0; tokens < 40_000; tokens += 1000 {
		cost := m.PipeCost(tokens)
		assert.Assert(t, cost > last, "at %v tokens", tokens)
		last = cost
	}
	assert.Equal(t, m.PipeCost(1e6), m.PipeCost(1e9), "a full pipe still has a price")
}

// A data centre has lost engines, and its requests can only be served over a pipe that is
// full. Sent there, their callers leave after two seconds without an event, and so do those
// who were there before. A new request must find no path, and its caller come back later;
// one whose answer has begun takes what there is.
func TestAFullPipeIsNoPathForNewRequests(t *testing.T) {
	m := testModel()
	engines := []Engine{
		{ID: "near", DataCenter: "a", Kind: "l4", Held: pkid.Range{First: 0, End: 40}, Cost: m.StepTime("l4", 1)},
		{ID: "far", DataCenter: "b", Kind: "l4", Held: pkid.Range{First: 40, End: 80}, Cost: m.StepTime("l4", 1)},
	}
	perSecond := float64(time.Second) / float64(m.TransferTime(1))
	for _, row := range []struct {
		use   float64
		most  time.Duration
		found bool
	}{
		{0.5, 400 * time.Millisecond, true}, {0.95, 400 * time.Millisecond, false}, {0.95, 0, true},
	} {
		c := Costs{Most: row.most, Crossing: func(_, _ pkid.DataCenter) time.Duration { return m.PipeCost(row.use * perSecond) }}
		_, found := Find(m.All(), engines, c, "a")
		assert.Equal(t, found, row.found, "%+v", row)
	}
}
