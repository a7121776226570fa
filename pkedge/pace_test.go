package pkedge_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/platform/platformtest"
)

// slowPoolStreams is how many streams in a row show which engines are used.
const slowPoolStreams = 12

// firsts returns the first engines of some streams, one after the other.
func (n *node) firsts(t *testing.T, w *platformtest.World, round string) map[string]bool {
	t.Helper()
	out := map[string]bool{}
	for i := range slowPoolStreams {
		id := fmt.Sprintf("%s-%d", round, i)
		assert.Equal(t, n.do(t, http.MethodPost, "/talk/1", id, platformtest.Key, 2).status, http.StatusOK)
		for engine := range runsAt(w, id) {
			out[engine] = true
		}
	}
	return out
}

// Some engines take twelve times as long as their kind, for some seconds, and say so in their
// reports. Prompts stand in line there while others have room, and answers are late. All entries
// must learn of it, also those that ask no engine themselves, choose other engines, and use those
// again once they are sound.
func TestStreamsPassOverSlowEngines(t *testing.T) {
	t.Parallel()
	w, engines := pool(t)
	near := start(t, w, "n-near")
	far := startIn(t, w, "n-far", "b")
	near.streams(t)
	far.streams(t)
	first := ""
	for first = range near.firsts(t, w, "before") {
		break
	}
	engines[first].Slow(12)
	for _, n := range []*node{near, far} {
		round := 0
		eventually(t, "streams without the slow engine", func() bool {
			round++
			return !n.firsts(t, w, fmt.Sprintf("slow-%s-%d", n.Callers(), round))[first]
		})
		assert.Equal(t, n.metric(t, "peridotknot_slow_engines"), "1")
	}
	engines[first].Slow(1)
	for _, n := range []*node{near, far} {
		eventually(t, "word of the sound engine", func() bool { return n.metric(t, "peridotknot_slow_engines") == "0" })
	}
}
