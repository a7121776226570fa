package pklayers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
)

// Guards against pauses on a congested link: streams that prefer fast engines in two data centres
// must return to the slow ones of their own before the link is full.
func TestPathAvoidsCongestedLink(t *testing.T) {
	m := testModel()
	engines := []Engine{
		{ID: "fast-1", DataCenter: "a", Kind: "h100", Held: pkid.Range{First: 0, End: 40}, Cost: m.StepTime("h100", 1)},
		{ID: "fast-2", DataCenter: "b", Kind: "h100", Held: pkid.Range{First: 40, End: 80}, Cost: m.StepTime("h100", 1)},
		{ID: "slow", DataCenter: "a", Kind: "l4", Held: pkid.Range{First: 0, End: 80}, Cost: m.StepTime("l4", 1)},
	}
	perSecond := float64(time.Second) / float64(m.TransferTime(1))
	for _, row := range []struct {
		utilization float64
		crosses     bool
	}{
		{0, true}, {0.3, true}, {0.5, false}, {0.9, false}, {5, false},
	} {
		c := Costs{Hop: 100 * time.Microsecond, Crossing: func(_, _ pkid.DataCenter) time.Duration {
			return m.LinkCost(row.utilization * perSecond)
		}}
		p, found := Find(m.AllLayers(), engines, c, "a")
		assert.Assert(t, found)
		crosses := p.Stages[len(p.Stages)-1].ID == "fast-2"
		assert.Equal(t, crosses, row.crosses, "at a utilization of %v", row.utilization)
	}
}

func TestLinkCostGrowsWithUtilization(t *testing.T) {
	m := testModel()
	assert.Equal(t, m.LinkCost(0), time.Duration(0))
	last := time.Duration(0)
	for tokens := 1000.0; tokens < 40_000; tokens += 1000 {
		cost := m.LinkCost(tokens)
		assert.Assert(t, cost > last, "at %v tokens in flight", tokens)
		last = cost
	}
	assert.Equal(t, m.LinkCost(1e6), m.LinkCost(1e9), "the cost of a saturated link is bounded")
}

// Guards against new requests joining a saturated link, where they and the streams already on it
// would time out. A request whose answer has begun has no cost limit and takes the path anyway.
func TestSaturatedLinkExceedsCostLimit(t *testing.T) {
	m := testModel()
	engines := []Engine{
		{ID: "near", DataCenter: "a", Kind: "l4", Held: pkid.Range{First: 0, End: 40}, Cost: m.StepTime("l4", 1)},
		{ID: "far", DataCenter: "b", Kind: "l4", Held: pkid.Range{First: 40, End: 80}, Cost: m.StepTime("l4", 1)},
	}
	perSecond := float64(time.Second) / float64(m.TransferTime(1))
	for _, row := range []struct {
		utilization float64
		maxCost     time.Duration
		found       bool
	}{
		{0.5, 400 * time.Millisecond, true}, {0.95, 400 * time.Millisecond, false}, {0.95, 0, true},
	} {
		c := Costs{MaxCost: row.maxCost, Crossing: func(_, _ pkid.DataCenter) time.Duration { return m.LinkCost(row.utilization * perSecond) }}
		_, found := Find(m.AllLayers(), engines, c, "a")
		assert.Equal(t, found, row.found, "%+v", row)
	}
}
