package pkedge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/platform/platformtest"
)

// Guards against callers who learn that they are refused only once the rest of their body has come.
func TestRefusedCallersNeedNotSendTheirBody(t *testing.T) {
	t.Parallel()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	w.Add(platformtest.App, "i-a", "a")
	n := start(t, w, "one")
	eventually(t, "a call", func() bool {
		return n.do(t, http.MethodGet, "/read/1", "warm", platformtest.Key, 0).status == http.StatusOK
	})
	const size = 100 << 10 // net/http discards as much before it answers
	for name, row := range map[string]struct {
		path, key string
		status    int
	}{
		"unknown key":   {"/book/1", "wrong", http.StatusUnauthorized},
		"unknown route": {"/nowhere/1", platformtest.Key, http.StatusNotFound},
		"too large":     {"/book/1", platformtest.Key, http.StatusRequestEntityTooLarge},
	} {
		for framing, lines := range map[string]string{"announced": fmt.Sprintf("Content-Length: %d\r\n\r\n", size), "chunked": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size)} {
			t.Run(name+" "+framing, func(t *testing.T) {
				conn, err := net.Dial("tcp", n.CallersAddr())
				assert.NilError(t, err)
				defer func() { assert.NilError(t, conn.Close()) }()
				_, err = io.WriteString(conn, platformtest.Head(row.path, "refused", row.key, waitTimeout)+lines+strings.Repeat("a", size-1))
				assert.NilError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err)
				assert.NilError(t, resp.Body.Close())
				assert.Equal(t, resp.StatusCode, row.status)
				assert.Equal(t, resp.Header.Get(platformtest.IDHeader), "refused")
			})
		}
	}
}
