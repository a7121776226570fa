package pkroute

import (
	"math"

	"peridotknot.example/pkid"
	"peridotknot.example/pktarget"
)

// Flow returns the maximum flow from layer 0 to the last layer, where each target has the given
// capacity. With tokens a second it bounds the throughput, with batch slots the number of requests
// that can run at once.
func (p *Plan) Flow(capacity func(*pktarget.Target) float64) float64 {
	capacities := map[pkid.Range]float64{}
	for i := range p.spans {
		s := &p.spans[i]
		for _, t := range s.targets {
			capacities[s.layers] += capacity(t)
		}
	}
	return MaxFlow(capacities, p.Spec.Layers)
}

// MaxFlow returns the maximum flow from layer 0 to the last of layers over ranges with the given
// capacities.
func MaxFlow(capacities map[pkid.Range]float64, layers pkid.Layer) float64 {
	g := graph{}
	for r, capacity := range capacities {
		g.add(r, capacity)
	}
	total := 0.0
	for {
		pushed := g.augment(0, layers, math.Inf(1), map[pkid.Layer]bool{})
		if pushed <= 0 {
			return total
		}
		total += pushed
	}
}

// graph is the residual capacity between layer boundaries.
type graph map[pkid.Layer]map[pkid.Layer]float64

func (g graph) add(layers pkid.Range, capacity float64) {
	for _, at := range []pkid.Layer{layers.First, layers.End} {
		if g[at] == nil {
			g[at] = map[pkid.Layer]float64{}
		}
	}
	g[layers.First][layers.End] += capacity
}

// augment pushes up to limit along a path from one boundary to another and returns the amount
// pushed.
func (g graph) augment(from, to pkid.Layer, limit float64, seen map[pkid.Layer]bool) float64 {
	if from == to {
		return limit
	}
	seen[from] = true
	for next, residual := range g[from] {
		if residual <= 0 || seen[next] {
			continue
		}
		if pushed := g.augment(next, to, min(limit, residual), seen); pushed > 0 {
			g[from][next] -= pushed
			g[next][from] += pushed
			return pushed
		}
	}
	return 0
}
