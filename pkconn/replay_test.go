package pkconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkverdict"
)

// startClosingServer starts a server that responds to the first request of a connection, and reads
// the second but closes the connection without a response. It counts the requests received.
func startClosingServer(t *testing.T) (addr string, received *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	received = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(c, received)
		}
	}()
	return l.Addr().String(), received
}

func serveConn(c net.Conn, received *atomic.Int64) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for i := range 2 {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		received.Add(1)
		if i == 0 {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

// Guards against the automatic retry of net/http when a reused connection closes before the
// response. The control cases show that it retries requests with a plain body.
func TestTransportDoesNotRetry(t *testing.T) {
	cases := []struct {
		name, method, key string
		body              io.Reader
		nonReplayable     bool
		want              int64
	}{
		{"GET", http.MethodGet, "", nil, true, 2},
		{"GET with idempotency key", http.MethodGet, "k", nil, true, 2},
		{"POST with idempotency key", http.MethodPost, "k", strings.NewReader("b"), true, 2},
		{"DELETE", http.MethodDelete, "", nil, true, 2},
		{"OPTIONS", http.MethodOptions, "", nil, true, 2},
		{"control: plain GET is retried", http.MethodGet, "", nil, false, 3},
		{"control: plain POST with a key is retried", http.MethodPost, "k", nil, false, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			addr, received := startClosingServer(t)
			transport := DefaultOptions().Transport()
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			resp, err := client.Get("http://" + addr)
			assert.NilError(t, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()

			var tracker Tracker
			body := c.body
			if c.nonReplayable {
				body = NonReplayable(c.body)
			}
			req, err := http.NewRequestWithContext(tracker.Trace(context.Background()), c.method, "http://"+addr, body)
			assert.NilError(t, err)
			if c.key != "" {
				req.Header.Set("Idempotency-Key", c.key)
			}
			resp, err = client.Do(req)
			if err == nil {
				_ = resp.Body.Close()
			}
			assert.Equal(t, received.Load(), c.want)
			if c.nonReplayable {
				assert.Assert(t, err != nil)
				assert.Equal(t, pkverdict.Decide(tracker.Progress()), pkverdict.MayHaveRun)
			}
		})
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	var tracker Tracker
	req, err := http.NewRequestWithContext(tracker.Trace(context.Background()), http.MethodGet, "http://"+addr, NonReplayable(nil))
	assert.NilError(t, err)
	resp, err := (&http.Client{Transport: DefaultOptions().Transport()}).Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	assert.Assert(t, err != nil)
	assert.Equal(t, pkverdict.Decide(tracker.Progress()), pkverdict.NotRun)
}
