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

// PoolState is the state of a pool as its owner sees it.
type PoolState struct {
	Model *pkmanifest.Model
	// Targets are the pool's engines that are not leaving.
	Targets []*pktarget.Target
	// Loading maps each engine that is carrying out an order to the range it will hold; zero if
	// unknown.
	Loading map[pkid.TargetID]pkid.Range
	// Demand is how many requests the pool must be able to run at once.
	Demand float64
	Fence  pkid.FencingToken
}

// Assignment is an order and the target to send it to.
type Assignment struct {
	Target *pktarget.Target
	Order  pkengine.Order
}

const (
	// headroom is the factor by which the capacity must exceed the demand while engines reload.
	headroom = 1.15
	// minInServiceShare is the share of the pool's full capacity that is kept whatever the demand
	// is: a burst arrives faster than weights can be loaded.
	minInServiceShare = 0.75
)

// Next returns the orders that may be sent now.
func Next(s PoolState) []Assignment {
	p := newPlan(s)
	budget := s.Model.MaxConcurrentLoads - len(s.Loading)
	var out []Assignment
	for len(out) < budget {
		t, r, found := p.bestReload(p.minCapacity())
		if !found && len(out)+len(s.Loading) == 0 {
			// A small pool cannot keep minInServiceShare without any of its engines. Only the
			// demand counts then, or the pool would never be upgraded.
			t, r, found = p.bestReload(s.Demand * headroom)
		}
		if !found {
			break
		}
		p.assign(t, r)
		out = append(out, Assignment{Target: t, Order: p.order(r)})
	}
	return out
}

// plan is a pool with the orders that are under way.
type plan struct {
	PoolState
	wanted map[pkid.Range]int
	have   map[pkid.Range]int
	// available are the targets that are not loading, slots the capacity of those that hold layers;
	// pending is the capacity that the loading ones will add.
	available    []*pktarget.Target
	slots        capacity
	pending      map[pkid.Range]float64
	fullCapacity float64
}

// capacity is the number of slots by version and range.
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

func newPlan(s PoolState) *plan {
	p := &plan{
		PoolState: s,
		wanted:    apportion(s.Model.Splits, len(s.Targets)),
		have:      map[pkid.Range]int{},
		slots:     capacity{},
		pending:   map[pkid.Range]float64{},
	}
	full := capacity{}
	for _, t := range s.Targets {
		h := t.Holding()
		if r, loading := s.Loading[t.Info.ID]; loading {
			p.have[r]++
			p.pending[r] += t.Slots()
			full.add(s.Model.Version, r, t.Slots())
			continue
		}
		p.available = append(p.available, t)
		if h == nil || h.Model != s.Model.ID || h.Range.Len() == 0 {
			continue
		}
		p.slots.add(h.Version, h.Range, t.Slots())
		// Counted as if all were of one version: the capacity once the rollout is complete.
		full.add(s.Model.Version, h.Range, t.Slots())
		if p.matches(h) {
			p.have[h.Range]++
		}
	}
	p.fullCapacity = full.flow(s.Model.Layers)
	return p
}

// minCapacity returns the capacity that must stay in service.
func (p *plan) minCapacity() float64 { return max(p.Demand*headroom, minInServiceShare*p.fullCapacity) }

// apportion splits n targets by weight, with the largest remainders rounded up.
func apportion(splits []pkmanifest.Split, n int) map[pkid.Range]int {
	total := 0
	for _, s := range splits {
		total += s.Weight
	}
	type share struct {
		r         pkid.Range
		remainder int
	}
	out := map[pkid.Range]int{}
	rounded := make([]share, len(splits))
	unassigned := n
	for i, s := range splits {
		out[s.Range()] = n * s.Weight / total
		unassigned -= out[s.Range()]
		rounded[i] = share{r: s.Range(), remainder: n * s.Weight % total}
	}
	slices.SortStableFunc(rounded, func(a, b share) int { return cmp.Compare(b.remainder, a.remainder) })
	for i := range unassigned {
		out[rounded[i%len(rounded)].r]++
	}
	return out
}

// matches reports whether an engine holds what the manifest asks for.
func (p *plan) matches(h *pktarget.Holding) bool {
	if h == nil || h.Model != p.Model.ID || h.Version != p.Model.Version {
		return false
	}
	_, wanted := p.wanted[h.Range]
	held := pkengine.Load{Model: h.Model, Version: h.Version, Adapters: h.Adapters, Role: h.Role, First: h.Range.First, End: h.Range.End}
	return wanted && p.order(h.Range).SatisfiedBy(held)
}

// bestReload returns the engine whose reload leaves the pool with the most capacity, and the range
// it should load, provided that at least minCapacity stays in service meanwhile. Engines that hold
// the same are interchangeable, so only one of each is tried.
//
// The order matters: if all engines of one range were reloaded first, the old version would lack
// that range and the new version all others, and neither could serve.
func (p *plan) bestReload(minCapacity float64) (*pktarget.Target, pkid.Range, bool) {
	var best *pktarget.Target
	var to pkid.Range
	var bestCapacity float64
	seen := map[string]bool{}
	for _, t := range p.candidates() {
		key := p.equivalenceKey(t)
		if seen[key] {
			continue
		}
		seen[key] = true
		r, found := p.neededRange(t)
		if !found {
			continue
		}
		during, after := p.capacityWithout(t, r)
		if p.serves(t) && during < minCapacity {
			continue
		}
		if best == nil || after > bestCapacity || (after == bestCapacity && p.coverage(r) < p.coverage(to)) {
			best, to, bestCapacity = t, r, after
		}
	}
	return best, to, best != nil
}

func (p *plan) equivalenceKey(t *pktarget.Target) string {
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

// capacityWithout returns the capacity while t reloads, and the capacity once t and all engines
// that are loading have finished.
func (p *plan) capacityWithout(t *pktarget.Target, r pkid.Range) (during, after float64) {
	c := capacity{}
	for v, ranges := range p.slots {
		for span, n := range ranges {
			c.add(v, span, n)
		}
	}
	if p.serves(t) {
		h := t.Holding()
		c.add(h.Version, h.Range, -t.Slots())
	}
	during = c.flow(p.Model.Layers)
	for span, n := range p.pending {
		c.add(p.Model.Version, span, n)
	}
	c.add(p.Model.Version, r, t.Slots())
	return during, c.flow(p.Model.Layers)
}

// coverage returns the share of its wanted targets that a range has.
func (p *plan) coverage(r pkid.Range) float64 {
	return float64(p.have[r]) / float64(max(p.wanted[r], 1))
}

// candidates returns the engines that should hold something else.
func (p *plan) candidates() []*pktarget.Target {
	var out []*pktarget.Target
	surplus := map[pkid.Range]int{}
	for r, n := range p.have {
		surplus[r] = n - p.wanted[r]
	}
	for _, t := range p.available {
		h := t.Holding()
		switch {
		case !p.matches(h):
			out = append(out, t)
		case surplus[h.Range] > 0:
			surplus[h.Range]--
			out = append(out, t)
		}
	}
	return out
}

// neededRange returns the range that a target should load: the one it holds if that still lacks
// targets, since its weights may be cached nearby, or else the range with the lowest coverage.
func (p *plan) neededRange(t *pktarget.Target) (pkid.Range, bool) {
	if h := t.Holding(); h != nil && !p.matches(h) && p.have[h.Range] < p.wanted[h.Range] {
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

// Versions returns the versions of a model that targets hold, the manifest's version first.
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

func (p *plan) assign(t *pktarget.Target, r pkid.Range) {
	p.available = slices.DeleteFunc(p.available, func(other *pktarget.Target) bool { return other == t })
	h := t.Holding()
	if p.serves(t) {
		p.slots.add(h.Version, h.Range, -t.Slots())
	}
	if p.matches(h) {
		p.have[h.Range]--
	}
	p.have[r]++
	p.pending[r] += t.Slots()
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
