package pklab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"peridotknot.example/pkopenai"
	"peridotknot.example/pksample"
	"peridotknot.example/pkstandin"
	"peridotknot.example/pktrace"
)

// fastStandins returns stand-ins whose engines respond almost without delay.
func fastStandins(t testing.TB) pkstandin.Settings {
	raw, err := pksample.File("aare", pksample.FileStandins)
	assert.NilError(t, err)
	s, err := pkstandin.ParseSettings("standins.yaml", raw)
	assert.NilError(t, err)
	for kind, speed := range s.Kinds {
		speed.Base, speed.PerSeq, speed.Prefill = time.Microsecond, 0, 0
		s.Kinds[kind] = speed
	}
	s.LinkDelay = 0
	for i := range s.Engines {
		s.Engines[i].Count = 2
	}
	return s
}

func startLab(t testing.TB, entries int) *Lab {
	manifest, err := pksample.File("aare", pksample.FileManifest)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	l, err := Start(ctx, Options{Standins: fastStandins(t), Manifest: manifest, Entries: entries})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, l.Close()) })
	return l
}

func apiKey(t testing.TB) string {
	keys, err := pksample.Keys("aare")
	assert.NilError(t, err)
	return keys["mitglieder"]
}

func TestOfficialClient(t *testing.T) {
	l := startLab(t, 1)
	c := openai.NewClient(option.WithBaseURL("http://"+l.Addresses()[0].Callers+"/v1"), option.WithAPIKey(apiKey(t)))
	params := openai.ChatCompletionNewParams{
		Model:     "budget-de",
		MaxTokens: openai.Int(12),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Was kostet der Steg?")},
	}
	list, err := c.Models.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, list.Data[0].ID, "budget-de")

	completion, err := c.Chat.Completions.New(t.Context(), params)
	assert.NilError(t, err)
	assert.Equal(t, len(strings.Fields(completion.Choices[0].Message.Content)), 12)
	assert.Equal(t, completion.Usage.CompletionTokens, int64(12))

	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	stream := c.Chat.Completions.NewStreaming(t.Context(), params)
	var content strings.Builder
	var usedTokens int64
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			content.WriteString(choice.Delta.Content)
		}
		usedTokens = max(usedTokens, stream.Current().Usage.CompletionTokens)
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, content.String(), completion.Choices[0].Message.Content)
	assert.Equal(t, usedTokens, int64(12))

	text, err := c.Completions.New(t.Context(), openai.CompletionNewParams{
		Model: "budget-de:plain-german", MaxTokens: openai.Int(3), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("Ja")},
	})
	assert.NilError(t, err)
	assert.Equal(t, len(strings.Fields(text.Choices[0].Text)), 3)

	params.Model = "drafting"
	_, err = c.Chat.Completions.New(t.Context(), params)
	var failure *openai.Error
	assert.Assert(t, errorAs(err, &failure), err)
	assert.Equal(t, failure.StatusCode, http.StatusNotFound)
	assert.Equal(t, failure.Code, "model_not_found")
}

func errorAs(err error, to **openai.Error) bool {
	e, ok := err.(*openai.Error) //nolint:errorlint // the client returns it unwrapped
	*to = e
	return ok
}

func post(t testing.TB, l *Lab, path, key, body string, header ...string) (*http.Response, map[string]map[string]any) {
	t.Helper()
	return postTo(t, l, 0, path, key, body, header...)
}

func postTo(t testing.TB, l *Lab, entry int, path, key, body string, header ...string) (*http.Response, map[string]map[string]any) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addresses()[entry].Callers+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	var out map[string]map[string]any
	_ = json.Unmarshal(raw, &out) // only errors have this shape
	return resp, out
}

const chatBody = `{"model":"budget-de","max_tokens":3,"messages":[{"role":"user","content":"hi"}]}`

// Guards against callers who learn that they are refused only once the rest of their body has come.
func TestRefusedCallersNeedNotSendTheirBody(t *testing.T) {
	l := startLab(t, 1)
	for name, head := range map[string]string{
		"no key":          "POST /v1/chat/completions HTTP/1.1\r\n",
		"unknown service": "POST /services/none/x HTTP/1.1\r\nAuthorization: Bearer " + apiKey(t) + "\r\n",
	} {
		for framing, lines := range map[string]string{"announced": "Content-Length: 100000\r\n\r\n", "chunked": "Transfer-Encoding: chunked\r\n\r\n186a0\r\n"} {
			t.Run(name+" "+framing, func(t *testing.T) {
				conn, err := net.Dial("tcp", l.Addresses()[0].Callers)
				assert.NilError(t, err)
				defer func() { assert.NilError(t, conn.Close()) }()
				_, err = io.WriteString(conn, head+"Host: lab\r\n"+lines+strings.Repeat("a", 99_999))
				assert.NilError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.NilError(t, err)
				assert.NilError(t, resp.Body.Close())
				assert.Equal(t, resp.Header.Get(pkopenai.HeaderVerdict), "not_run")
			})
		}
	}
}

// An invalid request must fail with its error code and the verdict that nothing ran, and must not
// affect other requests.
func TestBadInput(t *testing.T) {
	l := startLab(t, 1)
	good := apiKey(t)
	cases := map[string]struct {
		path, key, body string
		header          []string
		status          int
		code            string
	}{
		"malformed body":   {"/v1/chat/completions", good, `{"model":`, nil, 400, "invalid_body"},
		"two bodies":       {"/v1/chat/completions", good, chatBody + chatBody, nil, 400, "invalid_body"},
		"no messages":      {"/v1/chat/completions", good, `{"model":"budget-de"}`, nil, 400, "invalid_body"},
		"image part":       {"/v1/chat/completions", good, `{"model":"budget-de","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, 400, "invalid_body"},
		"n above one":      {"/v1/chat/completions", good, `{"n":2,` + chatBody[1:], nil, 400, "invalid_body"},
		"prompt too long":  {"/v1/completions", good, `{"model":"budget-de","prompt":"` + strings.Repeat("x", 40000) + `"}`, nil, 400, "context_length_exceeded"},
		"body too large":   {"/v1/chat/completions", good, strings.Repeat("x", 2<<20), nil, 413, "body_too_large"},
		"unknown model":    {"/v1/chat/completions", good, strings.Replace(chatBody, "budget-de", "other", 1), nil, 404, "model_not_found"},
		"unknown adapter":  {"/v1/chat/completions", good, strings.Replace(chatBody, "budget-de", "budget-de:x", 1), nil, 404, "model_not_found"},
		"wrong key":        {"/v1/chat/completions", good[:len(good)-1] + "!", chatBody, nil, 401, "invalid_api_key"},
		"no key":           {"/v1/chat/completions", "", chatBody, nil, 401, "invalid_api_key"},
		"bad deadline":     {"/v1/chat/completions", good, chatBody, []string{pkopenai.HeaderDeadline, "soon"}, 400, "bad_timeout"},
		"unknown service":  {"/services/booking/x", good, "", nil, 404, "service_not_found"},
		"unknown path":     {"/v1/embeddings", good, "", nil, 404, "not_found"},
		"service body big": {"/services/voting/x", good, strings.Repeat("x", 2<<20), nil, 413, "body_too_large"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			resp, body := post(t, l, c.path, c.key, c.body, c.header...)
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Equal(t, body["error"]["code"], c.code)
			assert.Equal(t, body["error"]["verdict"], "not_run")
			assert.Equal(t, resp.Header.Get(pkopenai.HeaderVerdict), "not_run")
			assert.Assert(t, resp.Header.Get(pkopenai.HeaderRequestID) != "")
			resp, _ = post(t, l, "/v1/chat/completions", good, chatBody)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
		})
	}
}

// A request with a Content-Length above the limit must be rejected before its body is read: reading
// it would exhaust the memory or the link of a small VM.
func TestOversizedBodyIsRejectedUnread(t *testing.T) {
	l := startLab(t, 1)
	for _, path := range []string{"/v1/chat/completions", "/services/voting/x"} {
		c, err := net.Dial("tcp", l.Addresses()[0].Callers)
		assert.NilError(t, err)
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", path, apiKey(t), int64(2)<<30)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
		assert.Assert(t, resp.Close)
		_ = resp.Body.Close()
		_ = c.Close()
	}
}

// Connections with incomplete request headers (slowloris) must not block other callers.
func TestSlowHeadersDoNotBlockOtherCallers(t *testing.T) {
	l := startLab(t, 1)
	for range 100 {
		c, err := net.Dial("tcp", l.Addresses()[0].Callers)
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		fmt.Fprint(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-")
	}
	resp, _ := post(t, l, "/v1/chat/completions", apiKey(t), chatBody)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

func TestServiceCallIsForwarded(t *testing.T) {
	l := startLab(t, 1)
	body := bytes.Repeat([]byte("0123456789"), 10_000)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPatch, "http://"+l.Addresses()[0].Callers+"/services/voting/a%2Fb?q=1", bytes.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+apiKey(t))
	req.Header.Set(pkopenai.HeaderRequestID, "mine-7")
	req.Header.Set(pktrace.HeaderCall, "call-7")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var echo pkstandin.Echo
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&echo))
	assert.Equal(t, echo.Bytes, int64(len(body)))
	assert.Equal(t, resp.Header.Get(pkopenai.HeaderRequestID), "mine-7")
	assert.Equal(t, l.Standins.Ledger().Runs["call-7"], 1)
}
