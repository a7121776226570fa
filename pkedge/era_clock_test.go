package pkedge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkstore"
)

// The store comes back from an older copy, and the owner of the pools may not have heard of it. One
// that takes them over at once orders the same engines by another plan; the owner itself must not
// wait, or nobody mends the pool meanwhile.
func TestOnlyTheOwnerOfTheEraBeforeGoesOnAtOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, row := range []struct {
		name    string
		eras    []pkstore.Era
		owned   bool
		settled bool
	}{
		{"the first era that is heard of", []pkstore.Era{3}, false, true},
		{"the same again", []pkstore.Era{3, 3}, false, true},
		{"late word of an earlier one", []pkstore.Era{3, 2}, false, true},
		{"a later one", []pkstore.Era{3, 4}, false, false},
		{"a later one at its owner", []pkstore.Era{3, 4}, true, true},
	} {
		var e eraClock
		for _, era := range row.eras {
			e.enter(start, era, row.owned)
		}
		assert.Equal(t, e.settled(start.Add(leaseTTL-1)), row.settled, row.name)
		assert.Assert(t, e.settled(start.Add(leaseTTL)), row.name)
	}
}
