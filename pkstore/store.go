package pkstore

import (
	"context"
	"errors"
	"time"
)

// LeaseID identifies a lease; zero means no lease.
type LeaseID int64

// Item is a key with its value and the revision of its last write.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Event is a change of a key that a watch reports.
type Event struct {
	Item    Item
	Deleted bool
}

// ErrCompacted is returned by a watch whose start revision has been compacted; the
// caller must list again and watch from the revision of the list.
var ErrCompacted = errors.New("requested revision has been compacted")

// ErrNoLease is returned if a lease has expired or was revoked.
var ErrNoLease = errors.New("lease not found or expired")

// ErrRefused is returned if the store rejected the call without any effect.
var ErrRefused = errors.New("call rejected by the store")

// Swap is a compare-and-swap: a write that takes effect only if the key is at
// revision Old.
type Swap struct {
	Key   string
	Old   Revision
	Value []byte
	Lease LeaseID
	// Delete removes the key instead of writing Value.
	Delete bool
}

// SwapResult is the result of a Swap.
type SwapResult struct {
	// Succeeded is set if the write took effect.
	Succeeded bool
	// Item is the current item of the key.
	Item Item
}

// Store is the client interface of the platform's key-value service.
type Store interface {
	// Load returns the item at key; a missing key has Revision zero.
	Load(ctx context.Context, key string) (Item, error)
	// List returns the items whose key begins with prefix, and the store's
	// revision at the time of the list.
	List(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Swap writes if the key is at s.Old; after an error other than ErrRefused the
	// write may have taken effect.
	Swap(ctx context.Context, s Swap) (SwapResult, error)
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew renews a lease; it returns ErrNoLease if the lease has expired.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch calls each for every change under prefix after revision from, until
	// ctx is done or the watch fails.
	Watch(ctx context.Context, prefix string, from Revision, each func(Event)) error
}

// Feed reads the changes of the store in batches.
type Feed interface {
	// Changes waits for events under prefix after a revision and returns them
	// with the revision to continue from; it returns ErrCompacted if the caller
	// must list again.
	Changes(ctx context.Context, prefix string, after Revision) ([]Event, Revision, error)
	// LoadStale returns the item at key from a stale read, which may lag by a few seconds
	// and costs less than Load; a missing key has Revision zero.
	LoadStale(ctx context.Context, key string) (Item, error)
	// ListStale is List from a stale read. Watching from the revision that it returns delivers the
	// changes that the read lacks.
	ListStale(ctx context.Context, prefix string) ([]Item, Revision, error)
	// StaleRevision returns the store's revision from a stale read, at the same cost.
	StaleRevision(ctx context.Context) (Revision, error)
}
