package pkcontract

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"peridotknot.example/pkstore"
)

// Memory is an in-memory store whose writes can be made to fail.
type Memory struct {
	mu       sync.Mutex
	revision pkstore.Revision
	items    map[string]pkstore.Item
	leaseOf  map[string]pkstore.LeaseID // by key
	leases   map[pkstore.LeaseID]time.Duration
	lastID   pkstore.LeaseID
	events   []pkstore.Event
	changed  chan struct{} // closed and replaced at each change
	// Before is called before each write and After after it. An error from Before
	// prevents the write; one from After is returned although it took effect.
	Before func(pkstore.Swap) error
	After  func(pkstore.Swap) error
}

// ErrLost is the error of a call whose response was lost.
var ErrLost = errors.New("response lost")

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		items:   map[string]pkstore.Item{},
		leaseOf: map[string]pkstore.LeaseID{},
		leases:  map[pkstore.LeaseID]time.Duration{},
		changed: make(chan struct{}),
	}
}

var _ pkstore.Store = (*Memory)(nil)

// Load returns the item at key.
func (m *Memory) Load(_ context.Context, key string) (pkstore.Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if item, found := m.items[key]; found {
		return item, nil
	}
	return pkstore.Item{Key: key}, nil
}

// List returns the items under prefix, in no particular order.
func (m *Memory) List(_ context.Context, prefix string) ([]pkstore.Item, pkstore.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []pkstore.Item
	for key, item := range m.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, item)
		}
	}
	return out, m.revision, nil
}

// Swap writes if the key is at s.Old.
func (m *Memory) Swap(_ context.Context, s pkstore.Swap) (pkstore.SwapResult, error) {
	if m.Before != nil {
		if err := m.Before(s); err != nil {
			return pkstore.SwapResult{}, err
		}
	}
	out, err := m.apply(s)
	if err == nil && m.After != nil {
		err = m.After(s)
	}
	return out, err
}

func (m *Memory) apply(s pkstore.Swap) (pkstore.SwapResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.items[s.Key]; current.Revision != s.Old {
		current.Key = s.Key
		return pkstore.SwapResult{Item: current}, nil
	}
	if _, found := m.leases[s.Lease]; s.Lease != 0 && !found {
		return pkstore.SwapResult{}, pkstore.ErrNoLease
	}
	m.revision++
	written := pkstore.Item{Key: s.Key, Value: s.Value, Revision: m.revision}
	if s.Delete {
		delete(m.items, s.Key)
		delete(m.leaseOf, s.Key)
	} else {
		m.items[s.Key] = written
		m.leaseOf[s.Key] = s.Lease
	}
	m.publish(pkstore.Event{Item: written, Deleted: s.Delete})
	return pkstore.SwapResult{Succeeded: true, Item: written}, nil
}

func (m *Memory) publish(ev pkstore.Event) {
	m.events = append(m.events, ev)
	close(m.changed)
	m.changed = make(chan struct{})
}

// Grant creates a lease; it does not expire and ends only by Revoke.
func (m *Memory) Grant(_ context.Context, ttl time.Duration) (pkstore.LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastID++
	m.leases[m.lastID] = ttl
	return m.lastID, nil
}

// Renew returns pkstore.ErrNoLease if the lease does not exist.
func (m *Memory) Renew(_ context.Context, id pkstore.LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, found := m.leases[id]; !found {
		return pkstore.ErrNoLease
	}
	return nil
}

// Revoke ends a lease and deletes its keys.
func (m *Memory) Revoke(_ context.Context, id pkstore.LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.leases, id)
	for key, lease := range m.leaseOf {
		if lease == id && id != 0 {
			m.revision++
			delete(m.items, key)
			delete(m.leaseOf, key)
			m.publish(pkstore.Event{Item: pkstore.Item{Key: key, Revision: m.revision}, Deleted: true})
		}
	}
	return nil
}

// Watch calls each for every change under prefix after revision from.
func (m *Memory) Watch(ctx context.Context, prefix string, from pkstore.Revision, each func(pkstore.Event)) error {
	for {
		m.mu.Lock()
		var pending []pkstore.Event
		for _, ev := range m.events {
			if ev.Item.Revision > from && strings.HasPrefix(ev.Item.Key, prefix) {
				pending = append(pending, ev)
			}
		}
		from = max(from, m.revision)
		changed := m.changed
		m.mu.Unlock()
		for _, ev := range pending {
			each(ev)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
