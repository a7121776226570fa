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

// Guards against paths that enter a pool by an engine which takes no requests, and against giving up
// what that engine can still do for requests that others pass on to it.
func TestPathEntersByAnotherEngine(t *testing.T) {
	wide := Engine{ID: "wide", Held: pkid.Range{End: 60}, Cost: time.Millisecond, NotFirst: true}
	costly := Engine{ID: "costly", Held: pkid.Range{End: 60}, Cost: 3 * time.Millisecond}
	small := Engine{ID: "small", Held: pkid.Range{End: 5}, Cost: 3 * time.Millisecond}
	last := Engine{ID: "last", Held: pkid.Range{First: 60, End: 80}, Cost: time.Millisecond}
	costs := Costs{Hop: time.Millisecond}
	find := func(engines ...Engine) []Stage {
		p, _ := Find(pkid.Range{End: 80}, engines, costs, "")
		return p.Stages
	}
	tail := Stage{ID: "last", Layers: pkid.Range{First: 60, End: 80}}
	assert.DeepEqual(t, find(wide, small, last), []Stage{
		{ID: "small", Layers: pkid.Range{End: 5}}, {ID: "wide", Layers: pkid.Range{First: 5, End: 60}}, tail,
	})
	assert.DeepEqual(t, find(wide, costly, last), []Stage{{ID: "costly", Layers: pkid.Range{End: 60}}, tail})
	assert.Equal(t, len(find(wide, last)), 0)
}

// Guards against requests that are refused though every layer is held by some engine, and the first
// by one that takes requests.
func TestPathExistsWhereEveryLayerIsHeld(t *testing.T) {
	const layers = 20
	rapid.Check(t, func(t *rapid.T) {
		var engines []Engine
		held := make([]bool, layers)
		entered, notFirst := false, map[pkid.TargetID]bool{}
		for i := range rapid.IntRange(1, 12).Draw(t, "engines") {
			first := rapid.IntRange(0, layers-1).Draw(t, "first")
			end := rapid.IntRange(first+1, layers).Draw(t, "end")
			engines = append(engines, Engine{
				ID: pkid.TargetID(rune('a' + i)), DataCenter: pkid.DataCenter(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "data center")),
				Held:       pkid.Range{First: pkid.Layer(first), End: pkid.Layer(end)},
				Cost:       time.Duration(rapid.IntRange(1, 30).Draw(t, "cost")) * time.Millisecond,
				QueueDelay: time.Duration(rapid.IntRange(0, 30).Draw(t, "enter")) * time.Millisecond,
				NotFirst:   rapid.IntRange(0, 3).Draw(t, "not first") == 0,
			})
			notFirst[engines[i].ID] = engines[i].NotFirst
			entered = entered || (first == 0 && !engines[i].NotFirst)
			for l := first; l < end; l++ {
				held[l] = true
			}
		}
		covered := entered
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
		if found && notFirst[p.Stages[0].ID] {
			t.Fatalf("enters by %v", p.Stages[0].ID)
		}
	})
}
