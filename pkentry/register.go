package pkentry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"peridotknot.example/pkhead"
	"peridotknot.example/pkmember"
	"peridotknot.example/pkstore"
)

const (
	entryPrefix = pkhead.Prefix + "entry/"
	registerTTL = 40 * time.Second
	// registerRounds is the number of seedInterval rounds between renewals.
	registerRounds = 10
)

// registration is the entry's own key in the store, through which a new VM without seeds discovers
// the other entries.
type registration struct {
	lease       pkstore.LeaseID
	peersListed bool
}

// register renews the entry's key and, to limit the load on the store, lists the other entries' keys
// only until the first success or while no peer is known.
func (e *Entry) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := e.renewKey(ctx); err != nil && ctx.Err() == nil {
		e.log.Debug("the entry's key in the store was not renewed", "error", err)
		return
	}
	alone := len(e.peers.table.LiveMembers(time.Now())) == 1
	if e.registration.peersListed && !alone {
		return
	}
	items, _, err := e.ports.Store.List(ctx, entryPrefix)
	if err != nil {
		return
	}
	e.registration.peersListed = true
	var known []pkmember.Member
	for _, item := range items {
		var m pkmember.Member
		if err := json.Unmarshal(item.Value, &m); err == nil {
			known = append(known, m)
		}
	}
	e.peers.table.AddKnown(time.Now(), known)
}

func (e *Entry) renewKey(ctx context.Context) error {
	r := &e.registration
	if r.lease != 0 {
		err := e.ports.Store.Renew(ctx, r.lease)
		if !errors.Is(err, pkstore.ErrNoLease) {
			return err
		}
		r.lease = 0
	}
	id, err := e.ports.Store.Grant(ctx, registerTTL)
	if err != nil {
		return err
	}
	self := e.peers.table.Self()
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	_, err = e.ports.Store.Swap(ctx, pkstore.Swap{Key: entryPrefix + string(self.Instance), Value: value, Lease: id})
	if err == nil {
		r.lease = id
	}
	return err
}
