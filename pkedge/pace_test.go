package pkedge_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/platform/platformtest"
)

// streamsPerRound is the number of consecutive streams that show which engines are used.
const streamsPerRound = 12

// firstEngines returns the first engines of consecutive streams.
func (n *node) firstEngines(t *testing.T, w *platformtest.Platform, round string) map[string]bool {
	t.Helper()
	out := map[string]bool{}
	for i := range streamsPerRound {
		id := fmt.Sprintf("%s-%d", round, i)
		assert.Equal(t, n.do(t, http.MethodPost, "/talk/1", id, platformtest.Key, 2).status, http.StatusOK)
		for engine := range enginesOf(w, id) {
			out[engine] = true
		}
	}
	return out
}

// Guards against paths over engines that are much slower than their kind for some seconds. All
// entries, also those that poll no engine themselves, must avoid such an engine and use it again
// once it has recovered.
func TestStreamsAvoidSlowEngines(t *testing.T) {
	t.Parallel()
	w, engines := newPool(t)
	near := start(t, w, "n-near")
	far := startIn(t, w, "n-far", "b")
	near.waitForStream(t)
	far.waitForStream(t)
	first := ""
	for first = range near.firstEngines(t, w, "before") {
		break
	}
	engines[first].SetPace(12)
	for _, n := range []*node{near, far} {
		round := 0
		eventually(t, "streams without the slow engine", func() bool {
			round++
			return !n.firstEngines(t, w, fmt.Sprintf("slow-%s-%d", n.CallersAddr(), round))[first]
		})
		assert.Equal(t, n.metric(t, "peridotknot_slow_engines"), "1")
	}
	engines[first].SetPace(1)
	for _, n := range []*node{near, far} {
		eventually(t, "the recovered engine", func() bool { return n.metric(t, "peridotknot_slow_engines") == "0" })
	}
}
