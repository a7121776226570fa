package pkedge_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkedge"
	"peridotknot.example/platform/platformtest"
)

// Guards against lost, repeated or reordered events when the first engine of a path misbehaves: the
// caller must get each event once and in order, or an answer that shows the failure.
func TestAMisbehavingEngine(t *testing.T) {
	t.Parallel()
	w, _ := newPool(t)
	n := start(t, w, "one")
	n.waitForStream(t)
	cases := []struct {
		behavior platformtest.Behavior
		runs     int
	}{
		{platformtest.Normal, 1},
		{platformtest.Full, 1},
		{platformtest.WrongInstance, 1},
		{platformtest.ResetBeforeBody, 1},
		{platformtest.ResetAfterBody, 2},
		{platformtest.Truncated, 2},
		{platformtest.HeadersOnly, 2},
		{platformtest.ServerError, 2},
		{platformtest.Unsealed, 2},
		{platformtest.Unresponsive, 2},
	}
	for _, c := range cases {
		t.Run(string(c.behavior), func(t *testing.T) {
			id := "talk-" + string(c.behavior)
			w.SetNextBehaviors(c.behavior)
			got := n.do(t, http.MethodPost, "/talk/1", id, platformtest.Key, 30)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, events(30))
			assert.Equal(t, len(w.Runs(id)), c.runs)
		})
	}
	t.Run("both attempts break off before the first event", func(t *testing.T) {
		w.SetNextBehaviors(platformtest.HeadersOnly, platformtest.HeadersOnly)
		got := n.do(t, http.MethodPost, "/talk/1", "talk-heads", platformtest.Key, 30)
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusBadGateway)
		assert.Equal(t, got.header.Get(platformtest.SealHeader), "", "an error answer of the router is not sealed")
	})
	t.Run("both attempts are cut", func(t *testing.T) {
		w.SetNextBehaviors(platformtest.Truncated, platformtest.Truncated)
		got := n.do(t, http.MethodPost, "/talk/1", "talk-twice", platformtest.Key, 30)
		assert.Assert(t, got.err != nil, "an incomplete answer must end with an error")
		assert.Assert(t, strings.HasPrefix(events(30), got.body), got.body)
	})
}

// Guards against streams that wait for a dead engine in the middle of their paths: they must
// continue elsewhere without a lost or repeated event.
func TestStreamsSurviveADeadEngine(t *testing.T) {
	t.Parallel()
	w, engines := newPool(t)
	n := start(t, w, "one")
	n.waitForStream(t)
	const streams, length = 6, 400
	answers, _ := n.startStreams(t, w, streams, length)
	time.Sleep(200 * time.Millisecond)
	engines["i-1"].Kill()
	assertComplete(t, answers, streams, length)
}

// Guards against breaking off a stream by moving it off a draining engine, which keeps serving for
// seconds, while no other engine has capacity.
func TestStreamsStayOnADrainingEngineWithoutAlternative(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	engines := []*platformtest.Replica{w.Add(platformtest.Pool, "i-0", "a"), w.Add(platformtest.Pool, "i-1", "a")}
	n := start(t, w, "one")
	n.waitForStream(t)
	const length = 500
	answers := make(chan reply, 1)
	go func() { answers <- n.do(t, http.MethodPost, "/talk/1", "long", platformtest.Key, length) }()
	eventually(t, "the stream", func() bool { return len(w.Runs("long")) == 1 })
	for _, e := range engines {
		if e.ID != w.Runs("long")[0].Replica {
			e.Drain()
		}
	}
	got := <-answers
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(length))
}

// Guards against streams that stall until their deadline because they look for another path only
// once after an engine has died: they must continue when capacity becomes free a second later.
func TestStreamsWaitForCapacityAfterAnEngineDied(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	w.Add(platformtest.Pool, "i-0", "a")
	second := w.Add(platformtest.Pool, "i-1", "a")
	n := start(t, w, "one")
	n.waitForStream(t)
	const streams, length = 3, 600
	const firsts = "peridotknot_first_event_seconds_count"
	before, err := strconv.Atoi(n.metric(t, firsts))
	assert.NilError(t, err)
	answers, _ := n.startStreams(t, w, streams, length)
	// A stream without an event may still be answered with target_lost.
	eventually(t, "the first event of each stream", func() bool { return n.metric(t, firsts) == strconv.Itoa(before+streams) })
	second.Kill()
	time.Sleep(time.Second)
	for i := 2; i < 6; i++ {
		w.Add(platformtest.Pool, fmt.Sprintf("i-%d", i), "a")
	}
	assertComplete(t, answers, streams, length)
}

// Guards against breaking off streams on draining engines by moving them while the retry budget is
// spent, when they cannot be sent again.
func TestStreamsKeepTheirPathWhileTheRetryBudgetIsSpent(t *testing.T) {
	t.Parallel()
	w, engines := newPool(t)
	n := startWith(t, pkedge.Settings{
		Entry: "one", DataCenter: "a", Store: w.Store.Addr(),
		Listen: pkedge.Listen{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0"},
		Stop:   pkedge.Stop{GraceS: 4},
		Retry:  pkedge.Retry{WindowS: 10},
	})
	n.waitForStream(t)
	const streams, length = 6, 500
	answers, first := n.startStreams(t, w, streams, length)
	spared := ""
	for id, e := range engines {
		switch {
		case first[id]:
		case spared == "":
			spared = id
		default:
			e.Drain()
		}
	}
	assertComplete(t, answers, streams, length)
}

// Guards against incomplete or repeated streams of plain services whose targets misbehave. A
// resumable stream must be complete; any other must run at most once and show when its answer is
// incomplete.
func TestStreamsOfPlainServices(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	w.Add(platformtest.App, "i-a", "a")
	w.Add(platformtest.App, "i-b", "a")
	w.Configure(func(c map[string]any) {
		once := platformtest.RouteConfig("once", "/once/", "streaming", platformtest.App)
		once["resumable"] = false
		c["routes"] = append(c["routes"].([]any), platformtest.RouteConfig("live", "/live/", "streaming", platformtest.App), once)
	})
	n := start(t, w, "one")
	eventually(t, "readiness", func() bool { return n.isReady(t) })
	n.waitForRetries(t)
	for _, b := range []platformtest.Behavior{platformtest.Normal, platformtest.Full, platformtest.ResetAfterBody, platformtest.Truncated, platformtest.ServerError} {
		id := "live-" + string(b)
		w.SetNextBehaviors(b)
		got := n.do(t, http.MethodPost, "/live/1", id, platformtest.Key, 30)
		assert.NilError(t, got.err, string(b))
		assert.Equal(t, got.body, events(30), string(b))
	}
	cases := []struct {
		behavior platformtest.Behavior
		status   int
		cut      bool
	}{
		{platformtest.Normal, 200, false},
		{platformtest.Full, 200, false},
		{platformtest.ResetAfterBody, 502, false},
		{platformtest.Truncated, 200, true},
		{platformtest.ServerError, 500, false},
	}
	for _, c := range cases {
		id := "once-" + string(c.behavior)
		w.SetNextBehaviors(c.behavior)
		got := n.do(t, http.MethodPost, "/once/1", id, platformtest.Key, 30)
		assert.Equal(t, got.status, c.status, string(c.behavior))
		assert.Equal(t, got.err != nil, c.cut, string(c.behavior))
		assert.Equal(t, len(w.Runs(id)), 1, string(c.behavior))
	}
}

// Guards against mixing up the engines of two new pools, which would look as if engines came and
// went all the time, so that neither pool is given layers.
func TestTwoNewPoolsAreGivenLayers(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	const second = platformtest.Pool + "-2"
	for i := range 2 {
		w.Add(platformtest.Pool, fmt.Sprintf("i-%d", i), "a")
	}
	for i := range 3 {
		w.Add(second, fmt.Sprintf("j-%d", i), "a")
	}
	w.Configure(func(c map[string]any) {
		c["routes"] = append(c["routes"].([]any), platformtest.RouteConfig("second", "/second/", "streaming", second))
		c["services"] = append(c["services"].([]any), map[string]any{"name": second, "engine": platformtest.EngineConfig()})
	})
	n := start(t, w, "one")
	n.waitForStream(t)
	i := 0
	eventually(t, "a path in the second pool", func() bool {
		i++
		return n.do(t, http.MethodPost, "/second/1", fmt.Sprintf("second-%d", i), platformtest.Key, 1).status == http.StatusOK
	})
}
