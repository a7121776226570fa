package pkedge

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"peridotknot.example/pkstore"
	"peridotknot.example/pktimer"
)

// storeCallLogInterval is how often the counts of calls to the store are logged.
const storeCallLogInterval = 10 * time.Second

// Kinds of calls to the store.
const (
	callList = "list"
	// callStaleList is a list that may return data that is some seconds old.
	callStaleList = "stale_list"
	callWatch     = "watch"
	callGrant     = "grant"
	callRenew     = "renew"
	callWrite     = "write"
	callRevoke    = "revoke"
	// callPeek is a read that may return data that is some seconds old.
	callPeek = "peek"
)

// Components that call the store, as given in the label and log key asker. The followers of the
// replicas and members use their follower names.
const (
	askerConfig = "config"
	askerLease  = "lease"
	askerOwner  = "owner"
	askerSize   = "size"
	// askerQuarantine saves quarantined requests for entries that start later.
	askerQuarantine = "quarantine"
)

// storeCall classifies a call to the store by kind, asker and outcome.
type storeCall struct {
	call    string
	asker   string
	outcome string
}

// storeCallCounts counts the calls to the store, which the platform charges for; the zero value is
// empty.
type storeCallCounts struct {
	mu      sync.Mutex
	counts  map[storeCall]int
	changed bool
}

func (c *storeCallCounts) add(a storeCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[storeCall]int{}
	}
	c.counts[a]++
	c.changed = true
}

// takeChanged returns the counts in sorted order if there was a call since it was last called.
func (c *storeCallCounts) takeChanged() (calls []storeCall, counts []int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.changed {
		return nil, nil
	}
	c.changed = false
	for a := range c.counts {
		calls = append(calls, a)
	}
	slices.SortFunc(calls, func(a, b storeCall) int {
		return cmp.Or(cmp.Compare(a.asker, b.asker), cmp.Compare(a.call, b.call), cmp.Compare(a.outcome, b.outcome))
	})
	for _, a := range calls {
		counts = append(counts, c.counts[a])
	}
	return calls, counts
}

// recordStoreCall counts a call to the store, whose error may be nil.
func (d *Daemon) recordStoreCall(call, asker string, err error) {
	outcome := "ok"
	switch {
	case err == nil, errors.Is(err, pkstore.ErrCompacted), errors.Is(err, pkstore.ErrNoLease):
	case errors.Is(err, pkstore.ErrRefused):
		outcome = "refused"
	default:
		outcome = "failed"
	}
	d.storeCalls.add(storeCall{call: call, asker: asker, outcome: outcome})
	d.metrics.storeCalls.WithLabelValues(call, asker, outcome).Inc()
}

// logStoreCalls logs the counts of calls to the store since the start whenever they have changed.
func (d *Daemon) logStoreCalls(ctx context.Context) {
	pktimer.Every(ctx, storeCallLogInterval, func(context.Context) {
		calls, counts := d.storeCalls.takeChanged()
		for i, a := range calls {
			d.log.Info("calls to the store", "asker", a.asker, "call", a.call, "outcome", a.outcome, "count", counts[i])
		}
	})
}
