package pkedge

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkshare"
	"peridotknot.example/pkstore"
)

// serveByHub makes a hub serve the list of replicas and the members to the daemon at now.
func (d *Daemon) serveByHub(now time.Time) {
	d.members.known = true
	d.receiveMessage(now, pkshare.Message{From: "hub", Run: 1, Sequence: 1, Following: true, Members: 40, Sum: &pkshare.Sum{Global: true}})
}

// Guards against many calls to the store while a fleet starts: entries that a hub will serve must
// wait for it instead of following the lists, and designated entries must not.
func TestEntriesWithRelayedChangesDoNotFollowAtStart(t *testing.T) {
	start := time.Now()
	for _, row := range []struct {
		hubs, designated bool
		age              time.Duration
		want             bool
	}{
		{false, true, roleSettleTime - 1, true},
		{false, false, roleSettleTime, false},
		{true, true, roleSettleTime, false},
		{true, false, roleSettleTime, true},
		{true, false, relayStartTimeout, false},
	} {
		d, _ := poolDaemon()
		d.started = start
		d.gossip.withHubs.Store(row.hubs)
		d.gossip.designated.Store(row.designated)
		assert.Equal(t, d.relayExpected(start.Add(row.age)), row.want, "%+v", row)
	}
}

// Guards against a write of the owner's key by each entry while the pools have no owner. The
// designated entries of each data centre must try at once, the others only after takeoverDelay.
func TestOnlyDesignatedEntriesTryToBecomeOwnerAtOnce(t *testing.T) {
	start := time.Now()
	d, _ := poolDaemon()
	d.started = start
	d.gossip.designated.Store(true)
	assert.Assert(t, !d.mayAcquire(start, false), "its role is not settled yet")
	assert.Assert(t, d.mayAcquire(start.Add(roleSettleTime), false))

	d, _ = poolDaemon()
	d.started = start
	assert.Assert(t, !d.mayAcquire(start.Add(time.Minute), false))
	assert.Assert(t, !d.mayAcquire(start.Add(time.Minute+takeoverDelay-1), false))
	assert.Assert(t, d.mayAcquire(start.Add(time.Minute+takeoverDelay), false))
	d.serveByHub(start.Add(2 * time.Minute))
	assert.Assert(t, !d.mayAcquire(start.Add(2*time.Minute), false))
	assert.Assert(t, !d.mayAcquire(start.Add(3*time.Minute), false), "the delay starts again")
}

// refusingStore refuses all writes.
type refusingStore struct {
	pkstore.Store
	writes int
}

func (s *refusingStore) Swap(context.Context, pkstore.Swap) (pkstore.SwapResult, error) {
	s.writes++
	return pkstore.SwapResult{}, pkstore.ErrRefused
}

// Guards against frequent writes of the owner's key by an entry that the store refuses, since
// refused calls are charged as well. While its lease renewals fail too, it must not write at all.
func TestARefusedEntrySeldomTriesToBecomeOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := poolDaemon()
		d.metrics = newMetrics(d)
		store := &refusingStore{}
		d.Store = store
		d.started = time.Now().Add(-time.Minute)
		d.gossip.designated.Store(true)
		d.members.known, d.members.leaseID = true, 1
		reconcile := func(rounds int) int {
			before := store.writes
			for range rounds {
				assert.Assert(t, !d.ensureOwnership(t.Context()))
				time.Sleep(reconcileInterval)
			}
			return store.writes - before
		}
		const rounds = 50
		limit := int(rounds*(reconcileInterval+acquireJitter)/acquireRetryDelay) + 1
		writes := reconcile(rounds)
		assert.Assert(t, 0 < writes && writes <= limit, "%d writes", writes)
		_, _ = d.members.recordRenewal(pkstore.ErrRefused)
		assert.Equal(t, reconcile(rounds), 0)
		_, _ = d.members.recordRenewal(nil)
		assert.Equal(t, reconcile(1), 1)
	})
}

// Guards against losing the lease after one missed renewal, against needless renewals by entries
// served by a hub, and against a slow retry after a lost connection.
func TestLeaseIsRenewedMoreOftenIfOthersDependOnIt(t *testing.T) {
	now := time.Now()
	d, _ := poolDaemon()
	d.settings.Entry = "one"
	d.members.leaseID = 1
	assert.Equal(t, d.renewalDelay(now, nil), leaseRenewInterval)
	d.serveByHub(now)
	assert.Equal(t, d.renewalDelay(now, nil), relayedLeaseRenewInterval)
	assert.Assert(t, 2*relayedLeaseRenewInterval < leaseTTL, "the lease survives one lost renewal")
	d.members.owner = d.settings.Entry
	assert.Equal(t, d.renewalDelay(now, nil), leaseRenewInterval, "the owner")
	d.members.owner = "another"
	d.gossip.designated.Store(true)
	assert.Equal(t, d.renewalDelay(now, nil), leaseRenewInterval, "a designated entry")
	d.members.leaseID = 0
	assert.Equal(t, d.renewalDelay(now, errors.New("away")), leaseGrantInterval)
	assert.Equal(t, d.renewalDelay(now, pkstore.ErrNoLease), leaseRenewInterval, "the store answers")
	d.members.leaseID = 1
	assert.Equal(t, d.renewalDelay(now, errors.New("no answer")), time.Duration(0), "retried at once over a new connection")
	assert.Equal(t, d.renewalDelay(now, pkstore.ErrRefused), leaseRenewInterval)
	d.members.failures = 1
	assert.Equal(t, d.renewalDelay(now, errors.New("no answer")), leaseRenewInterval)
}
