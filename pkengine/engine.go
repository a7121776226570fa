package pkengine

import (
	"context"
	"time"

	"peridotknot.example/pkid"
)

// HeartbeatInterval is the longest interval between two events of an open stream; without a token,
// the engine sends a heartbeat.
const HeartbeatInterval = 150 * time.Millisecond

// Hop is one stage of a route.
type Hop struct {
	Target pkid.TargetID `json:"target"`
	Addr   string        `json:"addr"`
	First  pkid.Layer    `json:"first"`
	End    pkid.Layer    `json:"end"`
}

// OpenRequest is the request to the first engine of a route for a stream.
type OpenRequest struct {
	Stream       pkid.RequestID `json:"stream"`
	Attempt      pkid.Attempt   `json:"attempt"`
	Model        pkid.ModelID   `json:"model"`
	Version      pkid.Version   `json:"version"`
	Adapter      pkid.AdapterID `json:"adapter,omitempty"`
	Route        []Hop          `json:"route"`
	Prompt       string         `json:"prompt"`
	PromptTokens pkid.Tokens    `json:"prompt_tokens"`
	// Delivered is the text that the caller has already received, Next the index of the first
	// token that it still needs.
	Delivered  string          `json:"delivered,omitempty"`
	Next       pkid.TokenIndex `json:"next,omitempty"`
	MaxTokens  pkid.Tokens     `json:"max_tokens"`
	Priority   int             `json:"priority,omitempty"`
	DeadlineMS int64           `json:"deadline_ms"`
}

// Event is one line of a stream: a token, a heartbeat, the end or the loss of a stage.
type Event struct {
	Index     pkid.TokenIndex `json:"i"`
	Text      string          `json:"t,omitempty"`
	Heartbeat bool            `json:"beat,omitempty"`
	// End is the finish reason on the last event of a complete answer, and Total the number of
	// tokens in the answer.
	End   string          `json:"end,omitempty"`
	Total pkid.TokenIndex `json:"total,omitempty"`
	// LostStage names a stage of the route that the engines lost.
	LostStage pkid.TargetID `json:"lost,omitempty"`
}

// Load is an engine's report on its state and load.
type Load struct {
	Target   pkid.TargetID    `json:"target"`
	Model    pkid.ModelID     `json:"model"`
	Version  pkid.Version     `json:"version"`
	Adapters []pkid.AdapterID `json:"adapters,omitempty"`
	Role     pkid.Role        `json:"role,omitempty"`
	First    pkid.Layer       `json:"first"`
	End      pkid.Layer       `json:"end"`
	Active   int              `json:"active"`
	Queued   int              `json:"queued"`
	MaxBatch int              `json:"max_batch"`
	// StepUS is the duration of the last decoding step in microseconds, PerSeqUS what one more
	// sequence adds to it.
	StepUS   int64 `json:"step_us"`
	PerSeqUS int64 `json:"per_seq_us"`
	// PrefillUS is the prefill time per prompt token in microseconds.
	PrefillUS int64 `json:"prefill_us"`
	Leaving   bool  `json:"leaving,omitempty"`
	// Loading is set while the engine carries out an order.
	Loading bool `json:"loading,omitempty"`
	// Fence is the highest fencing token that the engine has seen.
	Fence pkid.FencingToken `json:"fence,omitempty"`
	// Boot changes when the engine restarts.
	Boot string `json:"boot,omitempty"`
}

// Order is the desired state of an engine: the model version, adapters, role and layers to load. An
// engine that does not enforce fencing tokens may apply an order of a former owner after one of its
// successor; since an order is declarative, the successor corrects that by sending it again.
type Order struct {
	Fence    pkid.FencingToken `json:"fence"`
	Model    pkid.ModelID      `json:"model"`
	Version  pkid.Version      `json:"version"`
	Adapters []pkid.AdapterID  `json:"adapters,omitempty"`
	Role     pkid.Role         `json:"role,omitempty"`
	First    pkid.Layer        `json:"first"`
	End      pkid.Layer        `json:"end"`
}

// SatisfiedBy reports whether an engine that reports l has reached the state in o.
func (o Order) SatisfiedBy(l Load) bool {
	return l.Model == o.Model && l.Version == o.Version && l.Role == o.Role &&
		l.First == o.First && l.End == o.End && sameAdapters(l.Adapters, o.Adapters)
}

func sameAdapters(a, b []pkid.AdapterID) bool {
	if len(a) != len(b) {
		return false
	}
	have := make(map[pkid.AdapterID]bool, len(a))
	for _, id := range a {
		have[id] = true
	}
	for _, id := range b {
		if !have[id] {
			return false
		}
	}
	return true
}

// Stream is an open stream of events.
type Stream interface {
	// Next returns the next event, or a *pkverdict.Error.
	Next() (Event, error)
	// Close ends the stream and releases its connection.
	Close() error
}

// Engine is a model engine at an address.
type Engine interface {
	// Open starts a stream; the error is a *pkverdict.Error.
	Open(ctx context.Context, addr string, o OpenRequest) (Stream, error)
	// Cancel stops an attempt of a stream, so that it frees its batch slot.
	Cancel(ctx context.Context, addr string, stream pkid.RequestID, attempt pkid.Attempt) error
	// Load returns the engine's report on its state and load.
	Load(ctx context.Context, addr string) (Load, error)
	// Order sends the engine its desired state; the error is ErrFenced if a later owner has
	// sent an order.
	Order(ctx context.Context, addr string, o Order) error
}
