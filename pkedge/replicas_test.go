package pkedge_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/platform/platformtest"
)

// Guards against incomplete streams when an engine crashes and restarts empty under the same id,
// and against a late write of the old process that brings its old record back. The engine must be
// given layers again.
func TestARestartedEngineServesAgain(t *testing.T) {
	t.Parallel()
	w, engines := newPool(t)
	n := start(t, w, "one")
	n.waitForStream(t)
	const streams, length = 12, 120
	answers, first := n.startStreams(t, w, streams, length)
	var restarted *platformtest.Replica
	for id, r := range engines {
		if !first[id] {
			restarted = r
		}
	}
	staleRecord := restarted.Restart()
	assertComplete(t, answers, streams, length)
	eventually(t, "layers again", func() bool {
		_, end := restarted.HeldLayers()
		return end > 0
	})
	w.PutEntry(restarted.ID, staleRecord)
	for i := range 20 {
		got := n.do(t, http.MethodPost, "/talk/1", fmt.Sprintf("after-%d", i), platformtest.Key, 3)
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(3))
	}
	assert.Equal(t, n.metric(t, `peridotknot_sends_failed_total{reason="refused",verdict="not_run"}`), "", "the stale record is not used")
}

// Guards against requests to addresses in invalid records, one of which replaces the record of a
// valid replica. Callers must be served by the other replicas, and the replaced one must be used
// again once its record is valid.
func TestInvalidReplicaRecordsAreNotUsed(t *testing.T) {
	t.Parallel()
	w, _ := newPool(t)
	a, b := w.Add(platformtest.App, "i-a", "a"), w.Add(platformtest.App, "i-b", "a")
	trap, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, trap.Close()) }()
	connected := make(chan struct{}, 100)
	go func() {
		for {
			c, err := trap.Accept()
			if err != nil {
				return
			}
			_ = c.Close() // no connection is expected
			connected <- struct{}{}
		}
	}()
	entry := func(service string, more map[string]any) map[string]any {
		out := map[string]any{
			"service": service, "address": trap.Addr().String(), "zone": "a", "version": "v1", "capacity_slots": 6,
			"state": "ready", "sequence": 1, "cold_left_ms": 0, "route_type": "card",
		}
		for name, value := range more {
			out[name] = value
		}
		return out
	}
	n := start(t, w, "one")
	n.waitForStream(t)
	w.PutEntry("f-1", entry("unheard of", nil))
	w.PutEntry("f-2", entry(platformtest.App, map[string]any{"state": "warm"}))
	w.PutEntry("f-3", entry(platformtest.Pool, map[string]any{"layers": map[string]any{"from": 0, "target": platformtest.Layers + 1}}))
	w.PutEntry("f-4", entry(platformtest.Pool, map[string]any{"capacity_slots": -1}))
	w.PutEntry("f-5", "no entry at all")
	w.PutEntry("i-a", entry(platformtest.App, map[string]any{"address": 7}))
	for _, field := range []string{"service", "state", "layers", "capacity_slots", "entry", "address"} {
		name := fmt.Sprintf("peridotknot_replica_entries_unusable_total{field=%q}", field)
		eventually(t, name, func() bool { return n.metric(t, name) == "1" })
	}
	for i := range 10 {
		id := fmt.Sprintf("book-%d", i)
		assert.Equal(t, n.do(t, http.MethodPost, "/book/1", id, platformtest.Key, 0).status, http.StatusOK)
		assert.Equal(t, w.Runs(id)[0].Replica, b.ID)
		got := n.do(t, http.MethodPost, "/talk/1", fmt.Sprintf("talk-%d", i), platformtest.Key, 3)
		assert.Equal(t, got.body, events(3))
	}
	a.Touch()
	b.Drain()
	i := 0
	eventually(t, "the valid record", func() bool {
		i++
		id := fmt.Sprintf("again-%d", i)
		n.do(t, http.MethodPost, "/book/1", id, platformtest.Key, 0)
		return w.Runs(id)[0].Replica == a.ID
	})
	assert.Equal(t, len(connected), 0)
}

// Guards against an odd entry in the list of replicas that ends the entries which read it, or keeps them from following those
// that come after it.
func TestEntriesFollowTheListBehindAnOddOne(t *testing.T) {
	t.Parallel()
	const odd = `{"service":"app","address":%s,"zone":"a","version":"v1","capacity_slots":%s,"state":"ready","sequence":1,"cold_left_ms":0,"layers":%s}`
	deep := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	a := w.Add(platformtest.App, "i-a", "a")
	n := start(t, w, "one")
	served := func(n *node, id string) func() bool {
		return func() bool {
			return n.do(t, http.MethodGet, "/read/1", id, platformtest.Key, 0).status == http.StatusOK
		}
	}
	eventually(t, "a call", served(n, "warm"))
	for i, raw := range []string{
		fmt.Sprintf(odd, deep, "6", "null"), fmt.Sprintf(odd, `"127.0.0.1:1"`, deep, "null"), fmt.Sprintf(odd, `"127.0.0.1:1"`, "6", deep),
		fmt.Sprintf(odd, `"127.0.0.1:1"`, "1e999", "null"), fmt.Sprintf(odd, `"127.0.0.1:1"`, "12345678901234567890123456", "null"),
		fmt.Sprintf(odd, `"127.0.0.1:70000"`, "6", "null"), fmt.Sprintf(odd, `"127.0.0.1:-1"`, "6", "null"),
		fmt.Sprintf(odd, `"127.0.0.1:1"`, "6", `{"from":0,"target":1e999}`),
	} {
		w.Store.PutRaw(fmt.Sprintf("servers/i-odd-%d", i), []byte(raw))
	}
	b := w.Add(platformtest.App, "i-b", "a")
	a.Kill()
	w.Store.Delete("servers/i-a")
	eventually(t, "a call of the next replica", served(n, "after"))
	restarted := start(t, w, "two")
	eventually(t, "a call of an entry that starts", served(restarted, "started"))
	assert.Equal(t, w.Runs("started")[0].Replica, b.ID)
}
