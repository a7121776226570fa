package pkmanifest

import (
	"time"

	"peridotknot.example/pkid"
)

// Schema is the version of the manifest's format that this build reads.
const Schema = 1

// Manifest is everything that operators declare.
type Manifest struct {
	Schema   int       `yaml:"schema" json:"schema"`
	Name     string    `yaml:"name" json:"name"`
	Limits   Limits    `yaml:"limits" json:"limits"`
	Models   []Model   `yaml:"models" json:"models"`
	Services []Service `yaml:"services" json:"services"`
	Accounts []Account `yaml:"accounts" json:"accounts"`
}

// Limits bounds what one request may ask for.
type Limits struct {
	DefaultDeadline time.Duration `yaml:"default_deadline" json:"default_deadline"`
	MaxDeadline     time.Duration `yaml:"max_deadline" json:"max_deadline"`
	// MaxBody bounds a body in bytes.
	MaxBody         int64       `yaml:"max_body" json:"max_body"`
	MaxPromptTokens pkid.Tokens `yaml:"max_prompt_tokens" json:"max_prompt_tokens"`
	MaxOutputTokens pkid.Tokens `yaml:"max_output_tokens" json:"max_output_tokens"`
}

// Model is one model, at one version, that should be live in a pool.
type Model struct {
	ID       pkid.ModelID     `yaml:"id" json:"id"`
	Version  pkid.Version     `yaml:"version" json:"version"`
	Pool     pkid.PoolID      `yaml:"pool" json:"pool"`
	Layers   pkid.Layer       `yaml:"layers" json:"layers"`
	Adapters []pkid.AdapterID `yaml:"adapters" json:"adapters,omitempty"`
	Splits   []Split          `yaml:"splits" json:"splits"`
	// Enforces says that the pool's engines refuse an order with an old
	// fencing number.
	Enforces bool `yaml:"enforces_fencing" json:"enforces_fencing"`
	// LoadsAtOnce is how many engines of the pool may load weights at the same
	// time: what the weight store's rate allows.
	LoadsAtOnce int `yaml:"loads_at_once" json:"loads_at_once"`
}

// Split is a layer range and the share of the pool's targets that hold it.
type Split struct {
	First  pkid.Layer `yaml:"first" json:"first"`
	End    pkid.Layer `yaml:"end" json:"end"`
	Weight int        `yaml:"weight" json:"weight"`
}

// Range returns the layers of s.
func (s Split) Range() pkid.Range { return pkid.Range{First: s.First, End: s.End} }

// Service is a plain service that calls are routed to.
type Service struct {
	ID   pkid.ServiceID `yaml:"id" json:"id"`
	Pool pkid.PoolID    `yaml:"pool" json:"pool"`
	// Routes that may be repeated; a call that matches none may not.
	Idempotent []Route `yaml:"idempotent" json:"idempotent,omitempty"`
}

// Route is a method and a path prefix.
type Route struct {
	Method string `yaml:"method" json:"method"`
	Prefix string `yaml:"prefix" json:"prefix"`
}

// Account is one client account and what it is served by.
type Account struct {
	ID pkid.AccountID `yaml:"id" json:"id"`
	// Weight is the account's share of a busy pool against other accounts.
	Weight   int              `yaml:"weight" json:"weight"`
	Priority int              `yaml:"priority" json:"priority"`
	Keys     []Key            `yaml:"keys" json:"keys"`
	Models   []pkid.ModelID   `yaml:"models" json:"models,omitempty"`
	Services []pkid.ServiceID `yaml:"services" json:"services,omitempty"`
	// MaxInFlight bounds the account's requests in progress on one entry.
	MaxInFlight int `yaml:"max_in_flight" json:"max_in_flight"`
}

// Repeatable says whether a call to s may be repeated.
func (s Service) Repeatable(method, path string) bool {
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

// Deadline returns the time a request may take when the caller asked for ask;
// zero asks for the default.
func (l Limits) Deadline(ask time.Duration) time.Duration {
	if ask <= 0 {
		ask = l.DefaultDeadline
	}
	return min(ask, l.MaxDeadline)
}
