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

// countVersions returns the number of engines per loaded model version.
func countVersions(t *testing.T, l *Lab) map[pkid.Version]int {
	t.Helper()
	engines := pkengine.NewClient(pkconn.DefaultOptions(), time.Second)
	platform := pkplatform.New(l.Standins.PlatformAddr(), pkconn.DefaultOptions())
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

func poolOwner(l *Lab, entries int) int {
	for i := range entries {
		if len(status(l, i).Owns) > 0 {
			return i
		}
	}
	return -1
}

// When the entry that owns the pool stops during a rollout, another one must take over the pool and
// complete the rollout, without failed requests or violations.
func TestRolloutSurvivesOwnerStop(t *testing.T) {
	l := startLab(t, 3)
	waitForNeighbors(t, l, 3)
	eventually(t, "the pool has an owner", func() bool { return poolOwner(l, 3) >= 0 })
	oldOwner := poolOwner(l, 3)
	assert.NilError(t, l.Upgrade())
	eventually(t, "the rollout has started", func() bool { return countVersions(t, l)["2026-12-01-next"] > 0 })
	assert.NilError(t, l.StopEntry(oldOwner))
	alive := (oldOwner + 1) % 3
	eventually(t, "every engine has loaded the new version", func() bool {
		resp, _ := postTo(t, l, alive, "/v1/chat/completions", apiKey(t), chatBody)
		assert.Equal(t, resp.StatusCode, 200)
		v := countVersions(t, l)
		return v["2026-12-01-next"] == 12 && len(v) == 1
	})
	newOwner := poolOwner(l, 3)
	assert.Assert(t, newOwner >= 0 && newOwner != oldOwner, "owner is %d, was %d", newOwner, oldOwner)
	assert.Equal(t, l.Standins.Ledger().ViolationCount, 0)
}
