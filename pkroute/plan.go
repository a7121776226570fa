package pkroute

import (
	"cmp"
	"slices"
	"sort"

	"peridotknot.example/pkid"
	"peridotknot.example/pktarget"
)

// ChainSpec describes what the targets of a chain must hold.
type ChainSpec struct {
	Pool    pkid.PoolID
	Model   pkid.ModelID
	Version pkid.Version
	Adapter pkid.AdapterID
	Layers  pkid.Layer
}

// Plan is the targets that can be part of a chain, grouped by layer range. It is immutable; a new
// one is made when targets join, leave or load something else.
type Plan struct {
	Spec  ChainSpec
	spans []span
}

// span is the targets of one layer range.
type span struct {
	layers  pkid.Range
	targets []*pktarget.Target
	// cumulativeRates are the running sums of the targets' rates.
	cumulativeRates []float64
}

// NewPlan groups the targets that match spec by layer range.
func NewPlan(spec ChainSpec, targets []*pktarget.Target) *Plan {
	byRange := map[pkid.Range][]*pktarget.Target{}
	for _, t := range targets {
		if h := t.Holding(); h != nil && t.Info.Pool == spec.Pool && spec.matches(h) {
			byRange[h.Range] = append(byRange[h.Range], t)
		}
	}
	p := &Plan{Spec: spec}
	for layers, inRange := range byRange {
		p.spans = append(p.spans, newSpan(layers, inRange))
	}
	slices.SortFunc(p.spans, func(a, b span) int {
		return cmp.Or(cmp.Compare(a.layers.First, b.layers.First), cmp.Compare(a.layers.End, b.layers.End))
	})
	return p
}

func (s ChainSpec) matches(h *pktarget.Holding) bool {
	if h.Model != s.Model || h.Version != s.Version || h.Range.Len() <= 0 {
		return false
	}
	return s.Adapter == "" || slices.Contains(h.Adapters, s.Adapter)
}

func newSpan(layers pkid.Range, targets []*pktarget.Target) span {
	s := span{layers: layers, targets: targets, cumulativeRates: make([]float64, len(targets))}
	total := 0.0
	for i, t := range targets {
		total += max(t.TokenRate(), 1)
		s.cumulativeRates[i] = total
	}
	return s
}

// sampleByRate returns the index of a target, sampled in proportion to its rate; u is in [0, 1).
func (s *span) sampleByRate(u float64) int {
	total := s.cumulativeRates[len(s.cumulativeRates)-1]
	return min(sort.SearchFloat64s(s.cumulativeRates, u*total), len(s.targets)-1)
}

// Targets returns all targets of the plan.
func (p *Plan) Targets() []*pktarget.Target {
	var out []*pktarget.Target
	for i := range p.spans {
		out = append(out, p.spans[i].targets...)
	}
	return out
}
