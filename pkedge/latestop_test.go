package pkedge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkedge"
	"peridotknot.example/platform/platformtest"
)

const (
	// lateGraceS is the grace period of the stops, callTime how long calls take.
	lateGraceS = 5
	callTime   = time.Second
)

// startSlow starts a node before a service whose calls take callTime, and sends it some.
func startSlow(t *testing.T, calls int) (*platformtest.Platform, *node, pkedge.Settings) {
	t.Helper()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	w.Add(platformtest.App, "i-a", "a").SetDelay(callTime)
	s := graceSettings(w, lateGraceS)
	n := startWith(t, s)
	eventually(t, "readiness", func() bool { return n.isReady(t) })
	answers := make(chan reply, calls)
	for i := range calls {
		go func() {
			answers <- n.do(t, http.MethodPost, "/book/1", fmt.Sprintf("before-%d", i), platformtest.Key, 0)
		}()
	}
	for range calls {
		got := <-answers
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
	}
	return w, n, s
}

// lateRequest is a request whose head is sent and whose body ends later.
type lateRequest struct {
	conn net.Conn
	body string
}

// begin sends the head of a request.
func (n *node) begin(t *testing.T, path, id string) lateRequest {
	t.Helper()
	conn, err := net.Dial("tcp", n.CallersAddr())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	r := lateRequest{conn: conn, body: "body of " + id}
	_, err = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", platformtest.Head(path, id, platformtest.Key, waitTimeout), len(r.body), r.body[:1])
	assert.NilError(t, err)
	return r
}

// end sends the rest of the request and returns its answer.
func (r lateRequest) end(t *testing.T) reply {
	t.Helper()
	_, err := io.WriteString(r.conn, r.body[1:])
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(r.conn), nil)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(raw), header: resp.Header, err: err}
}

// Guards against requests that a stopping entry sends late in its grace period and cuts at the end of it, and against those
// that it refuses though they can end in time.
func TestLateRequestsOfAStopAreServedOrRefused(t *testing.T) {
	t.Parallel()
	for name, row := range map[string]struct {
		// calls is how many calls the entry has served before, at is when the request ends after the stop begins.
		calls     int
		path      string
		at        time.Duration
		newGraceS float64
		want      int
	}{
		"in time":                          {calls: 4, path: "/book/1", at: 1500 * time.Millisecond, want: http.StatusOK},
		"too late":                         {calls: 4, path: "/book/1", at: 3700 * time.Millisecond, want: http.StatusServiceUnavailable},
		"too late, idempotent":             {calls: 4, path: "/read/1", at: 3700 * time.Millisecond, want: http.StatusServiceUnavailable},
		"in time, nothing known":           {path: "/book/1", at: 2 * time.Second, want: http.StatusOK},
		"late, nothing known":              {path: "/book/1", at: 3300 * time.Millisecond, want: http.StatusServiceUnavailable},
		"in time for a longer grace":       {calls: 4, path: "/book/1", at: 3700 * time.Millisecond, newGraceS: 2 * lateGraceS, want: http.StatusOK},
		"too late, for a shorter one also": {calls: 4, path: "/book/1", at: 3700 * time.Millisecond, newGraceS: 0.1, want: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, n, s := startSlow(t, row.calls)
			late := n.begin(t, row.path, "late")
			time.Sleep(100 * time.Millisecond) // the head arrives
			began := time.Now()
			n.stop()
			if row.newGraceS != 0 {
				eventually(t, "the end of readiness", func() bool { return !n.isReady(t) })
				s.Stop.GraceS = row.newGraceS
				n.Reload(s)
			}
			time.Sleep(time.Until(began.Add(row.at)))
			got := late.end(t)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, row.want)
			if row.want == http.StatusOK {
				assert.Equal(t, got.body, platformtest.ResponseBody("late"))
				return
			}
			assert.Equal(t, len(w.Runs("late")), 0)
			assert.Assert(t, got.header.Get("Retry-After") != "")
		})
	}
}

// Guards against a request that is cut without an answer at the end of the grace period, since its target takes longer than
// ever.
func TestRequestsWithoutAnAnswerAreAnsweredBeforeAStopEnds(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/book/1", "/read/1"} {
		t.Run(path[1:5], func(t *testing.T) {
			t.Parallel()
			w, n, _ := startSlow(t, 4)
			w.SetNextBehaviors(platformtest.Unresponsive, platformtest.Unresponsive)
			late := n.begin(t, path, "late")
			answers := make(chan reply, 1)
			go func() { answers <- late.end(t) }()
			eventually(t, "the request", func() bool { return len(w.Runs("late")) == 1 })
			n.stop()
			got := <-answers
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusBadGateway)
		})
	}
}
