package pkservice

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkid"
	"peridotknot.example/pktarget"
	"peridotknot.example/pkverdict"
)

// startAnswering starts a service that answers each call over a connection of its own.
func startAnswering(t *testing.T, answer func(conn *net.TCPConn, req *http.Request)) *pktarget.Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var handlers sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		handlers.Wait()
	})
	handlers.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			handlers.Go(func() {
				defer func() { _ = conn.Close() }()
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn.(*net.TCPConn), req)
				}
			})
		}
	})
	return newTarget("one", l.Addr().String())
}

// callOnce sends a call with a body to a target and returns the body of its response.
func callOnce(t *testing.T, p *Proxy, target *pktarget.Target, body []byte) (string, error) {
	t.Helper()
	c := Call{Method: http.MethodPost, URI: &url.URL{Path: "/x"}, Header: http.Header{}, Body: bytes.NewReader(body), Size: int64(len(body))}
	reply, err := p.Do(t.Context(), c, func(time.Time, []pkid.TargetID) (*pktarget.Target, error) { return target, nil }, unlimitedBudget{})
	if err != nil {
		return "", err
	}
	defer target.Done()
	defer func() { _ = reply.Response.Body.Close() }()
	text, err := io.ReadAll(reply.Response.Body)
	return string(text), err
}

// Guards against a response that HTTP does not allow and that goes to the client, or ends its connection since a handler
// cannot write it.
func TestHeadOutsideOfTheProtocolIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":             "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
		"status 600":             "HTTP/1.1 600 None\r\nContent-Length: 0\r\n\r\n",
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 0\r\n\r\n",
		"blank after the length": "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nwhole and more",
		"control byte in a name": "HTTP/1.1 200 OK\r\nX\x01Bad: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			target := startAnswering(t, func(conn *net.TCPConn, req *http.Request) {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, head)
			})
			p := New(pkconn.DefaultOptions(), 1)
			defer func() { assert.NilError(t, p.Close()) }()
			_, err := callOnce(t, p, target, []byte("body"))
			var failure *pkverdict.Error
			assert.Assert(t, errors.As(err, &failure), "%v", err)
			assert.Equal(t, failure.Verdict, pkverdict.MayHaveRun)
		})
	}
}
