package pkedge

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkforward"
	"peridotknot.example/pkowner"
	"peridotknot.example/pkverdict"
)

// darkEngines answer reports but for one engine, which is dark.
type darkEngines struct {
	pkowner.Engines
	dark  string
	asked int
}

func (e *darkEngines) Report(ctx context.Context, addr string) (pkowner.Report, error) {
	if addr != e.dark {
		return pkowner.Report{Orders: 1}, nil
	}
	e.asked++
	<-ctx.Done()
	return pkowner.Report{}, context.Cause(ctx)
}

// An engine in the middle of paths falls dark while the store is away, so that the list goes on
// naming it. The first engines of new paths refuse for it. Passed over like one that is full, for
// two tenths of a second at first, nine such engines refused 2,260 sends of 195 entries in twelve
// seconds. One that gives no sign of life must be passed over for seconds, by all entries; one
// that lives only as before; and an engine that refuses for itself is not asked.
func TestAnEngineThatOthersRefuseForIsAsked(t *testing.T) {
	for _, row := range []struct {
		name  string
		dark  string
		fault string
		asked int
	}{
		{"it is dark", "b", "b", 1},
		{"it lives", "", "b", 0},
		{"the first refuses for itself", "a", "a", 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			d, s := poolDaemon(engine("a", "x", 0, 40), engine("b", "x", 40, 80), engine("c", "x", 40, 80))
			engines := &darkEngines{dark: row.dark}
			d.Engines = engines
			a := attemptOver(t, d, s, "a", "b")
			answer := &pkforward.Answer{Status: http.StatusServiceUnavailable, Head: pkforward.Head{NotRun: true, Fault: row.fault}}
			refusal := &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonRefused, Err: errors.New("status 503")}
			for range 3 {
				a.call.blamePath(t.Context(), a, answer, refusal)
			}
			d.streams.wg.Wait()
			assert.Equal(t, engines.asked, row.asked)
			now := time.Now()
			dead := row.asked > 0
			assert.Equal(t, d.target(t, "b").IsDead(now), dead)
			assert.Equal(t, len(d.message(now).Suspects) == 1, dead, "the others are told")
		})
	}
}
