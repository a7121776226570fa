package pkedge

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"peridotknot.example/pkshare"
	"peridotknot.example/pkstore"
	"peridotknot.example/pktimer"
)

const (
	// leaseTTL is how long a daemon that has failed remains a member and the owner of the pools.
	// Pools without an owner keep serving but are not reconciled.
	leaseTTL = 4 * time.Second
	// leaseMargin is the time before the end of the lease when the owner stops sending orders,
	// which may take up to orderTimeout.
	leaseMargin = time.Second
	// leaseRenewInterval is how often a lease is renewed; it survives two lost renewals.
	leaseRenewInterval = time.Second
	// relayedLeaseRenewInterval is the same for entries served by a hub; the lease survives one
	// lost renewal.
	relayedLeaseRenewInterval = 1800 * time.Millisecond
	// leaseGrantInterval is how often a new lease is requested after a failed request. A grant
	// costs more than a renewal, and the store is mostly unavailable then.
	leaseGrantInterval = 2 * time.Second
	// leaseCheckInterval is how often it is checked whether a renewal is due.
	leaseCheckInterval = 200 * time.Millisecond
	// membersReadTimeout is how long a starting daemon waits for the members before it registers.
	membersReadTimeout = time.Second
	// membersPollInterval is how often it checks whether they were read.
	membersPollInterval = 10 * time.Millisecond
	// maxRenewalFailures is the number of consecutive failed renewals after which watches are
	// ended.
	maxRenewalFailures = 2
	// revokeTimeout bounds the call that revokes the lease when the daemon stops.
	revokeTimeout = 300 * time.Millisecond
)

// recordRenewal records the result of a renewal. It returns the number of consecutive failures
// before it, and the reason to end the watches in progress or nil.
func (m *members) recordRenewal(err error) (failures int, endWatches error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	failures = m.failures
	if err == nil {
		m.failures = 0
	} else {
		m.failures++
	}
	switch {
	case storeAnswered(err):
		if m.unanswered {
			endWatches = errReconnected
		}
		m.unanswered = false
	case !errors.Is(err, pkstore.ErrRefused):
		m.unanswered = true
	}
	if m.failures == maxRenewalFailures && !storeAnswered(err) {
		endWatches = errStoreSilent
	}
	return failures, endWatches
}

// storeAnswered reports whether the result of a renewal shows that the store serves this entry,
// which is also the case if the store does not know the lease.
func storeAnswered(err error) bool { return err == nil || errors.Is(err, pkstore.ErrNoLease) }

// maintainLease renews this daemon's lease and keeps it registered as a member.
func (d *Daemon) maintainLease(ctx context.Context) {
	d.awaitMembers(ctx)
	registered := false
	var last time.Time
	var pause time.Duration
	pktimer.Every(ctx, leaseCheckInterval, func(ctx context.Context) {
		now := time.Now()
		if d.stopping.Load() || now.Sub(last) < pause || !d.holdsOrWantsLease(ctx, now) {
			return
		}
		last = now
		err := d.renewOrGrant(ctx, &registered)
		pause = d.renewalDelay(now, err)
		if storeAnswered(err) {
			d.store.recordLeaseRenewal(time.Now())
		}
		if err != nil && ctx.Err() == nil {
			d.log.Warn("the lease was not renewed", "error", err)
		}
		failures, endWatches := d.members.recordRenewal(err)
		if err == nil && failures > 0 {
			d.log.Info("the lease is renewed again", "failures", failures)
		}
		if endWatches != nil {
			d.watches.CancelAll(endWatches)
		}
	})
}

// renewalDelay returns the delay until the next renewal after one at now with the given result.
func (d *Daemon) renewalDelay(now time.Time, err error) time.Duration {
	m := &d.members
	m.mu.Lock()
	lost, failures := m.leaseID == 0, m.failures
	m.mu.Unlock()
	refused := errors.Is(err, pkstore.ErrRefused)
	switch {
	case !lost && !storeAnswered(err) && !refused && failures == 0:
		// Retried at once over a new connection, since watches may wait on one that fell silent.
		return 0
	case lost && err != nil && !errors.Is(err, pkstore.ErrNoLease):
		return leaseGrantInterval
	case d.gossip.designated.Load() || !d.membersRelayed(now):
		return leaseRenewInterval
	default:
		return relayedLeaseRenewInterval
	}
}

// renewOrGrant renews the lease, or requests a new one if it was lost, and registers this daemon
// unless it is registered already.
func (d *Daemon) renewOrGrant(ctx context.Context, registered *bool) error {
	m := &d.members
	sent, began := pktimer.BootClock(), time.Now()
	m.mu.Lock()
	current := m.leaseID
	m.mu.Unlock()
	if current == 0 {
		id, err := d.Store.Grant(ctx, leaseTTL)
		d.recordStoreCall(callGrant, askerLease, err)
		if err != nil {
			return err
		}
		m.mu.Lock()
		m.leaseID = id
		m.mu.Unlock()
		*registered = false
	} else if err := d.renew(ctx, current); err != nil {
		if errors.Is(err, pkstore.ErrNoLease) {
			m.mu.Lock()
			m.leaseID, m.ownRevision, m.ownerWrite = 0, 0, false
			m.lease.Lost()
			m.mu.Unlock()
		}
		return err
	}
	m.mu.Lock()
	m.lease.Renewed(sent)
	*registered = *registered && !m.ownKey.IsDeleted()
	m.mu.Unlock()
	if !*registered {
		if err := d.register(ctx, registered); err != nil {
			return err
		}
	}
	if *registered {
		d.confirmRegistered(time.Now(), began.Add(leaseTTL))
	}
	return nil
}

// awaitMembers waits up to membersReadTimeout until the members were read. They show the key left
// by a killed previous run of this daemon; without its revision, register needs a second write.
func (d *Daemon) awaitMembers(ctx context.Context) {
	m := &d.members
	for began := time.Now(); time.Since(began) < membersReadTimeout; {
		m.mu.Lock()
		known := m.known
		m.mu.Unlock()
		if known || !pktimer.Sleep(ctx, membersPollInterval) {
			return
		}
	}
}

func (d *Daemon) renew(ctx context.Context, id pkstore.LeaseID) error {
	err := d.Store.Renew(ctx, id)
	d.recordStoreCall(callRenew, askerLease, err)
	return err
}

func (d *Daemon) write(ctx context.Context, asker string, w pkstore.Swap) (pkstore.SwapResult, error) {
	out, err := d.Store.Swap(ctx, w)
	d.recordStoreCall(callWrite, asker, err)
	return out, err
}

// register writes this daemon's key under its lease, and replaces one left by a previous run.
func (d *Daemon) register(ctx context.Context, registered *bool) error {
	value, err := json.Marshal(d.self())
	if err != nil {
		return err
	}
	m := &d.members
	m.mu.Lock()
	w := pkstore.Swap{Key: d.memberKey(), Value: value, Lease: m.leaseID, Old: m.ownRevision}
	m.mu.Unlock()
	out, err := d.write(ctx, askerLease, w)
	if err == nil && !out.Succeeded {
		w.Old = out.Item.Revision
		out, err = d.write(ctx, askerLease, w)
	}
	if err != nil {
		return err
	}
	*registered = out.Succeeded
	if out.Succeeded {
		m.mu.Lock()
		m.ownRevision = max(m.ownRevision, out.Item.Revision)
		m.ownKey.Write(out.Item.Revision)
		m.mu.Unlock()
	}
	return nil
}

// self returns this daemon as a member.
func (d *Daemon) self() pkshare.Member {
	s := &d.settings
	return pkshare.Member{ID: s.Entry, Addr: d.gossip.addr, DataCenter: s.DataCenter, ProcessorShare: s.ProcessorShare, Relays: d.gossip.addr != ""}
}

// holdsLease reports whether the store has granted this daemon a lease that is not known to have ended.
func (m *members) holdsLease() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaseID != 0
}

// selfAt returns this daemon as a member at now, with its registration.
func (d *Daemon) selfAt(now time.Time) pkshare.Member {
	self := d.self()
	m := &d.members
	self.Unregistered = !m.holdsLease() && !m.wasRegistered(now, self.ID)
	return self
}

// registrationView returns what this daemon knows at now of its data centre and its hubs.
func (d *Daemon) registrationView(now time.Time) pkshare.View {
	v := pkshare.View{Served: d.gossip.table.ServedByHub(now)}
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	v.MembersRead, v.Listed, v.Holds = m.known, m.listedBefore, m.leaseID != 0
	v.Owner = m.mayHoldOwnerKey(d.settings.Entry)
	v.Appointed = m.candidates == nil || pkshare.ContainsEntry(m.candidates, d.settings.Entry)
	for id, one := range m.peers {
		if id != d.settings.Entry && one.DataCenter == d.settings.DataCenter {
			v.Registered = append(v.Registered, one)
		}
	}
	return v
}

// holdsOrWantsLease reports whether this daemon is to be registered at now. A lease that is no
// longer wanted is dropped and expires, which costs no call.
func (d *Daemon) holdsOrWantsLease(ctx context.Context, now time.Time) bool {
	v := d.registrationView(now)
	wanted := d.registration.Wanted(now, v)
	if wanted && !v.Holds && !v.Served && len(v.Registered) == 0 && d.settings.ProcessorShare > 0 {
		d.refreshMembers(ctx)
		now = time.Now()
		v = d.registrationView(now)
		wanted = d.registration.Wanted(now, v)
	}
	if v.Holds && !wanted {
		m := &d.members
		m.mu.Lock()
		m.leaseID, m.ownRevision, m.ownerWrite, m.failures, m.unanswered = 0, 0, false, 0, false
		m.lease.Lost()
		m.mu.Unlock()
		d.log.Info("lease dropped, a hub serves this entry and needs no more candidates", "registered", len(v.Registered))
	}
	return wanted
}

// revokeLease revokes the lease, so that another daemon can become the owner at once.
func (d *Daemon) revokeLease(ctx context.Context) {
	m := &d.members
	m.mu.Lock()
	id := m.leaseID
	m.lease.Lost()
	m.mu.Unlock()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	err := d.Store.Revoke(ctx, id)
	d.recordStoreCall(callRevoke, askerLease, err)
	if err != nil {
		d.log.Warn("the lease was not given up and ends by itself", "error", err)
	}
}
