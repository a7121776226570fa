package pkedge_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkedge"
	"peridotknot.example/platform/platformtest"
)

// restSeconds is the rest that replicas ask for in these tests, longer than each of them takes.
const restSeconds = 600

// Guards against a target that has asked for rest and goes on getting requests, each of which it
// refuses and which takes a retry of another: it must get none, while the others serve all callers.
func TestTargetThatAsksForRestGetsNoRequests(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	resting := w.Add(platformtest.App, "i-a", "a")
	other := w.Add(platformtest.App, "i-b", "a")
	n := start(t, w, "one")
	eventually(t, "readiness", func() bool { return n.isReady(t) })
	send := readRequest(t)
	resting.SetRest(strconv.Itoa(restSeconds))
	tellRest(t, n, resting, send)
	before := resting.Arrivals()
	for i := range 100 {
		assert.Equal(t, send(n, fmt.Sprintf("read-%d", i)).status, http.StatusOK)
	}
	assert.Equal(t, resting.Arrivals(), before, "requests of 100 that reached the resting target")
	// Another target that fails must not bring the resting one back either.
	other.SetBehavior(platformtest.ResetBeforeBody)
	for i := range 5 {
		send(n, fmt.Sprintf("fails-%d", i))
	}
	assert.Equal(t, resting.Arrivals(), before)
}

// tellRest sends requests through an entry until a replica has refused one.
func tellRest(t *testing.T, n *node, r *platformtest.Replica, send func(n *node, id string) reply) {
	t.Helper()
	before, i := r.Arrivals(), 0
	eventually(t, "a refusal that asks for rest", func() bool {
		i++
		send(n, fmt.Sprintf("tell-%s-%d", n.CallersAddr(), i))
		return r.Arrivals() > before
	})
}

// Guards against a rest that ends with the next good answer of its target: one to a request that was
// sent before the refusal says nothing of the rest.
func TestAnswerToAnEarlierRequestDoesNotEndARest(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	resting := w.Add(platformtest.Pool+"-b", "i-a", "a")
	w.Configure(func(config map[string]any) {
		config["services"] = append(config["services"].([]any), map[string]any{"name": platformtest.Pool + "-b", "health_path": "/health", "max_conns": 50})
		config["routes"] = append(config["routes"].([]any), platformtest.RouteConfig("plain", "/plain/", "streaming", platformtest.Pool+"-b"))
	})
	n := start(t, w, "one")
	eventually(t, "readiness", func() bool { return n.isReady(t) })
	stream := func(n *node, id string, length int) reply {
		return n.do(t, http.MethodPost, "/plain/1", id, platformtest.Key, length)
	}
	const length = 40
	earlier := make(chan reply, 1)
	go func() { earlier <- stream(n, "earlier", length) }()
	eventually(t, "the earlier stream", func() bool { return len(w.Runs("earlier")) == 1 })
	resting.SetRest(strconv.Itoa(restSeconds))
	assert.Equal(t, stream(n, "refused", 1).status, http.StatusServiceUnavailable)
	got := <-earlier
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(length), "a resting target keeps its streams")
	before := resting.Arrivals()
	for i := range 5 {
		assert.Equal(t, stream(n, fmt.Sprintf("later-%d", i), 1).status, http.StatusServiceUnavailable)
	}
	assert.Equal(t, resting.Arrivals(), before)
}

// Guards against paths that use an engine which has asked for rest, as their first engine or behind
// another one that refuses on its behalf.
func TestPathsPassByEnginesThatAskForRest(t *testing.T) {
	t.Parallel()
	for _, behind := range []bool{false, true} {
		t.Run(fmt.Sprint("behind: ", behind), func(t *testing.T) {
			t.Parallel()
			w, engines := newPool(t)
			n := start(t, w, "one")
			n.waitForStream(t)
			n.waitForLayers(t, w, engines)
			send := func(n *node, id string) reply {
				return n.do(t, http.MethodPost, "/talk/1", id, platformtest.Key, 1)
			}
			const refused = `peridotknot_sends_failed_total{reason="refused",verdict="not_run"}`
			var resting *platformtest.Replica
			i := 0
			eventually(t, "an engine of a path that asks for rest", func() bool {
				for _, e := range engines {
					if from, end := e.HeldLayers(); from == end || behind != (from > 0) {
						continue
					}
					i++
					e.SetRest(strconv.Itoa(restSeconds))
					send(n, fmt.Sprintf("tell-%d", i))
					if n.metric(t, refused) != "" {
						resting = e
						return true
					}
					e.SetRest("")
				}
				return false
			})
			before, arrivals := n.metric(t, refused), resting.Arrivals()
			for i := range 100 {
				assert.Equal(t, send(n, fmt.Sprintf("talk-%d", i)).status, http.StatusOK)
			}
			assert.Equal(t, n.metric(t, refused), before, "refused sends")
			assert.Equal(t, resting.Arrivals(), arrivals)
		})
	}
}

// Guards against callers that wait for their deadline, or are told nothing of when to come back,
// where each target has asked for rest.
func TestCallersAreRefusedAtOnceWhereAllTargetsAskForRest(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	resting := w.Add(platformtest.App, "i-a", "a")
	n := startWith(t, pkedge.Settings{
		Entry: "one", DataCenter: "a", Store: w.Store.Addr(),
		Listen: pkedge.Listen{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0"},
		Stop:   pkedge.Stop{GraceS: 4},
		Retry:  pkedge.Retry{Ratio: 0.2, WindowS: 10, Slack: 200},
	})
	eventually(t, "readiness", func() bool { return n.isReady(t) })
	resting.SetRest(strconv.Itoa(restSeconds))
	send := readRequest(t)
	assert.Equal(t, send(n, "told").status, http.StatusServiceUnavailable)
	before := resting.Arrivals()
	for i := range 10 {
		got := send(n, fmt.Sprintf("read-%d", i))
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, 0 < wait && wait <= restSeconds)
	}
	assert.Equal(t, resting.Arrivals(), before)
	assert.Equal(t, n.metric(t, `peridotknot_requests_total{kind="idempotent",outcome="resting"}`), "11")
}

// Guards against a target that is kept out by a time that nobody can mean, and against one that is
// kept out for good: a short rest ends.
func TestRestEnds(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	r := w.Add(platformtest.App, "i-a", "a")
	n := start(t, w, "one")
	eventually(t, "readiness", func() bool { return n.isReady(t) })
	send := readRequest(t)
	for i, text := range []string{"soon", "-1", "Thu, 03 Dec 2026 10:00:00 GMT", "0.05"} {
		r.SetRest(text)
		assert.Equal(t, send(n, fmt.Sprintf("refused-%d", i)).status, http.StatusServiceUnavailable)
		r.SetRest("")
		k := 0
		eventually(t, "a target that is used again", func() bool {
			k++
			return send(n, fmt.Sprintf("read-%d-%d", i, k)).status == http.StatusOK
		})
	}
	assert.Equal(t, n.metric(t, `peridotknot_response_headers_invalid_total{header="retry_after"}`), "3")
}
