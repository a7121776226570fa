package pkconfig

import (
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pklayers"
)

// Version is the version number of a configuration; a higher one replaces a lower one.
type Version uint64

// Kind is the kind of a route's requests, which decides whether they may be retried.
type Kind uint8

// Kinds of requests; the zero value does not allow retries of a request that may have run.
const (
	NonIdempotent Kind = iota
	Idempotent
	Stream
)

// String returns the kind as it is written in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "non_idempotent"
	}
}

// WeightedService is a service of a route and its weight in the traffic split.
type WeightedService struct {
	Service pkid.ServiceID
	Weight  int
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Kind     Kind
	Services []WeightedService
	// Timeout bounds the time to the complete response.
	Timeout time.Duration
	// LatencyObjective is the objective for the time to the response, or to the first event of
	// a stream.
	LatencyObjective time.Duration
	// GapObjective is the objective for the longest gap between events of a stream.
	GapObjective time.Duration
	// Priority orders requests; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds how many targets may run one request.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may be resumed by another target after the last event received.
	Resumable bool
}

// Retryable reports whether a request that may have run may be retried.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service is a group of targets that serve the same requests.
type Service struct {
	ID         pkid.ServiceID
	HealthPath string
	// MaxConns is how many connections a target accepts in total.
	MaxConns int
	// Engine is set if the targets are model engines.
	Engine *pklayers.Model
}

// Limits bounds the size of requests and how long callers may take to send them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Account is a client account with its API keys.
type Account struct {
	ID   pkid.AccountID
	Keys []string
	// Priority overrides the priority of the route if it is set.
	Priority *int
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  Version
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}
