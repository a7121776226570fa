package pkid

// AccountID names a client account of the manifest.
type AccountID string

// ModelID names a model of the manifest, as callers write it.
type ModelID string

// Version names one build of a model.
type Version string

// AdapterID names an adapter that is loaded beside a model.
type AdapterID string

// PoolID names a pool of targets that serve the same thing.
type PoolID string

// ServiceID names a plain service of the manifest.
type ServiceID string

// TargetID names one replica, a model engine or a plain service, on one VM.
type TargetID string

// Birth is when a replica started, in Unix milliseconds of its own clock; zero where it does
// not say. Of two starts under one id, the one with the later birth is the present one.
type Birth int64

// EntryID names one of the router's own VMs.
type EntryID string

// DataCenter names a data centre.
type DataCenter string

// Region names a group of data centres with short links between them.
type Region string

// KeyID is the public part of an API key.
type KeyID string

// RequestID names one caller's request through all its attempts.
type RequestID string

// Kind names a kind of accelerator.
type Kind string

// Role says which part of a request an engine is meant for.
type Role string

// Roles an engine can have; the zero value serves both parts.
const (
	RoleAny     Role = ""
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Revision counts accepted manifests; a higher one replaces a lower one.
type Revision uint64

// Fence is a fencing number: the revision of the store at which a lease began.
type Fence uint64

// Attempt counts the attempts of one request, from 1.
type Attempt uint32

// Index is the place of a token in an answer, from 0.
type Index int

// Tokens counts tokens.
type Tokens int

// Layer is the number of a layer of a model, from 0.
type Layer int

// Range is a half-open range of layers.
type Range struct {
	First Layer `json:"first" yaml:"first"`
	End   Layer `json:"end" yaml:"end"`
}

// Len returns the number of layers in r.
func (r Range) Len() int { return int(r.End - r.First) }
