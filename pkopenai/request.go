package pkopenai

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"peridotknot.example/pkid"
)

// Request is a chat completion or completion request. It holds the fields that the router uses;
// other fields of the API are accepted and ignored.
type Request struct {
	Model    string   `json:"model"`
	Messages Messages `json:"messages"`
	Prompt   Prompt   `json:"prompt"`
	Stream   bool     `json:"stream"`

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

// Messages are those of a chat, joined with their roles as one text.
type Messages string

// UnmarshalJSON decodes a list of messages.
func (m *Messages) UnmarshalJSON(raw []byte) error {
	switch {
	case bytes.Equal(raw, []byte("null")):
		return nil
	case len(raw) == 0 || raw[0] != '[':
		return errors.New("messages must be a list")
	}
	var all strings.Builder
	err := eachElement(raw, func(one Message) error {
		one.write(&all)
		return nil
	})
	*m = Messages(all.String())
	return err
}

// NewMessages returns the messages of a chat.
func NewMessages(list ...Message) Messages {
	var all strings.Builder
	for _, one := range list {
		one.write(&all)
	}
	return Messages(all.String())
}

func (m Message) write(to *strings.Builder) {
	to.WriteString("<|")
	to.WriteString(m.Role)
	to.WriteString("|>")
	to.WriteString(string(m.Content))
	to.WriteByte('\n')
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
	notText := errors.New("content must be a string or a list of parts")
	if len(raw) == 0 || raw[0] != '[' {
		return notText
	}
	var all strings.Builder
	err := eachElement(raw, func(p contentPart) error {
		if p.Type != "text" {
			return fmt.Errorf("content part of type %q is not served", p.Type)
		}
		all.WriteString(p.Text)
		return nil
	})
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return notText
	}
	*c = Content(all.String())
	return err
}

// contentPart is a part of a message's content.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// Prompt is the prompt of a completion, encoded as a string or as a list of one string.
type Prompt string

// UnmarshalJSON decodes both forms.
func (p *Prompt) UnmarshalJSON(raw []byte) error {
	if len(raw) > 0 && raw[0] == '"' {
		return json.Unmarshal(raw, (*string)(p))
	}
	notOne := errors.New("prompt must be a string or a list of one string")
	if len(raw) == 0 || raw[0] != '[' {
		return notOne
	}
	count := 0
	err := eachElement(raw, func(text string) error {
		*p = Prompt(text)
		if count++; count > 1 {
			return notOne
		}
		return nil
	})
	if err != nil || count != 1 {
		return notOne
	}
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
func Decode(body []byte, e Endpoint) (Request, error) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return r, fmt.Errorf("the body is not a JSON request: %w", err)
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
	return string(r.Messages)
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
