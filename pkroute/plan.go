package pkroute

import (
	"cmp"
	"slices"
	"sort"

	"peridotknot.example/pkid"
	"peridotknot.example/pktarget"
)

// Want names what a chain must hold.
type Want struct {
	Pool    pkid.PoolID
	Model   pkid.ModelID
	Version pkid.Version
	Adapter pkid.AdapterID
	Layers  pkid.Layer
}

// Plan is the targets that can serve a Want, grouped by layer range. It does
// not change; another is made when targets come, go or hold something else.
type Plan struct {
	Want  Want
	spans []span
}

// span is the targets of one layer range.
type span struct {
	layers  pkid.Range
	targets []*pktarget.Target
	// upTo holds running sums of the targets' rates, to draw by.
	upTo []float64
}

// NewPlan groups the targets that hold what want names.
func NewPlan(want Want, all []*pktarget.Target) *Plan {
	byRange := map[pkid.Range][]*pktarget.Target{}
	for _, t := range all {
		if h := t.Holding(); h != nil && t.Info.Pool == want.Pool && want.fits(h) {
			byRange[h.Range] = append(byRange[h.Range], t)
		}
	}
	p := &Plan{Want: want}
	for layers, targets := range byRange {
		p.spans = append(p.spans, newSpan(layers, targets))
	}
	slices.SortFunc(p.spans, func(a, b span) int {
		return cmp.Or(cmp.Compare(a.layers.First, b.layers.First), cmp.Compare(a.layers.End, b.layers.End))
	})
	return p
}

func (w Want) fits(h *pktarget.Holding) bool {
	if h.Model != w.Model || h.Version != w.Version || h.Range.Len() <= 0 {
		return false
	}
	return w.Adapter == "" || slices.Contains(h.Adapters, w.Adapter)
}

func newSpan(layers pkid.Range, targets []*pktarget.Target) span {
	s := span{layers: layers, targets: targets, upTo: make([]float64, len(targets))}
	sum := 0.0
	for i, t := range targets {
		sum += max(t.Rate(), 1)
		s.upTo[i] = sum
	}
	return s
}

// draw returns the position of a target, drawn by rate; u is in [0, 1).
func (s *span) draw(u float64) int {
	total := s.upTo[len(s.upTo)-1]
	return min(sort.SearchFloat64s(s.upTo, u*total), len(s.targets)-1)
}

// Targets returns every target of the plan.
func (p *Plan) Targets() []*pktarget.Target {
	var out []*pktarget.Target
	for i := range p.spans {
		out = append(out, p.spans[i].targets...)
	}
	return out
}
