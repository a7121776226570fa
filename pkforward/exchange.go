package pkforward

import (
	"net/http"
	"slices"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pklayers"
	"peridotknot.example/pkrate"
)

// RequestMeta is the request metadata from a caller's headers.
type RequestMeta struct {
	ID pkid.RequestID
	// TimeBudget is how long the caller waits for the response; zero if not given.
	TimeBudget time.Duration
	// APIKey is the API key; empty if there is none.
	APIKey string
	// PromptTokens is the prompt length of a model request; zero if not given.
	PromptTokens pkid.Tokens
	// MaxTokens is the output limit of a model request; zero if not given.
	MaxTokens pkid.Tokens
	// ExpectedTokens is the caller's rough estimate of the output length; zero if not given.
	ExpectedTokens pkid.Tokens
	// SharedParts are the parts of the prompt that other requests may share, in order. The last part
	// of a prompt belongs to the request or its session and is left out.
	SharedParts []pkid.PartID
}

// SendOptions holds the values of the headers that the router adds to a request to a target.
type SendOptions struct {
	// TimeBudget is the remaining time that the caller waits.
	TimeBudget time.Duration
	// Target is the replica that is expected at the address.
	Target pkid.TargetID
	// Account is the client account that the request belongs to; empty if there is none.
	Account pkid.AccountID
	// Path lists the engines of the route in order; empty for plain services.
	Path []Hop
	// LastEventID is the id of the last event that the caller received; if empty, the caller's own
	// header is passed on.
	LastEventID string
}

// Hop is one engine of a path with its address and layers.
type Hop struct {
	Addr string
	pklayers.Stage
}

// ResponseMeta is the metadata from the headers of a response.
type ResponseMeta struct {
	// ID is the request ID in the response.
	ID pkid.RequestID
	// NotRun is set if the target did not run the request and never will.
	NotRun bool
	// Sealed is set if the response has the target's signature.
	Sealed bool
	// FaultAddr is the address of the engine on the path that failed.
	FaultAddr string
	// Load is the number of requests that the target reports; negative if not given.
	Load int
	// Limit is the request rate that the target accepts from all entries together.
	Limit pkrate.Limit
	// RetryAfter is how long the target takes no further request of this entry; zero if not given.
	RetryAfter time.Duration
	// Leaving is set if the target announces its leaving.
	Leaving bool
	// Invalid lists the headers of the response whose values cannot be used.
	Invalid []ResponseHeader
}

// ResponseHeader is a header of a response, by what it holds.
type ResponseHeader string

// Headers by which a target limits what it takes.
const (
	// HeaderRateLimit holds the target's limit on requests.
	HeaderRateLimit ResponseHeader = "rate_limit"
	// HeaderRetryAfter holds the time for which a target takes no request.
	HeaderRetryAfter ResponseHeader = "retry_after"
	// HeaderLeaving is set by a target that leaves.
	HeaderLeaving ResponseHeader = "leaving"
)

// IsInvalid reports whether a header of the response cannot be used.
func (m ResponseMeta) IsInvalid(h ResponseHeader) bool { return slices.Contains(m.Invalid, h) }

// Dialect parses and writes the headers of a platform's wire format.
type Dialect interface {
	// ParseRequest parses the headers of a caller's request.
	ParseRequest(h http.Header) RequestMeta
	// SetHeaders sets the router's headers on a request to a target.
	SetHeaders(h http.Header, s SendOptions)
	// ParseResponse parses the status and headers of a response.
	ParseResponse(status int, h http.Header) ResponseMeta
	// SetRequestID sets the request id on a response that the router makes itself.
	SetRequestID(h http.Header, id pkid.RequestID)
}
