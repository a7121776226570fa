package pkedge_test

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/platform/platformtest"
)

// Guards against a graceful stop that interrupts requests: a stream in progress must be completed,
// and a request on an open connection answered before the connection is closed.
func TestStopInterruptsNoRequests(t *testing.T) {
	t.Parallel()
	w, _ := newPool(t)
	w.Add(platformtest.App, "i-a", "a")
	n := start(t, w, "one")
	n.waitForStream(t)
	answers := make(chan reply, 1)
	go func() { answers <- n.do(t, http.MethodPost, "/talk/1", "long", platformtest.Key, 200) }()
	eventually(t, "the stream", func() bool { return len(w.Runs("long")) == 1 })
	n.stop()
	eventually(t, "the end of readiness", func() bool { return !n.isReady(t) })
	got := n.do(t, http.MethodGet, "/read/1", "late", platformtest.Key, 0)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, got.closes)
	long := <-answers
	assert.NilError(t, long.err)
	assert.Equal(t, long.body, events(200))
}

// Guards against engines that keep working on a stream whose caller has disconnected.
func TestADisconnectedCallerEndsItsRequest(t *testing.T) {
	t.Parallel()
	w, _ := newPool(t)
	n := start(t, w, "one")
	n.waitForStream(t)
	ctx, disconnect := context.WithCancel(t.Context())
	req, err := platformtest.NewRequest(ctx, http.MethodPost, "http://"+n.CallersAddr()+"/talk/1", "leaver", platformtest.Key, 100_000, waitTimeout, nil)
	assert.NilError(t, err)
	resp, err := n.client.Do(req)
	assert.NilError(t, err)
	disconnect()
	assert.NilError(t, resp.Body.Close())
	eventually(t, "the end of the work", func() bool { return w.ActiveStreams() == 0 })
}
