package pkopenai

import (
	"encoding/json"
	"net/http"
	"time"

	"peridotknot.example/pkid"
)

// Usage is the token usage of a request.
type Usage struct {
	PromptTokens     pkid.Tokens `json:"prompt_tokens"`
	CompletionTokens pkid.Tokens `json:"completion_tokens"`
	TotalTokens      pkid.Tokens `json:"total_tokens"`
}

// NewUsage returns the usage for the given counts, with their total.
func NewUsage(prompt, completion pkid.Tokens) Usage {
	return Usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}

// ResponseInfo holds the fields that every chunk of a response repeats.
type ResponseInfo struct {
	ID       pkid.RequestID
	Model    pkid.ModelID
	Created  time.Time
	Endpoint Endpoint
}

func (i ResponseInfo) idPrefix() string {
	if i.Endpoint == Chat {
		return "chatcmpl-"
	}
	return "cmpl-"
}

func (i ResponseInfo) object(chunk bool) string {
	switch {
	case i.Endpoint == Completion:
		return "text_completion"
	case chunk:
		return "chat.completion.chunk"
	default:
		return "chat.completion"
	}
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason string       `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// WriteCompletion writes the complete response as one JSON body.
func WriteCompletion(w http.ResponseWriter, i ResponseInfo, content, finishReason string, u Usage) error {
	c := choice{FinishReason: finishReason}
	if i.Endpoint == Chat {
		c.Message = &chatMessage{Role: "assistant", Content: content}
	} else {
		c.Text = &content
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(completion{
		ID:      i.idPrefix() + string(i.ID),
		Object:  i.object(false),
		Created: i.Created.Unix(),
		Model:   string(i.Model),
		Choices: []choice{c},
		Usage:   &u,
	})
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// WriteModels writes the list of models.
func WriteModels(w http.ResponseWriter, ids []pkid.ModelID) error {
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, id := range ids {
		list.Data = append(list.Data, model{ID: string(id), Object: "model", OwnedBy: "peridotknot"})
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(list)
}
