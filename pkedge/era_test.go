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

// runsAt returns the engines that ran a request.
func runsAt(w *platformtest.World, id string) map[string]bool {
	out := map[string]bool{}
	for _, run := range w.Runs(id) {
		out[run.Replica] = true
	}
	return out
}

// A key is taken away and an engine begins to leave. Then the store comes back from a copy of
// before, in which the key is good and the engine ready, and with all leases lost. Callers with
// the key would be served again, streams would go to the engine and be cut with it, and nobody
// would own the pool. The operators and the replicas write again what is so; until then and after
// it, every entry goes by what it knew.
func TestTheStoreComesBackFromAnOlderCopy(t *testing.T) {
	t.Parallel()
	const revoked, good = platformtest.Key, "key-2"
	w, engines := pool(t)
	w.Store.BeginEras()
	w.Configure(func(config map[string]any) {
		config["tenants"] = []any{map[string]any{"name": platformtest.Account, "api_keys": []string{revoked, good}}}
	})
	var nodes []*node
	for i := range 3 {
		nodes = append(nodes, start(t, w, fmt.Sprintf("n-%d", i)))
	}
	for _, n := range nodes {
		n.streams(t)
	}
	from := w.Store.Copy()
	w.Configure(func(config map[string]any) {
		config["tenants"] = []any{map[string]any{"name": platformtest.Account, "api_keys": []string{good}}}
	})
	leaving := "i-0"
	engines[leaving].Leave()
	engines[leaving].Behave(platformtest.Silent)
	at := w.Store.Revision(platform.ReplicaPrefix)
	for _, n := range nodes {
		eventually(t, "the new version", func() bool { return n.metric(t, "peridotknot_config_version") == "6" })
		eventually(t, "word of the leaving engine", func() bool { return n.known(t, at) })
	}

	asked := 0
	check := func() {
		for _, n := range nodes {
			asked++
			id := fmt.Sprintf("after-%d", asked)
			assert.Equal(t, n.do(t, http.MethodPost, "/talk/1", id+"-revoked", revoked, 1).status, http.StatusUnauthorized)
			got := n.do(t, http.MethodPost, "/talk/1", id, good, 2)
			assert.Equal(t, got.body, events(2), "%d %v", got.status, got.err)
			assert.Assert(t, !runsAt(w, id)[leaving])
		}
	}
	w.Store.Return(from)
	for _, n := range nodes {
		eventually(t, "the new era", func() bool { return n.metric(t, "peridotknot_store_era") == "2" })
		assert.Equal(t, n.metric(t, "peridotknot_store_returns_total"), "1")
	}
	check()
	assert.Equal(t, len(w.Store.Keys(platform.ReplicaPrefix)), len(engines))

	w.Store.Put(platform.ConfigKey, w.Config())
	for _, one := range engines {
		one.Beat()
	}
	check()
	eventually(t, "all entries among the members", func() bool { return len(w.Store.Keys(platform.OwnPrefix+"entry/")) == len(nodes) })
	fresh := w.Add(platformtest.Pool, "i-new", "a")
	eventually(t, "an order of an owner", func() bool { _, end := fresh.Held(); return end > 0 })
	check()
	for _, n := range nodes {
		assert.Equal(t, n.metric(t, "peridotknot_config_version"), "6")
	}
}

// An entry starts while the store has an older version than the other entries know, since it came
// back from a copy and the operators have not written yet. A key that was taken away before would
// be good there for as long as that takes. The others tell it.
func TestAnEntryThatStartsInANewEraIsToldTheNewestVersion(t *testing.T) {
	t.Parallel()
	w, _ := pool(t)
	w.Store.BeginEras()
	old := start(t, w, "n-old")
	eventually(t, "readiness", func() bool { return old.isReady(t) })
	from := w.Store.Copy()
	w.Configure(nil)
	eventually(t, "the new version", func() bool { return old.metric(t, "peridotknot_config_version") == "4" })
	w.Store.Return(from)
	eventually(t, "the new era", func() bool { return old.metric(t, "peridotknot_store_era") == "2" })
	fresh := start(t, w, "n-fresh")
	eventually(t, "the newest version", func() bool { return fresh.metric(t, "peridotknot_config_version") == "4" })
	assert.Equal(t, old.metric(t, "peridotknot_config_version"), "4")
}

// The store is back from a copy and the owner of the pools learns it last: cut off from the store,
// it may order engines until its lease would have ended. Another that took the pools over at once
// would order the same engines by another plan.
func TestAnotherOwnerWaitsForTheLeaseOfTheEraBefore(t *testing.T) {
	t.Parallel()
	w, _ := pool(t)
	w.Store.BeginEras()
	l := link(t, w)
	owner := startAt(t, l.Addr(), "n-owner")
	owner.streams(t)
	assert.Equal(t, len(w.Store.Keys(platform.OwnPrefix+"owner")), 1)
	other := start(t, w, "n-other")
	eventually(t, "readiness", func() bool { return other.isReady(t) })
	w.Store.Return(w.Store.Copy())
	eventually(t, "the new era at the other", func() bool { return other.metric(t, "peridotknot_store_era") == "2" })
	eventually(t, "the owner again", func() bool {
		return string(w.Store.Value(platform.OwnPrefix+"owner")) == string(pkid.EntryID("n-owner"))
	})
}

// Guards against a key that is refused long after its version was acknowledged, since the watch of
// an ended era is never answered, while renewals tell of the new one.
func TestAVersionIsInForceThoughTheWatchOfAnEndedEraIsNotAnswered(t *testing.T) {
	t.Parallel()
	w := platformtest.NewWorld()
	defer w.Close()
	w.Store.BeginEras()
	w.Add(platformtest.App, "i-a", "a")
	nodes := []*node{start(t, w, "one"), start(t, w, "two")}
	for _, n := range nodes {
		eventually(t, "readiness", func() bool { return n.isReady(t) })
	}
	eventually(t, "watches", func() bool { return w.Store.Watches(platform.ConfigKey) == len(nodes) })
	w.Store.ReturnInSilence(w.Store.Copy())
	key := addKey(w, "key-2")
	for _, n := range nodes {
		n.serves(t, key)
	}
}
