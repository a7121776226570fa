package pkedge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkforward"
	"peridotknot.example/pkowner"
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
