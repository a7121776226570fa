package pkedge

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkbudget"
	"peridotknot.example/pkserver"
)

// Guards against answers that are lost, or cut and look whole, since callers hold all memory.
func TestAnswersWithoutRoomAreForwardedAsTheyCome(t *testing.T) {
	errBroken := errors.New("broken")
	text := strings.Repeat("answer", 10_000)
	for name, row := range map[string]struct {
		length int64
		rest   error
	}{"known length": {int64(len(text)), nil}, "unknown length": {-1, nil}, "broken": {-1, errBroken}} {
		t.Run(name, func(t *testing.T) {
			var b pkserver.Budget
			b.SetLimits(pkbudget.Limits{Requests: 16 << 10, Large: 16 << 10})
			w := httptest.NewRecorder()
			c := &call{w: w, r: httptest.NewRequest(http.MethodGet, "/", http.NoBody), holding: pkserver.NewRequest(&b, time.Now(), func() {})}
			var in io.Reader = strings.NewReader(text)
			if row.rest != nil {
				in = io.MultiReader(in, iotest.ErrReader(row.rest))
			}
			read, err := c.readAnswer(t.Context(), in, row.length)
			assert.ErrorIs(t, err, pkserver.ErrBusy)
			assert.Assert(t, len(read) < len(text))
			err = c.copyAnswer(http.StatusOK, http.Header{"X": {"y"}}, row.length, read, in)
			assert.ErrorIs(t, err, row.rest)
			assert.Assert(t, c.headSent)
			assert.Equal(t, w.Body.String(), text)
			assert.Equal(t, w.Header().Get("X"), "y")
			c.holding.Close()
			assert.Equal(t, b.Usage().Bytes, pkbudget.Bytes(0))
		})
	}
}
