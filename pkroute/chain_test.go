package pkroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotknot.example/pkid"
	"peridotknot.example/pktarget"
)

var start = time.Unix(1000, 0)

func target(id string, first, end pkid.Layer, step time.Duration) *pktarget.Target {
	t := pktarget.NewTarget(pktarget.Info{ID: pkid.TargetID(id), Pool: "p"})
	t.Hold(pktarget.Holding{Model: "m", Version: "1", Range: pkid.Range{First: first, End: end}})
	t.Observe(pktarget.Report{MaxBatch: 16, Step: step, PerSeq: step / 16}, start)
	return t
}

func want(layers pkid.Layer) Want {
	return Want{Pool: "p", Model: "m", Version: "1", Layers: layers}
}

func ask(seed uint64) Ask { return Ask{Now: start, Rand: rand.New(rand.NewPCG(seed, 1))} }

// Layers that run twice or not at all for a token make a wrong answer that
// nobody notices. Whatever ranges engines hold, a chain covers each layer once,
// uses no engine that is leaving or ejected, and is found whenever one exists.
func TestChainCoversEachLayerOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const layers = 6
		var all []*pktarget.Target
		for i := range rapid.IntRange(1, 14).Draw(t, "targets") {
			first := pkid.Layer(rapid.IntRange(0, layers-1).Draw(t, "first"))
			end := pkid.Layer(rapid.IntRange(int(first)+1, layers).Draw(t, "end"))
			one := target(fmt.Sprint(i), first, end, time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "state") {
			case 0:
				one.Leave(pktarget.WitnessSelf, true)
			case 1:
				one.Failed(start)
			default:
			}
			all = append(all, one)
		}
		chain, err := NewPlan(want(layers), all).Choose(ask(rapid.Uint64().Draw(t, "seed")))
		if exists := reaches(all, 0, layers); (err == nil) != exists {
			t.Fatalf("chain exists: %v, found: %v", exists, err == nil)
		}
		var at pkid.Layer
		for _, one := range chain.Stages {
			if !one.Usable(start) || one.Holding().Range.First != at {
				t.Fatalf("target %s begins at %d, wanted %d", one.Info.ID, one.Holding().Range.First, at)
			}
			at = one.Holding().Range.End
		}
		if err == nil && at != layers {
			t.Fatalf("the chain ends at layer %d", at)
		}
	})
}

func reaches(all []*pktarget.Target, from, to pkid.Layer) bool {
	if from == to {
		return true
	}
	for _, one := range all {
		r := one.Holding().Range
		if one.Usable(start) && r.First == from && reaches(all, r.End, to) {
			return true
		}
	}
	return false
}

func TestChainKeepsToOneVersionAndAdapter(t *testing.T) {
	old := target("old", 0, 4, time.Microsecond)
	old.Hold(pktarget.Holding{Model: "m", Version: "0", Range: pkid.Range{First: 0, End: 4}})
	plain := target("plain", 0, 4, time.Microsecond)
	adapted := target("adapted", 0, 4, time.Second)
	adapted.Hold(pktarget.Holding{Model: "m", Version: "1", Adapters: []pkid.AdapterID{"x"}, Range: pkid.Range{First: 0, End: 4}})
	w := want(4)
	w.Adapter = "x"
	chain, err := NewPlan(w, []*pktarget.Target{old, plain, adapted}).Choose(ask(1))
	assert.NilError(t, err)
	assert.Equal(t, chain.Stages[0], adapted)
}

func TestChainPrefersShortLinks(t *testing.T) {
	far := target("far", 0, 4, time.Millisecond)
	far.Info.DataCenter = "away"
	near := target("near", 0, 4, 2*time.Millisecond)
	near.Info.DataCenter = "here"
	a := ask(1)
	a.From = "here"
	a.Links = Links{Far: 25 * time.Millisecond}
	chain, err := NewPlan(want(4), []*pktarget.Target{far, near}).Choose(a)
	assert.NilError(t, err)
	assert.Equal(t, chain.Stages[0], near)
}

func TestFlowIsTheNarrowestCut(t *testing.T) {
	all := []*pktarget.Target{
		target("a", 0, 2, time.Millisecond), target("b", 2, 4, time.Millisecond),
		target("c", 0, 4, time.Millisecond), target("d", 0, 2, time.Millisecond),
	}
	assert.Equal(t, NewPlan(want(4), all).Flow((*pktarget.Target).Slots), 32.0)
}

func pool(n int) []*pktarget.Target {
	var all []*pktarget.Target
	for i := range n {
		first := pkid.Layer(i%4) * 8
		one := target(fmt.Sprint(i), first, first+8, time.Duration(1+i%5)*time.Millisecond)
		all = append(all, one)
	}
	return all
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{40, 400, 4500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := NewPlan(want(32), pool(n))
			a := ask(1)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := p.Choose(a); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkNewPlan(b *testing.B) {
	for _, n := range []int{40, 400, 4500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := pool(n)
			for b.Loop() {
				NewPlan(want(32), all)
			}
		})
	}
}

// A pool is busy. What a request needs once it runs is still the time of its
// steps; if the cost of queueing were taken for it, admission would refuse
// requests for deadlines that they meet.
func TestStepIsATimeAndNotACost(t *testing.T) {
	busy := target("busy", 0, 4, 10*time.Millisecond)
	for range 40 {
		busy.Begin()
	}
	chain, err := NewPlan(want(4), []*pktarget.Target{busy}).Choose(ask(1))
	assert.NilError(t, err)
	assert.Equal(t, chain.Step, busy.StepTime())
}
