package pkedge_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkedge"
	"peridotknot.example/platform/platformtest"
)

// silentTimeout is how long the caller of a silent target waits for an answer, of another target or
// a timeout by the router.
const silentTimeout = 4 * time.Second

// Guards against wrong answers when a target misbehaves once: before it reads the request, while it
// runs, or within its answer. If the request is idempotent the caller must get the complete answer
// of a target. Otherwise a request reported as not run must not have run, and none may run twice.
func TestAMisbehavingTarget(t *testing.T) {
	t.Parallel()
	type want struct {
		status int
		runs   int
	}
	behaviors := []platformtest.Behavior{
		platformtest.Full, platformtest.WrongInstance, platformtest.ResetBeforeBody, platformtest.ResetAfterBody, platformtest.Truncated,
		platformtest.ExtraResponse, platformtest.ServerError, platformtest.Unsealed, platformtest.NoContentLength, platformtest.Unresponsive, platformtest.EarlyResponse,
	}
	rows := map[platformtest.Behavior]struct{ idempotent, once want }{
		platformtest.Full:            {want{200, 1}, want{200, 1}},
		platformtest.WrongInstance:   {want{200, 1}, want{200, 1}},
		platformtest.ResetBeforeBody: {want{200, 1}, want{502, 0}},
		platformtest.ResetAfterBody:  {want{200, 2}, want{502, 1}},
		platformtest.Truncated:       {want{200, 2}, want{502, 1}},
		platformtest.ExtraResponse:   {want{200, 1}, want{200, 1}},
		platformtest.ServerError:     {want{200, 2}, want{500, 1}},
		platformtest.Unsealed:        {want{200, 2}, want{502, 1}},
		platformtest.NoContentLength: {want{200, 1}, want{200, 1}},
		platformtest.Unresponsive:    {want{200, 2}, want{504, 1}},
		platformtest.EarlyResponse:   {want{413, 1}, want{413, 1}},
	}
	w := platformtest.NewPlatform()
	defer w.Close()
	w.Add(platformtest.App, "i-a", "a")
	w.Add(platformtest.App, "i-b", "a")
	n := start(t, w, "one")
	eventually(t, "readiness", func() bool { return n.isReady(t) })
	n.waitForRetries(t)
	for _, b := range behaviors {
		for _, kind := range []string{"read", "book"} {
			t.Run(fmt.Sprintf("%s/%s", kind, b), func(t *testing.T) {
				id, method, wanted := fmt.Sprintf("%s-%s", kind, b), http.MethodGet, rows[b].idempotent
				if kind == "book" {
					method, wanted = http.MethodPost, rows[b].once
				}
				w.SetNextBehaviors(b)
				wait := waitTimeout
				if b == platformtest.Unresponsive {
					wait = silentTimeout
				}
				got := n.doWithin(t, wait, method, "/"+kind+"/1?q=%2f", id, platformtest.Key, 0)
				w.SetNextBehaviors()
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, wanted.status)
				runs := w.Runs(id)
				assert.Equal(t, len(runs), wanted.runs)
				if got.status == http.StatusOK {
					assert.Equal(t, got.body, platformtest.ResponseBody(id))
					assert.Equal(t, got.header.Get(platformtest.SealHeader), "s")
				}
				if got.status >= 500 && got.status != 500 {
					assert.Equal(t, got.header.Get(platformtest.SealHeader), "", "an error answer of the router is not sealed")
				}
				for _, run := range runs {
					assert.Equal(t, run.Account, platformtest.Account)
					assert.Equal(t, run.Key, "", "the key is not forwarded")
					assert.Equal(t, run.URI, "/"+kind+"/1?q=%2f")
				}
				// Data left over on a connection must not reach the next caller.
				next := n.do(t, http.MethodGet, "/read/2", id+"-next", platformtest.Key, 0)
				assert.Equal(t, next.body, platformtest.ResponseBody(id+"-next"))
			})
		}
	}
}

// Guards against turning callers away when the retry budget is spent and a target refuses
// connections: nothing was sent, so the next target may be tried.
func TestRefusedConnectionIsNotCountedAsASend(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	dead := []*platformtest.Replica{w.Add(platformtest.App, "i-a", "a"), w.Add(platformtest.App, "i-b", "a")}
	w.Add(platformtest.App, "i-c", "a")
	n := startWith(t, pkedge.Settings{
		Entry: "one", DataCenter: "a", Store: w.Store.Addr(),
		Listen: pkedge.Listen{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0"},
		Stop:   pkedge.Stop{GraceS: 4},
		Retry:  pkedge.Retry{WindowS: 10},
	})
	eventually(t, "readiness", func() bool { return n.isReady(t) })
	for _, r := range dead {
		r.Kill()
	}
	for i := range 5 {
		id := fmt.Sprintf("book-%d", i)
		got := n.do(t, http.MethodPost, "/book/1", id, platformtest.Key, 0)
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, len(w.Runs(id)), 1)
	}
}

// Guards against each entry finding a refused connection by a caller of its own: the first one must
// report it to the others.
func TestPeersLearnOfARefusedConnection(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	dead := w.Add(platformtest.App, "i-a", "a")
	w.Add(platformtest.App, "i-b", "a")
	one, two := start(t, w, "one"), start(t, w, "two")
	for _, n := range []*node{one, two} {
		eventually(t, "readiness", func() bool { return n.isReady(t) })
		eventually(t, "the other entry", func() bool { return n.metric(t, "peridotknot_peers") == "1" })
	}
	dead.Kill()
	const unreachable = `peridotknot_sends_failed_total{reason="unreachable",verdict="not_run"}`
	i := 0
	eventually(t, "a refused connection", func() bool {
		i++
		one.do(t, http.MethodGet, "/read/1", fmt.Sprintf("one-%d", i), platformtest.Key, 0)
		return one.metric(t, unreachable) != ""
	})
	eventually(t, "the report about the target", func() bool { return two.metric(t, "peridotknot_targets_avoided") == "1" })
	got := two.do(t, http.MethodGet, "/read/1", "two", platformtest.Key, 0)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, two.metric(t, unreachable), "")
}

// Guards against HEAD being answered as a failure after runs on several replicas, or without the length that GET has.
func TestHeadIsAnsweredOnceWithItsLength(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	for _, id := range []string{"i-a", "i-b"} {
		w.Add(platformtest.App, id, "a")
	}
	n := start(t, w, "one")
	eventually(t, "a call", func() bool {
		return n.do(t, http.MethodGet, "/read/1", "warm", platformtest.Key, 0).status == http.StatusOK
	})
	got := n.do(t, http.MethodHead, "/read/1", "head", platformtest.Key, 0)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.header.Get("Content-Length"), strconv.Itoa(len(platformtest.ResponseBody("head"))))
	assert.Equal(t, len(w.Runs("head")), 1)
}
