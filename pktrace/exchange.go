package pktrace

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotknot.example/pkopenai"
	"peridotknot.example/pkverdict"
)

// HeaderCall names a replayed call, so that targets can count its runs.
const HeaderCall = "X-Replay-Call"

const maxAnswer = 16 << 20

// exchange is one request of a replay and its answer.
type exchange struct {
	*session
	line   Line
	call   string
	began  time.Time
	result Result
}

// Prompt returns the text that stands for a prompt of a call in a replay: its
// length gives about as many tokens, and no two calls have the same.
func Prompt(call string, tokens int) string {
	const bytesPerToken = 4
	text := "replay " + call + " "
	return text + strings.Repeat("word", max(tokens-len(text)/bytesPerToken-4, 0))
}

// Mark returns the mark that stand-in engines put into each token of the answer
// to a prompt, so that a token that reaches the wrong caller shows.
func Mark(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt)&0xffffff, 36)
}

// chatMark returns the mark of a prompt that is sent as the one message of a
// chat.
func chatMark(prompt string) string {
	r := pkopenai.Request{Messages: []pkopenai.Message{{Role: "user", Content: pkopenai.Content(prompt)}}}
	return Mark(r.Text(pkopenai.Chat))
}

func (e *exchange) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.entry()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// The client here must not repeat a request by itself either.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+e.Keys[e.line.Account])
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderCall, e.call)
	req.Header.Set(pkopenai.HeaderDeadline, e.line.Deadline().String())
	return e.http.Do(req)
}

func (e *exchange) model(ctx context.Context) {
	prompt := Prompt(e.call, int(e.line.PromptTokens))
	body, err := json.Marshal(map[string]any{
		"model":      e.line.Model,
		"stream":     e.line.Stream,
		"max_tokens": e.line.OutputTokens,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		e.lost(err)
		return
	}
	resp, err := e.send(ctx, http.MethodPost, "/v1/chat/completions", body)
	if err != nil {
		e.lost(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		e.refused(resp)
		return
	}
	if e.line.Stream {
		e.stream(resp.Body, chatMark(prompt))
		return
	}
	e.whole(resp.Body, chatMark(prompt))
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

func (e *exchange) stream(body io.Reader, mark string) {
	lines := bufio.NewScanner(body)
	last := e.began
	for lines.Scan() {
		data, found := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == "[DONE]" {
			e.done()
			return
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			e.lost(err)
			return
		}
		if c.Error != nil {
			e.lost(fmt.Errorf("after %d tokens: %s (%s)", e.result.Tokens, c.Error.Message, c.Error.Verdict))
			return
		}
		for _, one := range c.Choices {
			if one.Delta.Content == "" {
				continue
			}
			if !e.token(one.Delta.Content, mark, &last) {
				return
			}
		}
	}
	e.lost(fmt.Errorf("the stream ended after %d tokens without [DONE]: %w", e.result.Tokens, cmp.Or(lines.Err(), io.ErrUnexpectedEOF)))
}

// token checks that a token is the next one of this very answer.
func (e *exchange) token(text, mark string, last *time.Time) bool {
	now := time.Now()
	want := mark + "." + strconv.Itoa(e.result.Tokens) + " "
	if text != want {
		e.result.Class = Crossed
		if strings.HasPrefix(text, mark+".") {
			e.result.Class = Doubled
		}
		e.result.Detail = fmt.Sprintf("token %q came, %q was next", text, want)
		return false
	}
	gap := now.Sub(*last)
	if e.result.Tokens == 0 {
		e.result.FirstToken = gap
	} else {
		e.record(gap)
		if gap > e.result.Gap {
			e.result.Gap = gap
			e.result.GapAt = now.Sub(e.start)
		}
	}
	*last = now
	e.result.Tokens++
	return true
}

func (e *exchange) record(gap time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// Values outside the histogram's hour cannot come up: requests end sooner.
	_ = e.between.RecordValue(gap.Microseconds())
}

func (e *exchange) whole(body io.Reader, mark string) {
	var c chunk
	if err := json.NewDecoder(io.LimitReader(body, maxAnswer)).Decode(&c); err != nil {
		e.lost(err)
		return
	}
	if len(c.Choices) != 1 {
		e.lost(fmt.Errorf("the answer has %d choices", len(c.Choices)))
		return
	}
	for i, word := range strings.Fields(c.Choices[0].Message.Content) {
		if want := mark + "." + strconv.Itoa(i); word != want {
			e.result.Class = Crossed
			e.result.Detail = fmt.Sprintf("token %q came, %q was next", word, want)
			return
		}
		e.result.Tokens++
	}
	e.result.FirstToken = time.Since(e.began)
	e.done()
}

// done checks that the answer has every token.
func (e *exchange) done() {
	if e.result.Tokens != int(e.line.OutputTokens) {
		e.lost(fmt.Errorf("the answer has %d of %d tokens", e.result.Tokens, e.line.OutputTokens))
		return
	}
	e.result.Class = Whole
}

func (e *exchange) service(ctx context.Context) {
	body := bytes.Repeat([]byte{'b'}, int(e.line.BodyBytes))
	resp, err := e.send(ctx, e.line.Method, "/services/"+string(e.line.Service)+e.path(), body)
	if err != nil {
		e.lost(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(pkopenai.HeaderVerdict) != "" {
		e.refused(resp)
		return
	}
	var echo struct {
		Call   string `json:"call"`
		Bytes  int64  `json:"bytes"`
		Digest string `json:"digest"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&echo); err != nil {
		e.lost(err)
		return
	}
	switch {
	case echo.Call != e.call:
		e.result.Class = Crossed
		e.result.Detail = fmt.Sprintf("the answer is for call %q", echo.Call)
	case echo.Bytes != e.line.BodyBytes || echo.Digest != strconv.FormatUint(xxhash.Sum64(body), 16):
		e.lost(fmt.Errorf("the service got %d of %d bytes, or others", echo.Bytes, e.line.BodyBytes))
	default:
		e.result.Class = Whole
	}
}

// path stands for the recorded path, which a trace does not keep.
func (e *exchange) path() string {
	if e.line.Idempotent {
		return "/records/" + e.call
	}
	return "/slots/" + e.call
}

func (e *exchange) refused(resp *http.Response) {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 400)) // only for the report's detail
	e.result.Detail = fmt.Sprintf("%d: %s", resp.StatusCode, text)
	if resp.Header.Get(pkopenai.HeaderVerdict) == pkverdict.NotRun.String() {
		e.result.Class = Refused
	}
}

func (e *exchange) lost(err error) {
	e.result.Class = Lost
	e.result.Detail = err.Error()
}
