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

// Request is a chat completion or completion request. It holds the fields that the router uses;
// other fields of the API are accepted and ignored.
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

// StreamOptions selects the optional events of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Message is a message of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message, encoded as a string or as a list of text parts.
type Content string

// UnmarshalJSON decodes both forms; null leaves the content unchanged.
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

// Prompt is the prompt of a completion, encoded as a string or as a list of one string.
type Prompt string

// UnmarshalJSON decodes both forms.
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

// Endpoint is the API endpoint that a model request is sent to.
type Endpoint uint8

// Endpoints.
const (
	Chat Endpoint = iota
	Completion
)

// Decode reads and validates a request. The text of the error is meant for the client.
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
	case r.MaxTokensOr(1) < 1:
		return r, errors.New("max_tokens must be above zero")
	}
	return r, nil
}

// PromptText returns the prompt, or all messages of a chat joined with their roles, as one text.
func (r Request) PromptText(e Endpoint) string {
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

// MaxTokensOr returns the requested limit of output tokens, or fallback if the request sets none.
func (r Request) MaxTokensOr(fallback pkid.Tokens) pkid.Tokens {
	switch {
	case r.MaxCompletionTokens != nil:
		return pkid.Tokens(*r.MaxCompletionTokens)
	case r.MaxTokens != nil:
		return pkid.Tokens(*r.MaxTokens)
	default:
		return fallback
	}
}

// EstimateTokens estimates the token count of a text at four bytes a token. Admission needs the size
// before an engine has tokenized the text.
func EstimateTokens(text string) pkid.Tokens {
	const bytesPerToken = 4
	return pkid.Tokens(len(text)/bytesPerToken + 1)
}
