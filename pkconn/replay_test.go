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

// closer answers the first request of a connection and closes it in place of
// an answer to the second, after it was read.
func closer(t *testing.T) (addr string, received *atomic.Int64) {
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
			go serveOnce(c, received)
		}
	}()
	return l.Addr().String(), received
}

func serveOnce(c net.Conn, received *atomic.Int64) {
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

// A ballot lookup is a GET that must not run twice. net/http repeats a GET by
// itself when a reused connection dies before the answer, and the target has
// run the first one already. Once stops that; the control case shows that
// without it the target really does get the request twice.
func TestClientDoesNotRepeat(t *testing.T) {
	cases := []struct {
		name, method, key string
		body              io.Reader
		once              bool
		want              int64
	}{
		{"GET", http.MethodGet, "", nil, true, 2},
		{"GET with idempotency key", http.MethodGet, "k", nil, true, 2},
		{"POST with idempotency key", http.MethodPost, "k", strings.NewReader("b"), true, 2},
		{"DELETE", http.MethodDelete, "", nil, true, 2},
		{"OPTIONS", http.MethodOptions, "", nil, true, 2},
		{"control: plain GET is repeated", http.MethodGet, "", nil, false, 3},
		{"control: plain POST with a key is repeated", http.MethodPost, "k", nil, false, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			addr, received := closer(t)
			transport := DefaultOptions().Transport()
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			resp, err := client.Get("http://" + addr)
			assert.NilError(t, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()

			var track Tracker
			body := c.body
			if c.once {
				body = Once(c.body)
			}
			req, err := http.NewRequestWithContext(track.Trace(context.Background()), c.method, "http://"+addr, body)
			assert.NilError(t, err)
			if c.key != "" {
				req.Header.Set("Idempotency-Key", c.key)
			}
			resp, err = client.Do(req)
			if err == nil {
				_ = resp.Body.Close()
			}
			assert.Equal(t, received.Load(), c.want)
			if c.once {
				assert.Assert(t, err != nil)
				assert.Equal(t, pkverdict.Decide(track.Progress()), pkverdict.MayHaveRun)
			}
		})
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	var track Tracker
	req, err := http.NewRequestWithContext(track.Trace(context.Background()), http.MethodGet, "http://"+addr, Once(nil))
	assert.NilError(t, err)
	resp, err := (&http.Client{Transport: DefaultOptions().Transport()}).Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	assert.Assert(t, err != nil)
	assert.Equal(t, pkverdict.Decide(track.Progress()), pkverdict.NotRun)
}
