package pklab

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkentry"
	"peridotknot.example/pksample"
)

// A stream that is still running at the limit of a planned stop must end with an error event that
// gives the code and the verdict, not with a broken connection.
func TestStreamAbortedByStopLimitEndsWithError(t *testing.T) {
	standins := fastStandins(t)
	for kind, speed := range standins.Kinds {
		speed.Base = time.Millisecond // 32 layers, about 30 tokens per second
		standins.Kinds[kind] = speed
	}
	manifest, err := pksample.File("aare", pksample.FileManifest)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	l, err := Start(ctx, Options{Standins: standins, Manifest: manifest, Entries: 1, Stop: pkentry.Stop{Delay: time.Millisecond, Limit: 300 * time.Millisecond}})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	body := `{"model":"budget-de","stream":true,"max_tokens":1000,"messages":[{"role":"user","content":"x"}]}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addresses()[0].Callers+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+apiKey(t))
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	assert.Assert(t, lines.Scan())
	go func() { _ = l.StopEntry(0) }()
	last := ""
	for lines.Scan() {
		if lines.Text() != "" {
			last = lines.Text()
		}
	}
	assert.NilError(t, lines.Err())
	assert.Assert(t, strings.Contains(last, `"code":"stopping"`), last)
	assert.Assert(t, strings.Contains(last, `"verdict":"may_have_run"`), last)
}
