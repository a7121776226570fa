package pklayers

import (
	"slices"

	"peridotknot.example/pkid"
)

// rooms is how many tokens of requests fit at each layer. Whole tokens, so that an engine that is
// taken away leaves exactly what was there before it.
type rooms []int64

// pool is the engines of a plan with the room at each layer, kept up to date as engines are given
// layers and lose them: adding it up anew for each engine made the plan of a pool of thousands
// take longer than its owner had the pool.
type pool struct {
	m      *Model
	cards  []Card
	groups []group
	// groupOf is the group of each card, near the room by group and all that of the pool.
	groupOf []int
	near    []rooms
	all     rooms
	// fast are the kinds that are about as fast as the fastest where others are not; nearFast and
	// allFast are the room at their engines.
	fast     map[pkid.Kind]bool
	nearFast []rooms
	allFast  rooms
	// usual is how many layers each kind holds with the usual room.
	usual map[pkid.Kind]int
	// laid is the least room by group of a new layout of the same engines, once asked for.
	laid []int64
	// scratch is what weakest works on.
	scratch []float64
}

// newPool counts what the cards hold. Plans change the cards.
func newPool(m *Model, cards []Card) *pool {
	p := &pool{m: m, cards: cards, groups: groups(m, cards), fast: m.fastKinds(cards), usual: map[pkid.Kind]int{}}
	p.all, p.allFast = make(rooms, m.Layers), make(rooms, m.Layers)
	for range p.groups {
		p.near = append(p.near, make(rooms, m.Layers))
		p.nearFast = append(p.nearFast, make(rooms, m.Layers))
	}
	byDataCenter := map[pkid.DataCenter]int{}
	for at, g := range p.groups {
		for dc := range g {
			byDataCenter[dc] = at
		}
	}
	p.groupOf = make([]int, len(cards))
	for i := range cards {
		p.groupOf[i] = byDataCenter[cards[i].DataCenter]
		p.count(i, 1)
	}
	return p
}

// place gives a card other layers.
func (p *pool) place(i int, r pkid.Range) {
	p.count(i, -1)
	p.cards[i].Held = r
	p.count(i, 1)
}

// count adds the room of a card so many times.
func (p *pool) count(i int, times int64) {
	c := &p.cards[i]
	tokens := times * int64(max(p.m.Room(c.Kind, c.Held.Len()), 0))
	p.all.add(c.Held, tokens)
	p.near[p.groupOf[i]].add(c.Held, tokens)
	if p.fast[c.Kind] {
		p.allFast.add(c.Held, tokens)
		p.nearFast[p.groupOf[i]].add(c.Held, tokens)
	}
}

func (r rooms) add(held pkid.Range, tokens int64) {
	for l := held.First; l < held.End && int(l) < len(r); l++ {
		r[l] += tokens
	}
}

// missing says whether some layer is held by no engine, so that nobody is served.
func (p *pool) missing() bool { return slices.Min(p.all) == 0 }

// usualLayers returns how many layers a kind holds with the usual room.
func (p *pool) usualLayers(k pkid.Kind) int {
	n, known := p.usual[k]
	if !known {
		n = p.m.usualLayers(k)
		p.usual[k] = n
	}
	return n
}

// whole says whether a group has about the room that a new layout of the same engines would
// give it at every layer.
func (p *pool) whole(g int) bool {
	if p.laid == nil {
		p.laid = p.leastLaid()
	}
	return float64(slices.Min(p.near[g])) >= wholeShare*float64(p.laid[g])
}

// leastLaid returns the least room by group of a new layout.
func (p *pool) leastLaid() []int64 {
	fresh := slices.Clone(p.cards)
	laid := layOut(p.m, fresh)
	for i := range fresh {
		fresh[i].Held = laid[fresh[i].ID]
	}
	out := make([]int64, len(p.groups))
	for g, room := range newPool(p.m, fresh).near {
		out[g] = slices.Min(room)
	}
	return out
}

// weakest returns the n layers in a row that have the least room for an engine of a group.
//
// Those of the fastest engines look at one another alone: they complete one another's rows, of
// their own group first and then over all data centres, and the row of each group goes around
// them. A fast engine that came after another was lost would else stand beside the slow ones
// with the least room, and the row of fast engines would keep its hole for good. Completed over
// all data centres alike, rows of a pool whose data centres hold one each led streams through
// the pipes for nothing.
func (p *pool) weakest(g int, k pkid.Kind, n int) pkid.Range {
	if p.scratch == nil {
		p.scratch = make([]float64, p.m.Layers)
	}
	lack := p.scratch
	for l := range lack {
		room := seen(p.near[g][l], p.all[l])
		if p.fast[k] {
			room = seen(p.nearFast[g][l], p.allFast[l]) + slowShare*room
		}
		lack[l] = 1 / (room + 1)
	}
	sum := 0.0
	for l := range n {
		sum += lack[l]
	}
	best, first := sum, 0
	for l := n; l < p.m.Layers; l++ {
		sum += lack[l] - lack[l-n]
		if sum > best*(1+1e-9) {
			best, first = sum, l-n+1
		}
	}
	return pkid.Range{First: pkid.Layer(first), End: pkid.Layer(first + n)}
}

// seen returns the room at a layer as a group sees it, where that of other groups counts for a
// share.
func seen(near, all int64) float64 { return float64(near) + farShare*float64(all-near) }

// fastKinds returns the kinds that are about as fast as the fastest of some engines, where others
// are not.
func (m *Model) fastKinds(cards []Card) map[pkid.Kind]bool {
	if len(cards) == 0 {
		return nil
	}
	kinds := map[pkid.Kind]bool{}
	least := m.Kinds[cards[0].Kind].StepFactor
	most := least
	for i := range cards {
		f := m.Kinds[cards[i].Kind].StepFactor
		least, most = min(least, f), max(most, f)
		kinds[cards[i].Kind] = true
	}
	for k := range kinds {
		kinds[k] = k != "" && m.Kinds[k].StepFactor <= fastWithin*least && most > fastWithin*least
	}
	return kinds
}
