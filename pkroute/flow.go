package pkroute

import (
	"math"

	"peridotknot.example/pkid"
	"peridotknot.example/pktarget"
)

// Flow returns the most that can pass through chains of the plan when each
// target can pass what capacity says: the maximum flow from layer 0 to the last
// layer. With tokens a second it is the bound on throughput, with batch slots
// the number of requests that can run at once.
func (p *Plan) Flow(capacity func(*pktarget.Target) float64) float64 {
	ranges := map[pkid.Range]float64{}
	for i := range p.spans {
		s := &p.spans[i]
		for _, t := range s.targets {
			ranges[s.layers] += capacity(t)
		}
	}
	return MaxFlow(ranges, p.Want.Layers)
}

// MaxFlow returns the most that can pass from layer 0 to the last of layers
// when each range can pass what ranges says.
func MaxFlow(ranges map[pkid.Range]float64, layers pkid.Layer) float64 {
	g := graph{}
	for r, capacity := range ranges {
		g.add(r, capacity)
	}
	total := 0.0
	for {
		more := g.augment(0, layers, math.Inf(1), map[pkid.Layer]bool{})
		if more <= 0 {
			return total
		}
		total += more
	}
}

// graph is layer boundaries with what may still pass between them.
type graph map[pkid.Layer]map[pkid.Layer]float64

func (g graph) add(layers pkid.Range, capacity float64) {
	for _, at := range []pkid.Layer{layers.First, layers.End} {
		if g[at] == nil {
			g[at] = map[pkid.Layer]float64{}
		}
	}
	g[layers.First][layers.End] += capacity
}

// augment pushes up to limit from one boundary to another and returns how much
// passed.
func (g graph) augment(from, to pkid.Layer, limit float64, seen map[pkid.Layer]bool) float64 {
	if from == to {
		return limit
	}
	seen[from] = true
	for next, room := range g[from] {
		if room <= 0 || seen[next] {
			continue
		}
		if passed := g.augment(next, to, min(limit, room), seen); passed > 0 {
			g[from][next] -= passed
			g[next][from] += passed
			return passed
		}
	}
	return 0
}
