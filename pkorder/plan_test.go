package pkorder

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotknot.example/pkid"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pktarget"
)

var now = time.Unix(1000, 0)

const slots = 10

func testModel(version pkid.Version, maxLoads int) *pkmanifest.Model {
	return &pkmanifest.Model{
		ID: "m", Version: version, Pool: "p", Layers: 8, MaxConcurrentLoads: maxLoads,
		Splits: []pkmanifest.Split{{First: 0, End: 4, Weight: 1}, {First: 4, End: 8, Weight: 1}},
	}
}

func testEngine(i int, version pkid.Version, first, end pkid.Layer) *pktarget.Target {
	t := pktarget.NewTarget(pktarget.Info{ID: pkid.TargetID(fmt.Sprint(i)), Pool: "p"})
	t.Observe(pktarget.Report{MaxBatch: slots, Step: time.Millisecond, PerSeq: time.Microsecond}, now)
	t.SetHolding(pktarget.Holding{Model: "m", Version: version, Range: pkid.Range{First: first, End: end}})
	return t
}

func splitEngines(n int, version pkid.Version) []*pktarget.Target {
	var out []*pktarget.Target
	for i := range n {
		first := pkid.Layer(i%2) * 4
		out = append(out, testEngine(i, version, first, first+4))
	}
	return out
}

// Guards against rollouts that take more engines out of service than the demand or the load limit
// allows, or that do not reach the new version though there is spare capacity.
func TestRolloutPreservesDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := 2 * rapid.IntRange(2, 8).Draw(t, "pairs")
		maxLoads := rapid.IntRange(1, 4).Draw(t, "at once")
		demand := float64(rapid.IntRange(0, (n/2-1)*slots).Draw(t, "demand")) / headroom * 0.99
		targets := splitEngines(n, "1")
		m := testModel("2", maxLoads)
		loading := map[pkid.TargetID]pkid.Range{}
		for range 4 * n {
			orders := Next(PoolState{Model: m, Targets: targets, Loading: loading, Demand: demand})
			for _, order := range orders {
				loading[order.Target.Info.ID] = pkid.Range{First: order.Order.First, End: order.Order.End}
			}
			if len(loading) > maxLoads {
				t.Fatalf("%d engines are loading at once", len(loading))
			}
			var serving []*pktarget.Target
			for _, target := range targets {
				if _, busy := loading[target.Info.ID]; !busy {
					serving = append(serving, target)
				}
			}
			p := newPlan(PoolState{Model: m, Targets: serving})
			if got := p.slots.flow(8); len(orders) > 0 && got < demand {
				t.Fatalf("%g slots stay in service for a demand of %g", got, demand)
			}
			for _, order := range orders {
				r := pkid.Range{First: order.Order.First, End: order.Order.End}
				order.Target.SetHolding(pktarget.Holding{Model: "m", Version: order.Order.Version, Range: r})
				delete(loading, order.Target.Info.ID)
			}
		}
		have := newPlan(PoolState{Model: m, Targets: targets}).have
		if have[pkid.Range{First: 0, End: 4}] != n/2 || have[pkid.Range{First: 4, End: 8}] != n/2 {
			t.Fatalf("the rollout ended with %v, %d engines", have, n)
		}
	})
}

// Guards against reloads that the demand, the load limit or the manifest does not allow, and
// against missing ones.
func TestNext(t *testing.T) {
	cases := map[string]struct {
		targets []*pktarget.Target
		loading map[pkid.TargetID]pkid.Range
		demand  float64
		want    int
	}{
		"nothing to change":                  {splitEngines(4, "2"), nil, 0, 0},
		"an empty engine is loaded":          {append(splitEngines(4, "2"), testEngine(9, "", 0, 0)), nil, 20, 1},
		"a small pool reloads one at a time": {splitEngines(4, "1"), nil, 0, 1},
		"a large pool reloads at its limit":  {splitEngines(40, "1"), nil, 0, 2},
		"the load limit is reached":          {splitEngines(4, "1"), map[pkid.TargetID]pkid.Range{"0": {End: 4}, "1": {First: 4, End: 8}}, 0, 0},
		"the demand needs every engine":      {splitEngines(4, "1"), nil, 20, 0},
		"a range has a surplus":              {[]*pktarget.Target{testEngine(0, "2", 0, 4), testEngine(1, "2", 0, 4), testEngine(2, "2", 0, 4), testEngine(3, "2", 4, 8)}, nil, 0, 1},
		"a range not in the manifest":        {append(splitEngines(4, "2"), testEngine(9, "2", 2, 6), testEngine(10, "2", 2, 6)), nil, 0, 2},
		"an engine of an old version":        {append(splitEngines(3, "2"), testEngine(9, "old", 0, 4)), nil, 0, 1},
		"no engines":                         {nil, nil, 0, 0},
		"no reload without spare capacity":   {splitEngines(2, "1"), nil, 1, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := Next(PoolState{Model: testModel("2", 2), Targets: c.targets, Loading: c.loading, Demand: c.demand, Fence: 3})
			assert.Equal(t, len(got), c.want)
			for _, order := range got {
				assert.Equal(t, order.Order.Fence, pkid.FencingToken(3))
				assert.Equal(t, order.Order.Version, pkid.Version("2"))
			}
		})
	}
}
