package pketcd_test

import (
	"io"
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

// Guards against a client that holds a response of a watch without end in its memory.
func TestWatchResponseWithoutEnd(t *testing.T) {
	var written atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		filler := []byte(strings.Repeat("a", 1<<20))
		_, err := io.WriteString(w, `{"result":{"events":[{"kv":{"key":"`)
		for err == nil {
			var n int
			n, err = w.Write(filler)
			written.Add(int64(n))
		}
	}))
	defer srv.Close()
	c := pketcd.New(strings.TrimPrefix(srv.URL, "http://"), pkconn.DefaultOptions())
	defer func() { assert.NilError(t, c.Close()) }()
	err := c.Watch(t.Context(), "p/", 1, func(pkstore.Event) { t.Error("an event") })
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	const buffers = 16 << 20 // the largest response, and what both ends of the connection hold
	assert.Assert(t, written.Load() <= 2*buffers, "%d bytes", written.Load())
}
