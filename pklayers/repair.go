package pklayers

import (
	"slices"
	"time"

	"peridotknot.example/pkid"
)

// fillEmpty gives each empty engine the layers with the least capacity. If some layer would be held
// by no engine, as in a pool that is just large enough, engines hold more layers than their nominal
// capacity allows.
func fillEmpty(p *pool) map[pkid.TargetID]pkid.Range {
	for extra := 0; ; extra++ {
		filled := fill(p, extra)
		if len(filled) == 0 || extra >= p.m.Layers || !p.hasGap() {
			return p.rangesOf(filled)
		}
		for _, i := range filled {
			p.assign(i, pkid.Range{})
		}
	}
}

// fill gives each empty engine its nominal number of layers plus extra and returns the indices of
// these engines.
func fill(p *pool, extra int) []int {
	var filled []int
	for i := range p.engines {
		e := &p.engines[i]
		g := p.groupOf[i]
		if e.Held.Len() > 0 || (e.JustJoined && p.atFullCapacity(g)) {
			continue
		}
		layers := p.nominalLayers(e.Kind)
		if extra > 0 {
			layers = max(layers, min(layers+extra, p.m.minCapacityLayers(e.Kind)))
		}
		p.assign(i, p.scarcestRange(g, e.Kind, layers))
		filled = append(filled, i)
	}
	return filled
}

func (p *pool) rangesOf(indices []int) map[pkid.TargetID]pkid.Range {
	out := make(map[pkid.TargetID]pkid.Range, len(indices))
	for _, i := range indices {
		out[p.engines[i].ID] = p.engines[i].Held
	}
	return out
}

// restore plans for a pool with missing layers and no empty engine. The engines next to a gap take
// over its layers at reduced capacity; if that is not enough, the pool is laid out again.
func restore(p *pool) map[pkid.TargetID]pkid.Range {
	m, live := p.m, slices.Clone(p.engines)
	out := map[pkid.TargetID]pkid.Range{}
	for first := 0; first < len(p.total); {
		end := first
		for end < len(p.total) && p.total[end] == 0 {
			end++
		}
		if end > first {
			closeGap(m, live, out, pkid.Range{First: pkid.Layer(first), End: pkid.Layer(end)})
		}
		first = end + 1
	}
	if !newPool(m, live).hasGap() {
		return out
	}
	out = layOut(m, p.engines)
	for i := range p.engines {
		if e := &p.engines[i]; out[e.ID] == e.Held {
			delete(out, e.ID)
		}
	}
	return out
}

// closeGap extends the engines below and above a gap so that they meet; if one cannot take its
// half, the other takes more.
func closeGap(m *Model, live []Placement, out map[pkid.TargetID]pkid.Range, gap pkid.Range) {
	below, spareBelow := mostSpare(m, live, func(e Placement) bool { return e.Held.End == gap.First })
	above, spareAbove := mostSpare(m, live, func(e Placement) bool { return e.Held.First == gap.End })
	fromBelow := min(max(gap.Len()-spareAbove, gap.Len()/2), spareBelow)
	if fromBelow > 0 {
		r := live[below].Held
		r.End += pkid.Layer(fromBelow)
		live[below].Held, out[live[below].ID] = r, r
	}
	if fromAbove := min(gap.Len()-fromBelow, spareAbove); fromAbove > 0 {
		r := live[above].Held
		r.First -= pkid.Layer(fromAbove)
		live[above].Held, out[live[above].ID] = r, r
	}
}

// mostSpare returns the adjacent engine that can take the most additional layers.
func mostSpare(m *Model, live []Placement, adjacent func(Placement) bool) (index, spare int) {
	for i, e := range live {
		if n := m.minCapacityLayers(e.Kind) - e.Held.Len(); e.Held.Len() > 0 && adjacent(e) && n > spare {
			index, spare = i, n
		}
	}
	return index, spare
}

// rebalance moves the engine of a group that is needed least to the layers with the least capacity,
// if membership has been stable for long enough.
func rebalance(p *pool, g int, moves map[pkid.TargetID]pkid.Range, stableFor time.Duration) {
	capacity := p.byGroup[g]
	least := float64(slices.Min(capacity))
	nominal := min(p.m.nominalCapacity(), mean(capacity))
	urgent := least < urgentShare*nominal && stableFor >= urgentDelay
	if least >= rebalanceShare*nominal || (stableFor < rebalanceDelay && !urgent) {
		return
	}
	best, donor := shortage(capacity, nominal)/minMoveGain, -1
	var to pkid.Range
	for i := range p.engines {
		if p.groupOf[i] != g {
			continue
		}
		held := p.engines[i].Held
		p.assign(i, pkid.Range{})
		r := p.scarcestRange(g, "", held.Len())
		p.assign(i, r)
		if after := shortage(capacity, nominal); after < best {
			best, donor, to = after, i, r
		}
		p.assign(i, held)
	}
	if donor >= 0 {
		p.assign(donor, to)
		moves[p.engines[donor].ID] = to
	}
}

// shortage sums up how short of capacity the layers are: each counts the nominal capacity over its
// own, up to maxPerLayer.
func shortage(capacity layerCapacity, nominal float64) float64 {
	const maxPerLayer = 10
	sum := 0.0
	for _, tokens := range capacity {
		sum += nominal / (float64(tokens) + nominal/maxPerLayer)
	}
	return sum
}

func mean(capacity layerCapacity) float64 {
	sum := 0.0
	for _, tokens := range capacity {
		sum += float64(tokens)
	}
	return sum / float64(len(capacity))
}
