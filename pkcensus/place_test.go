package pkcensus

import (
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
)

// Guards against entries whose turns fall at the same time by chance.
func TestPlacesAreSpreadEvenly(t *testing.T) {
	all := []pkid.EntryID{"d", "a", "c", "b"}
	for self, want := range map[pkid.EntryID]float64{"a": 0, "b": 0.25, "c": 0.5, "d": 0.75} {
		assert.Equal(t, Place(self, all, 4, 0.9), want)
		assert.Equal(t, Place(self, all, 5, 0.9), 0.9, "not all are known by name")
	}
	assert.Equal(t, Place("e", all, 5, 0.9), 0.8, "an entry that its list does not hold")
	assert.Equal(t, Place("a", nil, 1, 0.9), 0.0)
}
