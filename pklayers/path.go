package pklayers

import (
	"time"

	"peridotknot.example/pkid"
)

// Engine is one engine in the search for a path.
type Engine struct {
	ID         pkid.TargetID
	DataCenter pkid.DataCenter
	Kind       pkid.AcceleratorKind
	Held       pkid.Range
	// Cost is the time that one layer takes for one token under the present load.
	Cost time.Duration
	// QueueDelay is the time that a token waits before the engine processes it.
	QueueDelay time.Duration
	// NotFirst excludes the engine as the first of a path; others may pass requests on to it.
	NotFirst bool
}

// Stage is an engine and the layers that it runs on a path.
type Stage struct {
	ID     pkid.TargetID
	Layers pkid.Range
}

// Costs are the costs of passing from one engine to another.
type Costs struct {
	// Hop is added for each engine after the first.
	Hop time.Duration
	// MaxCost is the highest cost of a path that is accepted; zero sets no bound.
	MaxCost time.Duration
	// Crossing returns the cost of passing between two data centres.
	Crossing func(from, to pkid.DataCenter) time.Duration
	// Reach returns the cost of reaching a first engine outside the home data centre; if nil,
	// Crossing is used.
	Reach func(from, to pkid.DataCenter) time.Duration
}

// reach returns the cost of reaching the first engine.
func (c Costs) reach(home, to pkid.DataCenter) time.Duration {
	if c.Reach == nil {
		return crossing(c, home, to)
	}
	if home == to || home == "" {
		return 0
	}
	return c.Reach(home, to)
}

// Path lists the engines that a request passes through; Cost is the time per token.
type Path struct {
	Stages []Stage
	Cost   time.Duration
}

// maxStages is how many engines may be on a path; engines refuse longer ones.
const maxStages = 32

// Find returns the cheapest path over a span of layers for requests from a home data centre; an
// empty home is at no distance from any engine.
//
// Paths change engines only where some engine's range begins or ends: between two such boundaries
// the set of engines is the same, and a change would only add a hop.
func Find(span pkid.Range, engines []Engine, c Costs, home pkid.DataCenter) (Path, bool) {
	s := newSearch(span, pruneDominated(engines), c, home)
	if s == nil {
		return Path{}, false
	}
	s.solve()
	if p, found := s.cheapestPath(); found || !s.revisited {
		return p, found
	}
	// An engine pruned as dominated may serve layers without visiting another engine twice.
	s = newSearch(span, engines, c, home)
	s.solve()
	return s.cheapestPath()
}

// pruneDominated leaves out engines for which another of the same data centre holds the same layers
// at no higher cost. Pools of thousands of engines have only hundreds of distinct ranges, so most
// engines are left out.
func pruneDominated(engines []Engine) []Engine {
	type location struct {
		dataCenter pkid.DataCenter
		held       pkid.Range
	}
	kept := make([]Engine, 0, min(len(engines), prunedSizeHint))
	// first is the head of the list of kept engines at each location, next links each to the one
	// after it.
	first := make(map[location]int32, min(len(engines), prunedSizeHint))
	next := make([]int32, 0, min(len(engines), prunedSizeHint))
	for i := range engines {
		e := &engines[i]
		loc := location{e.DataCenter, e.Held}
		head, known := first[loc]
		if !known {
			head = -1
		}
		if at, dominates := findDominance(kept, next, head, e); at >= 0 {
			if dominates {
				kept[at] = *e
			}
			continue
		}
		first[loc] = int32(len(kept))
		next = append(next, head)
		kept = append(kept, *e)
	}
	return kept
}

// prunedSizeHint preallocates for the number of engines kept in most pools.
const prunedSizeHint = 512

// findDominance returns the index of a kept engine at e's location that dominates e, or that e
// dominates, in which case dominates is set; the index is negative if there is none.
func findDominance(kept []Engine, next []int32, head int32, e *Engine) (i int32, dominates bool) {
	for i = head; i >= 0; i = next[i] {
		other := &kept[i]
		switch {
		case e.Cost >= other.Cost && e.QueueDelay >= other.QueueDelay && (e.NotFirst || !other.NotFirst):
			return i, false
		case e.Cost <= other.Cost && e.QueueDelay <= other.QueueDelay && (other.NotFirst || !e.NotFirst):
			return i, true
		}
	}
	return -1, false
}
