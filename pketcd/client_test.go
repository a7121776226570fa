package pketcd_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkcontract"
	"peridotknot.example/pketcd"
	"peridotknot.example/pkstandin"
	"peridotknot.example/pkstore"
)

func TestClientContract(t *testing.T) {
	pkcontract.TestStore(t, func(t *testing.T) pkstore.Store {
		srv := httptest.NewServer(pkstandin.NewKV())
		t.Cleanup(srv.CloseClientConnections)
		return pketcd.New(strings.TrimPrefix(srv.URL, "http://"), pkconn.DefaultOptions())
	})
}

// Malformed and error responses must be returned as errors, never as an empty item:
// an empty head means that nothing has been published.
func TestInvalidResponsesAreErrors(t *testing.T) {
	cases := map[string]struct{ body, want string }{
		"not JSON":              {"<html>", "decode response"},
		"truncated JSON":        {`{"kvs":[{"key":"aw=="`, "decode response"},
		"number is not numeric": {`{"header":{"revision":"many"}}`, "decode response"},
		"bytes are not base64":  {`{"kvs":[{"key":"%%%"}]}`, "decode response"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := newClient(t, http.StatusOK, c.body).Load(t.Context(), "k")
			assert.ErrorContains(t, err, c.want)
		})
	}
	_, err := newClient(t, http.StatusServiceUnavailable, "no leader").Load(t.Context(), "k")
	assert.ErrorContains(t, err, "answered 503: no leader")
}

func TestWatchReturnsCause(t *testing.T) {
	cases := map[string]struct {
		body string
		want error
	}{
		"revision was compacted": {`{"result":{"created":true}}{"result":{"compact_revision":"7","canceled":true}}`, pkstore.ErrCompacted},
		"connection ended":       {`{"result":{"created":true}}`, io.EOF},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := newClient(t, http.StatusOK, c.body).Watch(t.Context(), "k", 1, func(pkstore.Event) {})
			assert.ErrorIs(t, err, c.want)
		})
	}
}

func newClient(t *testing.T, status int, body string) *pketcd.Client {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(srv.Close)
	return pketcd.New(strings.TrimPrefix(srv.URL, "http://"), pkconn.DefaultOptions())
}

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Guards against a client that holds a response of a watch without end in its memory.
func TestWatchResponseWithoutEnd(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		filler := []byte(strings.Repeat("a", 1<<20))
		_, err := io.WriteString(w, `{"result":{"events":[{"kv":{"key":"`)
		for err == nil {
			_, err = w.Write(filler)
		}
	}))
	defer srv.Close()
	var read atomic.Int64
	o := pkconn.DefaultOptions()
	o.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		return countingConn{Conn: conn, read: &read}, err
	}
	c := pketcd.New(strings.TrimPrefix(srv.URL, "http://"), o)
	defer func() { assert.NilError(t, c.Close()) }()
	err := c.Watch(t.Context(), "p/", 1, func(pkstore.Event) { t.Error("an event") })
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	const (
		maxResponse = 16 << 20
		overhead    = 64 << 10 // the heads of the response and of its chunks, and what is read ahead
	)
	assert.Assert(t, read.Load() <= maxResponse+overhead, "%d bytes", read.Load())
}
