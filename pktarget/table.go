package pktarget

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"peridotknot.example/pkid"
)

const shards = 16

// Table is all targets that an entry knows; the zero value is empty.
type Table struct {
	shard [shards]shard
	// changes counts what makes a route plan stale: targets that come, go or
	// hold something else.
	changes atomic.Uint64
}

type shard struct {
	mu      sync.RWMutex
	targets map[pkid.TargetID]*Target
}

func (t *Table) of(id pkid.TargetID) *shard {
	return &t.shard[xxhash.Sum64String(string(id))%shards]
}

// Find returns the target with id.
func (t *Table) Find(id pkid.TargetID) (*Target, bool) {
	s := t.of(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	one, found := s.targets[id]
	return one, found
}

// All returns every target, ordered by id.
func (t *Table) All() []*Target {
	var out []*Target
	for i := range t.shard {
		s := &t.shard[i]
		s.mu.RLock()
		for _, one := range s.targets {
			out = append(out, one)
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(out, func(a, b *Target) int {
		return strings.Compare(string(a.Info.ID), string(b.Info.ID))
	})
	return out
}

// Changes returns a number that goes up whenever a route plan becomes stale.
func (t *Table) Changes() uint64 { return t.changes.Load() }

// Changed marks route plans as stale.
func (t *Table) Changed() { t.changes.Add(1) }

// put adds a target, or replaces one whose VM came back elsewhere.
func (t *Table) put(info Info) *Target {
	s := t.of(info.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, found := s.targets[info.ID]; found && old.Info == info {
		return old
	}
	if s.targets == nil {
		s.targets = map[pkid.TargetID]*Target{}
	}
	one := NewTarget(info)
	s.targets[info.ID] = one
	t.Changed()
	return one
}

func (t *Table) drop(id pkid.TargetID) {
	s := t.of(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.targets, id)
	t.Changed()
}
