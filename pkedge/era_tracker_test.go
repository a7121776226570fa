package pkedge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkstore"
)

// Guards against two owners of the pools after the store was restored from an older copy, and
// against pools without an owner because the previous one waits for its own lease.
func TestOnlyThePreviousOwnerMayTakeOverAtOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, row := range []struct {
		name  string
		eras  []pkstore.Era
		owned bool
		want  bool
	}{
		{"first known era", []pkstore.Era{3}, false, true},
		{"same era again", []pkstore.Era{3, 3}, false, true},
		{"late report of an earlier era", []pkstore.Era{3, 2}, false, true},
		{"later era", []pkstore.Era{3, 4}, false, false},
		{"later era at the previous owner", []pkstore.Era{3, 4}, true, true},
	} {
		var e eraTracker
		for _, era := range row.eras {
			e.observe(start, era, row.owned)
		}
		assert.Equal(t, e.mayTakeOver(start.Add(leaseTTL-1)), row.want, row.name)
		assert.Assert(t, e.mayTakeOver(start.Add(leaseTTL)), row.name)
	}
}
