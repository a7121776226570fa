package pklayers

import (
	"cmp"
	"slices"

	"peridotknot.example/pkid"
)

// layOut plans a new pool, group by group. The fastest engines of a group come first and
// stand side by side; each takes as many layers as leave it the usual room, where the
// group has the least, so what is left over after one whole copy holds layers twice. With
// one copy in a data centre and all of its memory for requests, each lost engine sent a
// third of all streams through two pipes, which then were full.
func layOut(m *Model, live []Card) map[pkid.TargetID]pkid.Range {
	sorted := slices.Clone(live)
	slices.SortStableFunc(sorted, func(a, b Card) int {
		x, y := m.Kinds[a.Kind], m.Kinds[b.Kind]
		return cmp.Or(cmp.Compare(x.StepFactor, y.StepFactor), cmp.Compare(y.MemoryMB, x.MemoryMB))
	})
	for i := range sorted {
		sorted[i].Held, sorted[i].Fresh = pkid.Range{}, false
	}
	return fillEmpty(newPool(m, sorted))
}
