package pklayers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
)

// fleetPool returns engines of four kinds in a number of data centres.
func fleetPool(engines, centers int) []Placement {
	kinds := []pkid.AcceleratorKind{"h100", "a100s", "a100s", "a100s", "l4", "l4", "l4", "l4", "l4", "l4", "t4", "t4", "t4", "t4", "t4"}
	var out []Placement
	for i := range engines {
		dc := pkid.DataCenter(fmt.Sprintf("d%02d", i%centers))
		out = append(out, Placement{ID: pkid.TargetID(fmt.Sprintf("e%04d", i)), DataCenter: dc, Kind: kinds[(i/centers)%len(kinds)]})
	}
	return out
}

// benchPools returns pools of the sizes that the router is designed for.
func benchPools() map[string][]Placement {
	return map[string][]Placement{
		"39": testPool(), "98": largePool(), "300": fleetPool(300, 3), "1000": fleetPool(1000, 3),
		"3000": fleetPool(3000, 3), "4500": fleetPool(4500, 17),
	}
}

// plannedEngines returns the engines of a laid out pool, each with a different load.
func plannedEngines(m *Model, placements []Placement) []Engine {
	out := Plan(m, placements, rebalanceDelay)
	var engines []Engine
	for i, e := range placements {
		busy := 1 + float64(i*7919%101)/100
		cost := time.Duration(busy * float64(m.StepTime(e.Kind, 1)))
		held := out[e.ID]
		engines = append(engines, Engine{ID: e.ID, DataCenter: e.DataCenter, Kind: e.Kind, Held: held, Cost: cost, QueueDelay: time.Duration(held.Len()) * cost / 2})
	}
	return engines
}

func BenchmarkFind(b *testing.B) {
	for name, pool := range benchPools() {
		b.Run(name, func(b *testing.B) {
			m := testModel()
			engines := plannedEngines(m, pool)
			cross := func(_, _ pkid.DataCenter) time.Duration { return 5 * time.Millisecond }
			for b.Loop() {
				Find(m.AllLayers(), engines, Costs{Hop: 100 * time.Microsecond, Crossing: cross}, pool[0].DataCenter)
			}
		})
	}
}

// BenchmarkPlan measures the layout of a new pool and a plan without changes, which the owner
// computes five times a second.
func BenchmarkPlan(b *testing.B) {
	m := testModel()
	for name, cold := range benchPools() {
		b.Run("new/"+name, func(b *testing.B) {
			for b.Loop() {
				Plan(m, cold, rebalanceDelay)
			}
		})
		held := slices.Clone(cold)
		laid := Plan(m, cold, rebalanceDelay)
		for i := range held {
			held[i].Held = laid[held[i].ID]
		}
		b.Run("whole/"+name, func(b *testing.B) {
			for b.Loop() {
				Plan(m, held, rebalanceDelay)
			}
		})
	}
}

// Guards against a large pool in which a data centre holds some layer only once, or whose plan
// changes again once it is carried out.
func TestPlanLargePool(t *testing.T) {
	m := testModel()
	placements := fleetPool(4500, 17)
	laid := Plan(m, placements, rebalanceDelay)
	assert.Equal(t, len(laid), len(placements))
	for i := range placements {
		placements[i].Held = laid[placements[i].ID]
	}
	for _, g := range dataCenterGroups(placements) {
		assert.Assert(t, minCopies(m, inGroup(placements, g)) >= 2, "%v", g)
	}
	assert.Equal(t, len(Plan(m, placements, rebalanceDelay)), 0)
}

// Guards against a search whose work grows with the engines of the pool rather than with the
// distinct ranges of layers.
func TestSearchVisitsBoundedStates(t *testing.T) {
	m := testModel()
	for _, c := range []struct {
		pool      []Placement
		maxStates int
	}{{largePool(), 1_200}, {fleetPool(3000, 3), 5_000}, {fleetPool(4500, 17), 25_000}} {
		s := newSearch(m.AllLayers(), pruneDominated(plannedEngines(m, c.pool)), Costs{}, "a")
		states := 0
		for _, holders := range s.holders {
			states += len(holders)
		}
		assert.Assert(t, states <= c.maxStates, "%d states for %d engines", states, len(c.pool))
	}
}

// Guards against pruning an engine that the cheapest path needs.
func TestPruningKeepsCheapestPath(t *testing.T) {
	m := testModel()
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 1))
		engines := plannedEngines(m, fleetPool(60+r.IntN(200), 1+r.IntN(4)))
		for i := range engines {
			engines[i].QueueDelay = time.Duration(r.IntN(1_000_000))
			engines[i].Cost = time.Duration((1 + r.Float64()) * float64(engines[i].Cost))
		}
		cross := time.Duration(r.IntN(5_000_000))
		c := Costs{Hop: 100 * time.Microsecond, Crossing: func(_, _ pkid.DataCenter) time.Duration { return cross }}
		p, found := Find(m.AllLayers(), engines, c, engines[0].DataCenter)
		assert.Assert(t, found)
		all := newSearch(m.AllLayers(), engines, c, engines[0].DataCenter)
		all.solve()
		want, _ := all.cheapestPath()
		assert.Equal(t, p.Cost, want.Cost, "seed %d", seed)
	}
}
