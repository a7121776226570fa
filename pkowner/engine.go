package pkowner

import (
	"context"

	"peridotknot.example/pkforward"
	"peridotknot.example/pkid"
)

// Report is the state that an engine reports, some hundred milliseconds old.
type Report struct {
	// AcceptedOrders is the number of orders accepted since the engine's start.
	AcceptedOrders uint64
	// Busy is set while an order is being carried out.
	Busy bool
	Held pkid.Range
	// Factor is the engine's slowdown relative to its kind; over 1 is slower.
	Factor float64
	// Requests is the number of running and queued requests.
	Requests int
	// KVUsed and KVTotal are the used and total memory for requests, in tokens times layers.
	KVUsed  float64
	KVTotal float64
	// Born distinguishes this start of the engine from others under the same ID.
	Born pkid.StartTime
	// Stalled are the requests that wait for an engine further along their path.
	Stalled []Stalled
}

// LostLayers reports whether the engine restarted without the layers that the replica list still
// shows.
func (r Report) LostLayers(listed pkid.Range) bool {
	return listed.Len() > 0 && r.AcceptedOrders == 0 && r.Held.Len() == 0 && !r.Busy
}

// Stalled is a request that waits for the engine at an address.
type Stalled struct {
	ID   pkid.RequestID
	Addr string
}

// Order assigns layers to an engine.
type Order struct {
	Layers pkid.Range
	// Fence is the fencing token of the owner's lease.
	Fence pkid.FencingToken
	// ExpectedOrders is the number of orders that the engine must have accepted before this one.
	ExpectedOrders uint64
}

// Outcome is the result of an order.
type Outcome uint8

// Outcomes of an order; the zero value is that of a lost reply.
const (
	// Unknown means that the order may still be carried out, even seconds later.
	Unknown Outcome = iota
	// Begun means that the order is being carried out.
	Begun
	// Done means that the engine was already in the ordered state.
	Done
	// Rejected means that the order does not fit the engine's state.
	Rejected
)

// String returns the outcome as written to logs and metrics.
func (o Outcome) String() string {
	return [...]string{"unknown", "begun", "done", "rejected"}[o]
}

// Engines reads the reports of engines and sends them orders.
type Engines interface {
	// Report reads the report of the engine at addr.
	Report(ctx context.Context, addr string) (Report, error)
	// Place orders the engine at addr to hold a range of layers.
	Place(ctx context.Context, addr string, o Order) (Outcome, error)
	// AwaitClose keeps a connection to the engine at addr open until the engine closes it, as when
	// its process ends. The error is that of connecting.
	AwaitClose(ctx context.Context, addr string) error
	// Connect connects to the target at addr and disconnects at once.
	Connect(ctx context.Context, addr string) error
	// Leaving reports whether the health check of the engine at addr fails because the engine is
	// leaving or failing, not because it is at capacity.
	Leaving(ctx context.Context, addr, healthPath string) (bool, error)
	// Repath orders the first engine of a request to continue it on another path.
	Repath(ctx context.Context, addr string, id pkid.RequestID, path []pkforward.Hop) (Outcome, error)
}
