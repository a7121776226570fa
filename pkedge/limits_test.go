package pkedge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkedge"
	"peridotknot.example/pkid"
	"peridotknot.example/platform"
	"peridotknot.example/platform/platformtest"
)

// namedLimit is the limit in requests per second that a replica names in these tests.
const namedLimit = 2

// allowedArrivals returns how many requests a replica may get within a time, from the moment at
// which all entries were told of its limit.
func allowedArrivals(within time.Duration) int {
	const tolerance, slack = 1.5, 5
	return int(tolerance*namedLimit*within.Seconds()) + slack
}

// startEntries starts entries of one data centre and waits until each counts all of them.
func startEntries(t *testing.T, w *platformtest.Platform, entries int) []*node {
	t.Helper()
	var nodes []*node
	for i := range entries {
		nodes = append(nodes, startIn(t, w, fmt.Sprintf("n-%d", i), "a"))
	}
	for _, n := range nodes {
		eventually(t, "readiness", func() bool { return n.isReady(t) })
		eventually(t, "all entries", func() bool { return n.memberCount(t) == entries })
	}
	return nodes
}

// tellLimit sends requests through an entry until a replica has answered one.
func tellLimit(t *testing.T, n *node, r *platformtest.Replica, send func(n *node, id string) reply) {
	t.Helper()
	before, i := r.Arrivals(), 0
	eventually(t, "a response that names the limit", func() bool {
		i++
		assert.Equal(t, send(n, fmt.Sprintf("tell-%s-%d", n.CallersAddr(), i)).status, http.StatusOK)
		return r.Arrivals() > before
	})
}

// learnLimit sends requests through an entry until it knows the limit of a target, from a response or from another
// entry. One that has learned it from another may find the other targets faster, and never send to that target.
func learnLimit(t *testing.T, n *node, send func(n *node, id string) reply) {
	t.Helper()
	i := 0
	eventually(t, "the limit at the entry", func() bool {
		i++
		assert.Equal(t, send(n, fmt.Sprintf("learn-%s-%d", n.CallersAddr(), i)).status, http.StatusOK)
		return n.metric(t, "peridotknot_rate_limited_targets") == "1"
	})
}

// tellFirstEngine makes an engine say something in its responses, and sends streams until it is the
// first engine of one.
func tellFirstEngine(t *testing.T, n *node, engines map[string]*platformtest.Replica, say func(e *platformtest.Replica, on bool), send func(n *node, id string) reply) *platformtest.Replica {
	t.Helper()
	var told *platformtest.Replica
	i := 0
	eventually(t, "a path that begins at the engine", func() bool {
		for _, e := range engines {
			if first, _ := e.HeldLayers(); first > 0 {
				continue
			}
			i++
			before := e.Arrivals()
			say(e, true)
			assert.Equal(t, send(n, fmt.Sprintf("first-%d", i)).status, http.StatusOK)
			if e.Arrivals() > before {
				told = e
				return true
			}
			say(e, false)
		}
		return false
	})
	return told
}

// waitForLayers waits until all engines of a pool hold layers and the node knows of it.
func (n *node) waitForLayers(t *testing.T, w *platformtest.Platform, engines map[string]*platformtest.Replica) {
	t.Helper()
	eventually(t, "engines with layers", func() bool {
		for _, e := range engines {
			if first, end := e.HeldLayers(); first == end {
				return false
			}
		}
		return n.knowsRevision(t, w.Store.Revision(platform.ReplicaPrefix))
	})
}

func readRequest(t *testing.T) func(n *node, id string) reply {
	return func(n *node, id string) reply { return n.do(t, http.MethodGet, "/read/1", id, platformtest.Key, 0) }
}

// Guards against a target in need that keeps getting what it got before: the limit that it names in
// its responses holds for all entries together, and the other targets serve the rest. Once it names
// none it is used as before.
func TestTargetGetsNoMoreThanTheLimitItNames(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{1, 4} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			t.Parallel()
			w := platformtest.NewPlatform()
			t.Cleanup(w.Close)
			limited := w.Add(platformtest.App, "i-a", "a")
			other := w.Add(platformtest.App, "i-b", "a")
			nodes := startEntries(t, w, entries)
			send := readRequest(t)
			limited.SetRateLimit(fmt.Sprint(namedLimit))
			tellLimit(t, nodes[0], limited, send)
			for _, n := range nodes {
				learnLimit(t, n, send)
			}
			began, before := time.Now(), limited.Arrivals()
			const atOnce, each = 20, 10
			replies := make(chan reply, atOnce*each)
			for i := range atOnce {
				go func() {
					for k := range each {
						replies <- send(nodes[i%entries], fmt.Sprintf("read-%d-%d", i, k))
					}
				}()
			}
			for range atOnce * each {
				got := <-replies
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
			}
			got, allowed := limited.Arrivals()-before, allowedArrivals(time.Since(began))
			assert.Assert(t, got <= allowed, "%d of 200 requests, %d allowed", got, allowed)
			limited.SetRateLimit("")
			other.Drain()
			for _, n := range nodes {
				i := 0
				eventually(t, "a target that serves all", func() bool {
					served := 0
					for range 10 {
						i++
						if send(n, fmt.Sprintf("after-%s-%d", n.CallersAddr(), i)).status == http.StatusOK {
							served++
						}
					}
					return served == 10
				})
			}
		})
	}
}

// Guards against streams that enter a pool by an engine in need beyond the limit that it names:
// paths must enter by others.
func TestFirstEngineGetsNoMoreThanTheLimitItNames(t *testing.T) {
	t.Parallel()
	w, engines := newPool(t)
	n := start(t, w, "one")
	n.waitForStream(t)
	n.waitForLayers(t, w, engines)
	stream := func(n *node, id string) reply {
		return n.do(t, http.MethodPost, "/talk/1", id, platformtest.Key, 1)
	}
	limited := tellFirstEngine(t, n, engines, func(e *platformtest.Replica, on bool) {
		e.SetRateLimit("")
		if on {
			e.SetRateLimit(fmt.Sprint(namedLimit))
		}
	}, stream)
	began, before := time.Now(), limited.Arrivals()
	for i := range 100 {
		got := stream(n, fmt.Sprintf("talk-%d", i))
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
	}
	got, allowed := limited.Arrivals()-before, allowedArrivals(time.Since(began))
	assert.Assert(t, got <= allowed, "%d of 100 streams, %d allowed", got, allowed)
}

// Guards against callers that wait for their deadline, or that are sent on to a target beyond its
// limit, where each target that could serve them is at its limit.
func TestCallersAreRefusedAtOnceWhereAllTargetsAreAtTheirLimits(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	limited := w.Add(platformtest.App, "i-a", "a")
	n := startWith(t, pkedge.Settings{
		Entry: pkid.EntryID("one"), DataCenter: "a", Store: w.Store.Addr(),
		Listen: pkedge.Listen{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0"},
		Stop:   pkedge.Stop{GraceS: 4},
		Retry:  pkedge.Retry{Ratio: 0.2, WindowS: 10, Slack: 200},
	})
	eventually(t, "readiness", func() bool { return n.isReady(t) })
	send := readRequest(t)
	limited.SetRateLimit(fmt.Sprint(namedLimit))
	tellLimit(t, n, limited, send)
	began, before, refused := time.Now(), limited.Arrivals(), 0
	for i := range 40 {
		id := fmt.Sprintf("read-%d", i)
		got := send(n, id)
		assert.NilError(t, got.err)
		if got.status == http.StatusOK {
			continue
		}
		refused++
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, got.header.Get("Retry-After") != "")
		assert.Equal(t, len(w.Runs(id)), 0, "a request that is refused has not run")
	}
	got, allowed := limited.Arrivals()-before, allowedArrivals(time.Since(began))
	assert.Assert(t, got <= allowed, "%d requests, %d allowed", got, allowed)
	assert.Assert(t, refused > 0)
	assert.Equal(t, n.metric(t, `peridotknot_requests_total{kind="idempotent",outcome="rate_limited"}`), fmt.Sprint(refused))
}

// Guards against limits that a sick target names: a value that is no limit changes nothing and is
// counted.
func TestUnusableLimitsChangeNothing(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	r := w.Add(platformtest.App, "i-a", "a")
	n := start(t, w, "one")
	eventually(t, "readiness", func() bool { return n.isReady(t) })
	const invalid = `peridotknot_response_headers_invalid_total{header="rate_limit"}`
	for i, text := range []string{"-1", "NaN", "Inf", "1e-9", "soon", "Thu, 03 Dec 2026 10:00:00 GMT"} {
		r.SetRateLimit(text)
		for k := range 3 {
			assert.Equal(t, readRequest(t)(n, fmt.Sprintf("read-%d-%d", i, k)).status, http.StatusOK)
		}
		assert.Equal(t, n.metric(t, invalid), fmt.Sprint(3*(i+1)))
		assert.Equal(t, n.metric(t, "peridotknot_rate_limited_targets"), "0")
	}
}

// Guards against each entry asking a target in need once more to find out about its limit, or about
// its end: the first to be told reports it to the others.
func TestPeersLearnOfALimit(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	r := w.Add(platformtest.App, "i-a", "a")
	nodes := startEntries(t, w, 2)
	limited := func(want string) func() bool {
		return func() bool { return nodes[1].metric(t, "peridotknot_rate_limited_targets") == want }
	}
	r.SetRateLimit("100")
	tellLimit(t, nodes[0], r, readRequest(t))
	eventually(t, "the limit at the other entry", limited("1"))
	r.SetRateLimit("")
	i := 0
	eventually(t, "the end of the limit", func() bool {
		i++
		readRequest(t)(nodes[0], fmt.Sprintf("end-%d", i))
		return limited("0")()
	})
}
