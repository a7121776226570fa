package pklayers

import (
	"cmp"
	"slices"

	"peridotknot.example/pkid"
)

// layOut plans a new pool from scratch, group by group. The fastest engines of a group come first
// and are given adjacent ranges. Each engine takes the layers with the least capacity in its group,
// as many as nominalLayers allows, so that spare memory holds second copies. With a single copy,
// each lost engine would send its data centre's streams over the links to others.
func layOut(m *Model, live []Placement) map[pkid.TargetID]pkid.Range {
	sorted := slices.Clone(live)
	slices.SortStableFunc(sorted, func(a, b Placement) int {
		ka, kb := m.Kinds[a.Kind], m.Kinds[b.Kind]
		return cmp.Or(cmp.Compare(ka.StepFactor, kb.StepFactor), cmp.Compare(kb.MemoryMB, ka.MemoryMB))
	})
	for i := range sorted {
		sorted[i].Held, sorted[i].JustJoined = pkid.Range{}, false
	}
	return fillEmpty(newPool(m, sorted))
}
