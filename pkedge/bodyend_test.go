package pkedge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkforward"
	"peridotknot.example/pkowner"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkverdict"
)

// endingEngines fail connections or health checks.
type endingEngines struct {
	pkowner.Engines
	connect, answer error
}

func (e *endingEngines) Connect(context.Context, string) error { return e.connect }

func (e *endingEngines) Leaving(context.Context, string, string) (bool, error) {
	return false, e.answer
}

// Guards against half an answer that its caller takes for the whole: a process that is killed still accepts connections
// for a moment after those that are open have ended, and then resets them.
func TestBodyOfAProcessThatIsEndingIsNotComplete(t *testing.T) {
	lost := func(err error) error { return fmt.Errorf("health check: %w", err) }
	for name, row := range map[string]struct {
		engines   endingEngines
		delimited bool
		complete  bool
	}{
		"runs":                       {complete: true},
		"refuses connections":        {engines: endingEngines{connect: lost(syscall.ECONNREFUSED)}},
		"resets what it accepts":     {engines: endingEngines{answer: lost(syscall.ECONNRESET)}},
		"ends what it accepts":       {engines: endingEngines{answer: lost(io.EOF)}},
		"is slow":                    {engines: endingEngines{answer: lost(context.DeadlineExceeded)}, complete: true},
		"has ended, but sent chunks": {engines: endingEngines{connect: lost(syscall.ECONNREFUSED)}, delimited: true, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			d, _ := poolDaemon(engine("plain", "a", 0, 0))
			d.Engines = &row.engines
			target, found := d.roster.Target("plain")
			assert.Assert(t, found)
			c := &call{Daemon: d, r: httptest.NewRequest(http.MethodGet, "/", nil), service: "models"}
			err := c.checkBodyEnd(t.Context(), &pkforward.Response{Delimited: row.delimited}, target)
			if row.complete {
				assert.NilError(t, err)
				return
			}
			var failure *pkverdict.Error
			assert.Assert(t, errors.As(err, &failure))
			assert.Equal(t, failure.Verdict, pkverdict.MayHaveRun)
		})
	}
}

// Guards against an answer to a stream other than a success that goes to the caller though it is broken.
func TestBrokenFailuresOfStreams(t *testing.T) {
	errBroken := errors.New("broken")
	ended := fmt.Errorf("health check: %w", syscall.ECONNRESET)
	for name, row := range map[string]struct {
		header    http.Header
		rest      io.Reader
		delimited bool
		probe     error
		want      int
	}{
		"whole":                         {delimited: true, want: http.StatusNotFound},
		"whole, ends with a connection": {want: http.StatusNotFound},
		"broken off":                    {rest: iotest.ErrReader(errBroken)},
		"cut":                           {probe: ended},
		"encoded":                       {header: http.Header{"Content-Encoding": {"gzip"}}, delimited: true},
		"without end":                   {rest: neverEnding('a'), delimited: true},
	} {
		t.Run(name, func(t *testing.T) {
			d, s := poolDaemon(engine("plain", "a", 0, 0))
			d.Engines = &endingEngines{answer: row.probe}
			target, found := d.roster.Target("plain")
			assert.Assert(t, found)
			w := httptest.NewRecorder()
			c := &call{Daemon: d, w: w, r: httptest.NewRequest(http.MethodPost, "/", nil), service: "models"}
			a := &attempt{call: c, service: s, path: targetPath{targets: []*pkreplica.Target{target}}}
			var body io.Reader = strings.NewReader("text")
			if row.rest != nil {
				body = io.MultiReader(body, row.rest)
			}
			err := c.forwardFailure(t.Context(), a, &pkforward.Response{
				Status: http.StatusNotFound, Header: row.header, Body: body, Length: -1, Delimited: row.delimited,
			})
			if row.want != 0 {
				assert.NilError(t, err)
				assert.Equal(t, w.Code, row.want)
				assert.Equal(t, w.Body.String(), "text")
				return
			}
			var failure *pkverdict.Error
			assert.Assert(t, errors.As(err, &failure), "%v", err)
			assert.Equal(t, failure.Verdict, pkverdict.MayHaveRun)
			assert.Assert(t, !c.headSent)
		})
	}
}

// neverEnding is a reader of one byte without end.
type neverEnding byte

// Read fills p.
func (b neverEnding) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(b)
	}
	return len(p), nil
}
