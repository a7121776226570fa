package pkedge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/platform/platformtest"
)

// longHeader is the size of a header that only a raised limit allows.
const longHeader = 40_000

// statusOfLongHeader sends a request with a long header on a connection of its own and returns the status.
func (n *node) statusOfLongHeader(t *testing.T, id string) int {
	t.Helper()
	req, err := platformtest.NewRequest(t.Context(), http.MethodGet, "http://"+n.CallersAddr()+"/read/1", id, platformtest.Key, 0, waitTimeout, nil)
	assert.NilError(t, err)
	req.Header.Set("X-Fill", strings.Repeat("a", longHeader))
	req.Close = true
	return n.sendRequest(req).status
}

func setHeaderLimit(w *platformtest.Platform, size int) {
	w.Configure(func(config map[string]any) {
		config["limits"] = map[string]any{"max_header_bytes": size, "max_body_bytes": 4096, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	})
}

// Guards against headers that are refused though a new configuration allows them.
func TestARaisedHeaderLimitAppliesWhileRunning(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	w.Add(platformtest.App, "i-a", "a")
	n := start(t, w, "one")
	eventually(t, "readiness", func() bool { return n.isReady(t) })
	assert.Equal(t, n.statusOfLongHeader(t, "early"), http.StatusRequestHeaderFieldsTooLarge)
	setHeaderLimit(w, 2*longHeader)
	i := 0
	eventually(t, "the raised limit", func() bool {
		i++
		return n.statusOfLongHeader(t, fmt.Sprintf("late-%d", i)) == http.StatusOK
	})
	setHeaderLimit(w, longHeader/2)
	eventually(t, "the lowered limit", func() bool {
		i++
		return n.statusOfLongHeader(t, fmt.Sprintf("late-%d", i)) == http.StatusRequestHeaderFieldsTooLarge
	})
}

// Guards against an entry that starts while the store is down, and refuses for good, or with a final status, headers that
// the configuration allows.
func TestHeaderLimitAfterAStartWithoutTheStore(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	w.Add(platformtest.App, "i-a", "a")
	setHeaderLimit(w, 2*longHeader)
	w.Store.Refuse(true)
	n := start(t, w, "one")
	assert.Equal(t, n.statusOfLongHeader(t, "early"), http.StatusServiceUnavailable)
	w.Store.Refuse(false)
	eventually(t, "readiness", func() bool { return n.isReady(t) })
	assert.Equal(t, n.statusOfLongHeader(t, "late"), http.StatusOK)
}
