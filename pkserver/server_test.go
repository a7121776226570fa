package pkserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkbudget"
)

const (
	low  = 8 << 10
	high = 64 << 10
)

func limitsOf(headerBytes int) Limits {
	return Limits{HeaderBytes: headerBytes, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// start starts a server with low limits and returns its URL and a function that returns the result of Serve.
func start(t *testing.T, s *Server) (url string, served func() error) {
	t.Helper()
	l, err := listen("127.0.0.1:0", pkbudget.Limits{})
	assert.NilError(t, err)
	assert.NilError(t, s.SetLimits(limitsOf(low)))
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	result := sync.OnceValue(func() error { return <-done })
	t.Cleanup(func() {
		assert.NilError(t, s.Close())
		assert.ErrorIs(t, result(), http.ErrServerClosed)
	})
	return "http://" + l.Addr().String(), result
}

// get sends a request with a header of a size, and returns the status and whether the answer closes its connection.
func get(c *http.Client, url string, headerBytes int) (status int, closes bool, err error) {
	req, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, false, err
	}
	req.Header.Set("X-Fill", strings.Repeat("a", headerBytes))
	resp, err := c.Do(req)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close, errors.Join(err, resp.Body.Close())
}

func newClient(t *testing.T) *http.Client {
	c := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// Guards against raised limits that do not apply to new connections, and against a change that cuts a request in
// progress or leaves its connection under the earlier limits.
func TestLimitsChangeWithoutCuttingRequests(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	s := &Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(running)
			<-release
		}
	})}
	url, _ := start(t, s)
	status, _, err := get(newClient(t), url, high/2)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)

	type result struct {
		status int
		closes bool
		err    error
	}
	slow := make(chan result, 1)
	go func() {
		status, closes, err := get(newClient(t), url+"/slow", 1)
		slow <- result{status, closes, err}
	}()
	<-running
	assert.NilError(t, s.SetLimits(limitsOf(high)))
	assert.NilError(t, s.SetLimits(limitsOf(high)))
	for deadline := time.Now().Add(10 * time.Second); status != http.StatusOK && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		status, _, err = get(newClient(t), url, high/2)
		assert.NilError(t, err)
	}
	assert.Equal(t, status, http.StatusOK)
	close(release)
	assert.Equal(t, <-slow, result{status: http.StatusOK, closes: true})
}

// Guards against connections that are refused or reset while the limits change over and over.
func TestChangesOfLimitsLoseNoConnection(t *testing.T) {
	s := &Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	url, _ := start(t, s)
	var stop atomic.Bool
	var clients sync.WaitGroup
	for range 4 {
		clients.Go(func() {
			for !stop.Load() {
				c := newClient(t)
				status, _, err := get(c, url, 1)
				c.CloseIdleConnections()
				if err != nil || status != http.StatusOK {
					t.Errorf("status %d, %v", status, err)
					return
				}
			}
		})
	}
	for i := range 100 {
		assert.NilError(t, s.SetLimits(limitsOf(low+i)))
		time.Sleep(time.Millisecond)
	}
	stop.Store(true)
	clients.Wait()
}

// Guards against a shutdown that cuts requests of former servers, leaves the listener open, or hangs in a change of
// the limits.
func TestShutdownWaitsForFormerServers(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	s := &Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(running)
		<-release
	})}
	url, served := start(t, s)
	answered := make(chan error, 1)
	go func() {
		status, _, err := get(newClient(t), url, 1)
		if err == nil && status != http.StatusOK {
			err = http.ErrAbortHandler
		}
		answered <- err
	}()
	<-running
	assert.NilError(t, s.SetLimits(limitsOf(high)))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, s.Shutdown(ctx), context.DeadlineExceeded)
	assert.ErrorIs(t, served(), http.ErrServerClosed)
	_, _, err := get(newClient(t), url, 1)
	assert.Assert(t, err != nil, "the listener is open")
	close(release)
	assert.NilError(t, <-answered)
	assert.NilError(t, s.Shutdown(t.Context()))
	assert.NilError(t, s.SetLimits(limitsOf(low)))
}

// Guards against a request that runs though its kept connection is closed by a change of the limits, so that it gets no
// answer.
func TestARequestThatRunsIsAnsweredWhileTheLimitsChange(t *testing.T) {
	var ran sync.Map
	s := &Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { ran.Store(r.Header.Get("Id"), true) })}
	url, _ := start(t, s)
	var stop atomic.Bool
	var clients sync.WaitGroup
	for i := range 8 {
		c := newClient(t)
		clients.Go(func() {
			for k := 0; !stop.Load(); k++ {
				id := fmt.Sprintf("%d-%d", i, k)
				req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("body"))
				if err != nil {
					t.Error(err)
					return
				}
				req.Header.Set("Id", id)
				resp, err := c.Do(req)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					err = errors.Join(err, resp.Body.Close())
				}
				if _, found := ran.Load(id); err != nil && found {
					t.Errorf("%s ran: %v", id, err)
					return
				}
			}
		})
	}
	for i := range 500 {
		assert.NilError(t, s.SetLimits(limitsOf(low+i)))
		time.Sleep(time.Millisecond)
	}
	stop.Store(true)
	clients.Wait()
}
