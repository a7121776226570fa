package pkroute

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pktarget"
)

// Chain is the targets of a request in the order of their layers.
type Chain struct {
	Stages []*pktarget.Target
	// Step is the time that a token is expected to take through the chain.
	Step time.Duration
}

// ErrNoChain says that no usable targets cover every layer once.
var ErrNoChain = errors.New("no usable targets cover every layer")

const (
	// drawn is how many targets are drawn for each range.
	drawn = 3
	// extraDraws is how many unusable ones may be drawn besides, before the
	// range is searched from a random place.
	extraDraws = 6
	// queueSteps is how many steps a place in an engine's queue costs: a
	// sequence that queues waits for another to end, not for one step.
	queueSteps = 12
)

// Ask is one choice of a chain.
type Ask struct {
	Now  time.Time
	From pkid.DataCenter
	// Avoid are targets that failed this request already.
	Avoid []pkid.TargetID
	Links Links
	Rand  *rand.Rand
	// Ejected lets targets in that failed lately: the floor under ejection, for
	// when there is nothing else.
	Ejected bool
	// Policy is how targets are chosen; the zero value is by cost.
	Policy Policy
}

func (a *Ask) usable(t *pktarget.Target) bool {
	if a.Ejected && t.Leaving() || !a.Ejected && !t.Usable(a.Now) {
		return false
	}
	return len(a.Avoid) == 0 || !slices.Contains(a.Avoid, t.Info.ID)
}

// node is a drawn target with the cheapest path that leads to it.
type node struct {
	target *pktarget.Target
	layers pkid.Range
	cost   time.Duration
	before int
}

const nobody = -1

// Choose returns the cheapest chain among drawn targets.
func (p *Plan) Choose(a Ask) (Chain, error) {
	var room [48]node
	nodes := room[:0]
	best := nobody
	for i := range p.spans {
		s := &p.spans[i]
		var picks [drawn]*pktarget.Target
		for _, t := range picks[:s.pick(&a, picks[:a.Policy.draws()])] {
			n := node{target: t, layers: s.layers}
			if !n.join(nodes, &a) {
				continue
			}
			nodes = append(nodes, n)
			last := len(nodes) - 1
			if n.layers.End == p.Want.Layers && (best == nobody || n.back(&a) < nodes[best].back(&a)) {
				best = last
			}
		}
	}
	if best == nobody {
		return Chain{}, ErrNoChain
	}
	return chainOf(nodes, best, &a), nil
}

// join finds the cheapest way to reach n and says whether there is one. Spans
// are in order of their first layer, so whatever ends where n begins is there.
func (n *node) join(nodes []node, a *Ask) bool {
	own := a.Policy.cost(n.target)
	if n.layers.First == 0 {
		n.before = nobody
		n.cost = own + a.Links.Time(a.From, n.target.Info.DataCenter)
		return true
	}
	n.before = nobody
	for i := range nodes {
		if nodes[i].layers.End != n.layers.First {
			continue
		}
		link := a.Links.Time(nodes[i].target.Info.DataCenter, n.target.Info.DataCenter)
		cost := nodes[i].cost + link + own
		if n.before == nobody || cost < n.cost {
			n.before = i
			n.cost = cost
		}
	}
	return n.before != nobody
}

// back returns the cost with the way back to the entry.
func (n *node) back(a *Ask) time.Duration {
	return n.cost + a.Links.Time(n.target.Info.DataCenter, a.From)
}

func chainOf(nodes []node, last int, a *Ask) Chain {
	var c Chain
	for i := last; i != nobody; i = nodes[i].before {
		c.Stages = append(c.Stages, nodes[i].target)
	}
	slices.Reverse(c.Stages)
	c.Step = stepTime(c.Stages, a)
	return c
}

// stepTime is what a token takes. It is not the cost of the path: that holds
// what queueing would add for a newcomer, and a deadline judged by it would
// refuse requests that only have to wait their turn.
func stepTime(stages []*pktarget.Target, a *Ask) time.Duration {
	at := a.From
	var sum time.Duration
	for _, t := range stages {
		sum += t.StepTime() + a.Links.Time(at, t.Info.DataCenter)
		at = t.Info.DataCenter
	}
	return sum + a.Links.Time(at, a.From)
}

// stageCost is the time of a step, with what queueing would add.
func stageCost(t *pktarget.Target) time.Duration {
	step := t.StepTime()
	if short := 1 - t.Room(); short > 0 {
		step += time.Duration(short) * step / 4 * queueSteps
	}
	return step
}

// pick fills out with different usable targets and returns how many it found.
func (s *span) pick(a *Ask, out []*pktarget.Target) int {
	found := 0
	for range len(out) + extraDraws {
		t := s.targets[a.Policy.draw(s, a.Rand)]
		if !a.usable(t) || slices.Contains(out[:found], t) {
			continue
		}
		out[found] = t
		found++
		if found == len(out) {
			return found
		}
	}
	if found > 0 {
		return found
	}
	// So many draws without a usable target mean that most are gone; only
	// then is the range searched, or the last good one would not be found.
	start := a.Rand.IntN(len(s.targets))
	for i := range s.targets {
		t := s.targets[(start+i)%len(s.targets)]
		if a.usable(t) {
			out[0] = t
			return 1
		}
	}
	return 0
}
