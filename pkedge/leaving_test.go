package pkedge_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/platform/platformtest"
)

// Guards against requests that still reach a target which says in its responses that it leaves,
// while its record does not: it soon stops, and takes them with it. It may not be used for lack of
// another one either.
func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	leaving := w.Add(platformtest.App, "i-a", "a")
	other := w.Add(platformtest.App, "i-b", "a")
	nodes := startEntries(t, w, 2)
	send := readRequest(t)
	leaving.SetLeaving(true)
	tellLimit(t, nodes[0], leaving, send)
	eventually(t, "the report to the other entry", func() bool { return nodes[1].metric(t, "peridotknot_targets_avoided") == "1" })
	before := leaving.Arrivals()
	for i := range 50 {
		assert.Equal(t, send(nodes[i%2], fmt.Sprintf("read-%d", i)).status, http.StatusOK)
	}
	assert.Equal(t, leaving.Arrivals(), before)
	assert.Equal(t, nodes[0].metric(t, "peridotknot_leaving_targets"), "1")
	// A new heartbeat of the same record says nothing else, and neither does the loss of the other one.
	leaving.Heartbeat()
	other.Drain()
	eventually(t, "the drain of the other target", func() bool { return send(nodes[0], "none").status == http.StatusServiceUnavailable })
	assert.Equal(t, leaving.Arrivals(), before)
}

// Guards against paths that enter a pool by an engine which says that it leaves; the stream that
// learned of it goes on to its end.
func TestPathsPassByEnginesThatSayTheyLeave(t *testing.T) {
	t.Parallel()
	w, engines := newPool(t)
	n := start(t, w, "one")
	n.waitForStream(t)
	n.waitForLayers(t, w, engines)
	stream := func(n *node, id string) reply {
		const length = 20
		got := n.do(t, http.MethodPost, "/talk/1", id, platformtest.Key, length)
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(length))
		return got
	}
	leaving := tellFirstEngine(t, n, engines, (*platformtest.Replica).SetLeaving, stream)
	before := leaving.Arrivals()
	for i := range 20 {
		stream(n, fmt.Sprintf("talk-%d", i))
	}
	assert.Equal(t, leaving.Arrivals(), before)
}

// Guards against a target that is kept out for good by what its earlier start has said.
func TestRestartedTargetIsUsedAgain(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	r := w.Add(platformtest.App, "i-a", "a")
	r.Restart() // gives it a start time
	n := start(t, w, "one")
	eventually(t, "readiness", func() bool { return n.isReady(t) })
	send := readRequest(t)
	r.SetLeaving(true)
	tellLimit(t, n, r, send)
	assert.Equal(t, send(n, "left").status, http.StatusServiceUnavailable)
	r.Restart()
	i := 0
	eventually(t, "the new start", func() bool {
		i++
		return send(n, fmt.Sprintf("new-%d", i)).status == http.StatusOK
	})
}
