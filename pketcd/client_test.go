package pketcd_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkcontract"
	"peridotknot.example/pketcd"
	"peridotknot.example/pkstandin"
	"peridotknot.example/pkstore"
)

func TestClientIsAStore(t *testing.T) {
	pkcontract.Store(t, func(t *testing.T) pkstore.Store {
		srv := httptest.NewServer(pkstandin.NewKV())
		t.Cleanup(srv.CloseClientConnections)
		return pketcd.New(strings.TrimPrefix(srv.URL, "http://"), pkconn.DefaultOptions())
	})
}

// The service answers in ways that break the contract, or that a long outage
// brings about. Each must come back as an error, never as an empty answer: an
// empty head would read as "nothing was published".
func TestBrokenAnswersAreErrors(t *testing.T) {
	cases := map[string]struct{ body, want string }{
		"not JSON":             {"<html>", "decode answer"},
		"cut short":            {`{"kvs":[{"key":"aw=="`, "decode answer"},
		"a number as a word":   {`{"header":{"revision":"many"}}`, "decode answer"},
		"bytes are not base64": {`{"kvs":[{"key":"%%%"}]}`, "decode answer"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := clientOf(t, http.StatusOK, c.body).Load(t.Context(), "k")
			assert.ErrorContains(t, err, c.want)
		})
	}
	_, err := clientOf(t, http.StatusServiceUnavailable, "no leader").Load(t.Context(), "k")
	assert.ErrorContains(t, err, "answered 503: no leader")
}

func TestWatchSaysWhyItEnds(t *testing.T) {
	cases := map[string]struct {
		body string
		want error
	}{
		"changes were compacted": {`{"result":{"created":true}}{"result":{"compact_revision":"7","canceled":true}}`, pkstore.ErrCompacted},
		"connection ended":       {`{"result":{"created":true}}`, io.EOF},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := clientOf(t, http.StatusOK, c.body).Watch(t.Context(), "k", 1, func(pkstore.Event) {})
			assert.ErrorIs(t, err, c.want)
		})
	}
}

func clientOf(t *testing.T, status int, body string) *pketcd.Client {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(srv.Close)
	return pketcd.New(strings.TrimPrefix(srv.URL, "http://"), pkconn.DefaultOptions())
}
