package pkorder

import (
	"cmp"
	"fmt"
	"slices"

	"peridotknot.example/pkengine"
	"peridotknot.example/pkid"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pkroute"
	"peridotknot.example/pktarget"
)

// Situation is what a pool looks like to its owner.
type Situation struct {
	Model *pkmanifest.Model
	// Targets are the pool's engines that are not leaving.
	Targets []*pktarget.Target
	// Loading are those that carry an order out, with the range they will
	// hold; the zero range if that is not known.
	Loading map[pkid.TargetID]pkid.Range
	// Demand is how many requests the pool must be able to run at once.
	Demand float64
	Fence  pkid.Fence
}

// Told is an order and the target that should get it.
type Told struct {
	Target *pktarget.Target
	Order  pkengine.Order
}

const (
	// reserve is the spare capacity kept above the demand while engines
	// reload.
	reserve = 1.15
	// floor is the share of the pool's whole capacity that is kept, whatever
	// the demand is: a burst comes faster than weights can be loaded back.
	floor = 0.75
)

// Next returns the orders that may be sent now.
func Next(s Situation) []Told {
	p := newPlan(s)
	room := s.Model.LoadsAtOnce - len(s.Loading)
	var out []Told
	for len(out) < room {
		t, r, found := p.best(p.least())
		if !found && len(out)+len(s.Loading) == 0 {
			// A small pool cannot keep the floor with any engine gone; the
			// demand alone decides then, or it would never be upgraded.
			t, r, found = p.best(s.Demand * reserve)
		}
		if !found {
			break
		}
		p.take(t, r)
		out = append(out, Told{Target: t, Order: p.order(r)})
	}
	return out
}

// plan is a situation with what is already on its way.
type plan struct {
	Situation
	wanted map[pkid.Range]int
	have   map[pkid.Range]int
	// serving are the targets that can serve now, and slots what they can run
	// at once; coming is what those that load will add.
	serving []*pktarget.Target
	slots   capacity
	coming  map[pkid.Range]float64
	whole   float64
}

// capacity is slots by version and range.
type capacity map[pkid.Version]map[pkid.Range]float64

func (c capacity) add(v pkid.Version, r pkid.Range, n float64) {
	if c[v] == nil {
		c[v] = map[pkid.Range]float64{}
	}
	c[v][r] += n
}

// flow returns how many requests can run at once over all versions.
func (c capacity) flow(layers pkid.Layer) float64 {
	sum := 0.0
	for _, ranges := range c {
		sum += pkroute.MaxFlow(ranges, layers)
	}
	return sum
}

func newPlan(s Situation) *plan {
	p := &plan{
		Situation: s,
		wanted:    shares(s.Model.Splits, len(s.Targets)),
		have:      map[pkid.Range]int{},
		slots:     capacity{},
		coming:    map[pkid.Range]float64{},
	}
	whole := capacity{}
	for _, t := range s.Targets {
		h := t.Holding()
		if r, loading := s.Loading[t.Info.ID]; loading {
			p.have[r]++
			p.coming[r] += t.Slots()
			whole.add(s.Model.Version, r, t.Slots())
			continue
		}
		p.serving = append(p.serving, t)
		if h == nil || h.Model != s.Model.ID || h.Range.Len() == 0 {
			continue
		}
		p.slots.add(h.Version, h.Range, t.Slots())
		// Over all versions together: what the pool can run once all of it
		// is of one version again.
		whole.add(s.Model.Version, h.Range, t.Slots())
		if p.right(h) {
			p.have[h.Range]++
		}
	}
	p.whole = whole.flow(s.Model.Layers)
	return p
}

// least returns what must go on serving.
func (p *plan) least() float64 { return max(p.Demand*reserve, floor*p.whole) }

// shares splits n targets by weight, the largest remainders first.
func shares(splits []pkmanifest.Split, n int) map[pkid.Range]int {
	total := 0
	for _, s := range splits {
		total += s.Weight
	}
	type part struct {
		r    pkid.Range
		rest int
	}
	out := map[pkid.Range]int{}
	parts := make([]part, len(splits))
	left := n
	for i, s := range splits {
		out[s.Range()] = n * s.Weight / total
		left -= out[s.Range()]
		parts[i] = part{r: s.Range(), rest: n * s.Weight % total}
	}
	slices.SortStableFunc(parts, func(a, b part) int { return cmp.Compare(b.rest, a.rest) })
	for i := range left {
		out[parts[i%len(parts)].r]++
	}
	return out
}

// right says whether an engine holds something that the manifest wants.
func (p *plan) right(h *pktarget.Holding) bool {
	if h == nil || h.Model != p.Model.ID || h.Version != p.Model.Version {
		return false
	}
	_, wanted := p.wanted[h.Range]
	held := pkengine.Load{Model: h.Model, Version: h.Version, Adapters: h.Adapters, Role: h.Role, First: h.Range.First, End: h.Range.End}
	return wanted && p.order(h.Range).Met(held)
}

// best returns the engine whose reloading leaves the pool best off, and what it
// should hold then, if without it no less than least can run. Engines that hold
// the same are alike, so one of each is looked at.
//
// The order matters: reloading all engines of one range first would leave the
// former version without that range and the new one without the others, and
// neither could serve.
func (p *plan) best(least float64) (*pktarget.Target, pkid.Range, bool) {
	var best *pktarget.Target
	var to pkid.Range
	var most float64
	seen := map[string]bool{}
	for _, t := range p.candidates() {
		kind := p.kind(t)
		if seen[kind] {
			continue
		}
		seen[kind] = true
		r, found := p.mostNeeded(t)
		if !found {
			continue
		}
		without, then := p.without(t, r)
		if p.serves(t) && without < least {
			continue
		}
		if best == nil || then > most || (then == most && p.coverage(r) < p.coverage(to)) {
			best, to, most = t, r, then
		}
	}
	return best, to, best != nil
}

func (p *plan) kind(t *pktarget.Target) string {
	h := t.Holding()
	if h == nil {
		return ""
	}
	return fmt.Sprint(h.Model, h.Version, h.Range, h.Adapters, t.Slots())
}

func (p *plan) serves(t *pktarget.Target) bool {
	h := t.Holding()
	return h != nil && h.Model == p.Model.ID && h.Range.Len() > 0
}

// without returns what can run at once while t reloads, and once it and all
// that load already hold what they were told.
func (p *plan) without(t *pktarget.Target, r pkid.Range) (now, then float64) {
	c := capacity{}
	for v, ranges := range p.slots {
		for at, n := range ranges {
			c.add(v, at, n)
		}
	}
	if p.serves(t) {
		h := t.Holding()
		c.add(h.Version, h.Range, -t.Slots())
	}
	now = c.flow(p.Model.Layers)
	for at, n := range p.coming {
		c.add(p.Model.Version, at, n)
	}
	c.add(p.Model.Version, r, t.Slots())
	return now, c.flow(p.Model.Layers)
}

// coverage returns how much of what a range should have it has.
func (p *plan) coverage(r pkid.Range) float64 {
	return float64(p.have[r]) / float64(max(p.wanted[r], 1))
}

// candidates returns the engines that should hold something else.
func (p *plan) candidates() []*pktarget.Target {
	var out []*pktarget.Target
	over := map[pkid.Range]int{}
	for r, n := range p.have {
		over[r] = n - p.wanted[r]
	}
	for _, t := range p.serving {
		h := t.Holding()
		switch {
		case !p.right(h):
			out = append(out, t)
		case over[h.Range] > 0:
			over[h.Range]--
			out = append(out, t)
		}
	}
	return out
}

// mostNeeded returns the range that a target should get: the one it holds if
// that still needs targets, since its weights may be near, or else the one
// with the smallest part of what it should have.
func (p *plan) mostNeeded(t *pktarget.Target) (pkid.Range, bool) {
	if h := t.Holding(); h != nil && !p.right(h) && p.have[h.Range] < p.wanted[h.Range] {
		return h.Range, true
	}
	var best pkid.Range
	found := false
	for _, s := range p.Model.Splits {
		r := s.Range()
		if p.have[r] >= p.wanted[r] {
			continue
		}
		if !found || p.have[r]*p.wanted[best] < p.have[best]*p.wanted[r] {
			best, found = r, true
		}
	}
	return best, found
}

// Versions returns the versions of a model that targets hold, the manifest's
// own first.
func Versions(m *pkmanifest.Model, targets []*pktarget.Target) []pkid.Version {
	out := []pkid.Version{m.Version}
	for _, t := range targets {
		if h := t.Holding(); h != nil && h.Model == m.ID && !slices.Contains(out, h.Version) {
			out = append(out, h.Version)
		}
	}
	slices.Sort(out[1:])
	return out
}

func (p *plan) take(t *pktarget.Target, r pkid.Range) {
	p.serving = slices.DeleteFunc(p.serving, func(o *pktarget.Target) bool { return o == t })
	h := t.Holding()
	if p.serves(t) {
		p.slots.add(h.Version, h.Range, -t.Slots())
	}
	if p.right(h) {
		p.have[h.Range]--
	}
	p.have[r]++
	p.coming[r] += t.Slots()
}

func (p *plan) order(r pkid.Range) pkengine.Order {
	return pkengine.Order{
		Fence:    p.Fence,
		Model:    p.Model.ID,
		Version:  p.Model.Version,
		Adapters: p.Model.Adapters,
		First:    r.First,
		End:      r.End,
	}
}
