package pkrelay

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkverdict"
)

// Guards against a request that is given up since entries which were cut off themselves count as attempts of it.
func TestReasonsOfEntriesThatGiveARequestUp(t *testing.T) {
	for _, row := range []struct {
		verdict pkverdict.Verdict
		reason  string
		want    pkverdict.Reason
	}{
		{pkverdict.MayHaveRun, ReasonLinksCut, pkverdict.ReasonCutOff},
		{pkverdict.MayHaveRun, "target_lost", pkverdict.ReasonTargetLost},
		{pkverdict.NotRun, ReasonCutOff, pkverdict.ReasonUnreachable},
		{pkverdict.NotRun, "no_target", pkverdict.ReasonRefused},
	} {
		t.Run(row.verdict.String()+" "+row.reason, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(HeaderVerdict, row.verdict.String())
				w.Header().Set(HeaderReason, row.reason)
				w.WriteHeader(http.StatusBadGateway)
			}))
			defer server.Close()
			c := NewClient(pkconn.DefaultOptions())
			defer func() { assert.NilError(t, c.Close()) }()
			r := valid()
			resp, err := c.Do(t.Context(), strings.TrimPrefix(server.URL, "http://"), &r)
			var failure *pkverdict.Error
			assert.Assert(t, errors.As(err, &failure))
			assert.Equal(t, failure.Reason, row.want)
			assert.Equal(t, failure.Verdict, row.verdict)
			assert.NilError(t, resp.Body.Close())
		})
	}
}
