package pklayers

import (
	"slices"

	"peridotknot.example/pkid"
)

// layerCapacity is the KV-cache capacity at each layer, in tokens. Integers keep it exact when an
// engine is added and removed again.
type layerCapacity []int64

// pool is the engines of a plan with the capacity at each layer. The sums are updated
// incrementally: computed anew for each engine, planning would be quadratic in the size of the
// pool.
type pool struct {
	m       *Model
	engines []Placement
	groups  []group
	// groupOf is the group of each engine, byGroup the capacity of each group, total that of the
	// pool.
	groupOf []int
	byGroup []layerCapacity
	total   layerCapacity
	// fastKinds are the kinds close to the fastest in speed, if there are slower ones; fastByGroup
	// and fastTotal are the capacity of their engines.
	fastKinds   map[pkid.AcceleratorKind]bool
	fastByGroup []layerCapacity
	fastTotal   layerCapacity
	// nominal caches nominalLayers by kind.
	nominal map[pkid.AcceleratorKind]int
	// newLayoutMin caches newLayoutMinCapacity.
	newLayoutMin []int64
	// shortages is the scratch buffer of scarcestRange.
	shortages []float64
}

// newPool sums up the capacity of the engines. Planning modifies the slice.
func newPool(m *Model, engines []Placement) *pool {
	p := &pool{m: m, engines: engines, groups: groups(m, engines), fastKinds: m.fastKinds(engines), nominal: map[pkid.AcceleratorKind]int{}}
	p.total, p.fastTotal = make(layerCapacity, m.Layers), make(layerCapacity, m.Layers)
	for range p.groups {
		p.byGroup = append(p.byGroup, make(layerCapacity, m.Layers))
		p.fastByGroup = append(p.fastByGroup, make(layerCapacity, m.Layers))
	}
	groupOf := map[pkid.DataCenter]int{}
	for index, g := range p.groups {
		for dc := range g {
			groupOf[dc] = index
		}
	}
	p.groupOf = make([]int, len(engines))
	for i := range engines {
		p.groupOf[i] = groupOf[engines[i].DataCenter]
		p.addCapacity(i, 1)
	}
	return p
}

// assign gives an engine another range of layers.
func (p *pool) assign(i int, r pkid.Range) {
	p.addCapacity(i, -1)
	p.engines[i].Held = r
	p.addCapacity(i, 1)
}

// addCapacity adds the capacity of an engine to the sums, or subtracts it if sign is -1.
func (p *pool) addCapacity(i int, sign int64) {
	e := &p.engines[i]
	tokens := sign * int64(max(p.m.KVCapacity(e.Kind, e.Held.Len()), 0))
	p.total.add(e.Held, tokens)
	p.byGroup[p.groupOf[i]].add(e.Held, tokens)
	if p.fastKinds[e.Kind] {
		p.fastTotal.add(e.Held, tokens)
		p.fastByGroup[p.groupOf[i]].add(e.Held, tokens)
	}
}

func (c layerCapacity) add(held pkid.Range, tokens int64) {
	for l := held.First; l < held.End && int(l) < len(c); l++ {
		c[l] += tokens
	}
}

// hasGap reports whether some layer is held by no engine, so that no request can be served.
func (p *pool) hasGap() bool { return slices.Min(p.total) == 0 }

func (p *pool) nominalLayers(k pkid.AcceleratorKind) int {
	n, known := p.nominal[k]
	if !known {
		n = p.m.nominalLayers(k)
		p.nominal[k] = n
	}
	return n
}

// atFullCapacity reports whether each layer of a group has about the capacity that a new layout of
// the same engines would give it.
func (p *pool) atFullCapacity(g int) bool {
	if p.newLayoutMin == nil {
		p.newLayoutMin = p.newLayoutMinCapacity()
	}
	return float64(slices.Min(p.byGroup[g])) >= fullCapacityShare*float64(p.newLayoutMin[g])
}

// newLayoutMinCapacity returns the least capacity of any layer in a new layout, by group.
func (p *pool) newLayoutMinCapacity() []int64 {
	engines := slices.Clone(p.engines)
	layout := layOut(p.m, engines)
	for i := range engines {
		engines[i].Held = layout[engines[i].ID]
	}
	out := make([]int64, len(p.groups))
	for g, capacity := range newPool(p.m, engines).byGroup {
		out[g] = slices.Min(capacity)
	}
	return out
}

// scarcestRange returns the n consecutive layers with the least capacity for an engine of a group.
//
// Fast engines are placed by the capacity of fast engines, first within their group and then over
// all data centres, so that they form pipelines of their own and a replacement closes the gap of
// the one it replaces rather than reinforcing slow engines. Capacity outside the group weighs less,
// so that streams do not cross links needlessly.
func (p *pool) scarcestRange(g int, k pkid.AcceleratorKind, n int) pkid.Range {
	if p.shortages == nil {
		p.shortages = make([]float64, p.m.Layers)
	}
	shortage := p.shortages
	for l := range shortage {
		capacity := weightedCapacity(p.byGroup[g][l], p.total[l])
		if p.fastKinds[k] {
			capacity = weightedCapacity(p.fastByGroup[g][l], p.fastTotal[l]) + slowWeight*capacity
		}
		shortage[l] = 1 / (capacity + 1)
	}
	sum := 0.0
	for l := range n {
		sum += shortage[l]
	}
	best, first := sum, 0
	for l := n; l < p.m.Layers; l++ {
		sum += shortage[l] - shortage[l-n]
		if sum > best*(1+1e-9) {
			best, first = sum, l-n+1
		}
	}
	return pkid.Range{First: pkid.Layer(first), End: pkid.Layer(first + n)}
}

// weightedCapacity returns the capacity at a layer for an engine of a group, with that of other
// groups weighted by remoteWeight.
func weightedCapacity(inGroup, total int64) float64 {
	return float64(inGroup) + remoteWeight*float64(total-inGroup)
}

// fastKinds returns the kinds within fastRatio of the fastest engine, or none if that includes
// every kind.
func (m *Model) fastKinds(engines []Placement) map[pkid.AcceleratorKind]bool {
	if len(engines) == 0 {
		return nil
	}
	kinds := map[pkid.AcceleratorKind]bool{}
	fastest := m.Kinds[engines[0].Kind].StepFactor
	slowest := fastest
	for i := range engines {
		factor := m.Kinds[engines[i].Kind].StepFactor
		fastest, slowest = min(fastest, factor), max(slowest, factor)
		kinds[engines[i].Kind] = true
	}
	for k := range kinds {
		kinds[k] = k != "" && m.Kinds[k].StepFactor <= fastRatio*fastest && slowest > fastRatio*fastest
	}
	return kinds
}
