package pktarget

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"peridotknot.example/pkid"
)

const shardCount = 16

// Table holds all targets of an entry; the zero value is empty.
type Table struct {
	shards [shardCount]shard
	// generation goes up whenever a target is added or removed or its holding changes, which
	// makes route plans stale.
	generation atomic.Uint64
}

type shard struct {
	mu      sync.RWMutex
	targets map[pkid.TargetID]*Target
}

func (t *Table) shardOf(id pkid.TargetID) *shard {
	return &t.shards[xxhash.Sum64String(string(id))%shardCount]
}

// Find returns the target with the given id and whether the table has it.
func (t *Table) Find(id pkid.TargetID) (*Target, bool) {
	s := t.shardOf(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	target, found := s.targets[id]
	return target, found
}

// All returns every target, ordered by id.
func (t *Table) All() []*Target {
	var out []*Target
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for _, target := range s.targets {
			out = append(out, target)
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(out, func(a, b *Target) int {
		return strings.Compare(string(a.Info.ID), string(b.Info.ID))
	})
	return out
}

// Generation returns the generation of the table, which goes up whenever route plans become stale.
func (t *Table) Generation() uint64 { return t.generation.Load() }

// InvalidatePlans increments the generation, which marks route plans as stale.
func (t *Table) InvalidatePlans() { t.generation.Add(1) }

// upsert adds a target, or replaces it if its address or other fixed properties changed.
func (t *Table) upsert(info Info) *Target {
	s := t.shardOf(info.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, found := s.targets[info.ID]; found && old.Info == info {
		return old
	}
	if s.targets == nil {
		s.targets = map[pkid.TargetID]*Target{}
	}
	target := NewTarget(info)
	s.targets[info.ID] = target
	t.InvalidatePlans()
	return target
}

func (t *Table) remove(id pkid.TargetID) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.targets, id)
	t.InvalidatePlans()
}
