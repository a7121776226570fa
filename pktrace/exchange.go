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

// HeaderCall carries the ID of a replayed call, by which targets count its executions.
const HeaderCall = "X-Replay-Call"

// maxResponseBytes bounds the size of a JSON response.
const maxResponseBytes = 16 << 20

// exchange is a request of a replay and its response.
type exchange struct {
	*session
	line   Line
	call   string
	sentAt time.Time
	result Result
}

// Prompt returns the prompt sent for a replayed call. It has about the given number of tokens and
// differs from the prompts of all other calls.
func Prompt(call string, tokens int) string {
	const bytesPerToken = 4
	text := "replay " + call + " "
	return text + strings.Repeat("word", max(tokens-len(text)/bytesPerToken-4, 0))
}

// TokenMark returns the mark that stand-in engines put into each token of the answer to a prompt. It
// reveals tokens that are delivered to the wrong caller.
func TokenMark(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt)&0xffffff, 36)
}

// chatMark returns the mark for a prompt that is sent as the only message of a chat.
func chatMark(prompt string) string {
	r := pkopenai.Request{Messages: pkopenai.NewMessages(pkopenai.Message{Role: "user", Content: pkopenai.Content(prompt)})}
	return TokenMark(r.PromptText(pkopenai.Chat))
}

func (e *exchange) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.nextEntry()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, the HTTP client cannot retry the request on its own.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+e.Keys[e.line.Account])
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderCall, e.call)
	req.Header.Set(pkopenai.HeaderDeadline, e.line.Deadline().String())
	return e.http.Do(req)
}

// chatCompletion sends a chat completion request and checks the response.
func (e *exchange) chatCompletion(ctx context.Context) {
	prompt := Prompt(e.call, int(e.line.PromptTokens))
	body, err := json.Marshal(map[string]any{
		"model":      e.line.Model,
		"stream":     e.line.Stream,
		"max_tokens": e.line.OutputTokens,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		e.recordLost(err)
		return
	}
	resp, err := e.send(ctx, http.MethodPost, "/v1/chat/completions", body)
	if err != nil {
		e.recordLost(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		e.recordRefusal(resp)
		return
	}
	if e.line.Stream {
		e.readStream(resp.Body, chatMark(prompt))
		return
	}
	e.readCompletion(resp.Body, chatMark(prompt))
}

// chunk is a chunk of a stream or a response sent as one JSON body.
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

func (e *exchange) readStream(body io.Reader, mark string) {
	lines := bufio.NewScanner(body)
	last := e.sentAt
	for lines.Scan() {
		data, found := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == "[DONE]" {
			e.checkComplete()
			return
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			e.recordLost(err)
			return
		}
		if c.Error != nil {
			e.recordLost(fmt.Errorf("after %d tokens: %s (%s)", e.result.Tokens, c.Error.Message, c.Error.Verdict))
			return
		}
		for _, choice := range c.Choices {
			if choice.Delta.Content == "" {
				continue
			}
			if !e.checkToken(choice.Delta.Content, mark, &last) {
				return
			}
		}
	}
	e.recordLost(fmt.Errorf("the stream ended after %d tokens without [DONE]: %w", e.result.Tokens, cmp.Or(lines.Err(), io.ErrUnexpectedEOF)))
}

// checkToken checks that a token is the next one of this answer and records its timing. It reports
// whether the stream may go on.
func (e *exchange) checkToken(text, mark string, last *time.Time) bool {
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
		e.recordGap(gap)
		if gap > e.result.Gap {
			e.result.Gap = gap
			e.result.GapAt = now.Sub(e.start)
		}
	}
	*last = now
	e.result.Tokens++
	return true
}

func (e *exchange) recordGap(gap time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// Requests end well within the hour that the histogram covers.
	_ = e.tokenGaps.RecordValue(gap.Microseconds())
}

func (e *exchange) readCompletion(body io.Reader, mark string) {
	var c chunk
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&c); err != nil {
		e.recordLost(err)
		return
	}
	if len(c.Choices) != 1 {
		e.recordLost(fmt.Errorf("the answer has %d choices", len(c.Choices)))
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
	e.result.FirstToken = time.Since(e.sentAt)
	e.checkComplete()
}

// checkComplete checks that the answer has all its tokens.
func (e *exchange) checkComplete() {
	if e.result.Tokens != int(e.line.OutputTokens) {
		e.recordLost(fmt.Errorf("the answer has %d of %d tokens", e.result.Tokens, e.line.OutputTokens))
		return
	}
	e.result.Class = Whole
}

// serviceCall calls a service and checks that its response echoes the request.
func (e *exchange) serviceCall(ctx context.Context) {
	body := bytes.Repeat([]byte{'b'}, int(e.line.BodyBytes))
	resp, err := e.send(ctx, e.line.Method, "/services/"+string(e.line.Service)+e.servicePath(), body)
	if err != nil {
		e.recordLost(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(pkopenai.HeaderVerdict) != "" {
		e.recordRefusal(resp)
		return
	}
	var echo struct {
		Call   string `json:"call"`
		Bytes  int64  `json:"bytes"`
		Digest string `json:"digest"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&echo); err != nil {
		e.recordLost(err)
		return
	}
	switch {
	case echo.Call != e.call:
		e.result.Class = Crossed
		e.result.Detail = fmt.Sprintf("the answer is for call %q", echo.Call)
	case echo.Bytes != e.line.BodyBytes || echo.Digest != strconv.FormatUint(xxhash.Sum64(body), 16):
		e.recordLost(fmt.Errorf("the service got %d of %d bytes, or others", echo.Bytes, e.line.BodyBytes))
	default:
		e.result.Class = Whole
	}
}

// servicePath returns the path to call. Traces don't record paths.
func (e *exchange) servicePath() string {
	if e.line.Idempotent {
		return "/records/" + e.call
	}
	return "/slots/" + e.call
}

func (e *exchange) recordRefusal(resp *http.Response) {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 400)) // used in the report only
	e.result.Detail = fmt.Sprintf("%d: %s", resp.StatusCode, text)
	if resp.Header.Get(pkopenai.HeaderVerdict) == pkverdict.NotRun.String() {
		e.result.Class = Refused
	}
}

func (e *exchange) recordLost(err error) {
	e.result.Class = Lost
	e.result.Detail = err.Error()
}
