package pkedge

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkbudget"
	"peridotknot.example/pkrelay"
	"peridotknot.example/pkserver"
)

// Guards against requests of other entries that an entry holds beyond what all callers together may hold, and against
// bytes that are not given back.
func TestRelayedRequestsCountTowardsTheBudget(t *testing.T) {
	const body = 1 << 20
	d := configDaemon()
	d.metrics = newMetrics(d)
	d.retry.Store(&Retry{WindowS: 1})
	server := httptest.NewServer(http.HandlerFunc(d.serveRelayed))
	defer server.Close()
	in := pkrelay.Request{From: "other", Method: http.MethodPost, Host: "h", URI: "/p/1", Body: make([]byte, body), RemainingMS: 1000, Version: 1}
	raw, err := in.Encode()
	assert.NilError(t, err)
	for want, room := range map[string]pkbudget.Bytes{pkrelay.ReasonBusy: body, pkrelay.ReasonOlderConfig: 4 * body} {
		t.Run(want, func(t *testing.T) {
			d.server.Budget.SetLimits(pkbudget.Limits{Requests: room, Large: room})
			resp, err := http.Post(server.URL, "", bytes.NewReader(raw))
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, resp.Header.Get(pkrelay.HeaderReason), want)
			assert.Assert(t, pkrelay.PassedBack(resp))
			eventuallyEmpty(t, &d.server.Budget)
		})
	}
}

// eventuallyEmpty waits until nothing is held: the answer may come before the request has ended.
func eventuallyEmpty(t *testing.T, b *pkserver.Budget) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); b.Usage().Bytes > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		continue
	}
	assert.Equal(t, b.Usage().Bytes, pkbudget.Bytes(0))
}
