package pkedge

import (
	"errors"
	"testing"
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
	assert.Assert(t, !d.mayAcquire(start.Add(time.Minute+ownerAbsent-1)))
	assert.Assert(t, d.mayAcquire(start.Add(time.Minute+ownerAbsent)))
	d.led(start.Add(2 * time.Minute))
	assert.Assert(t, !d.mayAcquire(start.Add(2*time.Minute)))
	assert.Assert(t, !d.mayAcquire(start.Add(3*time.Minute)), "the wait begins anew")
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
}
