package pkforward

import (
	"net/http"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pklayers"
)

// Ask is the request metadata from a caller's headers.
type Ask struct {
	ID pkid.RequestID
	// Left is how long the caller waits for the response; zero if not given.
	Left time.Duration
	// Key is the API key; empty if there is none.
	Key string
	// PromptTokens is the prompt length of a model request; zero if not given.
	PromptTokens pkid.Tokens
	// MostTokens is the output limit of a model request; zero if not given.
	MostTokens pkid.Tokens
	// LikelyTokens is the caller's rough estimate of the output length; zero if not given.
	LikelyTokens pkid.Tokens
}

// Send holds the values of the headers that the router adds to a request to a target.
type Send struct {
	// Left is the remaining time that the caller waits.
	Left time.Duration
	// Target is the replica that is expected at the address.
	Target pkid.TargetID
	// Account is the client account that the request belongs to; empty if there is none.
	Account pkid.AccountID
	// Path lists the engines of the route in order; empty for plain services.
	Path []Hop
	// LastEvent is the id of the last event that the caller received; if empty, the caller's own
	// header is passed on.
	LastEvent string
}

// Hop is one engine of a path with its address and layers.
type Hop struct {
	Addr string
	pklayers.Stage
}

// Head is the metadata from the headers of a response.
type Head struct {
	// ID is the request that the response names as its own.
	ID pkid.RequestID
	// NotRun is set if the target did not run the request and never will.
	NotRun bool
	// Sealed is set if the response has the target's signature.
	Sealed bool
	// Fault is the address of the engine on the path that failed.
	Fault string
	// Load is the number of requests that the target reports; negative if not given.
	Load int
}

// Dialect parses and writes the headers of a platform's wire format.
type Dialect interface {
	// Ask parses the headers of a caller's request.
	Ask(h http.Header) Ask
	// Dress sets the router's headers on a request to a target.
	Dress(h http.Header, s Send)
	// Head parses the status and headers of a response.
	Head(status int, h http.Header) Head
	// Mark sets the request id on a response that the router makes itself.
	Mark(h http.Header, id pkid.RequestID)
}
