package pkopenai

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkverdict"
)

func TestDecodeAcceptsPublishedForms(t *testing.T) {
	cases := map[string]struct {
		body     string
		endpoint Endpoint
		text     string
	}{
		"plain text":    {`{"model":"m","messages":[{"role":"user","content":"hi"}]}`, Chat, "<|user|>hi\n"},
		"parts":         {`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, Chat, "<|user|>ab\n"},
		"no content":    {`{"model":"m","messages":[{"role":"assistant","content":null}]}`, Chat, "<|assistant|>\n"},
		"unused fields": {`{"model":"m","temperature":0.2,"user":"u","messages":[{"role":"user","content":"x","name":"n"}]}`, Chat, "<|user|>x\n"},
		"prompt":        {`{"model":"m","prompt":"p"}`, Completion, "p"},
		"prompt list":   {`{"model":"m","prompt":["p"]}`, Completion, "p"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, err := Decode(strings.NewReader(c.body), c.endpoint)
			assert.NilError(t, err)
			assert.Equal(t, r.PromptText(c.endpoint), c.text)
		})
	}
}

// Guards against chunks whose JSON does not decode to the text that the model generated.
func FuzzStream(f *testing.F) {
	f.Add("plain", "with \"quotes\" \\ and \n lines")
	f.Add("Brücke", "\x00\x7f</script>\u2028")
	f.Fuzz(func(t *testing.T, a, b string) {
		for _, text := range []string{a, b} {
			var got string
			assert.NilError(t, json.Unmarshal(appendText(nil, text), &got))
			assert.Equal(t, got, string([]rune(text)))
		}
	})
}

// Guards against client retries of a request that may have been executed.
func TestFailureSetsShouldRetry(t *testing.T) {
	for verdict, want := range map[pkverdict.Verdict]string{pkverdict.NotRun: "true", pkverdict.MayHaveRun: "false"} {
		w := httptest.NewRecorder()
		f := Failure{Status: 503, Code: "x", Verdict: verdict, RequestID: pkid.RequestID("r"), RetryAfter: 1500 * time.Millisecond}
		assert.NilError(t, f.Write(w))
		assert.Equal(t, w.Header().Get("X-Should-Retry"), want)
		assert.Equal(t, w.Header().Get("Retry-After"), "2")
		assert.Equal(t, w.Header().Get(HeaderVerdict), verdict.String())
	}
}
