package pklayers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotknot.example/pkid"
)

// Guards against refusing requests because the cheapest path revisits an engine: the engine must
// keep the layers in between.
func TestPathDoesNotRevisitEngine(t *testing.T) {
	p, found := Find(pkid.Range{End: 80}, []Engine{
		{ID: "wide", Held: pkid.Range{End: 60}, Cost: 4 * time.Millisecond},
		{ID: "fast", Held: pkid.Range{First: 20, End: 30}, Cost: time.Millisecond},
		{ID: "last", Held: pkid.Range{First: 60, End: 80}, Cost: time.Millisecond},
	}, Costs{Hop: time.Millisecond}, "")
	assert.Assert(t, found)
	assert.DeepEqual(t, p, Path{
		Stages: []Stage{{ID: "wide", Layers: pkid.Range{End: 60}}, {ID: "last", Layers: pkid.Range{First: 60, End: 80}}},
		Cost:   261 * time.Millisecond,
	})
}

// Guards against requests that are refused though every layer is held by some engine.
func TestPathExistsWhereEveryLayerIsHeld(t *testing.T) {
	const layers = 20
	rapid.Check(t, func(t *rapid.T) {
		var engines []Engine
		held := make([]bool, layers)
		for i := range rapid.IntRange(1, 12).Draw(t, "engines") {
			first := rapid.IntRange(0, layers-1).Draw(t, "first")
			end := rapid.IntRange(first+1, layers).Draw(t, "end")
			engines = append(engines, Engine{
				ID: pkid.TargetID(rune('a' + i)), DataCenter: pkid.DataCenter(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "data center")),
				Held:       pkid.Range{First: pkid.Layer(first), End: pkid.Layer(end)},
				Cost:       time.Duration(rapid.IntRange(1, 30).Draw(t, "cost")) * time.Millisecond,
				QueueDelay: time.Duration(rapid.IntRange(0, 30).Draw(t, "enter")) * time.Millisecond,
			})
			for l := first; l < end; l++ {
				held[l] = true
			}
		}
		covered := true
		for _, h := range held {
			covered = covered && h
		}
		c := Costs{Hop: time.Millisecond, Crossing: func(_, _ pkid.DataCenter) time.Duration { return 5 * time.Millisecond }}
		p, found := Find(pkid.Range{End: layers}, engines, c, "x")
		if found != covered {
			t.Fatalf("found: %v, every layer is held: %v", found, covered)
		}
		next, seen := pkid.Layer(0), map[pkid.TargetID]bool{}
		for _, stage := range p.Stages {
			if stage.Layers.First != next || seen[stage.ID] {
				t.Fatalf("%v", p.Stages)
			}
			next, seen[stage.ID] = stage.Layers.End, true
		}
		if found && next != layers {
			t.Fatalf("%v", p.Stages)
		}
	})
}
