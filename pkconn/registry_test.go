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

// A target starts again behind a cut, and nothing ends the idle connections to its old
// process. The next request that is written to one may have run as far as its sender can tell,
// so that a call which must not run twice fails. Idle connections are closed once the new
// start is known; one that serves an exchange is left to it.
func TestOnlyIdleConnectionsAreClosed(t *testing.T) {
	held, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(held)
			<-release
		}
		_, _ = io.WriteString(w, "ok") // a caller that left needs no answer
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	o := DefaultOptions()
	o.Registry = new(Registry)
	transport := o.Transport()
	defer transport.CloseIdleConnections()
	get := func(path string) (*Conn, string) {
		var track Tracker
		req, err := http.NewRequestWithContext(track.Trace(context.Background()), http.MethodGet, server.URL+path, nil)
		assert.NilError(t, err)
		resp, err := transport.RoundTrip(req)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return track.Conn(), string(body)
	}
	answer := make(chan string)
	go func() {
		_, body := get("/long")
		answer <- body
	}()
	<-held
	first, _ := get("/")
	// The connection is given back to the pool by the time that it can be had again.
	again, _ := get("/")
	assert.Equal(t, first, again)
	waitIdle(t, o.Registry, addr)
	o.Registry.CloseIdle("another:1")
	o.Registry.CloseIdle(addr)
	next, _ := get("/")
	assert.Assert(t, next != first)
	close(release)
	assert.Equal(t, <-answer, "ok")
	var none *Registry
	none.CloseIdle(addr)
}

// waitIdle waits until a connection to addr is idle: the pool takes it back just after the
// answer has been read.
func waitIdle(t *testing.T, g *Registry, addr string) {
	t.Helper()
	const patience = 20 * time.Second // decides nothing
	for end := time.Now().Add(patience); len(g.idle(addr)) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no connection became idle")
		}
	}
}
