package pkcontract

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkstore"
)

// TestStore runs the contract tests of pkstore.Store; open returns an empty store.
func TestStore(t *testing.T, open func(*testing.T) pkstore.Store) {
	t.Run("missing key has no revision", func(t *testing.T) {
		missing, err := open(t).Load(t.Context(), "k")
		assert.NilError(t, err)
		assert.Equal(t, missing.Revision, pkstore.Revision(0))
	})
	t.Run("swap from a stale revision returns the current item", func(t *testing.T) { swapFromStaleRevision(t, open(t)) })
	t.Run("deleted key can be created again", func(t *testing.T) { createAfterDelete(t, open(t)) })
	t.Run("list has only keys of its prefix", func(t *testing.T) { listByPrefix(t, open(t)) })
	t.Run("revoking a lease deletes its keys", func(t *testing.T) { revokeDeletesKeys(t, open(t)) })
	t.Run("watch reports all changes after its revision", func(t *testing.T) { watchFromRevision(t, open(t)) })
}

func put(t *testing.T, s pkstore.Store, key, value string, old pkstore.Revision) pkstore.SwapResult {
	t.Helper()
	out, err := s.Swap(t.Context(), pkstore.Swap{Key: key, Value: []byte(value), Old: old})
	assert.NilError(t, err)
	return out
}

func swapFromStaleRevision(t *testing.T, s pkstore.Store) {
	first := put(t, s, "k", "a", 0)
	assert.Assert(t, first.Succeeded)
	second := put(t, s, "k", "b", 0)
	assert.Assert(t, !second.Succeeded)
	assert.Equal(t, string(second.Item.Value), "a")
	assert.Equal(t, second.Item.Revision, first.Item.Revision)
	third := put(t, s, "k", "c", first.Item.Revision)
	assert.Assert(t, third.Succeeded)
	assert.Assert(t, third.Item.Revision > first.Item.Revision)
}

func createAfterDelete(t *testing.T, s pkstore.Store) {
	created := put(t, s, "k", "a", 0)
	out, err := s.Swap(t.Context(), pkstore.Swap{Key: "k", Old: created.Item.Revision, Delete: true})
	assert.NilError(t, err)
	assert.Assert(t, out.Succeeded)
	assert.Assert(t, put(t, s, "k", "b", 0).Succeeded)
}

func listByPrefix(t *testing.T, s pkstore.Store) {
	for _, key := range []string{"a/1", "a/2", "b/1", "a"} {
		put(t, s, key, key, 0)
	}
	items, rev, err := s.List(t.Context(), "a/")
	assert.NilError(t, err)
	assert.Equal(t, len(items), 2)
	assert.Assert(t, rev >= items[0].Revision && rev >= items[1].Revision)
}

func revokeDeletesKeys(t *testing.T, s pkstore.Store) {
	id, err := s.Grant(t.Context(), time.Minute)
	assert.NilError(t, err)
	_, err = s.Swap(t.Context(), pkstore.Swap{Key: "k", Value: []byte("v"), Lease: id})
	assert.NilError(t, err)
	assert.NilError(t, s.Renew(t.Context(), id))
	assert.NilError(t, s.Revoke(t.Context(), id))
	item, err := s.Load(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, item.Revision, pkstore.Revision(0))
	assert.Assert(t, errors.Is(s.Renew(t.Context(), id), pkstore.ErrNoLease))
}

func watchFromRevision(t *testing.T, s pkstore.Store) {
	first := put(t, s, "w/a", "1", 0)
	put(t, s, "w/a", "2", first.Item.Revision)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	events := make(chan pkstore.Event, 10)
	ended := make(chan error, 1)
	go func() { ended <- s.Watch(ctx, "w/", first.Item.Revision, func(ev pkstore.Event) { events <- ev }) }()
	ev := <-events
	assert.Equal(t, string(ev.Item.Value), "2")
	put(t, s, "x", "other", 0)
	out, err := s.Swap(t.Context(), pkstore.Swap{Key: "w/a", Old: ev.Item.Revision, Delete: true})
	assert.NilError(t, err)
	assert.Assert(t, out.Succeeded)
	assert.Assert(t, (<-events).Deleted)
	cancel()
	assert.Assert(t, <-ended != nil)
}
