package pklab

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkengine"
	"peridotknot.example/pkid"
	"peridotknot.example/pkplatform"
)

// versions returns how many engines hold each version of the sample's model.
func versions(t *testing.T, l *Lab) map[pkid.Version]int {
	t.Helper()
	engines := pkengine.NewClient(pkconn.DefaultOptions(), time.Second)
	platform := pkplatform.New(l.World.PlatformAddr(), pkconn.DefaultOptions())
	defer func() {
		assert.NilError(t, engines.Close())
		assert.NilError(t, platform.Close())
	}()
	list, err := platform.VMs(t.Context())
	assert.NilError(t, err)
	out := map[pkid.Version]int{}
	for _, vm := range list {
		load, err := engines.Load(t.Context(), vm.Addr)
		if err == nil && load.Model != "" {
			out[load.Version]++
		}
	}
	return out
}

func owner(l *Lab, entries int) int {
	for i := range entries {
		if len(status(l, i).Owns) > 0 {
			return i
		}
	}
	return -1
}

// The nightly upgrade is published, and the entry that owns the pool stops in
// the middle of the roll-out. Another one must take the pool over and finish
// it, callers must be answered all the while, and the new owner's fencing
// number must be the higher one.
func TestRollOutOutlivesItsOwner(t *testing.T) {
	l := startLab(t, 3)
	meet(t, l, 3)
	eventually(t, "the pool has an owner", func() bool { return owner(l, 3) >= 0 })
	first := owner(l, 3)
	assert.NilError(t, l.Upgrade())
	eventually(t, "the roll-out began", func() bool { return versions(t, l)["2026-12-01-next"] > 0 })
	assert.NilError(t, l.StopEntry(first))
	alive := (first + 1) % 3
	eventually(t, "every engine holds the new version", func() bool {
		resp, _ := postTo(t, l, alive, "/v1/chat/completions", key(t), chat)
		assert.Equal(t, resp.StatusCode, 200)
		v := versions(t, l)
		return v["2026-12-01-next"] == 12 && len(v) == 1
	})
	next := owner(l, 3)
	assert.Assert(t, next >= 0 && next != first, "owner is %d, was %d", next, first)
	assert.Equal(t, l.World.Ledger().Broken, 0)
}
