package pkedge_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/platform"
	"peridotknot.example/platform/platformtest"
)

// enginesOf returns the ids of the engines that ran a request.
func enginesOf(w *platformtest.Platform, id string) map[string]bool {
	out := map[string]bool{}
	for _, run := range w.Runs(id) {
		out[run.Replica] = true
	}
	return out
}

// Guards against using stale data when the store is restored from an older copy, in which a revoked
// key is valid, a draining engine is ready and all leases are lost. The entries must keep the newer
// state that they know until it is written again, and become members and owner again.
func TestStoreIsRestoredFromAnOlderCopy(t *testing.T) {
	t.Parallel()
	const revoked, good = platformtest.Key, "key-2"
	w, engines := newPool(t)
	w.Store.EnableEras()
	w.Configure(func(config map[string]any) {
		config["tenants"] = []any{map[string]any{"name": platformtest.Account, "api_keys": []string{revoked, good}}}
	})
	var nodes []*node
	for i := range 3 {
		nodes = append(nodes, start(t, w, fmt.Sprintf("n-%d", i)))
	}
	for _, n := range nodes {
		n.waitForStream(t)
	}
	from := w.Store.Snapshot()
	w.Configure(func(config map[string]any) {
		config["tenants"] = []any{map[string]any{"name": platformtest.Account, "api_keys": []string{good}}}
	})
	leaving := "i-0"
	engines[leaving].Drain()
	engines[leaving].SetBehavior(platformtest.Unresponsive)
	at := w.Store.Revision(platform.ReplicaPrefix)
	for _, n := range nodes {
		eventually(t, "the new version", func() bool { return n.metric(t, "peridotknot_config_version") == "6" })
		eventually(t, "the draining engine", func() bool { return n.knowsRevision(t, at) })
	}

	asked := 0
	check := func() {
		for _, n := range nodes {
			asked++
			id := fmt.Sprintf("after-%d", asked)
			assert.Equal(t, n.do(t, http.MethodPost, "/talk/1", id+"-revoked", revoked, 1).status, http.StatusUnauthorized)
			got := n.do(t, http.MethodPost, "/talk/1", id, good, 2)
			assert.Equal(t, got.body, events(2), "%d %v", got.status, got.err)
			assert.Assert(t, !enginesOf(w, id)[leaving])
		}
	}
	w.Store.Restore(from)
	for _, n := range nodes {
		eventually(t, "the new era", func() bool { return n.metric(t, "peridotknot_store_era") == "2" })
		assert.Equal(t, n.metric(t, "peridotknot_store_returns_total"), "1")
	}
	check()
	assert.Equal(t, len(w.Store.Keys(platform.ReplicaPrefix)), len(engines))

	w.Store.Put(platform.ConfigKey, w.Config())
	for _, one := range engines {
		one.Heartbeat()
	}
	check()
	eventually(t, "all entries as members", func() bool { return len(w.Store.Keys(platform.OwnPrefix+"entry/")) == len(nodes) })
	fresh := w.Add(platformtest.Pool, "i-new", "a")
	eventually(t, "layers ordered by the owner", func() bool { _, end := fresh.HeldLayers(); return end > 0 })
	check()
	for _, n := range nodes {
		assert.Equal(t, n.metric(t, "peridotknot_config_version"), "6")
	}
}

// Guards against a new entry that puts an older configuration in force after the store was restored
// from an older copy: its peers must send it the newest one.
func TestANewEntryLearnsTheNewestConfigurationInANewEra(t *testing.T) {
	t.Parallel()
	w, _ := newPool(t)
	w.Store.EnableEras()
	old := start(t, w, "n-old")
	eventually(t, "readiness", func() bool { return old.isReady(t) })
	from := w.Store.Snapshot()
	w.Configure(nil)
	eventually(t, "the new version", func() bool { return old.metric(t, "peridotknot_config_version") == "4" })
	w.Store.Restore(from)
	eventually(t, "the new era", func() bool { return old.metric(t, "peridotknot_store_era") == "2" })
	fresh := start(t, w, "n-fresh")
	eventually(t, "the newest version", func() bool { return fresh.metric(t, "peridotknot_config_version") == "4" })
	assert.Equal(t, old.metric(t, "peridotknot_config_version"), "4")
}

// Guards against two owners that order the same engines by different plans: after the store was
// restored from an older copy, the previous owner may act until its lease would have expired.
func TestNewOwnerWaitsForTheLeaseOfThePreviousEra(t *testing.T) {
	t.Parallel()
	w, _ := newPool(t)
	w.Store.EnableEras()
	l := storeProxy(t, w)
	owner := startAt(t, l.Addr(), "n-owner")
	owner.waitForStream(t)
	assert.Equal(t, len(w.Store.Keys(platform.OwnPrefix+"owner")), 1)
	other := start(t, w, "n-other")
	eventually(t, "readiness", func() bool { return other.isReady(t) })
	w.Store.Restore(w.Store.Snapshot())
	eventually(t, "the new era at the other entry", func() bool { return other.metric(t, "peridotknot_store_era") == "2" })
	eventually(t, "the owner again", func() bool {
		return string(w.Store.Value(platform.OwnPrefix+"owner")) == string(pkid.EntryID("n-owner"))
	})
}

// Guards against a configuration that is not put in force because the watch of the previous era is
// never answered, while lease renewals show the new one.
func TestConfigurationIsInForceIfTheWatchOfThePreviousEraIsNotAnswered(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	defer w.Close()
	w.Store.EnableEras()
	w.Add(platformtest.App, "i-a", "a")
	nodes := []*node{start(t, w, "one"), start(t, w, "two")}
	for _, n := range nodes {
		eventually(t, "readiness", func() bool { return n.isReady(t) })
	}
	eventually(t, "watches", func() bool { return w.Store.WatchCount(platform.ConfigKey) == len(nodes) })
	w.Store.RestoreHoldingWatches(w.Store.Snapshot())
	key := addKey(w, "key-2")
	for _, n := range nodes {
		n.waitForKey(t, key)
	}
}
