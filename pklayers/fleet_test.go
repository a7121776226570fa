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

// fleetPool is so many engines of four kinds in a number of data centres.
func fleetPool(engines, centers int) []Card {
	kinds := []pkid.Kind{"h100", "a100s", "a100s", "a100s", "l4", "l4", "l4", "l4", "l4", "l4", "t4", "t4", "t4", "t4", "t4"}
	var out []Card
	for i := range engines {
		dc := pkid.DataCenter(fmt.Sprintf("d%02d", i%centers))
		out = append(out, Card{ID: pkid.TargetID(fmt.Sprintf("e%04d", i)), DataCenter: dc, Kind: kinds[(i/centers)%len(kinds)]})
	}
	return out
}

// benchPools are pools of the sizes that the router is built for.
func benchPools() map[string][]Card {
	return map[string][]Card{
		"39": testPool(), "98": grownPool(), "300": fleetPool(300, 3), "1000": fleetPool(1000, 3),
		"3000": fleetPool(3000, 3), "4500": fleetPool(4500, 17),
	}
}

// enginesOf returns the engines of a pool that is laid out, each with a load of its own.
func enginesOf(m *Model, cards []Card) []Engine {
	out := Plan(m, cards, steadyTime)
	var engines []Engine
	for i, c := range cards {
		busy := 1 + float64(i*7919%101)/100
		cost := time.Duration(busy * float64(m.StepTime(c.Kind, 1)))
		held := out[c.ID]
		engines = append(engines, Engine{ID: c.ID, DataCenter: c.DataCenter, Kind: c.Kind, Held: held, Cost: cost, Enter: time.Duration(held.Len()) * cost / 2})
	}
	return engines
}

// BenchmarkFind times the choice of a path.
func BenchmarkFind(b *testing.B) {
	for name, pool := range benchPools() {
		b.Run(name, func(b *testing.B) {
			m := testModel()
			engines := enginesOf(m, pool)
			cross := func(_, _ pkid.DataCenter) time.Duration { return 5 * time.Millisecond }
			for b.Loop() {
				Find(m.All(), engines, Costs{Hop: 100 * time.Microsecond, Crossing: cross}, pool[0].DataCenter)
			}
		})
	}
}

// BenchmarkPlan times the layout of a new pool, and the look at one that lacks nothing, which
// its owner takes five times a second.
func BenchmarkPlan(b *testing.B) {
	m := testModel()
	for name, cold := range benchPools() {
		b.Run("new/"+name, func(b *testing.B) {
			for b.Loop() {
				Plan(m, cold, steadyTime)
			}
		})
		held := slices.Clone(cold)
		laid := Plan(m, cold, steadyTime)
		for i := range held {
			held[i].Held = laid[held[i].ID]
		}
		b.Run("whole/"+name, func(b *testing.B) {
			for b.Loop() {
				Plan(m, held, steadyTime)
			}
		})
	}
}

// A pool of thousands of engines registers. Its owner has a fifth of a core and must lay it out
// before callers come: planned engine by engine over all others, it ordered nothing for minutes
// and all callers were refused. Each engine is given layers by the room at each layer alone.
func TestAPoolOfThousandsIsLaidOut(t *testing.T) {
	m := testModel()
	cards := fleetPool(4500, 17)
	laid := Plan(m, cards, steadyTime)
	assert.Equal(t, len(laid), len(cards))
	for i := range cards {
		cards[i].Held = laid[cards[i].ID]
	}
	for _, g := range dataCenters(cards) {
		assert.Assert(t, rowsOver(m, near(cards, g)) >= 2, "%v", g)
	}
	assert.Equal(t, len(Plan(m, cards, steadyTime)), 0)
}

// Each request asks for a path. Looked for among all engines of a pool of thousands, the choice
// took an entry with a fifth of a core longer than a caller waits for a first event. Only the
// cheapest engines of each range are looked at, each in its own layers.
func TestWorkOfAPathGrowsWithRanges(t *testing.T) {
	m := testModel()
	for _, row := range []struct {
		pool []Card
		most int
	}{{grownPool(), 1_200}, {fleetPool(3000, 3), 5_000}, {fleetPool(4500, 17), 25_000}} {
		s := newSearch(m.All(), useful(enginesOf(m, row.pool)), Costs{}, "a")
		work := 0
		for _, holders := range s.holders {
			work += len(holders)
		}
		assert.Assert(t, work <= row.most, "%d steps over %d engines", work, len(row.pool))
	}
}

// Engines that are left out of a search are like others that cost no more, so that the cheapest
// path costs the same without them.
func TestUsefulEnginesMakeTheCheapestPath(t *testing.T) {
	m := testModel()
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 1))
		engines := enginesOf(m, fleetPool(60+r.IntN(200), 1+r.IntN(4)))
		for i := range engines {
			engines[i].Enter = time.Duration(r.IntN(1_000_000))
			engines[i].Cost = time.Duration((1 + r.Float64()) * float64(engines[i].Cost))
		}
		cross := time.Duration(r.IntN(5_000_000))
		c := Costs{Hop: 100 * time.Microsecond, Crossing: func(_, _ pkid.DataCenter) time.Duration { return cross }}
		p, found := Find(m.All(), engines, c, engines[0].DataCenter)
		assert.Assert(t, found)
		all := newSearch(m.All(), engines, c, engines[0].DataCenter)
		all.run()
		want, _ := all.cheapest()
		assert.Equal(t, p.Cost, want.Cost, "seed %d", seed)
	}
}
