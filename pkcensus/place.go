package pkcensus

import (
	"slices"

	"peridotknot.example/pkid"
)

// Place returns the place of an entry, from 0 to 1, in the order in which entries take turns: its rank among those known by
// name if these are all, so that the places are spread evenly, or else the given one.
func Place(self pkid.EntryID, others []pkid.EntryID, entries int, otherwise float64) float64 {
	named := append([]pkid.EntryID{self}, others...)
	slices.Sort(named)
	named = slices.Compact(named)
	if len(named) < entries {
		return otherwise
	}
	return float64(slices.Index(named, self)) / float64(len(named))
}
