package pkcontract

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkstore"
)

// Store tests an adapter of pkstore.Store; open returns an empty store.
func Store(t *testing.T, open func(*testing.T) pkstore.Store) {
	t.Run("a missing key has no revision", func(t *testing.T) {
		one, err := open(t).Load(t.Context(), "k")
		assert.NilError(t, err)
		assert.Equal(t, one.Revision, pkstore.Revision(0))
	})
	t.Run("a swap from the wrong revision shows who won", func(t *testing.T) { swapLoses(t, open(t)) })
	t.Run("a deleted key can be created again", func(t *testing.T) { deleteCreates(t, open(t)) })
	t.Run("a list has its prefix and no more", func(t *testing.T) { listsPrefix(t, open(t)) })
	t.Run("the keys of a lease go with it", func(t *testing.T) { leaseEnds(t, open(t)) })
	t.Run("a watch misses nothing from its revision on", func(t *testing.T) { watchSeesAll(t, open(t)) })
}

func put(t *testing.T, s pkstore.Store, key, value string, old pkstore.Revision) pkstore.Swapped {
	t.Helper()
	out, err := s.Swap(t.Context(), pkstore.Swap{Key: key, Value: []byte(value), Old: old})
	assert.NilError(t, err)
	return out
}

func swapLoses(t *testing.T, s pkstore.Store) {
	first := put(t, s, "k", "a", 0)
	assert.Assert(t, first.Done)
	second := put(t, s, "k", "b", 0)
	assert.Assert(t, !second.Done)
	assert.Equal(t, string(second.Item.Value), "a")
	assert.Equal(t, second.Item.Revision, first.Item.Revision)
	third := put(t, s, "k", "c", first.Item.Revision)
	assert.Assert(t, third.Done)
	assert.Assert(t, third.Item.Revision > first.Item.Revision)
}

func deleteCreates(t *testing.T, s pkstore.Store) {
	one := put(t, s, "k", "a", 0)
	out, err := s.Swap(t.Context(), pkstore.Swap{Key: "k", Old: one.Item.Revision, Delete: true})
	assert.NilError(t, err)
	assert.Assert(t, out.Done)
	assert.Assert(t, put(t, s, "k", "b", 0).Done)
}

func listsPrefix(t *testing.T, s pkstore.Store) {
	for _, key := range []string{"a/1", "a/2", "b/1", "a"} {
		put(t, s, key, key, 0)
	}
	items, rev, err := s.List(t.Context(), "a/")
	assert.NilError(t, err)
	assert.Equal(t, len(items), 2)
	assert.Assert(t, rev >= items[0].Revision && rev >= items[1].Revision)
}

func leaseEnds(t *testing.T, s pkstore.Store) {
	id, err := s.Grant(t.Context(), time.Minute)
	assert.NilError(t, err)
	_, err = s.Swap(t.Context(), pkstore.Swap{Key: "k", Value: []byte("v"), Lease: id})
	assert.NilError(t, err)
	assert.NilError(t, s.Renew(t.Context(), id))
	assert.NilError(t, s.Revoke(t.Context(), id))
	one, err := s.Load(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, one.Revision, pkstore.Revision(0))
	assert.Assert(t, errors.Is(s.Renew(t.Context(), id), pkstore.ErrNoLease))
}

func watchSeesAll(t *testing.T, s pkstore.Store) {
	first := put(t, s, "w/a", "1", 0)
	put(t, s, "w/a", "2", first.Item.Revision)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	seen := make(chan pkstore.Event, 10)
	ended := make(chan error, 1)
	go func() { ended <- s.Watch(ctx, "w/", first.Item.Revision, func(ev pkstore.Event) { seen <- ev }) }()
	ev := <-seen
	assert.Equal(t, string(ev.Item.Value), "2")
	put(t, s, "x", "other", 0)
	out, err := s.Swap(t.Context(), pkstore.Swap{Key: "w/a", Old: ev.Item.Revision, Delete: true})
	assert.NilError(t, err)
	assert.Assert(t, out.Done)
	assert.Assert(t, (<-seen).Deleted)
	cancel()
	assert.Assert(t, <-ended != nil)
}
