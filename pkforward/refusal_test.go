package pkforward

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkid"
	"peridotknot.example/pkverdict"
)

const (
	idHeader   = "Id"
	sealHeader = "Seal"
)

// plainDialect has an id and a seal; status 503 refuses a request.
type plainDialect struct{}

func (plainDialect) ParseRequest(http.Header) RequestMeta { return RequestMeta{} }

func (plainDialect) SetHeaders(http.Header, SendOptions) {}

func (plainDialect) ParseResponse(status int, h http.Header) ResponseMeta {
	return ResponseMeta{ID: pkid.RequestID(h.Get(idHeader)), NotRun: status == http.StatusServiceUnavailable, Sealed: h.Get(sealHeader) != ""}
}

func (plainDialect) SetRequestID(http.Header, pkid.RequestID) {}

// refusingTarget refuses each request on a connection once, and answers the second one after it has sent the refusal
// again. It counts the requests that it has run.
func refusingTarget(t *testing.T) (addr string, runs *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	runs = new(atomic.Int64)
	var arrivals atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				in, refusal := bufio.NewReader(conn), ""
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body) // the test's clients send it whole
					head := "%s" + idHeader + ": " + req.Header.Get(idHeader) + "\r\nContent-Length: 0\r\n\r\n"
					if arrivals.Add(1) == 1 {
						refusal = fmt.Sprintf(head, "HTTP/1.1 503 Service Unavailable\r\n")
						_, _ = io.WriteString(conn, refusal)
						continue
					}
					runs.Add(1)
					_, _ = io.WriteString(conn, refusal+fmt.Sprintf(head, "HTTP/1.1 200 OK\r\n"))
				}
			}()
		}
	}()
	return l.Addr().String(), runs
}

// Guards against a second copy of a refusal that is taken for the response to the same request when it is sent again, so
// that it counts as not run and runs twice.
func TestASecondRefusalIsNotTheResponseToTheNextSend(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			addr, runs := refusingTarget(t)
			s := NewSender(plainDialect{}, pkconn.DefaultOptions())
			defer func() { assert.NilError(t, s.Close()) }()
			r := &Request{Method: method, Host: "host.example", URI: "/", Header: http.Header{idHeader: {"one"}}}
			r.Meta.ID = "one"
			if method == http.MethodPost {
				r.Body = []byte("body")
			}
			_, err := s.Do(t.Context(), addr, r, SendOptions{})
			var failure *pkverdict.Error
			assert.Assert(t, errors.As(err, &failure), "%v", err)
			assert.Equal(t, failure.Verdict, pkverdict.NotRun)
			resp, err := s.Do(t.Context(), addr, r, SendOptions{})
			assert.NilError(t, err)
			defer resp.Close()
			assert.Equal(t, resp.Status, http.StatusOK)
			assert.Equal(t, runs.Load(), int64(1))
		})
	}
}
