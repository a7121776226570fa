package pkedge_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/platform/platformtest"
)

// Guards against half an answer that its caller takes for the whole: the engines of a stream with neither a
// length nor chunks crash between two events, and nothing in the stream tells its end from that.
func TestUnframedStreamOfCrashedEnginesShowsItsLoss(t *testing.T) {
	t.Parallel()
	p := poisonPool(t, 2, platformtest.NoContentLength)
	got := p.send(t, p.nodes[0], "cafe0000", poisonPartID)
	assert.Assert(t, got.err != nil, "%d: %q", got.status, got.body)
}

// A stream with neither a length nor chunks is complete if its engine still runs when it ends.
func TestUnframedStreamIsComplete(t *testing.T) {
	t.Parallel()
	p := poisonPool(t, 0, platformtest.NoContentLength)
	for range 3 {
		got := p.send(t, p.nodes[0], "cafe0000")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(5))
	}
}

// Guards against half a plain answer that its caller takes for the whole: the replica crashes in the middle of
// a body with neither a length nor chunks. An idempotent call is answered by another replica, others fail.
func TestUnframedAnswerOfACrashedReplica(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	for _, id := range []string{"i-a", "i-b", "i-c"} {
		w.Add(platformtest.App, id, "a")
	}
	n := start(t, w, "one")
	eventually(t, "a call", func() bool {
		return n.do(t, http.MethodGet, "/read/1", "warm", platformtest.Key, 0).status == http.StatusOK
	})
	n.waitForRetries(t)
	w.SetNextBehaviors(platformtest.CrashInBody)
	got := n.do(t, http.MethodGet, "/read/1", "idempotent", platformtest.Key, 0)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, platformtest.ResponseBody("idempotent"))
	assert.Equal(t, len(w.Runs("idempotent")), 2)

	w.SetNextBehaviors(platformtest.CrashInBody)
	got = n.do(t, http.MethodPost, "/book/1", "once", platformtest.Key, 0)
	assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "%d: %q", got.status, got.body)
	assert.Equal(t, len(w.Runs("once")), 1)
}

// Guards against half an answer that a caller of HTTP/1.0 takes for the whole: its stream has no chunks, so that
// only a reset of the connection shows that the stream broke off.
func TestBrokenStreamResetsAnHTTP10Connection(t *testing.T) {
	t.Parallel()
	p := poisonPool(t, 2, platformtest.Normal)
	conn, err := net.Dial("tcp", p.nodes[0].CallersAddr())
	assert.NilError(t, err)
	defer func() { assert.NilError(t, conn.Close()) }()
	req, err := platformtest.NewRequest(t.Context(), http.MethodPost, "/talk/1", "old", platformtest.Key, 5, waitTimeout, nil)
	assert.NilError(t, err)
	req.Header.Set(platformtest.PromptHeader, fmt.Sprintf("cafe0000:40,%s:40,1:700", poisonPartID))
	var head strings.Builder
	assert.NilError(t, req.Header.Write(&head))
	_, err = fmt.Fprintf(conn, "POST /talk/1 HTTP/1.0\r\nHost: %s\r\n%sContent-Length: 0\r\n\r\n", platformtest.Host, head.String())
	assert.NilError(t, err)
	raw, err := io.ReadAll(conn)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v: %q", err, raw)
}

// Guards against half a plain answer that its caller takes for the whole: a replica that drains ends in the middle of a
// body with neither a length nor chunks.
func TestUnframedAnswerOfAReplicaThatEndsWhileItDrains(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	leaving := w.Add(platformtest.App, "i-a", "a")
	n := start(t, w, "one")
	eventually(t, "a call", func() bool {
		return n.do(t, http.MethodGet, "/read/1", "warm", platformtest.Key, 0).status == http.StatusOK
	})
	release := leaving.Hold()
	t.Cleanup(release)
	answers := make(chan reply, 1)
	go func() { answers <- n.do(t, http.MethodPost, "/book/1", "once", platformtest.Key, 0) }()
	eventually(t, "the request", func() bool { return n.metric(t, "peridotknot_active_requests") == "1" })
	leaving.Drain()
	eventually(t, "the end of new requests", func() bool {
		return n.doWithin(t, 300*time.Millisecond, http.MethodGet, "/read/1", "late", platformtest.Key, 0).status == http.StatusServiceUnavailable
	})
	w.SetNextBehaviors(platformtest.CrashInBody)
	release()
	got := <-answers
	assert.Equal(t, len(w.Runs("once")), 1)
	assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "%d: %q", got.status, got.body)
}
