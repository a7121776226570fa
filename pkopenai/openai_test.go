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
			r, err := Decode([]byte(c.body), c.endpoint)
			assert.NilError(t, err)
			assert.Equal(t, r.PromptText(c.endpoint), c.text)
		})
	}
}

// Guards against values that are taken for others, since lists are decoded element by element.
func TestDecodeRefusesOtherForms(t *testing.T) {
	cases := map[string]struct {
		body     string
		endpoint Endpoint
		want     string
	}{
		"two values":      {`{"model":"m","messages":[{}]}{}`, Chat, "the body is not a JSON request"},
		"no messages":     {`{"model":"m","messages":null}`, Chat, "messages is missing or empty"},
		"empty messages":  {`{"model":"m","messages":[]}`, Chat, "messages is missing or empty"},
		"one message":     {`{"model":"m","messages":{}}`, Chat, "messages must be a list"},
		"text as message": {`{"model":"m","messages":["x"]}`, Chat, "the body is not a JSON request"},
		"number":          {`{"model":"m","messages":[{"content":5}]}`, Chat, "content must be a string or a list of parts"},
		"numbers":         {`{"model":"m","messages":[{"content":[5]}]}`, Chat, "content must be a string or a list of parts"},
		"image":           {`{"model":"m","messages":[{"content":[{"type":"image"}]}]}`, Chat, "content part of type \"image\" is not served"},
		"no prompt":       {`{"model":"m","prompt":[]}`, Completion, "prompt must be a string or a list of one string"},
		"two prompts":     {`{"model":"m","prompt":["p","q"]}`, Completion, "prompt must be a string or a list of one string"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Decode([]byte(c.body), c.endpoint)
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// Guards against short elements of a list that take many times their size once they are decoded.
func BenchmarkDecodeEmptyObjects(b *testing.B) {
	body := []byte(`{"model":"m","messages":[` + strings.Repeat("{},", 350_000) + `{}]}`)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		if _, err := Decode(body, Chat); err != nil {
			b.Fatal(err)
		}
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
