package pkedge_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkrelay"
	"peridotknot.example/platform/platformtest"
)

// Guards against requests that wander among entries none of which reaches a target: callers must be
// refused at once, as not run.
func TestCallersAreRefusedAtOnceWhereAllEntriesAreCutOff(t *testing.T) {
	t.Parallel()
	w, _ := newPool(t)
	w.Add(platformtest.App, "app-0", "a")
	nodes, links := startCuttable(t, w, 3)
	for _, l := range links {
		l.Cut(platformtest.CutRefusing)
	}
	eventually(t, "no peer to pass a request on to", func() bool {
		for _, n := range nodes {
			for i := range 3 {
				n.do(t, http.MethodPost, "/talk/1", fmt.Sprintf("find-%s-%d", n.CallersAddr(), i), platformtest.Key, 3)
			}
		}
		got := nodes[0].do(t, http.MethodPost, "/book/1", "one", platformtest.Key, 0)
		return got.err == nil && got.status == http.StatusServiceUnavailable
	})
	for i := range 10 {
		id := fmt.Sprintf("refused-%d", i)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		req, err := platformtest.NewRequest(ctx, http.MethodPost, "http://"+nodes[0].CallersAddr()+"/book/1", id, platformtest.Key, 0, time.Minute, nil)
		assert.NilError(t, err)
		resp, err := nodes[0].client.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		cancel()
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
		assert.Equal(t, resp.Header.Get(pkrelay.HeaderReason), "", "callers see nothing of relays")
		assert.Equal(t, len(w.Runs(id)), 0)
	}
}

// Guards against a stream that breaks off, or that comes twice, because the entry which serves it for
// another one ends.
func TestRelayedStreamsGoOnWhereTheServingEntryEnds(t *testing.T) {
	t.Parallel()
	nodes, w := cutOffNodes(t, platformtest.CutRefusing, 3, 1)
	const streams, length = 6, 400
	answers, _ := nodes[0].startStreams(t, w, streams, length)
	nodes[1].stop()
	assert.NilError(t, <-nodes[1].ended)
	nodes[1].ended <- nil
	assertComplete(t, answers, streams, length)
}

// Guards against targets that go on with a relayed request whose caller has left.
func TestRelayedStreamsEndWithTheirCallers(t *testing.T) {
	t.Parallel()
	nodes, w := cutOffNodes(t, platformtest.CutRefusing, 2, 1)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := platformtest.NewRequest(ctx, http.MethodPost, "http://"+nodes[0].CallersAddr()+"/talk/1", "leaves", platformtest.Key, 10_000, time.Minute, strings.NewReader("x"))
	assert.NilError(t, err)
	resp, err := nodes[0].client.Do(req)
	assert.NilError(t, err)
	assert.Equal(t, w.ActiveStreams(), 1)
	cancel()
	assert.NilError(t, resp.Body.Close())
	eventually(t, "the end of the stream at its target", func() bool { return w.ActiveStreams() == 0 })
}

// relayDirectly sends a request to a node as another entry would that passes it on.
func (n *node) relayDirectly(t *testing.T, r pkrelay.Request) *http.Response {
	t.Helper()
	raw, err := r.Encode()
	assert.NilError(t, err)
	resp, err := http.Post("http://"+n.PeersAddr()+pkrelay.Path, "", bytes.NewReader(raw))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp
}

// relayedRequest returns a call as another entry passes it on.
func relayedRequest(t *testing.T, method, path, id string) pkrelay.Request {
	t.Helper()
	of, err := platformtest.NewRequest(t.Context(), method, "http://"+platformtest.Host+path, id, platformtest.Key, 0, time.Minute, nil)
	assert.NilError(t, err)
	return pkrelay.Request{From: "n-9", Method: method, Host: of.Host, URI: path, RemainingMS: 20_000, Version: 1, Header: of.Header}
}

// Guards against a relayed request that waits longer than its caller still does, which is less than its
// time budget says.
func TestRelayedRequestsKeepTheirDeadline(t *testing.T) {
	t.Parallel()
	w, _ := newPool(t)
	w.Add(platformtest.App, "app-0", "a")
	nodes, _ := startCuttable(t, w, 1)
	w.SetNextBehaviors(platformtest.Unresponsive)
	r := relayedRequest(t, http.MethodPost, "/book/1", "slow")
	r.RemainingMS = 200
	resp := nodes[0].relayDirectly(t, r)
	assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout)
	assert.Equal(t, resp.Header.Get(pkrelay.HeaderVerdict), "may_have_run")
	assert.Equal(t, len(w.Runs("slow")), 1)
}

// Guards against serving what a faulty peer passes on: it must get a clear error that says not run.
func TestInvalidRelayedRequestsAreRejected(t *testing.T) {
	t.Parallel()
	w, _ := newPool(t)
	w.Add(platformtest.App, "app-0", "a")
	nodes, _ := startCuttable(t, w, 2)
	valid := relayedRequest(t, http.MethodGet, "/read/1", "id-1")
	for name, row := range map[string]struct {
		change func(r *pkrelay.Request)
		status int
		reason string
	}{
		"no time":           {func(r *pkrelay.Request) { r.RemainingMS = 0 }, http.StatusBadRequest, pkrelay.ReasonInvalid},
		"no path":           {func(r *pkrelay.Request) { r.URI = "x" }, http.StatusBadRequest, pkrelay.ReasonInvalid},
		"bad path":          {func(r *pkrelay.Request) { r.URI = "/%zz" }, http.StatusBadRequest, pkrelay.ReasonInvalid},
		"too large":         {func(r *pkrelay.Request) { r.Body = make([]byte, 1<<20) }, http.StatusBadRequest, pkrelay.ReasonInvalid},
		"unknown key":       {func(r *pkrelay.Request) { r.Header = nil }, http.StatusUnauthorized, "unknown_key"},
		"newer than we are": {func(r *pkrelay.Request) { r.Version = 1 << 40 }, http.StatusServiceUnavailable, pkrelay.ReasonOlderConfig},
	} {
		t.Run(name, func(t *testing.T) {
			r := valid
			row.change(&r)
			resp := nodes[0].relayDirectly(t, r)
			assert.Equal(t, resp.StatusCode, row.status)
			assert.Equal(t, resp.Header.Get(pkrelay.HeaderReason), row.reason)
			assert.Equal(t, resp.Header.Get(pkrelay.HeaderVerdict), "not_run")
			assert.Equal(t, len(w.Runs("id-1")), 0)
		})
	}
	resp, err := http.Post("http://"+nodes[0].PeersAddr()+pkrelay.Path, "", strings.NewReader("no request"))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
}

// Guards against streams that are given up where all entries are cut off for a moment: nobody can take them over, and they
// cannot be refused as not run any more.
func TestStreamsThatMayHaveRunOutliveAShortCut(t *testing.T) {
	for _, length := range []time.Duration{500 * time.Millisecond, time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			t.Parallel()
			w, _ := newPool(t)
			nodes, links := startCuttable(t, w, 2)
			const streams, events = 4, 400
			answers, _ := nodes[0].startStreams(t, w, streams, events)
			for _, l := range links {
				l.Cut(platformtest.CutRefusing)
			}
			time.AfterFunc(length, func() {
				for _, l := range links {
					l.Cut(platformtest.NoCut)
				}
			})
			assertComplete(t, answers, streams, events)
		})
	}
}
