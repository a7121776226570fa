package pkstandin

import (
	"fmt"
	"time"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"peridotknot.example/pkid"
)

// Capacity returns the maximum token throughput of the engines of a model, in tokens per second.
// Replays report goodput relative to this bound.
//
// A sequence occupies one batch slot in each engine of its chain and produces a token in the sum of
// their step times. The bound maximizes the throughput over all mixes of chains, with each layer
// range limited to its batch slots. This is a small linear program.
func (env *Environment) Capacity(model pkid.ModelID) (float64, error) {
	ranges := map[pkid.Range]rangeCapacity{}
	for _, g := range env.settings.Engines {
		if g.Model != model {
			continue
		}
		r := pkid.Range{First: g.First, End: g.End}
		s := ranges[r]
		speed := env.settings.Kinds[g.Kind]
		full := time.Duration(r.Len()) * (speed.Base + time.Duration(speed.Batch)*speed.PerSeq)
		s.add(float64(g.Count*speed.Batch), full)
		ranges[r] = s
	}
	paths := chains(ranges, 0, env.layers(model))
	if len(paths) == 0 {
		return 0, fmt.Errorf("no engines cover model %s", model)
	}
	return maxThroughput(ranges, paths)
}

// rangeCapacity is the number of concurrent sequences of a layer range and its mean step time at full
// batch.
type rangeCapacity struct {
	sequences float64
	step      time.Duration
}

func (s *rangeCapacity) add(n float64, step time.Duration) {
	total := s.sequences + n
	s.step = time.Duration((float64(s.step)*s.sequences + float64(step)*n) / total)
	s.sequences = total
}

func chains(ranges map[pkid.Range]rangeCapacity, from, to pkid.Layer) [][]pkid.Range {
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

// maxThroughput solves the linear program in standard form, with one column per chain and one slack
// column per range.
func maxThroughput(ranges map[pkid.Range]rangeCapacity, paths [][]pkid.Range) (float64, error) {
	rows := map[pkid.Range]int{}
	limits := make([]float64, 0, len(ranges))
	for r, s := range ranges {
		rows[r] = len(limits)
		limits = append(limits, s.sequences)
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
		return 0, fmt.Errorf("solve linear program of capacity: %w", err)
	}
	return -value, nil
}
