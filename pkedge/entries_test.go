package pkedge_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/platform/platformtest"
)

// An engine in use crashes and starts again at once under its id, with nothing loaded, while
// streams pass through it. Their callers must get them whole, the engine must be given layers
// again, and a write of its old process that comes late must not bring its old entry back.
func TestAnEngineThatStartsAgainServesAgain(t *testing.T) {
	t.Parallel()
	w, engines := pool(t)
	n := start(t, w, "one")
	n.streams(t)
	const streams, length = 12, 120
	answers, first := n.startStreams(t, w, streams, length)
	var again *platformtest.Replica
	for id, r := range engines {
		if !first[id] {
			again = r
		}
	}
	late := again.Restart()
	allWhole(t, answers, streams, length)
	eventually(t, "layers again", func() bool {
		_, end := again.Held()
		return end > 0
	})
	w.Foreign(again.ID, late)
	for i := range 20 {
		got := n.do(t, http.MethodPost, "/talk/1", fmt.Sprintf("after-%d", i), platformtest.Key, 3)
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(3))
	}
	assert.Equal(t, n.metric(t, `peridotknot_sends_failed_total{reason="refused",verdict="not_run"}`), "", "nothing went by the late entry")
}

// Another writer puts entries into the list: one takes the place of a sound replica's, others
// name replicas that are none. Callers must be served by those that are left, nothing may
// connect to what is named, and a sound entry counts again.
func TestEntriesThatNameNoReplicaAreNotUsed(t *testing.T) {
	t.Parallel()
	w, _ := pool(t)
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
			_ = c.Close() // whoever connects is wrong
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
	n.streams(t)
	w.Foreign("f-1", entry("unheard of", nil))
	w.Foreign("f-2", entry(platformtest.App, map[string]any{"state": "warm"}))
	w.Foreign("f-3", entry(platformtest.Pool, map[string]any{"layers": map[string]any{"from": 0, "target": platformtest.Layers + 1}}))
	w.Foreign("f-4", entry(platformtest.Pool, map[string]any{"capacity_slots": -1}))
	w.Foreign("f-5", "no entry at all")
	w.Foreign("i-a", entry(platformtest.App, map[string]any{"address": 7}))
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
	b.Leave()
	i := 0
	eventually(t, "the sound entry", func() bool {
		i++
		id := fmt.Sprintf("again-%d", i)
		n.do(t, http.MethodPost, "/book/1", id, platformtest.Key, 0)
		return w.Runs(id)[0].Replica == a.ID
	})
	assert.Equal(t, len(connected), 0)
}
