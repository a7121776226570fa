package pkedge

import (
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkstore"
)

// Guards against lists that are read for nothing: in a storm of changes each look finds a newer version
// than the watch has told, and the watch is well.
func TestAWatchMissesWhatTheLookBeforeFound(t *testing.T) {
	var u unheard
	u.hear(5)
	for i, step := range []struct {
		told, found pkstore.Revision
		want        bool
	}{{5, 5, false}, {5, 7, false}, {7, 9, false}, {9, 11, false}, {10, 13, true}, {13, 13, false}, {13, 4, false}} {
		u.hear(step.told)
		assert.Equal(t, u.misses(step.found), step.want, "look %d", i)
	}
}
