package pkforward

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCopyHeadersDropsHopByHop(t *testing.T) {
	from := http.Header{
		"Connection": {"close, X-Private"}, "X-Private": {"1"}, "Keep-Alive": {"5"}, "Transfer-Encoding": {"chunked"},
		"Te": {"trailers"}, "Upgrade": {"h2c"}, "Content-Type": {"text/plain"}, "X-Two": {"a", "b"},
	}
	to := http.Header{}
	CopyHeaders(to, from)
	assert.DeepEqual(t, to, http.Header{"Content-Type": {"text/plain"}, "X-Two": {"a", "b"}})
}
