package pkedge

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
	"peridotknot.example/pklayers"
	"peridotknot.example/pkowner"
	"peridotknot.example/pkreach"
	"peridotknot.example/pkshare"
	"peridotknot.example/pkstore"
)

// memoryStore is a store in memory that only takes conditional writes.
type memoryStore struct {
	pkstore.Store
	items    map[string]pkstore.Item
	revision pkstore.Revision
	// answersLost is how many of the next writes take effect without an answer.
	answersLost int
}

func (s *memoryStore) Swap(_ context.Context, w pkstore.Swap) (pkstore.SwapResult, error) {
	if w.Old != s.items[w.Key].Revision {
		return pkstore.SwapResult{Item: s.items[w.Key]}, nil
	}
	s.revision++
	item := pkstore.Item{Key: w.Key, Value: w.Value, Revision: s.revision}
	if w.Delete {
		delete(s.items, w.Key)
	} else {
		s.items[w.Key] = item
	}
	if s.answersLost > 0 {
		s.answersLost--
		return pkstore.SwapResult{}, errors.New("no answer")
	}
	return pkstore.SwapResult{Succeeded: true, Item: item}, nil
}

// ownerDaemon returns a designated daemon with a lease, in touch with a store.
func ownerDaemon() (*Daemon, *memoryStore) {
	d, _ := poolDaemon()
	d.metrics = newMetrics(d)
	store := &memoryStore{items: map[string]pkstore.Item{}, revision: 5}
	d.Store = store
	d.settings.Entry = "self"
	d.started = time.Now().Add(-time.Minute)
	d.gossip.designated.Store(true)
	d.members.known, d.members.leaseID = true, 1
	return d, store
}

// ownsWithin reports whether a daemon becomes the owner of the pools within some time.
func (d *Daemon) ownsWithin(t *testing.T, limit time.Duration, each func()) bool {
	t.Helper()
	for began := time.Now(); time.Since(began) < limit; time.Sleep(reconcileInterval) {
		each()
		if d.ensureOwnership(t.Context()) {
			return true
		}
	}
	return false
}

// Guards against pools that nobody orders because the answer to the write of the owner's key was lost,
// and a hub that serves the writer by then tells it nothing of the key.
func TestAnOwnerWhoseWriteWasNotAnsweredActs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, store := ownerDaemon()
		store.answersLost = 1
		assert.Assert(t, !d.ensureOwnership(t.Context()))
		assert.Equal(t, string(store.items[ownerKey].Value), "self")
		sequence := uint64(0)
		owns := d.ownsWithin(t, 10*time.Second, func() {
			sequence++
			d.receiveMessage(time.Now(), pkshare.Message{From: "hub", Run: 1, Sequence: sequence, Following: true, Members: 40, Sum: &pkshare.Sum{Global: true}})
		})
		assert.Assert(t, owns)
		assert.Assert(t, !d.membersRelayed(time.Now()), "it must see its successor")
	})
}

// Guards against pools that nobody orders for seconds because their owner is cut off from a pool and waits until
// others find it idle: it must give the key up, and take it again only when its links are back.
func TestAnOwnerThatIsCutOffGivesUpItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, store := ownerDaemon()
		d.configs.Adopt(pkconfig.Config{Version: 1, Services: []pkconfig.Service{{ID: "models", Engine: &pklayers.Model{Layers: 8}}}}, pkstore.Item{Revision: 1})
		assert.Assert(t, d.ownsWithin(t, time.Second, func() {}))
		lost := pkreach.Sample{Failed: pkreach.SampleSize}
		d.links.Record(time.Now(), "models", lost)
		assert.Assert(t, d.ensureOwnership(t.Context()), "a cut may end soon")
		time.Sleep(stepDownDelay)
		assert.Assert(t, !d.ensureOwnership(t.Context()))
		assert.Equal(t, len(store.items), 0)
		assert.Equal(t, d.members.owner, pkid.EntryID(""))
		assert.Assert(t, !d.ownsWithin(t, 10*time.Second, func() { d.links.Record(time.Now(), "models", lost) }))
		d.links.Record(time.Now(), "models", pkreach.Sample{Reached: pkreach.SampleSize})
		assert.Assert(t, d.ownsWithin(t, time.Second, func() {}))
	})
}

// Guards against pools that nobody orders because their owner sends no streams and takes each order that fails for a
// fault of the engine: it must check its links, and find them in order where only that engine fails.
func TestAnOwnerWhoseOrderFailsChecksItsLinks(t *testing.T) {
	for name, row := range map[string]struct {
		reachable []string
		want      pkreach.Condition
	}{
		"cut off":       {want: pkreach.CutOff},
		"failed engine": {reachable: allButA, want: pkreach.Whole},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, engines := twelveEngines(t, row.reachable...)
				for range 3 {
					got := d.orderEngine(t.Context(), pkowner.Task{Target: d.target(t, "a"), Layers: pkid.Range{End: 40}})
					assert.Equal(t, got, pkowner.Rejected)
				}
				assert.Equal(t, d.links.Condition("models"), row.want)
				assert.Assert(t, d.links.CheckedWithin(time.Now(), "models", time.Minute))
				assert.Assert(t, engines.probes.Load() < 3*pkreach.SampleSize, "%d probes", engines.probes.Load())
			})
		})
	}
}

// Guards against a write of the owner's key in each round by an owner whose key has ended with its lease, and that has
// not read of it: what a write meets is known.
func TestAnOwnerWhoseKeyIsGoneWritesItOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, store := ownerDaemon()
		assert.Assert(t, d.ownsWithin(t, time.Second, func() {}))
		delete(store.items, ownerKey)
		d.members.lease.Lost()
		d.members.leaseID = 2
		assert.Assert(t, !d.ensureOwnership(t.Context()), "the condition fails")
		assert.Equal(t, d.members.owner, pkid.EntryID(""))
		assert.Assert(t, d.ensureOwnership(t.Context()))
		assert.Equal(t, string(store.items[ownerKey].Value), "self")
	})
}

// Guards against two owners at once, and against ownership that passes to and fro: an owner that acts, that is not
// heard of, that tells nothing, or that has only begun must not be replaced.
func TestAnOwnerThatMayActIsNotReplaced(t *testing.T) {
	const key = 4
	acts := pkstore.Revision(key)
	for name, row := range map[string]struct {
		heard func(round int) bool
		owns  func(round int) *pkstore.Revision
	}{
		"acts":      {owns: func(int) *pkstore.Revision { return &acts }},
		"not heard": {heard: func(int) bool { return false }},
		"earlier":   {owns: func(int) *pkstore.Revision { return nil }},
		"acts at times": {owns: func(round int) *pkstore.Revision {
			if round%10 == 0 {
				return &acts
			}
			return new(pkstore.Revision)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, store := ownerDaemon()
				store.items[ownerKey] = pkstore.Item{Key: ownerKey, Value: []byte("other"), Revision: key}
				d.members.owner, d.members.ownerRevision = "other", key
				round := 0
				owns := d.ownsWithin(t, 20*time.Second, func() {
					round++
					if row.heard == nil || row.heard(round) {
						d.receiveMessage(time.Now(), pkshare.Message{From: "other", Run: 1, Sequence: uint64(round), Owns: row.owns(round)})
					}
				})
				assert.Assert(t, !owns)
				assert.Equal(t, store.items[ownerKey].Revision, pkstore.Revision(key))
			})
		})
	}
}

// Guards against a new owner that orders engines beside an idle one which is about to act again: it must leave
// that one the time to read that it was replaced.
func TestANewOwnerWaitsForAnIdleOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, store := ownerDaemon()
		store.items[ownerKey] = pkstore.Item{Key: ownerKey, Value: []byte("idle"), Revision: 4}
		d.members.owner, d.members.ownerRevision = "idle", 4
		assert.Assert(t, d.writeOwnerKey(t.Context(), 1, "idle", 4))
		assert.Assert(t, time.Until(d.handoverUntil) >= maxMembersBatchDelay+orderTimeout)
		d.recordActed(time.Now())
		assert.Equal(t, d.actingRevision(time.Now()), store.items[ownerKey].Revision, "others see that it acts meanwhile")
		assert.Equal(t, d.actingRevision(time.Now().Add(ownerActTimeout)), pkstore.Revision(0), "it does not any more")
	})
}

// Guards against pools that nobody orders while the owner's key stands under a lease that its holder
// renews without acting on it.
func TestAnOwnerThatDoesNotActIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, store := ownerDaemon()
		store.items[ownerKey] = pkstore.Item{Key: ownerKey, Value: []byte("idle"), Revision: 4}
		d.members.owner, d.members.ownerRevision = "idle", 4
		sequence := uint64(0)
		owns := d.ownsWithin(t, 20*time.Second, func() {
			sequence++
			d.receiveMessage(time.Now(), pkshare.Message{From: "idle", Run: 1, Sequence: sequence, Owns: new(pkstore.Revision)})
		})
		assert.Assert(t, owns)
		assert.Equal(t, d.members.owner, pkid.EntryID("self"))
	})
}
