package pkengine

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkverdict"
)

func startEngine(t *testing.T, do http.HandlerFunc) (addr string, conns *atomic.Int64) {
	conns = new(atomic.Int64)
	srv := httptest.NewUnstartedServer(do)
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	srv.Start()
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return strings.TrimPrefix(srv.URL, "http://"), conns
}

func readAll(t *testing.T, c *Client, addr string) error {
	t.Helper()
	s, err := c.Open(t.Context(), addr, OpenRequest{Stream: "s", Attempt: 1})
	if err != nil {
		return err
	}
	defer func() { assert.NilError(t, s.Close()) }()
	for {
		ev, err := s.Next()
		if err != nil || ev.End != "" {
			return err
		}
	}
}

// Guards against a new connection for each answer, which is the effect of closing a stream before
// its HTTP body is read to the end.
func TestConnectionIsReused(t *testing.T) {
	addr, conns := startEngine(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, `{"i":0,"t":"a"}`)
		_ = http.NewResponseController(w).Flush()
		fmt.Fprintln(w, `{"i":1,"end":"stop","total":1}`)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(time.Millisecond) // the end of the body arrives separately
	})
	c := NewClient(pkconn.DefaultOptions(), time.Minute)
	defer func() { assert.NilError(t, c.Close()) }()
	const answers = 20
	for range answers {
		assert.NilError(t, readAll(t, c, addr))
		time.Sleep(20 * time.Millisecond) // the body is drained in the background
	}
	assert.Assert(t, conns.Load() < answers/2, "%d connections for %d answers", conns.Load(), answers)
}

// Guards against hanging on an engine that violates the contract: the reader must return one error
// with the right verdict.
func TestContractViolations(t *testing.T) {
	cases := map[string]struct {
		do      http.HandlerFunc
		verdict pkverdict.Verdict
	}{
		"refuses before it starts": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderNotStarted, "true")
			w.WriteHeader(http.StatusConflict)
		}, pkverdict.NotRun},
		"fails without the not-started header": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
		}, pkverdict.MayHaveRun},
		"ends without an end event":      {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, `{"i":0,"t":"a"}`) }, pkverdict.MayHaveRun},
		"sends no JSON":                  {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "hello") }, pkverdict.MayHaveRun},
		"sends a line without end":       {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, strings.Repeat("x", 1<<20)) }, pkverdict.MayHaveRun},
		"sends a negative index":         {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, `{"i":-4}`) }, pkverdict.MayHaveRun},
		"stops sending after its header": {stall, pkverdict.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			addr, _ := startEngine(t, c.do)
			client := NewClient(pkconn.DefaultOptions(), 100*time.Millisecond)
			defer func() { assert.NilError(t, client.Close()) }()
			err := readAll(t, client, addr)
			var failure *pkverdict.Error
			assert.Assert(t, asError(err, &failure), err)
			assert.Equal(t, failure.Verdict, c.verdict)
		})
	}
}

func stall(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

func asError(err error, to **pkverdict.Error) bool {
	failure, ok := err.(*pkverdict.Error) //nolint:errorlint // the contract requires this exact type
	*to = failure
	return ok
}
