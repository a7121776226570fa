package pkcontract

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"peridotknot.example/pkstore"
)

// Memory is a store in memory whose calls can be made to fail.
type Memory struct {
	mu       sync.Mutex
	revision pkstore.Revision
	items    map[string]pkstore.Item
	owners   map[string]pkstore.LeaseID
	leases   map[pkstore.LeaseID]time.Duration
	next     pkstore.LeaseID
	log      []pkstore.Event
	changed  chan struct{}
	// Before is called ahead of each write, and After behind it, with the
	// write; an error from Before keeps the write from happening, one from
	// After loses its answer.
	Before func(pkstore.Swap) error
	After  func(pkstore.Swap) error
}

// ErrLost is the failure of a call whose answer was lost.
var ErrLost = errors.New("the answer was lost")

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		items:   map[string]pkstore.Item{},
		owners:  map[string]pkstore.LeaseID{},
		leases:  map[pkstore.LeaseID]time.Duration{},
		changed: make(chan struct{}),
	}
}

var _ pkstore.Store = (*Memory)(nil)

// Load returns the item at key.
func (m *Memory) Load(_ context.Context, key string) (pkstore.Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if one, found := m.items[key]; found {
		return one, nil
	}
	return pkstore.Item{Key: key}, nil
}

// List returns the items under prefix.
func (m *Memory) List(_ context.Context, prefix string) ([]pkstore.Item, pkstore.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []pkstore.Item
	for key, one := range m.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, one)
		}
	}
	return out, m.revision, nil
}

// Swap writes if the key is unchanged.
func (m *Memory) Swap(_ context.Context, s pkstore.Swap) (pkstore.Swapped, error) {
	if m.Before != nil {
		if err := m.Before(s); err != nil {
			return pkstore.Swapped{}, err
		}
	}
	out, err := m.apply(s)
	if err == nil && m.After != nil {
		err = m.After(s)
	}
	return out, err
}

func (m *Memory) apply(s pkstore.Swap) (pkstore.Swapped, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := m.items[s.Key]; now.Revision != s.Old {
		now.Key = s.Key
		return pkstore.Swapped{Item: now}, nil
	}
	if _, found := m.leases[s.Lease]; s.Lease != 0 && !found {
		return pkstore.Swapped{}, pkstore.ErrNoLease
	}
	m.revision++
	one := pkstore.Item{Key: s.Key, Value: s.Value, Revision: m.revision}
	if s.Delete {
		delete(m.items, s.Key)
		delete(m.owners, s.Key)
	} else {
		m.items[s.Key] = one
		m.owners[s.Key] = s.Lease
	}
	m.note(pkstore.Event{Item: one, Deleted: s.Delete})
	return pkstore.Swapped{Done: true, Item: one}, nil
}

func (m *Memory) note(ev pkstore.Event) {
	m.log = append(m.log, ev)
	close(m.changed)
	m.changed = make(chan struct{})
}

// Grant begins a lease; it ends only by Expire or Revoke.
func (m *Memory) Grant(_ context.Context, ttl time.Duration) (pkstore.LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next++
	m.leases[m.next] = ttl
	return m.next, nil
}

// Renew renews a lease.
func (m *Memory) Renew(_ context.Context, id pkstore.LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, found := m.leases[id]; !found {
		return pkstore.ErrNoLease
	}
	return nil
}

// Revoke ends a lease and removes its keys.
func (m *Memory) Revoke(_ context.Context, id pkstore.LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.leases, id)
	for key, owner := range m.owners {
		if owner == id && id != 0 {
			m.revision++
			delete(m.items, key)
			delete(m.owners, key)
			m.note(pkstore.Event{Item: pkstore.Item{Key: key, Revision: m.revision}, Deleted: true})
		}
	}
	return nil
}

// Watch calls each for every change under prefix after revision from.
func (m *Memory) Watch(ctx context.Context, prefix string, from pkstore.Revision, each func(pkstore.Event)) error {
	for {
		m.mu.Lock()
		var due []pkstore.Event
		for _, ev := range m.log {
			if ev.Item.Revision > from && strings.HasPrefix(ev.Item.Key, prefix) {
				due = append(due, ev)
			}
		}
		from = max(from, m.revision)
		changed := m.changed
		m.mu.Unlock()
		for _, ev := range due {
			each(ev)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
