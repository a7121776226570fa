package pklayers

import (
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
	// The cheapest ways came back to an engine that they had left. One that was passed over as
	// like another may take its place.
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
	kept := make([]Engine, 0, len(engines))
	at := make(map[place][]int, len(engines))
	for i := range engines {
		one := &engines[i]
		k := place{one.DataCenter, one.Held}
		worse := func(j int) bool { return one.Cost >= kept[j].Cost && one.Enter >= kept[j].Enter }
		if slices.ContainsFunc(at[k], worse) {
			continue
		}
		better := slices.IndexFunc(at[k], func(j int) bool { return one.Cost <= kept[j].Cost && one.Enter <= kept[j].Enter })
		if better >= 0 {
			kept[at[k][better]] = *one
			continue
		}
		at[k] = append(at[k], len(kept))
		kept = append(kept, *one)
	}
	return kept
}
