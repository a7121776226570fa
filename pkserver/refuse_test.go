package pkserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkbudget"
)

const refusalText = "no room"

// readOrRefuse returns a handler that reads a body of at most limit bytes and answers with its length, or refuses it.
func readOrRefuse(t *testing.T, limit int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h := HoldingOf(r.Context())
		body, err := h.ReadAll(r.Context(), r.Body, r.ContentLength, limit)
		switch {
		case err == nil:
			_, err = fmt.Fprint(w, len(body))
			assert.Check(t, err)
		case errors.Is(err, ErrTooLarge), errors.Is(err, ErrBusy):
			_ = h.Refuse(w, func() { // the client may disconnect
				w.Header().Set("Content-Length", strconv.Itoa(len(refusalText)))
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, refusalText)
			})
		}
	}
}

// Guards against clients that lose a refusal since their connection is reset while they send, and against one that is sent
// only once the rest of a body has come.
func TestRefusalReachesAClientThatSends(t *testing.T) {
	const limit = 64 << 10
	s := &Server{Handler: readOrRefuse(t, limit)}
	url, _ := start(t, s)
	for name, head := range map[string]string{
		"announced": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000\r\n\r\n",
		"chunked":   "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5f5e100\r\n",
	} {
		for what, bytes := range map[string]int{"on": 16 << 20, "no more": limit + 1} {
			t.Run(name+" sends "+what, func(t *testing.T) {
				conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
				assert.NilError(t, err)
				defer func() { assert.NilError(t, conn.Close()) }()
				_, err = io.WriteString(conn, head+strings.Repeat("a", bytes))
				assert.NilError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
				assert.Assert(t, resp.Close)
				text, err := io.ReadAll(resp.Body)
				assert.NilError(t, errors.Join(err, resp.Body.Close()))
				assert.Equal(t, string(text), refusalText)
			})
		}
	}
}

// Guards against bodies that are cut or mixed up while they are read into growing buffers, and against bytes that are not
// given back.
func TestBodiesAreReadWhole(t *testing.T) {
	const limit = 1 << 20
	s := &Server{Handler: readOrRefuse(t, limit)}
	s.Budget.SetLimits(pkbudget.Limits{Connections: 100, Requests: 8 * limit, Large: 6 * limit})
	url, _ := start(t, s)
	c := newClient(t)
	for _, size := range []int{0, 1, firstBuffer - 1, firstBuffer, firstBuffer + 1, bufferThreshold + 1, limit - 1, limit} {
		for _, chunked := range []bool{false, true} {
			var body io.Reader = strings.NewReader(strings.Repeat("a", size))
			if chunked {
				body = io.MultiReader(body)
			}
			resp, err := c.Post(url, "text/plain", body)
			assert.NilError(t, err)
			text, err := io.ReadAll(resp.Body)
			assert.NilError(t, errors.Join(err, resp.Body.Close()))
			assert.Equal(t, string(text), fmt.Sprint(size))
		}
	}
	for end := time.Now().Add(10 * time.Second); s.Budget.Usage().Bytes > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		continue
	}
	assert.Equal(t, s.Budget.Usage().Bytes, pkbudget.Bytes(0))
}

// Guards against bodies that are kept waiting for ever, or answered twice, where many want the room of others.
func TestBurstOfLargeBodiesIsServedOrRefused(t *testing.T) {
	const limit, clients = 1 << 20, 40
	s := &Server{Handler: readOrRefuse(t, limit)}
	s.Budget.SetLimits(pkbudget.Limits{Connections: 2 * clients, Requests: 4 * limit, Large: 3 * limit})
	url, _ := start(t, s)
	var mu sync.Mutex
	statuses := map[int]int{}
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			c := newClient(t)
			resp, err := c.Post(url, "text/plain", strings.NewReader(strings.Repeat("a", limit)))
			if err != nil {
				t.Error(err)
				return
			}
			_, err = io.Copy(io.Discard, resp.Body)
			assert.Check(t, errors.Join(err, resp.Body.Close()))
			mu.Lock()
			defer mu.Unlock()
			statuses[resp.StatusCode]++
		})
	}
	all.Wait()
	assert.Equal(t, statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], clients)
	assert.Assert(t, statuses[http.StatusOK] > 0)
}
