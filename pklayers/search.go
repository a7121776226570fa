package pklayers

import (
	"cmp"
	"slices"
	"time"

	"peridotknot.example/pkid"
)

// state is the cheapest way to reach an engine at a segment.
type state struct {
	engine int32
	prev   int32 // the engine at the previous segment, or -1
	stages int32
	cost   time.Duration
}

// search is one search for a path by dynamic programming over segments of layers. It visits each
// engine only in the segments that it holds, so the work grows with the number of layers held by
// all engines together.
type search struct {
	engines []Engine
	costs   Costs
	home    pkid.DataCenter
	// boundaries are where ranges begin or end; segment i lies between the boundaries i and i+1.
	boundaries []pkid.Layer
	// holders are the engines of each segment, table the states of those that can be reached, in
	// the same order.
	holders [][]int32
	table   [][]state
	// previous is the state of each engine at the previous segment; it has no stages if there is
	// none.
	previous []state
	// dataCenterOf is the data centre of each engine as an index into dataCenters.
	dataCenterOf []int
	dataCenters  []pkid.DataCenter
	// crossings caches the costs between data centres; negative if not yet computed.
	crossings []time.Duration
	// revisited is set if a path that visits an engine twice was dropped because it costs too much
	// without the detour.
	revisited bool
}

// newSearch prepares a search; it returns nil if the span is empty.
func newSearch(span pkid.Range, engines []Engine, c Costs, home pkid.DataCenter) *search {
	s := &search{engines: engines, costs: c, home: home, boundaries: boundariesOf(span, engines)}
	if len(s.boundaries) < 2 {
		return nil
	}
	s.holders = make([][]int32, len(s.boundaries)-1)
	s.table = make([][]state, len(s.boundaries)-1)
	s.previous = make([]state, len(engines))
	s.dataCenterOf = make([]int, len(engines))
	for e := range engines {
		s.dataCenterOf[e] = s.dataCenterIndex(engines[e].DataCenter)
	}
	s.indexHolders(span)
	s.crossings = make([]time.Duration, len(s.dataCenters)*len(s.dataCenters))
	for i := range s.crossings {
		s.crossings[i] = -1
	}
	return s
}

func boundariesOf(span pkid.Range, engines []Engine) []pkid.Layer {
	if span.Len() <= 0 {
		return nil
	}
	isBoundary := make([]bool, span.Len()+1)
	isBoundary[0], isBoundary[span.Len()] = true, true
	for i := range engines {
		for _, l := range [...]pkid.Layer{engines[i].Held.First, engines[i].Held.End} {
			if span.First < l && l < span.End {
				isBoundary[l-span.First] = true
			}
		}
	}
	out := make([]pkid.Layer, 0, len(isBoundary))
	for i, boundary := range isBoundary {
		if boundary {
			out = append(out, span.First+pkid.Layer(i))
		}
	}
	return out
}

// dataCenterIndex returns the index of a data centre and adds it if it is new.
func (s *search) dataCenterIndex(dc pkid.DataCenter) int {
	index := slices.Index(s.dataCenters, dc)
	if index < 0 {
		index = len(s.dataCenters)
		s.dataCenters = append(s.dataCenters, dc)
	}
	return index
}

// indexHolders records which engines hold each segment.
func (s *search) indexHolders(span pkid.Range) {
	segmentAt := make([]int32, span.Len()+1) // the first segment that begins at a layer or after it
	for i, segment := len(segmentAt)-1, len(s.boundaries)-1; i >= 0; i-- {
		if segment > 0 && s.boundaries[segment-1] >= span.First+pkid.Layer(i) {
			segment--
		}
		segmentAt[i] = int32(segment)
	}
	segmentsOf := func(e int) (from, to int32) {
		held := s.engines[e].Held
		from, to = segmentAt[min(max(held.First, span.First), span.End)-span.First], 0
		if held.End > span.First {
			to = segmentAt[min(held.End, span.End)-span.First]
		}
		return from, max(from, to)
	}
	counts := make([]int, len(s.holders)+1)
	for e := range s.engines {
		for from, to := segmentsOf(e); from < to; from++ {
			counts[from]++
		}
	}
	all, states := make([]int32, sum(counts)), make([]state, sum(counts))
	for i := range s.holders {
		s.holders[i], all = all[:0:counts[i]], all[counts[i]:]
		s.table[i], states = states[:0:counts[i]], states[counts[i]:]
	}
	for e := range s.engines {
		for from, to := segmentsOf(e); from < to; from++ {
			s.holders[from] = append(s.holders[from], int32(e))
		}
	}
}

func sum(counts []int) int {
	n := 0
	for _, count := range counts {
		n += count
	}
	return n
}

// solve computes the cheapest state of each engine, segment by segment.
func (s *search) solve() {
	var best []state
	for i := range s.table {
		if i > 0 {
			best = s.cheapestByDataCenter(s.table[i-1])
		}
		for _, e := range s.holders[i] {
			if st, found := s.cheapestInto(e, i, best); found {
				s.table[i] = append(s.table[i], st)
			}
		}
		s.advance(i)
	}
}

// advance makes the states of a segment the previous ones of the next.
func (s *search) advance(i int) {
	for _, e := range s.holders[i] {
		s.previous[e].stages = 0
	}
	for _, st := range s.table[i] {
		s.previous[st.engine] = st
	}
}

// cheapestInto returns the cheapest state of an engine at a segment, where best are the cheapest
// states of the previous segment by data centre.
func (s *search) cheapestInto(e int32, i int, best []state) (state, bool) {
	engine := &s.engines[e]
	work := time.Duration(s.boundaries[i+1]-s.boundaries[i]) * engine.Cost
	if i == 0 {
		return state{engine: e, prev: -1, stages: 1, cost: engine.QueueDelay + work + s.costs.reach(s.home, engine.DataCenter)}, !engine.NotFirst
	}
	var out state
	if stay := s.previous[e]; stay.stages > 0 && engine.Held.First <= s.boundaries[i-1] {
		out = state{engine: e, prev: e, stages: stay.stages, cost: stay.cost + work}
	}
	for dc := range best {
		b := &best[dc]
		if b.stages == 0 || b.stages >= maxStages || b.engine == e {
			continue
		}
		cost := b.cost + engine.QueueDelay + work + s.costs.Hop + s.crossing(dc, s.dataCenterOf[e])
		if out.stages == 0 || cost < out.cost {
			out = state{engine: e, prev: b.engine, stages: b.stages + 1, cost: cost}
		}
	}
	return out, out.stages > 0
}

// cheapestByDataCenter returns the cheapest state by data centre; a state without stages means that
// there is none.
func (s *search) cheapestByDataCenter(states []state) []state {
	best := make([]state, len(s.dataCenters))
	for _, st := range states {
		if current := &best[s.dataCenterOf[st.engine]]; current.stages == 0 || st.cost < current.cost {
			*current = st
		}
	}
	return best
}

func (s *search) crossing(from, to int) time.Duration {
	known := &s.crossings[from*len(s.dataCenters)+to]
	if *known < 0 {
		*known = crossing(s.costs, s.dataCenters[from], s.dataCenters[to])
	}
	return *known
}

func crossing(c Costs, from, to pkid.DataCenter) time.Duration {
	if from == to || from == "" || c.Crossing == nil {
		return 0
	}
	return c.Crossing(from, to)
}

// cheapestPath backtracks from the final states in order of cost.
func (s *search) cheapestPath() (Path, bool) {
	ends := slices.Clone(s.table[len(s.table)-1])
	slices.SortStableFunc(ends, func(a, b state) int { return cmp.Compare(a.cost, b.cost) })
	var best Path
	for _, end := range ends {
		if s.costs.MaxCost > 0 && end.cost > s.costs.MaxCost {
			break
		}
		if len(best.Stages) > 0 && end.cost >= best.Cost {
			break
		}
		p := s.backtrack(end)
		if s.costs.MaxCost > 0 && p.Cost > s.costs.MaxCost {
			s.revisited = true
			continue
		}
		if len(best.Stages) == 0 || p.Cost < best.Cost {
			best = p
		}
	}
	return best, len(best.Stages) > 0
}

// backtrack returns the path to a final state. Engines refuse a path that visits an engine twice.
// That engine holds all layers in between, so the path stays on it.
func (s *search) backtrack(end state) Path {
	var stages []Stage
	var visited []int32
	revisited := false
	e := end.engine
	for i := len(s.table) - 1; i >= 0; i-- {
		if k := slices.Index(visited, e); k >= 0 {
			revisited = revisited || k < len(visited)-1
			stages, visited = stages[:k+1], visited[:k+1]
			stages[k].Layers.First = s.boundaries[i]
		} else {
			visited = append(visited, e)
			stages = append(stages, Stage{ID: s.engines[e].ID, Layers: pkid.Range{First: s.boundaries[i], End: s.boundaries[i+1]}})
		}
		e = s.predecessor(i, e)
	}
	slices.Reverse(stages)
	if !revisited {
		return Path{Stages: stages, Cost: end.cost}
	}
	slices.Reverse(visited)
	return Path{Stages: stages, Cost: s.cost(stages, visited)}
}

// cost returns the time of a token over the stages, each at the engine of the same index.
func (s *search) cost(stages []Stage, engines []int32) time.Duration {
	sum := s.costs.reach(s.home, s.engines[engines[0]].DataCenter)
	for i, e := range engines {
		engine := &s.engines[e]
		sum += engine.QueueDelay + time.Duration(stages[i].Layers.Len())*engine.Cost
		if i > 0 {
			sum += s.costs.Hop + s.crossing(s.dataCenterOf[engines[i-1]], s.dataCenterOf[e])
		}
	}
	return sum
}

// predecessor returns the engine that the cheapest state of an engine at a segment was reached
// from.
func (s *search) predecessor(i int, e int32) int32 {
	index, _ := slices.BinarySearchFunc(s.table[i], e, func(st state, e int32) int { return cmp.Compare(st.engine, e) })
	return s.table[i][index].prev
}
