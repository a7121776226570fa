package pkopenai

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"peridotknot.example/pkid"
)

// Request is a chat completion or completion as far as the router acts on it;
// other published fields are accepted and not used.
type Request struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	Prompt   Prompt    `json:"prompt"`
	Stream   bool      `json:"stream"`

	MaxTokens           *int           `json:"max_tokens"`
	MaxCompletionTokens *int           `json:"max_completion_tokens"`
	N                   *int           `json:"n"`
	StreamOptions       *StreamOptions `json:"stream_options"`
}

// StreamOptions asks for what a stream holds besides its tokens.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Message is one message of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is a message's text, written as a string or as a list of parts.
type Content string

// UnmarshalJSON reads both forms.
func (c *Content) UnmarshalJSON(raw []byte) error {
	if bytes.Equal(raw, []byte("null")) {
		return nil
	}
	if len(raw) > 0 && raw[0] == '"' {
		return json.Unmarshal(raw, (*string)(c))
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return errors.New("content must be a string or a list of parts")
	}
	var all strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return fmt.Errorf("content part of type %q is not served", p.Type)
		}
		all.WriteString(p.Text)
	}
	*c = Content(all.String())
	return nil
}

// Prompt is the text of a completion, written as a string or a list of one.
type Prompt string

// UnmarshalJSON reads both forms.
func (p *Prompt) UnmarshalJSON(raw []byte) error {
	if len(raw) > 0 && raw[0] == '"' {
		return json.Unmarshal(raw, (*string)(p))
	}
	var list []string
	if err := json.Unmarshal(raw, &list); err != nil || len(list) != 1 {
		return errors.New("prompt must be a string or a list of one string")
	}
	*p = Prompt(list[0])
	return nil
}

// Endpoint is one of the two forms of a model request.
type Endpoint uint8

// Endpoints.
const (
	Chat Endpoint = iota
	Completion
)

// Decode reads a request; the error's text is fit for the caller.
func Decode(body io.Reader, e Endpoint) (Request, error) {
	var r Request
	dec := json.NewDecoder(body)
	if err := dec.Decode(&r); err != nil {
		return r, fmt.Errorf("the body is not a JSON request: %w", err)
	}
	if dec.More() {
		return r, errors.New("the body holds more than one JSON value")
	}
	switch {
	case r.Model == "":
		return r, errors.New("model is missing")
	case e == Chat && len(r.Messages) == 0:
		return r, errors.New("messages is missing or empty")
	case e == Completion && r.Prompt == "":
		return r, errors.New("prompt is missing or empty")
	case r.N != nil && *r.N != 1:
		return r, errors.New("n must be 1")
	case r.Max(1) < 1:
		return r, errors.New("max_tokens must be above zero")
	}
	return r, nil
}

// Text returns the prompt as one text.
func (r Request) Text(e Endpoint) string {
	if e == Completion {
		return string(r.Prompt)
	}
	var all strings.Builder
	for _, m := range r.Messages {
		all.WriteString("<|")
		all.WriteString(m.Role)
		all.WriteString("|>")
		all.WriteString(string(m.Content))
		all.WriteByte('\n')
	}
	return all.String()
}

// Max returns the most tokens that the caller wants, or other if unsaid.
func (r Request) Max(other pkid.Tokens) pkid.Tokens {
	switch {
	case r.MaxCompletionTokens != nil:
		return pkid.Tokens(*r.MaxCompletionTokens)
	case r.MaxTokens != nil:
		return pkid.Tokens(*r.MaxTokens)
	default:
		return other
	}
}

// CountTokens estimates the tokens of a text. Admission needs the size before
// an engine has seen the text; four bytes a token is the usual rule of thumb.
func CountTokens(text string) pkid.Tokens {
	const bytesPerToken = 4
	return pkid.Tokens(len(text)/bytesPerToken + 1)
}
