package pkreplica

import (
	"fmt"

	"peridotknot.example/pkid"
)

// Info is what the platform's list says of a replica.
type Info struct {
	ID         pkid.TargetID
	Service    pkid.ServiceID
	Addr       string
	DataCenter pkid.DataCenter
	// Slots is how many requests it runs at once.
	Slots int
	// Leaving replicas take nothing new and end soon.
	Leaving bool
	// Kind is the accelerator of an engine; empty for plain services.
	Kind pkid.Kind
	// Held is the layers that an engine can run.
	Held pkid.Range
	// Born tells this start of the replica from others under the same id.
	Born pkid.Birth
}

// InvalidError says why an entry of the list names no replica to use.
type InvalidError struct {
	// Field is what was missing, of another type or out of range.
	Field string
	Err   error
}

// Error returns the field and what is wrong with it.
func (e *InvalidError) Error() string { return fmt.Sprintf("%s: %v", e.Field, e.Err) }

// Unwrap returns what is wrong with the field.
func (e *InvalidError) Unwrap() error { return e.Err }
