package pkroute

import (
	"math/rand/v2"
	"time"

	"peridotknot.example/pktarget"
)

// Policy is a way to choose among the targets of a range. All but the first are
// there to be compared with it.
type Policy string

// Policies.
const (
	// ByCost draws a few by rate and takes the cheapest path by step time under
	// corrected load, queue and links.
	ByCost Policy = ""
	// AtRandom takes any one target of each range, and any path.
	AtRandom Policy = "random"
	// BestOfTwo takes the one of two with fewer requests.
	BestOfTwo Policy = "best_of_two"
	// LeastConnections takes the one with fewest requests of this entry among
	// all that are drawn.
	LeastConnections Policy = "least_connections"
)

func (p Policy) draws() int {
	switch p {
	case AtRandom:
		return 1
	case BestOfTwo:
		return 2
	default:
		return drawn
	}
}

// draw returns the place of a target in a range.
func (p Policy) draw(s *span, r *rand.Rand) int {
	if p == ByCost {
		return s.draw(r.Float64())
	}
	return r.IntN(len(s.targets))
}

// cost returns what a stage costs in the eyes of the policy. The others know
// requests and not times, so a request counts as a millisecond for them.
func (p Policy) cost(t *pktarget.Target) time.Duration {
	switch p {
	case AtRandom:
		return time.Millisecond
	case BestOfTwo:
		return time.Duration(t.Load()+1) * time.Millisecond
	case LeastConnections:
		return time.Duration(t.Own()+1) * time.Millisecond
	default:
		return stageCost(t)
	}
}
