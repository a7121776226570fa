package pkid

// AccountID identifies a client account.
type AccountID string

// ModelID identifies a model, in the spelling that callers use.
type ModelID string

// Version identifies a build of a model.
type Version string

// AdapterID identifies an adapter that is loaded with a model.
type AdapterID string

// PoolID identifies a pool of targets that serve the same model or service.
type PoolID string

// ServiceID identifies a service.
type ServiceID string

// TargetID identifies a replica, a model engine or a plain service, on one VM.
type TargetID string

// StartTime is the start time of a replica, in Unix milliseconds of its own clock; zero if unknown.
// Of two instances with the same id, the one with the later start is current.
type StartTime int64

// EntryID identifies one of the router's own VMs.
type EntryID string

// DataCenter identifies a data centre.
type DataCenter string

// Region identifies a group of data centres with low latency between them.
type Region string

// KeyID is the public part of an API key.
type KeyID string

// RequestID identifies a caller's request across all its attempts.
type RequestID string

// PartID identifies a part of a prompt, in lower case; requests whose prompts share the part name the
// same one.
type PartID string

// AcceleratorKind is a type of accelerator.
type AcceleratorKind string

// Role is the phase of requests that an engine serves.
type Role string

// Roles of engines; an engine with the zero value serves both phases.
const (
	RoleAny     Role = ""
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Revision is the number of an accepted manifest; a higher one replaces a lower one.
type Revision uint64

// FencingToken is the store revision at which a lease was acquired.
type FencingToken uint64

// Attempt is the number of an attempt of a request, starting at 1.
type Attempt uint32

// TokenIndex is the position of a token in a response, starting at 0.
type TokenIndex int

// Tokens is a number of tokens.
type Tokens int

// RequestRate is a number of requests per second.
type RequestRate float64

// Layer is the index of a layer of a model, starting at 0.
type Layer int

// Range is the half-open range of layers [First, End).
type Range struct {
	First Layer `json:"first" yaml:"first"`
	End   Layer `json:"end" yaml:"end"`
}

// Len returns the number of layers in r.
func (r Range) Len() int { return int(r.End - r.First) }

// Contains reports whether l is in r.
func (r Range) Contains(l Layer) bool { return r.First <= l && l < r.End }
