package pkreplica

import (
	"fmt"

	"peridotknot.example/pkid"
)

// Info is the platform's description of a replica in the list.
type Info struct {
	ID         pkid.TargetID
	Service    pkid.ServiceID
	Addr       string
	DataCenter pkid.DataCenter
	// Slots is the number of requests the replica runs concurrently.
	Slots int
	// Leaving marks a draining replica: it takes no new requests and stops soon.
	Leaving bool
	// Kind is the accelerator of an engine; empty for plain services.
	Kind pkid.AcceleratorKind
	// Held is the range of layers that an engine can run.
	Held pkid.Range
	// Born distinguishes this start of the replica from others under the same id.
	Born pkid.StartTime
}

// InvalidError reports a list record that does not describe a usable replica.
type InvalidError struct {
	// Field is the field that is missing, of the wrong type or out of range.
	Field string
	Err   error
}

// Error returns the field and its error.
func (e *InvalidError) Error() string { return fmt.Sprintf("%s: %v", e.Field, e.Err) }

// Unwrap returns the error of the field.
func (e *InvalidError) Unwrap() error { return e.Err }
