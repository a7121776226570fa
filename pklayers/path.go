package pklayers

import (
	"cmp"
	"slices"
	"time"

	"peridotknot.example/pkid"
)

// Engine is one engine as the search for a path sees it.
type Engine struct {
	ID         pkid.TargetID
	DataCenter pkid.DataCenter
	Kind       pkid.Kind
	Held       pkid.Range
	// Cost is the time that one layer takes for one token under the present load.
	Cost time.Duration
	// Enter is the time that a token waits before the engine takes it up.
	Enter time.Duration
}

// Part is one engine's part of a path.
type Part struct {
	ID     pkid.TargetID
	Layers pkid.Range
}

// Costs are what it takes to pass from one engine to another.
type Costs struct {
	// Hop is added for each engine after the first.
	Hop time.Duration
	// Most is the cost from which on a path counts as none; zero sets no bound.
	Most time.Duration
	// Crossing returns what is added for passing between two data centres.
	Crossing func(from, to pkid.DataCenter) time.Duration
	// Reach returns what is added for the first engine where it is in another data centre
	// than home; nil counts as Crossing.
	Reach func(from, to pkid.DataCenter) time.Duration
}

// reach returns what it takes to come to the first engine.
func (c Costs) reach(home, to pkid.DataCenter) time.Duration {
	if c.Reach == nil {
		return crossing(c, home, to)
	}
	if home == to || home == "" {
		return 0
	}
	return c.Reach(home, to)
}

// Path is the parts that a request passes through, and what a token takes.
type Path struct {
	Parts []Part
	Cost  time.Duration
}

// maxParts is how many parts engines accept in a path.
const maxParts = 32

// step is the cheapest way to stand in an engine at a cut.
type step struct {
	cost  time.Duration
	from  int // the engine at the cut before, or -1
	parts int
	known bool
}

// Find returns the cheapest path over a span of layers that is reached from a data
// centre; an empty one counts as near to all.
//
// Paths change engines only where some engine's range begins or ends: between two
// such cuts the same engines are there to be had, so a change would only add a hop.
func Find(span pkid.Range, engines []Engine, c Costs, home pkid.DataCenter) (Path, bool) {
	cuts := cutsOf(span, engines)
	if len(cuts) < 2 {
		return Path{}, false
	}
	table := make([][]step, len(cuts)-1)
	for i := range table {
		table[i] = stepsAt(table, i, pkid.Range{First: cuts[i], End: cuts[i+1]}, engines, c, home)
	}
	return trace(table, cuts, engines, c)
}

func cutsOf(span pkid.Range, engines []Engine) []pkid.Layer {
	cuts := make([]pkid.Layer, 0, 2*len(engines)+2)
	cuts = append(cuts, span.First, span.End)
	for i := range engines {
		for _, l := range []pkid.Layer{engines[i].Held.First, engines[i].Held.End} {
			if span.First < l && l < span.End {
				cuts = append(cuts, l)
			}
		}
	}
	slices.Sort(cuts)
	return slices.Compact(cuts)
}

// stepsAt returns the cheapest step into each engine for one run of layers.
func stepsAt(table [][]step, i int, run pkid.Range, engines []Engine, c Costs, home pkid.DataCenter) []step {
	out := make([]step, len(engines))
	var best map[pkid.DataCenter]int
	if i > 0 {
		best = cheapest(table[i-1], engines)
	}
	for e := range engines {
		one := &engines[e]
		if one.Held.First > run.First || one.Held.End < run.End {
			continue
		}
		work := time.Duration(run.Len()) * one.Cost
		if i == 0 {
			out[e] = step{cost: one.Enter + work + c.reach(home, one.DataCenter), from: -1, parts: 1, known: true}
			continue
		}
		if s := table[i-1][e]; s.known {
			out[e] = step{cost: s.cost + work, from: e, parts: s.parts, known: true}
		}
		for dc, from := range best {
			s := table[i-1][from]
			cost := s.cost + one.Enter + work + c.Hop + crossing(c, dc, one.DataCenter)
			if from != e && s.parts < maxParts && (!out[e].known || cost < out[e].cost) {
				out[e] = step{cost: cost, from: from, parts: s.parts + 1, known: true}
			}
		}
	}
	return out
}

// cheapest returns the cheapest engine of each data centre.
func cheapest(row []step, engines []Engine) map[pkid.DataCenter]int {
	best := map[pkid.DataCenter]int{}
	for e := range row {
		if !row[e].known {
			continue
		}
		dc := engines[e].DataCenter
		if old, found := best[dc]; !found || row[e].cost < row[old].cost {
			best[dc] = e
		}
	}
	return best
}

func crossing(c Costs, from, to pkid.DataCenter) time.Duration {
	if from == to || from == "" || c.Crossing == nil {
		return 0
	}
	return c.Crossing(from, to)
}

// trace walks back from the cheapest end. A path that leaves an engine and comes
// back to it is refused by engines, so it counts as none.
func trace(table [][]step, cuts []pkid.Layer, engines []Engine, c Costs) (Path, bool) {
	last := table[len(table)-1]
	ends := make([]int, 0, len(last))
	for e := range last {
		if last[e].known {
			ends = append(ends, e)
		}
	}
	slices.SortFunc(ends, func(a, b int) int { return cmp.Compare(last[a].cost, last[b].cost) })
	for _, end := range ends {
		if c.Most > 0 && last[end].cost > c.Most {
			break
		}
		if parts, ok := walk(table, cuts, engines, end); ok {
			return Path{Parts: parts, Cost: last[end].cost}, true
		}
	}
	return Path{}, false
}

func walk(table [][]step, cuts []pkid.Layer, engines []Engine, end int) ([]Part, bool) {
	var parts []Part
	seen := map[int]bool{}
	at := end
	for i := len(table) - 1; i >= 0; i-- {
		n := len(parts)
		if n > 0 && parts[n-1].ID == engines[at].ID {
			parts[n-1].Layers.First = cuts[i]
		} else {
			if seen[at] {
				return nil, false
			}
			seen[at] = true
			parts = append(parts, Part{ID: engines[at].ID, Layers: pkid.Range{First: cuts[i], End: cuts[i+1]}})
		}
		at = table[i][at].from
	}
	slices.Reverse(parts)
	return parts, true
}
