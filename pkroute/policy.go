package pkroute

import (
	"math/rand/v2"
	"time"

	"peridotknot.example/pktarget"
)

// Policy is a way to choose among the targets of a range. All but ByCost exist for comparison.
type Policy string

// Policies by their names in the settings.
const (
	// ByCost samples a few targets by rate and takes the cheapest path by step time under the
	// corrected load, queueing and links.
	ByCost Policy = ""
	// Random takes a random target of each range.
	Random Policy = "random"
	// BestOfTwo takes the one of two random targets with fewer requests.
	BestOfTwo Policy = "best_of_two"
	// LeastConnections takes the sampled target with the fewest requests of this entry.
	LeastConnections Policy = "least_connections"
)

func (p Policy) sampleSize() int {
	switch p {
	case Random:
		return 1
	case BestOfTwo:
		return 2
	default:
		return sampleSize
	}
}

// sampleIndex returns the index of a sampled target of a range.
func (p Policy) sampleIndex(s *span, r *rand.Rand) int {
	if p == ByCost {
		return s.sampleByRate(r.Float64())
	}
	return r.IntN(len(s.targets))
}

// cost returns the cost of a stage under the policy. Policies that compare numbers of requests
// count each as a millisecond.
func (p Policy) cost(t *pktarget.Target) time.Duration {
	switch p {
	case Random:
		return time.Millisecond
	case BestOfTwo:
		return time.Duration(t.Load()+1) * time.Millisecond
	case LeastConnections:
		return time.Duration(t.OwnRequests()+1) * time.Millisecond
	default:
		return stageCost(t)
	}
}
