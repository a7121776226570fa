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
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkid"
	"peridotknot.example/pkplatform"
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

// Guards against a part of a response that counts as whole: the service answers without a length, and resets the connection
// while the call is still being written.
func TestResponseResetDuringACallIsNotComplete(t *testing.T) {
	const (
		callBytes     = 3 << 20
		callReadBytes = 1 << 20
		calls         = 75
		atOnce        = 4
	)
	target := startAnswering(t, func(conn *net.TCPConn, req *http.Request) {
		if req.URL.Path == pkplatform.PathServiceLoad {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			return
		}
		_, _ = io.CopyN(io.Discard, req.Body, callReadBytes)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part")
		_ = conn.SetLinger(0)
	})
	p := New(pkconn.DefaultOptions(), 1)
	defer func() { assert.NilError(t, p.Close()) }()
	body := make([]byte, callBytes)
	var whole atomic.Int64
	var callers sync.WaitGroup
	for range atOnce {
		callers.Go(func() {
			for range calls {
				if _, err := callOnce(t, p, target, body); err == nil {
					whole.Add(1)
				}
			}
		})
	}
	callers.Wait()
	assert.Equal(t, whole.Load(), int64(0), "responses that count as whole, of %d", calls*atOnce)
}

// Guards against a part of a response that counts as whole: the service ends in the middle of a body with neither a length
// nor chunks, whose end is that of the connection.
func TestUnframedResponseOfAServiceThatEnds(t *testing.T) {
	for name, row := range map[string]struct {
		probe string
		whole bool
	}{
		"runs":                   {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", true},
		"has no load report":     {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", true},
		"is full":                {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", true},
		"resets what it accepts": {"", false},
	} {
		t.Run(name, func(t *testing.T) {
			target := startAnswering(t, func(conn *net.TCPConn, req *http.Request) {
				_, _ = io.Copy(io.Discard, req.Body)
				if req.URL.Path == pkplatform.PathServiceLoad {
					_, _ = io.WriteString(conn, row.probe)
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\ntext")
			})
			p := New(pkconn.DefaultOptions(), 1)
			defer func() { assert.NilError(t, p.Close()) }()
			text, err := callOnce(t, p, target, []byte("body"))
			assert.Equal(t, text, "text")
			if row.whole {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}
