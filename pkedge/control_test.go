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

// led makes the daemon one that a hub tells of the list and the members at now.
func (d *Daemon) led(now time.Time) {
	d.members.known = true
	d.hear(now, pkshare.Message{From: "hub", Run: 1, Sequence: 1, Following: true, Members: 40, Sum: &pkshare.Sum{All: true}})
}

// A fleet starts, and its lists change all the time. Each entry that follows them calls the
// store for each change, a seventh of all calls of a calm day, though hubs tell it seconds
// later. Entries that will be told must wait for it, and those that tell must not.
func TestEntriesThatWillBeToldDoNotFollowAtTheStart(t *testing.T) {
	start := time.Now()
	for _, row := range []struct {
		hubs, first bool
		age         time.Duration
		want        bool
	}{
		{false, true, rolesKnown - 1, true},
		{false, false, rolesKnown, false},
		{true, true, rolesKnown, false},
		{true, false, rolesKnown, true},
		{true, false, ledSoon, false},
	} {
		d, _ := poolDaemon()
		d.started = start
		d.sharing.withHubs.Store(row.hubs)
		d.sharing.first.Store(row.first)
		assert.Equal(t, d.ledSoon(start.Add(row.age)), row.want, "%+v", row)
	}
}

// Nobody owns the pools, at the start of a fleet or after a crash. If each of 195 entries
// writes the owner's key, the store charges for all of them. The first of each data centre
// must, and the others only where no owner has come for long.
func TestOnlyTheFirstEntriesTryToOwnAtOnce(t *testing.T) {
	start := time.Now()
	d, _ := poolDaemon()
	d.started = start
	d.sharing.first.Store(true)
	assert.Assert(t, !d.mayAcquire(start), "it has not met the others yet")
	assert.Assert(t, d.mayAcquire(start.Add(rolesKnown)))

	d, _ = poolDaemon()
	d.started = start
	assert.Assert(t, !d.mayAcquire(start.Add(time.Minute)))
	assert.Assert(t, !d.mayAcquire(start.Add(time.Minute+takeoverDelay-1)))
	assert.Assert(t, d.mayAcquire(start.Add(time.Minute+takeoverDelay)))
	d.led(start.Add(2 * time.Minute))
	assert.Assert(t, !d.mayAcquire(start.Add(2*time.Minute)))
	assert.Assert(t, !d.mayAcquire(start.Add(3*time.Minute)), "the wait begins anew")
}

// refusingStore turns every write away.
type refusingStore struct {
	pkstore.Store
	writes int
}

func (s *refusingStore) Swap(context.Context, pkstore.Swap) (pkstore.Swapped, error) {
	s.writes++
	return pkstore.Swapped{}, pkstore.ErrRefused
}

// The store turns this entry away and serves the others; nobody owns the pools. Each failing write
// is charged like one that succeeds. The entry must not write at each look, five times a second,
// and not at all while its lease cannot be renewed either.
func TestAnEntryThatIsTurnedAwayTriesSeldomToOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := poolDaemon()
		d.metrics = newMetrics(d)
		store := &refusingStore{}
		d.Store = store
		d.started = time.Now().Add(-time.Minute)
		d.sharing.first.Store(true)
		d.members.known, d.members.id = true, 1
		look := func(looks int) int {
			before := store.writes
			for range looks {
				assert.Assert(t, !d.ensureOwnership(t.Context()))
				time.Sleep(reconcileInterval)
			}
			return store.writes - before
		}
		const looks = 50
		most := int(looks*(reconcileInterval+acquireJitter)/acquireRetryDelay) + 1
		writes := look(looks)
		assert.Assert(t, 0 < writes && writes <= most, "%d writes", writes)
		_, _ = d.members.kept(pkstore.ErrRefused)
		assert.Equal(t, look(looks), 0)
		_, _ = d.members.kept(nil)
		assert.Equal(t, look(1), 1)
	})
}

func TestARenewalIsDueSoonerWhereOthersDependOnIt(t *testing.T) {
	now := time.Now()
	d, _ := poolDaemon()
	d.settings.Entry = "one"
	d.members.id = 1
	assert.Equal(t, d.leasePause(now, nil), leaseEvery)
	d.led(now)
	assert.Equal(t, d.leasePause(now, nil), leaseEveryLed)
	assert.Assert(t, 2*leaseEveryLed < leaseTTL, "one renewal may be lost")
	d.members.owner = d.settings.Entry
	assert.Equal(t, d.leasePause(now, nil), leaseEvery, "the owner")
	d.members.owner = "another"
	d.sharing.first.Store(true)
	assert.Equal(t, d.leasePause(now, nil), leaseEvery, "one that tells others")
	d.members.id = 0
	assert.Equal(t, d.leasePause(now, errors.New("away")), leaseEveryLost)
	assert.Equal(t, d.leasePause(now, pkstore.ErrNoLease), leaseEvery, "the store answers")
	d.members.id = 1
	assert.Equal(t, d.leasePause(now, errors.New("no answer")), time.Duration(0), "over a new connection")
	assert.Equal(t, d.leasePause(now, pkstore.ErrRefused), leaseEvery)
	d.members.failures = 1
	assert.Equal(t, d.leasePause(now, errors.New("no answer")), leaseEvery)
}
