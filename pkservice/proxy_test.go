package pkservice

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkid"
	"peridotknot.example/pktarget"
	"peridotknot.example/pkverdict"
)

// behavior is how a service handles the call under test.
type behavior string

const (
	answers             behavior = "answers"
	unreachable         behavior = "cannot be reached"
	closesBeforeReading behavior = "closes before reading"
	closesAfterReading  behavior = "closes after reading"
	truncatesStatusLine behavior = "truncates the status line"
	answersNonHTTP      behavior = "answers with invalid HTTP"
	neverAnswers        behavior = "never answers"
	answers503          behavior = "answers 503"
)

// service is a raw TCP server that counts the requests it has read completely.
type service struct {
	l        net.Listener
	behavior behavior
	mu       sync.Mutex
	conns    []net.Conn
	ran      int
	// reused makes the service answer the first request of each connection successfully, so that the
	// call under test uses a reused connection.
	reused bool
}

func startService(t *testing.T, b behavior, reused bool) *service {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &service{l: l, behavior: b, reused: reused}
	go s.accept()
	t.Cleanup(func() {
		_ = l.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.conns {
			_ = c.Close()
		}
	})
	return s
}

func (s *service) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *service) serve(c net.Conn) {
	in := bufio.NewReader(c)
	if s.reused {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
	if s.behavior == closesBeforeReading {
		if s.reused {
			_, _ = in.Peek(1) // close the connection during the next request
		}
		_ = c.Close()
		return
	}
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.mu.Lock()
		s.ran++
		s.mu.Unlock()
		if !s.reply(c) {
			return
		}
	}
}

func (s *service) reply(c net.Conn) bool {
	switch s.behavior {
	case answers:
		fmt.Fprint(c, "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\ndone")
		return true
	case answers503:
		fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return true
	case truncatesStatusLine:
		fmt.Fprint(c, "HTTP/1.1 200 O")
	case answersNonHTTP:
		fmt.Fprint(c, "hello\r\n\r\n")
	case neverAnswers:
		return true
	default:
	}
	_ = c.Close()
	return false
}

// unlimitedBudget allows every retry.
type unlimitedBudget struct{}

func (unlimitedBudget) Spend() bool { return true }

func newTarget(id, addr string) *pktarget.Target {
	return pktarget.NewTarget(pktarget.Info{ID: pkid.TargetID(id), Addr: addr})
}

// An idempotent call must be retried on the other target. One that is not must reach at most one
// target, with the verdict NotRun only if no target read it. Covers new and reused connections.
func TestCallUnderFaults(t *testing.T) {
	behaviors := []behavior{answers, unreachable, closesBeforeReading, closesAfterReading, truncatesStatusLine, answersNonHTTP, neverAnswers, answers503}
	for _, b := range behaviors {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
			for _, idempotent := range []bool{true, false} {
				for _, reused := range []bool{true, false} {
					name := fmt.Sprintf("%s/%s/idempotent %v/reused %v", b, method, idempotent, reused)
					t.Run(name, func(t *testing.T) { testCallUnderFault(t, b, method, idempotent, reused) })
				}
			}
		}
	}
}

func testCallUnderFault(t *testing.T, b behavior, method string, idempotent, reused bool) {
	faulty := startService(t, b, reused && b != unreachable)
	healthy := startService(t, answers, false)
	if b == unreachable {
		assert.NilError(t, faulty.l.Close())
	}
	p := New(pkconn.DefaultOptions(), 3)
	defer func() { assert.NilError(t, p.Close()) }()
	targets := []*pktarget.Target{newTarget("faulty", faulty.l.Addr().String()), newTarget("healthy", healthy.l.Addr().String())}
	choose := func(_ time.Time, avoid []pkid.TargetID) (*pktarget.Target, error) { return targets[len(avoid)], nil }
	if reused && b != unreachable {
		openIdleConnection(t, p, targets[0])
	}
	// Only a service that never answers runs into the deadline; for the others it is long enough
	// for a busy machine.
	limit := 20 * time.Second
	if b == neverAnswers {
		limit = 300 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	c := Call{Method: method, URI: &url.URL{Path: "/x"}, Header: http.Header{"Idempotency-Key": {"k"}}, Idempotent: idempotent}
	if method == http.MethodPost {
		c.Body = strings.NewReader("body")
		c.Size = 4
	}
	reply, err := p.Do(ctx, c, choose, unlimitedBudget{})
	faulty.mu.Lock()
	ran := faulty.ran
	faulty.mu.Unlock()
	healthy.mu.Lock()
	ran += healthy.ran
	healthy.mu.Unlock()
	if !idempotent {
		assert.Assert(t, ran <= 1, "the call ran %d times", ran)
	}
	if err == nil {
		_ = reply.Response.Body.Close()
		assert.Assert(t, ran >= 1)
		return
	}
	var failure *pkverdict.Error
	assert.Assert(t, errors.As(err, &failure), err)
	if failure.Verdict == pkverdict.NotRun {
		assert.Equal(t, ran, 0)
	}
	if idempotent && b != neverAnswers && method != http.MethodPost {
		t.Fatalf("idempotent call was not retried: %v", err)
	}
}

func openIdleConnection(t *testing.T, p *Proxy, target *pktarget.Target) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+target.Info.Addr, http.NoBody)
	assert.NilError(t, err)
	resp, err := p.http.Do(req)
	assert.NilError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// The proxy must return redirects to the client; following them would run the call twice.
func TestRedirectNotFollowed(t *testing.T) {
	calls := 0
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	})}
	go func() { _ = srv.Serve(l) }()
	defer func() { _ = srv.Close() }()
	p := New(pkconn.DefaultOptions(), 3)
	target := newTarget("one", l.Addr().String())
	reply, err := p.Do(t.Context(), Call{Method: http.MethodPost, URI: &url.URL{Path: "/"}, Body: bytes.NewReader([]byte("b")), Size: 1},
		func(time.Time, []pkid.TargetID) (*pktarget.Target, error) { return target, nil }, unlimitedBudget{})
	assert.NilError(t, err)
	_ = reply.Response.Body.Close()
	assert.Equal(t, reply.Response.StatusCode, http.StatusTemporaryRedirect)
	assert.Equal(t, calls, 1)
}
