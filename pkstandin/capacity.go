package pkstandin

import (
	"fmt"
	"time"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"peridotknot.example/pkid"
)

// Capacity returns the tokens a second that the engines of a model can make:
// the bound that a replay's goodput is held against.
//
// A sequence holds a slot in each engine of its chain all the time and makes a
// token in the sum of their steps. The bound is therefore the best mix of
// chains: the most of sequences over step time, with no range of layers holding
// more sequences than it has slots. That is a small linear program.
func (w *World) Capacity(model pkid.ModelID) (float64, error) {
	ranges := map[pkid.Range]slots{}
	for _, g := range w.settings.Engines {
		if g.Model != model {
			continue
		}
		r := pkid.Range{First: g.First, End: g.End}
		s := ranges[r]
		speed := w.settings.Kinds[g.Kind]
		full := time.Duration(r.Len()) * (speed.Base + time.Duration(speed.Batch)*speed.PerSeq)
		s.add(float64(g.Count*speed.Batch), full)
		ranges[r] = s
	}
	paths := chains(ranges, 0, w.layers(model))
	if len(paths) == 0 {
		return 0, fmt.Errorf("no engines cover model %s", model)
	}
	return best(ranges, paths)
}

// slots is how many sequences a range can hold, and its mean full step.
type slots struct {
	n    float64
	step time.Duration
}

func (s *slots) add(n float64, step time.Duration) {
	total := s.n + n
	s.step = time.Duration((float64(s.step)*s.n + float64(step)*n) / total)
	s.n = total
}

func chains(ranges map[pkid.Range]slots, from, to pkid.Layer) [][]pkid.Range {
	if from == to {
		return [][]pkid.Range{nil}
	}
	var out [][]pkid.Range
	for r := range ranges {
		if r.First != from {
			continue
		}
		for _, rest := range chains(ranges, r.End, to) {
			out = append(out, append([]pkid.Range{r}, rest...))
		}
	}
	return out
}

// best solves the linear program in its standard form: one column a chain and
// one slack column a range.
func best(ranges map[pkid.Range]slots, paths [][]pkid.Range) (float64, error) {
	rows := map[pkid.Range]int{}
	limits := make([]float64, 0, len(ranges))
	for r, s := range ranges {
		rows[r] = len(limits)
		limits = append(limits, s.n)
	}
	cost := make([]float64, len(paths)+len(rows))
	a := mat.NewDense(len(rows), len(cost), nil)
	for i := range limits {
		a.Set(i, len(paths)+i, 1)
	}
	for j, path := range paths {
		var step time.Duration
		for _, r := range path {
			step += ranges[r].step
			a.Set(rows[r], j, 1)
		}
		cost[j] = -1 / step.Seconds()
	}
	value, _, err := lp.Simplex(cost, a, limits, 1e-9, nil)
	if err != nil {
		return 0, fmt.Errorf("work out the bound: %w", err)
	}
	return -value, nil
}
