package pklayers

import (
	"cmp"
	"slices"
	"time"

	"peridotknot.example/pkid"
)

// step is the cheapest way to stand in an engine at a cut.
type step struct {
	engine int32
	from   int32 // the engine at the cut before, or -1
	parts  int32
	cost   time.Duration
}

// search is one search for a path. It looks at each engine only in the runs of layers that it
// holds, so that its work grows with the layers that the engines of a pool hold together.
type search struct {
	engines []Engine
	costs   Costs
	home    pkid.DataCenter
	// cuts are where ranges begin or end; run i lies between the cuts i and i+1.
	cuts []pkid.Layer
	// holders are the engines of each run, table the steps into them, in the same order.
	holders [][]int32
	table   [][]step
	// last is the step into each engine at the newest run, if it holds the run before.
	last []step
	// centers is the data centre of each engine as a number, names their names.
	centers []int
	names   []pkid.DataCenter
	// crossings are costs between data centres that have been asked for; negative otherwise.
	crossings []time.Duration
	// returned says that a way which came back to an engine that it had left costs too much without
	// that.
	returned bool
}

// newSearch prepares a search; nil where no engine holds a part of the span.
func newSearch(span pkid.Range, engines []Engine, c Costs, home pkid.DataCenter) *search {
	s := &search{engines: engines, costs: c, home: home, cuts: cutsOf(span, engines)}
	if len(s.cuts) < 2 {
		return nil
	}
	s.holders = make([][]int32, len(s.cuts)-1)
	s.table = make([][]step, len(s.cuts)-1)
	s.last = make([]step, len(engines))
	s.centers = make([]int, len(engines))
	for e := range engines {
		s.centers[e] = s.center(engines[e].DataCenter)
	}
	s.hold(span)
	s.crossings = make([]time.Duration, len(s.names)*len(s.names))
	for i := range s.crossings {
		s.crossings[i] = -1
	}
	return s
}

func cutsOf(span pkid.Range, engines []Engine) []pkid.Layer {
	if span.Len() <= 0 {
		return nil
	}
	is := make([]bool, span.Len()+1)
	is[0], is[span.Len()] = true, true
	for i := range engines {
		for _, l := range [...]pkid.Layer{engines[i].Held.First, engines[i].Held.End} {
			if span.First < l && l < span.End {
				is[l-span.First] = true
			}
		}
	}
	cuts := make([]pkid.Layer, 0, len(is))
	for i, cut := range is {
		if cut {
			cuts = append(cuts, span.First+pkid.Layer(i))
		}
	}
	return cuts
}

// center returns the number of a data centre; there are few.
func (s *search) center(dc pkid.DataCenter) int {
	at := slices.Index(s.names, dc)
	if at < 0 {
		at = len(s.names)
		s.names = append(s.names, dc)
	}
	return at
}

// hold notes which engines hold each run.
func (s *search) hold(span pkid.Range) {
	runOf := make([]int32, span.Len()+1) // the first run that begins at a layer or after it
	for i, run := len(runOf)-1, len(s.cuts)-1; i >= 0; i-- {
		if run > 0 && s.cuts[run-1] >= span.First+pkid.Layer(i) {
			run--
		}
		runOf[i] = int32(run)
	}
	runs := func(e int) (from, to int32) {
		held := s.engines[e].Held
		from, to = runOf[min(max(held.First, span.First), span.End)-span.First], 0
		if held.End > span.First {
			to = runOf[min(held.End, span.End)-span.First]
		}
		return from, max(from, to)
	}
	counts := make([]int, len(s.holders)+1)
	for e := range s.engines {
		for from, to := runs(e); from < to; from++ {
			counts[from]++
		}
	}
	all, steps := make([]int32, sum(counts)), make([]step, sum(counts))
	for i := range s.holders {
		s.holders[i], all = all[:0:counts[i]], all[counts[i]:]
		s.table[i], steps = steps[:0:counts[i]], steps[counts[i]:]
	}
	for e := range s.engines {
		for from, to := runs(e); from < to; from++ {
			s.holders[from] = append(s.holders[from], int32(e))
		}
	}
}

func sum(counts []int) int {
	n := 0
	for _, one := range counts {
		n += one
	}
	return n
}

// run finds the cheapest step into each engine, run by run.
func (s *search) run() {
	var best []step
	for i := range s.table {
		if i > 0 {
			best = s.bestOf(s.table[i-1])
		}
		for _, e := range s.holders[i] {
			if one, found := s.into(e, i, best); found {
				s.table[i] = append(s.table[i], one)
			}
		}
		s.settle(i)
	}
}

// settle keeps the steps of a run for the next.
func (s *search) settle(i int) {
	for _, e := range s.holders[i] {
		s.last[e].parts = 0
	}
	for _, one := range s.table[i] {
		s.last[one.engine] = one
	}
}

// into returns the cheapest step into an engine at a run, where best are those of the run before
// by data centre.
func (s *search) into(e int32, i int, best []step) (step, bool) {
	one := &s.engines[e]
	work := time.Duration(s.cuts[i+1]-s.cuts[i]) * one.Cost
	if i == 0 {
		return step{engine: e, from: -1, parts: 1, cost: one.Enter + work + s.costs.reach(s.home, one.DataCenter)}, true
	}
	var out step
	if before := s.last[e]; before.parts > 0 && one.Held.First <= s.cuts[i-1] {
		out = step{engine: e, from: e, parts: before.parts, cost: before.cost + work}
	}
	for dc := range best {
		b := &best[dc]
		if b.parts == 0 || b.parts >= maxParts || b.engine == e {
			continue
		}
		cost := b.cost + one.Enter + work + s.costs.Hop + s.crossing(dc, s.centers[e])
		if out.parts == 0 || cost < out.cost {
			out = step{engine: e, from: b.engine, parts: b.parts + 1, cost: cost}
		}
	}
	return out, out.parts > 0
}

// bestOf returns the cheapest step of a run by data centre; one without parts is none.
func (s *search) bestOf(steps []step) []step {
	best := make([]step, len(s.names))
	for _, one := range steps {
		if old := &best[s.centers[one.engine]]; old.parts == 0 || one.cost < old.cost {
			*old = one
		}
	}
	return best
}

func (s *search) crossing(from, to int) time.Duration {
	known := &s.crossings[from*len(s.names)+to]
	if *known < 0 {
		*known = crossing(s.costs, s.names[from], s.names[to])
	}
	return *known
}

func crossing(c Costs, from, to pkid.DataCenter) time.Duration {
	if from == to || from == "" || c.Crossing == nil {
		return 0
	}
	return c.Crossing(from, to)
}

// cheapest walks back from the cheapest ends.
func (s *search) cheapest() (Path, bool) {
	ends := slices.Clone(s.table[len(s.table)-1])
	slices.SortStableFunc(ends, func(a, b step) int { return cmp.Compare(a.cost, b.cost) })
	var best Path
	for _, end := range ends {
		if s.costs.Most > 0 && end.cost > s.costs.Most {
			break
		}
		if len(best.Parts) > 0 && end.cost >= best.Cost {
			break
		}
		p := s.walk(end)
		if s.costs.Most > 0 && p.Cost > s.costs.Most {
			s.returned = true
			continue
		}
		if len(best.Parts) == 0 || p.Cost < best.Cost {
			best = p
		}
	}
	return best, len(best.Parts) > 0
}

// walk returns the path to an end. Engines refuse a path that leaves one and comes back to it; such
// an engine holds all layers between, and keeps them.
func (s *search) walk(end step) Path {
	var parts []Part
	var seen []int32
	returned := false
	at := end.engine
	for i := len(s.table) - 1; i >= 0; i-- {
		if k := slices.Index(seen, at); k >= 0 {
			returned = returned || k < len(seen)-1
			parts, seen = parts[:k+1], seen[:k+1]
			parts[k].Layers.First = s.cuts[i]
		} else {
			seen = append(seen, at)
			parts = append(parts, Part{ID: s.engines[at].ID, Layers: pkid.Range{First: s.cuts[i], End: s.cuts[i+1]}})
		}
		at = s.before(i, at)
	}
	slices.Reverse(parts)
	if !returned {
		return Path{Parts: parts, Cost: end.cost}
	}
	slices.Reverse(seen)
	return Path{Parts: parts, Cost: s.cost(parts, seen)}
}

// cost returns what a token takes over parts, each at an engine.
func (s *search) cost(parts []Part, engines []int32) time.Duration {
	sum := s.costs.reach(s.home, s.engines[engines[0]].DataCenter)
	for i, e := range engines {
		one := &s.engines[e]
		sum += one.Enter + time.Duration(parts[i].Layers.Len())*one.Cost
		if i > 0 {
			sum += s.costs.Hop + s.crossing(s.centers[engines[i-1]], s.centers[e])
		}
	}
	return sum
}

// before returns the engine from which the cheapest step leads into an engine at a run.
func (s *search) before(i int, e int32) int32 {
	at, _ := slices.BinarySearchFunc(s.table[i], e, func(one step, e int32) int { return cmp.Compare(one.engine, e) })
	return s.table[i][at].from
}
