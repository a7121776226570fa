package pkentry

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"peridotknot.example/pkengine"
	"peridotknot.example/pkhead"
	"peridotknot.example/pkid"
	"peridotknot.example/pklease"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pkmember"
	"peridotknot.example/pkorder"
	"peridotknot.example/pkstore"
	"peridotknot.example/pktarget"
	"peridotknot.example/pktimer"
)

const (
	ownerPrefix       = pkhead.Prefix + "owner/"
	ownershipInterval = 500 * time.Millisecond
	orderTimeout      = time.Second
	// lostAfter is the report age from which an engine counts as failed.
	lostAfter = 3 * staleAfter
	// acquireRounds is the number of ownershipInterval rounds between attempts to acquire the
	// ownership of a pool.
	acquireRounds = 4
)

// ownership is the state of a model pool that this entry owns or may acquire.
type ownership struct {
	lease pklease.Lease
	id    pkstore.LeaseID
	// ordered is the layer range that each engine was last ordered to hold.
	ordered map[pkid.TargetID]pkid.Range
	// demand is a decaying maximum of the recent demand, so that engines are not reloaded in a pause
	// between two bursts.
	demand float64
}

// demandDecay is the factor by which the recorded demand shrinks each round.
const demandDecay = 0.98

// owners holds the ownership state of all model pools. Except for owned, only the reconcilePools loop
// accesses it. The loop blocks on calls to the store and to engines, so status requests read the
// atomic snapshot in owned.
type owners struct {
	pools map[pkid.PoolID]*ownership
	round int
	owned atomic.Pointer[[]pkid.PoolID]
}

// reconcilePools acquires and renews ownership leases of model pools and sends orders to the engines
// of owned pools.
func (e *Entry) reconcilePools(ctx context.Context) {
	e.owners.pools = map[pkid.PoolID]*ownership{}
	pktimer.Every(ctx, ownershipInterval, func(ctx context.Context) {
		view := e.view.Load()
		if view == nil || !e.loadsPolled.Load() {
			return
		}
		e.owners.round++
		for i := range view.Manifest.Models {
			e.reconcilePool(ctx, &view.Manifest.Models[i])
		}
		e.owners.publish(time.Now())
	})
	e.releasePools()
}

func (e *Entry) reconcilePool(ctx context.Context, m *pkmanifest.Model) {
	o, found := e.owners.pools[m.Pool]
	if !found {
		o = &ownership{lease: pklease.Lease{Terms: pklease.DefaultTerms()}}
		e.owners.pools[m.Pool] = o
	}
	switch {
	case e.stopping.Load():
		return
	case o.lease.Fence() != 0:
		e.renew(ctx, o)
	case e.shouldAcquire(m.Pool):
		e.acquire(ctx, m.Pool, o)
	}
	if o.lease.MayOrder(time.Now(), m.EnforcesFencing) {
		e.sendOrders(ctx, m, o)
	}
}

// shouldAcquire reports whether this entry should try to acquire a pool in this round. The entry
// preferred by rendezvous hashing tries every acquireRounds; the others try at random with low
// probability, in case the preferred entry is alive but cannot reach the store.
func (e *Entry) shouldAcquire(pool pkid.PoolID) bool {
	first, _ := pkmember.Owner(e.peers.table.Neighbors(time.Now()), ownerPrefix+string(pool))
	if first.Instance == e.peers.table.Self().Instance {
		return e.owners.round%acquireRounds == 1
	}
	const nonPreferredOdds = 30
	return e.owners.round%acquireRounds == 1 && newRand().IntN(nonPreferredOdds) == 0
}

func (e *Entry) acquire(ctx context.Context, pool pkid.PoolID, o *ownership) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := ownerPrefix + string(pool)
	item, err := e.ports.Store.Load(ctx, key)
	if err != nil || item.Revision != 0 {
		return
	}
	sent := time.Now()
	id, err := e.ports.Store.Grant(ctx, o.lease.Terms.TTL)
	if err != nil {
		return
	}
	value, err := json.Marshal(e.peers.table.Self())
	if err != nil {
		return
	}
	swapped, err := e.ports.Store.Swap(ctx, pkstore.Swap{Key: key, Value: value, Lease: id})
	if err != nil || !swapped.Succeeded {
		// The write may have succeeded although its response was lost; revoking the lease deletes
		// the key.
		_ = e.ports.Store.Revoke(ctx, id)
		return
	}
	o.id = id
	o.ordered = map[pkid.TargetID]pkid.Range{}
	o.lease.Granted(sent, pkid.FencingToken(swapped.Item.Revision))
	e.log.Info("acquired pool ownership", "pool", pool, "fence", o.lease.Fence())
}

func (e *Entry) renew(ctx context.Context, o *ownership) {
	now := time.Now()
	if now.Before(o.lease.RenewAt()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := e.ports.Store.Renew(ctx, o.id)
	switch {
	case err == nil:
		o.lease.Renewed(now)
	case errors.Is(err, pkstore.ErrNoLease) || !o.lease.MayAct(time.Now()):
		e.log.Warn("lost pool ownership", "fence", o.lease.Fence(), "error", err)
		o.lease.Lost()
	}
}

// releasePools revokes the leases, so that other entries can acquire the pools before they expire.
func (e *Entry) releasePools() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	for _, o := range e.owners.pools {
		if o.lease.Fence() == 0 {
			continue
		}
		o.lease.Lost()
		if err := e.ports.Store.Revoke(ctx, o.id); err != nil {
			e.log.Debug("failed to revoke ownership lease; it expires on its own", "error", err)
		}
	}
	e.owners.publish(time.Now())
}

// sendOrders sends the orders that are due to the engines of a pool while the lease is valid.
func (e *Entry) sendOrders(ctx context.Context, m *pkmanifest.Model, o *ownership) {
	for _, next := range pkorder.Next(e.poolState(m, o)) {
		// The process may have been paused since the plan was made.
		left := o.lease.Remaining(time.Now())
		if left <= 0 {
			return
		}
		call, cancel := context.WithTimeout(ctx, min(orderTimeout, left))
		o.ordered[next.Target.Info.ID] = pkid.Range{First: next.Order.First, End: next.Order.End}
		err := e.ports.Engines.Order(call, next.Target.Info.Addr, next.Order)
		cancel()
		switch {
		case errors.Is(err, pkengine.ErrFenced):
			e.log.Warn("engine rejected an order with an outdated fencing token", "target", next.Target.Info.ID)
			o.lease.Lost()
			return
		case err != nil:
			// The engine may have accepted the order; its next report shows the result.
			e.log.Warn("order to engine failed", "target", next.Target.Info.ID, "error", err)
		default:
			e.log.Info("ordered", "target", next.Target.Info.ID, "version", next.Order.Version, "first", next.Order.First, "end", next.Order.End)
			next.Target.SetLeaving(pktarget.SourceTarget, true)
		}
	}
}

// poolState collects the input for planning the orders of a pool and updates the recorded demand.
func (e *Entry) poolState(m *pkmanifest.Model, o *ownership) pkorder.PoolState {
	s := pkorder.PoolState{Model: m, Loading: map[pkid.TargetID]pkid.Range{}, Fence: o.lease.Fence()}
	now := time.Now()
	for _, t := range e.pool(m.Pool) {
		if t.LeavingBy(pktarget.SourceVMList) {
			continue
		}
		if _, age, known := t.LastReport(now); !known || age > lostAfter {
			// An unresponsive engine adds no capacity, and retrying its order would delay the
			// orders of the others.
			continue
		}
		s.Targets = append(s.Targets, t)
		if t.LeavingBy(pktarget.SourceTarget) {
			s.Loading[t.Info.ID] = o.ordered[t.Info.ID]
		}
	}
	running, waiting, _ := e.gate(m.Pool).Counts()
	others, _ := e.peers.table.Pool(now, m.Pool)
	o.demand = max(o.demand*demandDecay, float64(running+waiting+others))
	s.Demand = o.demand
	return s
}

// publish updates the snapshot of the pools owned at now.
func (o *owners) publish(now time.Time) {
	var owned []pkid.PoolID
	for id, p := range o.pools {
		if p.lease.MayAct(now) {
			owned = append(owned, id)
		}
	}
	slices.Sort(owned)
	o.owned.Store(&owned)
}

// owned returns the pools that this entry owned at the last round.
func (e *Entry) owned() []pkid.PoolID {
	if owned := e.owners.owned.Load(); owned != nil {
		return *owned
	}
	return nil
}
