package pklayers

import (
	"cmp"
	"slices"
	"time"

	"peridotknot.example/pkid"
)

const (
	// fastRatio is how many times slower than the fastest engines others may be to share a pipeline
	// with them: the time of a token is the sum over the pipeline, so one slow stage dominates it.
	fastRatio = 4
	// slowWeight is the weight of slow engines' capacity when a fast engine is placed: it only
	// breaks ties between layers that fast engines hold equally.
	slowWeight = 0.01
	// coldStartShare is the share of engines with layers below which a pool is laid out from
	// scratch.
	coldStartShare = 0.25
	// defaultConcurrency is how many typical requests an engine should have capacity for beside its
	// layers where no KV-cache capacity is declared.
	defaultConcurrency = 100
	// defaultLayerShare is the share of an engine's memory used for layers where neither capacity
	// nor request size is declared.
	defaultLayerShare = 0.7
	// minCapacityShare is the share of the nominal capacity that an engine keeps when it takes
	// layers that no other engine holds.
	minCapacityShare = 0.1
	// remoteWeight is the weight of capacity outside an engine's own group: a path that uses it
	// crosses two links between data centres.
	remoteWeight = 0.1
	// rebalanceShare is the share of the nominal capacity below which a layer gets an engine moved
	// to it: the pool serves no more than its layer with the least capacity. Without five of its 39
	// engines a pool refused a quarter of all requests while the mean engine was half empty.
	rebalanceShare = 0.7
	// rebalanceDelay is how long membership must be stable before engines are moved: an engine that
	// crashed usually restarts within it. Moving others meanwhile cost more than it gained.
	rebalanceDelay = 5 * time.Second
	// urgentShare is the share of the nominal capacity below which urgentDelay applies in place of
	// rebalanceDelay. Two engines that leave together can take two of three copies of some layers
	// with them; such a pool refused a third of all requests until rebalanceDelay had passed.
	urgentShare = 0.5
	// urgentDelay is how long membership must be stable before an urgent move, so that engines that
	// leave together are handled together.
	urgentDelay = time.Second
	// minMoveGain is the factor by which a move must reduce the shortage to be worth reloading an
	// engine.
	minMoveGain = 1.08
	// fullCapacityShare is the share of a new layout's capacity at or above which a group counts as
	// at full capacity.
	fullCapacityShare = 0.75
)

// Placement is one engine of a pool and the layers that it holds.
type Placement struct {
	ID         pkid.TargetID
	DataCenter pkid.DataCenter
	Kind       pkid.AcceleratorKind
	// Held is the range that it holds, or was ordered to hold and is loading.
	Held pkid.Range
	// JustJoined is set while the engine that this one replaces may not have left yet.
	JustJoined bool
}

// Plan returns the ranges of those engines that should hold other layers than they do. Engines that
// are leaving must not be passed in.
//
// A pool that holds next to nothing is laid out from scratch. Otherwise empty engines are given the
// layers with the least capacity, and the others keep theirs. Once membership has been stable for
// long enough, one engine at a time is moved where that raises the least capacity, since reloading
// takes an engine out of service for seconds. Layers that no engine holds are taken over by the
// engines next to them, or the pool is laid out again.
func Plan(m *Model, engines []Placement, stableFor time.Duration) map[pkid.TargetID]pkid.Range {
	live := slices.Clone(engines)
	live = slices.DeleteFunc(live, func(e Placement) bool { return m.MaxLayers(e.Kind) == 0 })
	slices.SortFunc(live, func(a, b Placement) int { return cmp.Compare(a.ID, b.ID) })
	if len(live) == 0 || m.Layers == 0 {
		return nil
	}
	held := 0
	for i := range live {
		if live[i].Held.Len() > 0 {
			held++
		}
	}
	if float64(held) < coldStartShare*float64(len(live)) {
		return layOut(m, live)
	}
	p := newPool(m, live)
	out := fillEmpty(p)
	if len(out) == 0 && stableFor >= urgentDelay && p.hasGap() {
		return restore(p)
	}
	for g := range p.groups {
		if len(out) == 0 {
			rebalance(p, g, out, stableFor)
		}
	}
	return out
}
