package pkmanifest

import (
	"time"

	"peridotknot.example/pkid"
)

// Schema is the version of the manifest format that this build supports.
const Schema = 1

// Manifest is the desired state that operators declare.
type Manifest struct {
	Schema   int       `yaml:"schema" json:"schema"`
	Name     string    `yaml:"name" json:"name"`
	Limits   Limits    `yaml:"limits" json:"limits"`
	Models   []Model   `yaml:"models" json:"models"`
	Services []Service `yaml:"services" json:"services"`
	Accounts []Account `yaml:"accounts" json:"accounts"`
}

// Limits bounds the deadline and the size of a single request.
type Limits struct {
	DefaultDeadline time.Duration `yaml:"default_deadline" json:"default_deadline"`
	MaxDeadline     time.Duration `yaml:"max_deadline" json:"max_deadline"`
	// MaxBody bounds the request body in bytes.
	MaxBody         int64       `yaml:"max_body" json:"max_body"`
	MaxPromptTokens pkid.Tokens `yaml:"max_prompt_tokens" json:"max_prompt_tokens"`
	MaxOutputTokens pkid.Tokens `yaml:"max_output_tokens" json:"max_output_tokens"`
}

// Model is a model at one version and the pool that serves it.
type Model struct {
	ID       pkid.ModelID     `yaml:"id" json:"id"`
	Version  pkid.Version     `yaml:"version" json:"version"`
	Pool     pkid.PoolID      `yaml:"pool" json:"pool"`
	Layers   pkid.Layer       `yaml:"layers" json:"layers"`
	Adapters []pkid.AdapterID `yaml:"adapters" json:"adapters,omitempty"`
	Splits   []Split          `yaml:"splits" json:"splits"`
	// EnforcesFencing is set if the pool's engines reject orders with an outdated
	// fencing token.
	EnforcesFencing bool `yaml:"enforces_fencing" json:"enforces_fencing"`
	// MaxConcurrentLoads is how many engines of the pool may load weights concurrently,
	// according to the bandwidth of the weight store.
	MaxConcurrentLoads int `yaml:"loads_at_once" json:"loads_at_once"`
}

// Split is a layer range and its weight, the relative share of the pool's targets
// that hold it.
type Split struct {
	First  pkid.Layer `yaml:"first" json:"first"`
	End    pkid.Layer `yaml:"end" json:"end"`
	Weight int        `yaml:"weight" json:"weight"`
}

// Range returns the layer range of s.
func (s Split) Range() pkid.Range { return pkid.Range{First: s.First, End: s.End} }

// Service is a plain service that calls are routed to.
type Service struct {
	ID   pkid.ServiceID `yaml:"id" json:"id"`
	Pool pkid.PoolID    `yaml:"pool" json:"pool"`
	// Idempotent lists the routes that may be retried.
	Idempotent []Route `yaml:"idempotent" json:"idempotent,omitempty"`
}

// Route is a method and a path prefix.
type Route struct {
	Method string `yaml:"method" json:"method"`
	Prefix string `yaml:"prefix" json:"prefix"`
}

// Account is a client account and the models and services that it may use.
type Account struct {
	ID pkid.AccountID `yaml:"id" json:"id"`
	// Weight is the account's relative share of a pool under contention.
	Weight   int              `yaml:"weight" json:"weight"`
	Priority int              `yaml:"priority" json:"priority"`
	Keys     []Key            `yaml:"keys" json:"keys"`
	Models   []pkid.ModelID   `yaml:"models" json:"models,omitempty"`
	Services []pkid.ServiceID `yaml:"services" json:"services,omitempty"`
	// MaxInFlight bounds the account's requests in flight on one entry.
	MaxInFlight int `yaml:"max_in_flight" json:"max_in_flight"`
}

// Retryable reports whether a call to s may be retried.
func (s Service) Retryable(method, path string) bool {
	for _, r := range s.Idempotent {
		if r.matches(method, path) {
			return true
		}
	}
	return false
}

func (r Route) matches(method, path string) bool {
	if r.Method != method || len(path) < len(r.Prefix) || path[:len(r.Prefix)] != r.Prefix {
		return false
	}
	rest := path[len(r.Prefix):]
	return rest == "" || rest[0] == '/' || r.Prefix[len(r.Prefix)-1] == '/'
}

// Deadline returns the deadline of a request whose caller asked for requested,
// capped at MaxDeadline; zero requests the default.
func (l Limits) Deadline(requested time.Duration) time.Duration {
	if requested <= 0 {
		requested = l.DefaultDeadline
	}
	return min(requested, l.MaxDeadline)
}
