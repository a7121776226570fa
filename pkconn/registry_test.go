package pkconn

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against sending a request over an idle connection to the former process of a restarted
// target, and against closing a connection that an exchange uses.
func TestCloseIdleKeepsBusyConnections(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(started)
			<-release
		}
		_, _ = io.WriteString(w, "ok") // a disconnected caller needs no response
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	o := DefaultOptions()
	o.Registry = new(Registry)
	transport := o.Transport()
	defer transport.CloseIdleConnections()
	get := func(path string) (*Conn, string) {
		var tracker Tracker
		req, err := http.NewRequestWithContext(tracker.Trace(context.Background()), http.MethodGet, server.URL+path, nil)
		assert.NilError(t, err)
		resp, err := transport.RoundTrip(req)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return tracker.Conn(), string(body)
	}
	answer := make(chan string)
	go func() {
		_, body := get("/long")
		answer <- body
	}()
	<-started
	first, _ := get("/")
	// If the second request gets the same connection, the first has returned it to the pool.
	again, _ := get("/")
	assert.Equal(t, first, again)
	waitIdle(t, o.Registry, addr)
	assert.Equal(t, o.Registry.Open(addr), 2)
	o.Registry.CloseIdle("another:1")
	o.Registry.CloseIdle(addr)
	next, _ := get("/")
	assert.Assert(t, next != first)
	close(release)
	assert.Equal(t, <-answer, "ok")
	var none *Registry
	none.CloseIdle(addr)
	assert.Equal(t, none.Open(addr), 0)
}

// waitIdle waits until a connection to addr is idle: it returns to the pool shortly after the
// response has been read.
func waitIdle(t *testing.T, g *Registry, addr string) {
	t.Helper()
	const timeout = 20 * time.Second
	for end := time.Now().Add(timeout); len(g.idle(addr)) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no connection became idle within 20 s")
		}
	}
}
