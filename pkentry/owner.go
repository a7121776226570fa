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
	ownerPrefix  = pkhead.Prefix + "owner/"
	ownEvery     = 500 * time.Millisecond
	orderTimeout = time.Second
	// lostAfter is the age of a report from which on its engine counts as lost.
	lostAfter = 3 * staleAfter
	// takeEvery is how often an entry that does not own a pool looks whether
	// it is free, counted in rounds of ownEvery.
	takeEvery = 4
)

// ownership is one pool of models that this entry owns or may come to own.
type ownership struct {
	lease pklease.Lease
	id    pkstore.LeaseID
	// told is the range that each engine was last ordered to hold.
	told map[pkid.TargetID]pkid.Range
	// demand is the highest demand of late; it fades, so that a pause between
	// two bursts does not look like leave to reload the pool.
	demand float64
}

// demandFades is what remains of an old demand after a round.
const demandFades = 0.98

// owners is the pools that this entry owns or may come to own. Only its loop
// uses it, but for what it publishes: the loop waits for the store and for
// engines, and status must not wait with it.
type owners struct {
	pools map[pkid.PoolID]*ownership
	round int
	owned atomic.Pointer[[]pkid.PoolID]
}

// ownPools takes, keeps and uses the ownership of pools of models.
func (e *Entry) ownPools(ctx context.Context) {
	e.owners.pools = map[pkid.PoolID]*ownership{}
	pktimer.Every(ctx, ownEvery, func(ctx context.Context) {
		view := e.view.Load()
		if view == nil || !e.warm.Load() {
			return
		}
		e.owners.round++
		for i := range view.Manifest.Models {
			e.ownPool(ctx, &view.Manifest.Models[i])
		}
		e.owners.publish(time.Now())
	})
	e.releasePools()
}

func (e *Entry) ownPool(ctx context.Context, m *pkmanifest.Model) {
	o, found := e.owners.pools[m.Pool]
	if !found {
		o = &ownership{lease: pklease.Lease{Terms: pklease.DefaultTerms()}}
		e.owners.pools[m.Pool] = o
	}
	switch {
	case e.stopping.Load():
		return
	case o.lease.Fence() != 0:
		e.keep(ctx, o)
	case e.mayTake(m.Pool):
		e.take(ctx, m.Pool, o)
	}
	if o.lease.MayOrder(time.Now(), m.Enforces) {
		e.order(ctx, m, o)
	}
}

// mayTake says whether this entry should look for a free pool: the one that
// rendezvous hashing puts first often, the others now and then, so that a pool
// whose first is alive but cannot reach the store still finds an owner.
func (e *Entry) mayTake(pool pkid.PoolID) bool {
	first, _ := pkmember.Owner(e.peers.table.Neighbors(time.Now()), ownerPrefix+string(pool))
	if first.Instance == e.peers.table.Self().Instance {
		return e.owners.round%takeEvery == 1
	}
	const seldom = 30
	return e.owners.round%takeEvery == 1 && newRand().IntN(seldom) == 0
}

func (e *Entry) take(ctx context.Context, pool pkid.PoolID, o *ownership) {
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
	if err != nil || !swapped.Done {
		// If the write happened and only its answer was lost, the key goes
		// with its lease.
		_ = e.ports.Store.Revoke(ctx, id)
		return
	}
	o.id = id
	o.told = map[pkid.TargetID]pkid.Range{}
	o.lease.Began(sent, pkid.Fence(swapped.Item.Revision))
	e.log.Info("owns a pool", "pool", pool, "fence", o.lease.Fence())
}

func (e *Entry) keep(ctx context.Context, o *ownership) {
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
		e.log.Warn("the ownership of a pool was lost", "fence", o.lease.Fence(), "error", err)
		o.lease.Lost()
	}
}

// releasePools ends the leases, so that the next owners need not wait.
func (e *Entry) releasePools() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	for _, o := range e.owners.pools {
		if o.lease.Fence() == 0 {
			continue
		}
		o.lease.Lost()
		if err := e.ports.Store.Revoke(ctx, o.id); err != nil {
			e.log.Debug("a lease was left to end by itself", "error", err)
		}
	}
	e.owners.publish(time.Now())
}

// order tells engines what to hold, as far as the pool can spare them.
func (e *Entry) order(ctx context.Context, m *pkmanifest.Model, o *ownership) {
	for _, told := range pkorder.Next(e.situation(m, o)) {
		// Between the plan and the order this process may have been paused.
		left := o.lease.Left(time.Now())
		if left <= 0 {
			return
		}
		call, cancel := context.WithTimeout(ctx, min(orderTimeout, left))
		o.told[told.Target.Info.ID] = pkid.Range{First: told.Order.First, End: told.Order.End}
		err := e.ports.Engines.Order(call, told.Target.Info.Addr, told.Order)
		cancel()
		switch {
		case errors.Is(err, pkengine.ErrFenced):
			e.log.Warn("an engine has seen a newer owner", "target", told.Target.Info.ID)
			o.lease.Lost()
			return
		case err != nil:
			// It may have been taken; the next round reads what came of it.
			e.log.Warn("an order was not answered", "target", told.Target.Info.ID, "error", err)
		default:
			e.log.Info("ordered", "target", told.Target.Info.ID, "version", told.Order.Version, "first", told.Order.First, "end", told.Order.End)
			told.Target.Leave(pktarget.WitnessSelf, true)
		}
	}
}

func (e *Entry) situation(m *pkmanifest.Model, o *ownership) pkorder.Situation {
	s := pkorder.Situation{Model: m, Loading: map[pkid.TargetID]pkid.Range{}, Fence: o.lease.Fence()}
	now := time.Now()
	for _, t := range e.pool(m.Pool) {
		if t.LeavingBy(pktarget.WitnessList) {
			continue
		}
		if _, age, known := t.Reported(now); !known || age > lostAfter {
			// An engine that does not answer adds nothing to the capacity, and
			// ordering it again and again would hold up the others.
			continue
		}
		s.Targets = append(s.Targets, t)
		if t.LeavingBy(pktarget.WitnessSelf) {
			s.Loading[t.Info.ID] = o.told[t.Info.ID]
		}
	}
	running, waiting, _ := e.gate(m.Pool).Counts()
	others, _ := e.peers.table.Pool(now, m.Pool)
	o.demand = max(o.demand*demandFades, float64(running+waiting+others))
	s.Demand = o.demand
	return s
}

// publish makes the pools that are owned at now known to status.
func (o *owners) publish(now time.Time) {
	var owned []pkid.PoolID
	for id, one := range o.pools {
		if one.lease.MayAct(now) {
			owned = append(owned, id)
		}
	}
	slices.Sort(owned)
	o.owned.Store(&owned)
}

// owned returns the pools that this entry owned when its loop last looked.
func (e *Entry) owned() []pkid.PoolID {
	if owned := e.owners.owned.Load(); owned != nil {
		return *owned
	}
	return nil
}
