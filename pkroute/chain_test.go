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

var now = time.Unix(1000, 0)

func target(id string, first, end pkid.Layer, step time.Duration) *pktarget.Target {
	t := pktarget.NewTarget(pktarget.Info{ID: pkid.TargetID(id), Pool: "p"})
	t.SetHolding(pktarget.Holding{Model: "m", Version: "1", Range: pkid.Range{First: first, End: end}})
	t.Observe(pktarget.Report{MaxBatch: 16, Step: step, PerSeq: step / 16}, now)
	return t
}

func testSpec(layers pkid.Layer) ChainSpec {
	return ChainSpec{Pool: "p", Model: "m", Version: "1", Layers: layers}
}

func testOptions(seed uint64) ChooseOptions {
	return ChooseOptions{Now: now, Rand: rand.New(rand.NewPCG(seed, 1))}
}

// Guards against layers that run twice or not at all for a token: a chain covers each layer once,
// uses no leaving or ejected engine, and is found whenever one exists.
func TestChainCoversEachLayerOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const layers = 6
		var targets []*pktarget.Target
		for i := range rapid.IntRange(1, 14).Draw(t, "targets") {
			first := pkid.Layer(rapid.IntRange(0, layers-1).Draw(t, "first"))
			end := pkid.Layer(rapid.IntRange(int(first)+1, layers).Draw(t, "end"))
			tgt := target(fmt.Sprint(i), first, end, time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "state") {
			case 0:
				tgt.SetLeaving(pktarget.SourceTarget, true)
			case 1:
				tgt.RecordFailure(now)
			default:
			}
			targets = append(targets, tgt)
		}
		chain, err := NewPlan(testSpec(layers), targets).Choose(testOptions(rapid.Uint64().Draw(t, "seed")))
		if exists := coverable(targets, 0, layers); (err == nil) != exists {
			t.Fatalf("chain exists: %v, found: %v", exists, err == nil)
		}
		var next pkid.Layer
		for _, tgt := range chain.Stages {
			if !tgt.Usable(now) || tgt.Holding().Range.First != next {
				t.Fatalf("target %s begins at layer %d, want %d", tgt.Info.ID, tgt.Holding().Range.First, next)
			}
			next = tgt.Holding().Range.End
		}
		if err == nil && next != layers {
			t.Fatalf("the chain ends at layer %d", next)
		}
	})
}

func coverable(targets []*pktarget.Target, from, to pkid.Layer) bool {
	if from == to {
		return true
	}
	for _, tgt := range targets {
		r := tgt.Holding().Range
		if tgt.Usable(now) && r.First == from && coverable(targets, r.End, to) {
			return true
		}
	}
	return false
}

func TestChainMatchesVersionAndAdapter(t *testing.T) {
	old := target("old", 0, 4, time.Microsecond)
	old.SetHolding(pktarget.Holding{Model: "m", Version: "0", Range: pkid.Range{First: 0, End: 4}})
	plain := target("plain", 0, 4, time.Microsecond)
	adapted := target("adapted", 0, 4, time.Second)
	adapted.SetHolding(pktarget.Holding{Model: "m", Version: "1", Adapters: []pkid.AdapterID{"x"}, Range: pkid.Range{First: 0, End: 4}})
	spec := testSpec(4)
	spec.Adapter = "x"
	chain, err := NewPlan(spec, []*pktarget.Target{old, plain, adapted}).Choose(testOptions(1))
	assert.NilError(t, err)
	assert.Equal(t, chain.Stages[0], adapted)
}

func TestChainPrefersShortLinks(t *testing.T) {
	far := target("far", 0, 4, time.Millisecond)
	far.Info.DataCenter = "away"
	near := target("near", 0, 4, 2*time.Millisecond)
	near.Info.DataCenter = "here"
	opts := testOptions(1)
	opts.From = "here"
	opts.Links = LinkDelays{DefaultDelay: 25 * time.Millisecond}
	chain, err := NewPlan(testSpec(4), []*pktarget.Target{far, near}).Choose(opts)
	assert.NilError(t, err)
	assert.Equal(t, chain.Stages[0], near)
}

func TestFlowIsMinimumCut(t *testing.T) {
	targets := []*pktarget.Target{
		target("a", 0, 2, time.Millisecond), target("b", 2, 4, time.Millisecond),
		target("c", 0, 4, time.Millisecond), target("d", 0, 2, time.Millisecond),
	}
	assert.Equal(t, NewPlan(testSpec(4), targets).Flow((*pktarget.Target).Slots), 32.0)
}

func testPool(n int) []*pktarget.Target {
	var targets []*pktarget.Target
	for i := range n {
		first := pkid.Layer(i%4) * 8
		tgt := target(fmt.Sprint(i), first, first+8, time.Duration(1+i%5)*time.Millisecond)
		targets = append(targets, tgt)
	}
	return targets
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{40, 400, 4500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := NewPlan(testSpec(32), testPool(n))
			opts := testOptions(1)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := p.Choose(opts); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkNewPlan(b *testing.B) {
	for _, n := range []int{40, 400, 4500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			targets := testPool(n)
			for b.Loop() {
				NewPlan(testSpec(32), targets)
			}
		})
	}
}

// Guards against counting the cost of queueing as run time, by which admission would refuse
// requests that can meet their deadlines.
func TestStepTimeExcludesQueueing(t *testing.T) {
	busy := target("busy", 0, 4, 10*time.Millisecond)
	for range 40 {
		busy.Begin()
	}
	chain, err := NewPlan(testSpec(4), []*pktarget.Target{busy}).Choose(testOptions(1))
	assert.NilError(t, err)
	assert.Equal(t, chain.StepTime, busy.StepTime())
}
