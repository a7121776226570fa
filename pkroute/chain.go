package pkroute

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pktarget"
)

// Chain is the targets that a request passes through, in the order of their layers.
type Chain struct {
	Stages []*pktarget.Target
	// StepTime is the expected time of a token through the chain.
	StepTime time.Duration
}

// ErrNoChain is returned if no usable targets cover every layer.
var ErrNoChain = errors.New("no usable targets cover every layer")

const (
	// sampleSize is how many targets are sampled for each range.
	sampleSize = 3
	// extraSamples is how many unusable or repeated samples are tolerated before the range is
	// scanned from a random position.
	extraSamples = 6
	// queueSteps is the cost of a place in an engine's queue, in quarter steps: a queued sequence
	// waits for another to end, not for a single step.
	queueSteps = 12
)

// ChooseOptions holds the options of one choice.
type ChooseOptions struct {
	Now  time.Time
	From pkid.DataCenter
	// Avoid are targets that have already failed this request.
	Avoid []pkid.TargetID
	Links LinkDelays
	Rand  *rand.Rand
	// AllowEjected also allows targets that failed recently, for when no others are left.
	AllowEjected bool
	// Policy selects among the targets of a range; the zero value is ByCost.
	Policy Policy
}

func (o *ChooseOptions) usable(t *pktarget.Target) bool {
	if o.AllowEjected && t.Leaving() || !o.AllowEjected && !t.Usable(o.Now) {
		return false
	}
	return len(o.Avoid) == 0 || !slices.Contains(o.Avoid, t.Info.ID)
}

// node is a sampled target with the cheapest path to it.
type node struct {
	target *pktarget.Target
	layers pkid.Range
	cost   time.Duration
	prev   int
}

const noNode = -1

// Choose returns the cheapest chain over sampled targets, or ErrNoChain.
func (p *Plan) Choose(opts ChooseOptions) (Chain, error) {
	var buffer [48]node
	nodes := buffer[:0]
	best := noNode
	for i := range p.spans {
		s := &p.spans[i]
		var sample [sampleSize]*pktarget.Target
		for _, t := range sample[:s.sample(&opts, sample[:opts.Policy.sampleSize()])] {
			n := node{target: t, layers: s.layers}
			if !n.relax(nodes, &opts) {
				continue
			}
			nodes = append(nodes, n)
			last := len(nodes) - 1
			if n.layers.End == p.Spec.Layers && (best == noNode || n.totalCost(&opts) < nodes[best].totalCost(&opts)) {
				best = last
			}
		}
	}
	if best == noNode {
		return Chain{}, ErrNoChain
	}
	return chainOf(nodes, best, &opts), nil
}

// relax finds the cheapest predecessor of n and reports whether n can be reached. Spans are ordered
// by their first layer, so all nodes that end where n begins are already present.
func (n *node) relax(nodes []node, opts *ChooseOptions) bool {
	nodeCost := opts.Policy.cost(n.target)
	if n.layers.First == 0 {
		n.prev = noNode
		n.cost = nodeCost + opts.Links.Delay(opts.From, n.target.Info.DataCenter)
		return true
	}
	n.prev = noNode
	for i := range nodes {
		if nodes[i].layers.End != n.layers.First {
			continue
		}
		link := opts.Links.Delay(nodes[i].target.Info.DataCenter, n.target.Info.DataCenter)
		cost := nodes[i].cost + link + nodeCost
		if n.prev == noNode || cost < n.cost {
			n.prev = i
			n.cost = cost
		}
	}
	return n.prev != noNode
}

// totalCost returns the cost including the link back to the entry.
func (n *node) totalCost(opts *ChooseOptions) time.Duration {
	return n.cost + opts.Links.Delay(n.target.Info.DataCenter, opts.From)
}

func chainOf(nodes []node, last int, opts *ChooseOptions) Chain {
	var c Chain
	for i := last; i != noNode; i = nodes[i].prev {
		c.Stages = append(c.Stages, nodes[i].target)
	}
	slices.Reverse(c.Stages)
	c.StepTime = stepTime(c.Stages, opts)
	return c
}

// stepTime returns the time of a token through the stages. It leaves out the cost of queueing:
// admission would otherwise refuse requests that can wait and still meet their deadline.
func stepTime(stages []*pktarget.Target, opts *ChooseOptions) time.Duration {
	from := opts.From
	var total time.Duration
	for _, t := range stages {
		total += t.StepTime() + opts.Links.Delay(from, t.Info.DataCenter)
		from = t.Info.DataCenter
	}
	return total + opts.Links.Delay(from, opts.From)
}

// stageCost returns the time of a step plus the cost of queueing.
func stageCost(t *pktarget.Target) time.Duration {
	step := t.StepTime()
	if queued := 1 - t.FreeSlots(); queued > 0 {
		step += time.Duration(queued) * step / 4 * queueSteps
	}
	return step
}

// sample fills out with distinct usable targets and returns how many it found.
func (s *span) sample(opts *ChooseOptions, out []*pktarget.Target) int {
	found := 0
	for range len(out) + extraSamples {
		t := s.targets[opts.Policy.sampleIndex(s, opts.Rand)]
		if !opts.usable(t) || slices.Contains(out[:found], t) {
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
	// Only unusable targets were sampled; scan for a usable one.
	start := opts.Rand.IntN(len(s.targets))
	for i := range s.targets {
		t := s.targets[(start+i)%len(s.targets)]
		if opts.usable(t) {
			out[0] = t
			return 1
		}
	}
	return 0
}
