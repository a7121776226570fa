package pklayers

import (
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

// Find returns the cheapest path over a span of layers that is reached from a data
// centre; an empty one counts as near to all.
//
// Paths change engines only where some engine's range begins or ends: between two
// such cuts the same engines are there to be had, so a change would only add a hop.
func Find(span pkid.Range, engines []Engine, c Costs, home pkid.DataCenter) (Path, bool) {
	s := newSearch(span, useful(engines), c, home)
	if s == nil {
		return Path{}, false
	}
	s.run()
	if p, found := s.cheapest(); found || !s.returned {
		return p, found
	}
	// One that was passed over as like another may take the place of an engine that is come back to.
	s = newSearch(span, engines, c, home)
	s.run()
	return s.cheapest()
}

// useful leaves out engines beside which another of the same data centre holds the same layers
// and costs no more. Pools of thousands of engines have some hundred ranges, so that most of
// their engines are left out.
func useful(engines []Engine) []Engine {
	type place struct {
		dataCenter pkid.DataCenter
		held       pkid.Range
	}
	kept := make([]Engine, 0, min(len(engines), usualUseful))
	// first is the first engine that was kept of a place, next the one after another of its place.
	first := make(map[place]int32, min(len(engines), usualUseful))
	next := make([]int32, 0, min(len(engines), usualUseful))
	for i := range engines {
		one := &engines[i]
		k := place{one.DataCenter, one.Held}
		head, known := first[k]
		if !known {
			head = -1
		}
		if at, other := compare(kept, next, head, one); at >= 0 {
			if other {
				kept[at] = *one
			}
			continue
		}
		first[k] = int32(len(kept))
		next = append(next, head)
		kept = append(kept, *one)
	}
	return kept
}

// usualUseful is how many engines are left in most pools.
const usualUseful = 512

// compare looks among the engines of one place for one that makes another needless, or that it
// makes needless, which other says; at is negative where there is none.
func compare(kept []Engine, next []int32, head int32, one *Engine) (at int32, other bool) {
	for at = head; at >= 0; at = next[at] {
		old := &kept[at]
		switch {
		case one.Cost >= old.Cost && one.Enter >= old.Enter:
			return at, false
		case one.Cost <= old.Cost && one.Enter <= old.Enter:
			return at, true
		}
	}
	return -1, false
}
