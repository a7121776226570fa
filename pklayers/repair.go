package pklayers

import (
	"slices"
	"time"

	"peridotknot.example/pkid"
)

// fillEmpty gives each empty engine the layers that have the least room. Where some layer
// would be held by none, as in a pool that is just large enough, engines hold more layers
// than leave them the usual room: a layer that is missing serves nobody.
func fillEmpty(p *pool) map[pkid.TargetID]pkid.Range {
	for extra := 0; ; extra++ {
		filled := fill(p, extra)
		if len(filled) == 0 || extra >= p.m.Layers || !p.missing() {
			return p.heldBy(filled)
		}
		for _, i := range filled {
			p.place(i, pkid.Range{})
		}
	}
}

// fill gives each empty engine layers, so many more than leave it the usual room, and returns
// the engines by their places.
func fill(p *pool, extra int) []int {
	var filled []int
	for i := range p.cards {
		c := &p.cards[i]
		g := p.groupOf[i]
		if c.Held.Len() > 0 || (c.Fresh && p.whole(g)) {
			continue
		}
		n := p.usualLayers(c.Kind)
		if extra > 0 {
			n = max(n, min(n+extra, p.m.leastRoomLayers(c.Kind)))
		}
		p.place(i, p.weakest(g, c.Kind, n))
		filled = append(filled, i)
	}
	return filled
}

// heldBy returns what the engines at some places hold.
func (p *pool) heldBy(places []int) map[pkid.TargetID]pkid.Range {
	out := make(map[pkid.TargetID]pkid.Range, len(places))
	for _, i := range places {
		out[p.cards[i].ID] = p.cards[i].Held
	}
	return out
}

// restore plans for a pool that lacks layers and has no engine to spare. The engines beside
// them take a part each, though they keep little room for requests; where that is not
// enough, the pool is laid out anew: no load can cost more than serving nobody.
func restore(p *pool) map[pkid.TargetID]pkid.Range {
	m, live := p.m, slices.Clone(p.cards)
	out := map[pkid.TargetID]pkid.Range{}
	for first := 0; first < len(p.all); {
		end := first
		for end < len(p.all) && p.all[end] == 0 {
			end++
		}
		if end > first {
			cover(m, live, out, pkid.Range{First: pkid.Layer(first), End: pkid.Layer(end)})
		}
		first = end + 1
	}
	if !newPool(m, live).missing() {
		return out
	}
	out = layOut(m, p.cards)
	for i := range p.cards {
		if c := &p.cards[i]; out[c.ID] == c.Held {
			delete(out, c.ID)
		}
	}
	return out
}

// cover widens the engine below and the engine above a run so that they meet; an engine that
// cannot take its half leaves more to the other.
func cover(m *Model, live []Card, out map[pkid.TargetID]pkid.Range, run pkid.Range) {
	below, spareBelow := roomiest(m, live, func(c Card) bool { return c.Held.End == run.First })
	above, spareAbove := roomiest(m, live, func(c Card) bool { return c.Held.First == run.End })
	fromBelow := min(max(run.Len()-spareAbove, run.Len()/2), spareBelow)
	if fromBelow > 0 {
		r := live[below].Held
		r.End += pkid.Layer(fromBelow)
		live[below].Held, out[live[below].ID] = r, r
	}
	if fromAbove := min(run.Len()-fromBelow, spareAbove); fromAbove > 0 {
		r := live[above].Held
		r.First -= pkid.Layer(fromAbove)
		live[above].Held, out[live[above].ID] = r, r
	}
}

// roomiest returns the engine among those that fit which can take the most layers.
func roomiest(m *Model, live []Card, fits func(Card) bool) (index, spare int) {
	for i, c := range live {
		if n := m.leastRoomLayers(c.Kind) - c.Held.Len(); c.Held.Len() > 0 && fits(c) && n > spare {
			index, spare = i, n
		}
	}
	return index, spare
}

// rebalance moves the engine of a group whose layers can best do without it to the layers
// with the least room, if none has come or gone for long enough.
func rebalance(p *pool, g int, out map[pkid.TargetID]pkid.Range, quiet time.Duration) {
	room := p.near[g]
	least := float64(slices.Min(room))
	usual := min(p.m.usualRoom(), mean(room))
	urgent := least < urgentShare*usual && quiet >= urgentTime
	if least >= moveShare*usual || (quiet < steadyTime && !urgent) {
		return
	}
	best, donor := need(room, usual)/moveGain, -1
	var to pkid.Range
	for i := range p.cards {
		if p.groupOf[i] != g {
			continue
		}
		held := p.cards[i].Held
		p.place(i, pkid.Range{})
		r := p.weakest(g, "", held.Len())
		p.place(i, r)
		if after := need(room, usual); after < best {
			best, donor, to = after, i, r
		}
		p.place(i, held)
	}
	if donor >= 0 {
		p.place(donor, to)
		out[p.cards[donor].ID] = to
	}
}

// need adds up how much layers lack room: each counts the usual room over its own, and ten
// where it has none.
func need(room rooms, usual float64) float64 {
	const most = 10
	sum := 0.0
	for _, tokens := range room {
		sum += usual / (float64(tokens) + usual/most)
	}
	return sum
}

func mean(room rooms) float64 {
	sum := 0.0
	for _, tokens := range room {
		sum += float64(tokens)
	}
	return sum / float64(len(room))
}
