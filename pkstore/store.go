package pkstore

import (
	"context"
	"errors"
	"time"
)

// LeaseID names a lease of the store; zero is no lease.
type LeaseID int64

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Event is one change that a watch saw.
type Event struct {
	Item    Item
	Deleted bool
}

// ErrCompacted is returned by a watch that asks for changes no longer kept;
// the caller must read afresh and watch from there.
var ErrCompacted = errors.New("the store no longer keeps the changes asked for")

// ErrNoLease is returned when a lease has ended.
var ErrNoLease = errors.New("the lease has ended")

// ErrRefused is returned when the store says that it did nothing.
var ErrRefused = errors.New("the store refused the call")

// Swap is a write that takes effect only if the key is still at Old.
type Swap struct {
	Key   string
	Old   Revision
	Value []byte
	Lease LeaseID
	// Delete removes the key instead of writing Value.
	Delete bool
}

// Swapped is the answer to a Swap.
type Swapped struct {
	// Done says that the write took effect.
	Done bool
	// Item is the key as it now stands.
	Item Item
}

// Store is the platform's key-value service.
type Store interface {
	// Load returns the item at key; a missing key has Revision zero.
	Load(ctx context.Context, key string) (Item, error)
	// List returns the items whose key begins with prefix, and the store's
	// revision at that moment.
	List(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Swap writes if the key is unchanged; after an error it may have written.
	Swap(ctx context.Context, s Swap) (Swapped, error)
	// Grant begins a lease that ends ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew renews a lease; ErrNoLease says that it has ended.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch calls each for every change under prefix after revision from,
	// until ctx ends or the watch breaks.
	Watch(ctx context.Context, prefix string, from Revision, each func(Event)) error
}

// Feed is a store whose changes are read in batches.
type Feed interface {
	// Changes waits for events under prefix after a revision and returns them
	// with the revision to go on from; ErrCompacted says that the caller must
	// list afresh.
	Changes(ctx context.Context, prefix string, after Revision) ([]Event, Revision, error)
	// Peek returns the item at key as it is or was some seconds before, at a lower price than Load; a
	// missing key has Revision zero.
	Peek(ctx context.Context, key string) (Item, error)
	// Reached returns a revision that the store has reached, or had some seconds before, at that price.
	Reached(ctx context.Context) (Revision, error)
}
