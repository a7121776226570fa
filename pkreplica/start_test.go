package pkreplica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkstore"
)

func recordWithStart(rev pkstore.Revision, id pkid.TargetID, born pkid.StartTime) Record {
	rec := record(rev, id)
	rec.Info.Born = born
	return rec
}

// recordAtAddr returns the record of a replica at an address with a heartbeat count.
func recordAtAddr(rev pkstore.Revision, id pkid.TargetID, addr string, beats uint64) Record {
	rec := record(rev, id)
	rec.Info.Addr, rec.Beats = addr, beats
	return rec
}

// An engine restarts under its id. Guards against keeping the failures, memory and leaving state of
// the previous start, which would keep requests away from the new one.
func TestRestartDiscardsState(t *testing.T) {
	var r Roster
	old := recordWithStart(1, "a", 100)
	old.Info.Leaving = true
	r.Apply(start, []Record{old}, 1)
	before, _ := r.Target("a")
	before.Begin(start, 10, 0, time.Second)
	before.MarkGone(start, start.Add(time.Hour))
	assert.Equal(t, liveCount(&r, start), 0)

	r.Apply(start, []Record{recordWithStart(2, "a", 200)}, 2)
	now, _ := r.Target("a")
	assert.Equal(t, liveCount(&r, start), 1)
	assert.Assert(t, before.IsGone(start.Add(2*time.Hour)), "the previous process has ended")
	assert.Assert(t, !now.IsGone(start) && !now.Avoided(start) && now.Restarted())
	assert.Equal(t, now.OwnLoad(), Load{})
	assert.Equal(t, r.LeavingFor(start.Add(time.Second), now), time.Duration(0))
	before.Done(10)
	assert.Equal(t, now.OwnLoad(), Load{}, "ending a request of the previous start does not change the load of the new one")
	assert.DeepEqual(t, r.TakeEndedAddrs(), []string{"a"})
	assert.Equal(t, len(r.TakeEndedAddrs()), 0)
}

// A late write of the old process arrives after the new one has registered. Guards against sending
// requests for layers that the engine no longer holds. A record without a start time is ordered by
// its revision alone.
func TestOlderStartNeverReplacesNewer(t *testing.T) {
	var r Roster
	r.Apply(start, []Record{recordWithStart(1, "a", 200)}, 1)
	late := recordWithStart(5, "a", 100)
	late.Info.Held = pkid.Range{End: 9}
	assert.Equal(t, len(r.Apply(start, []Record{late}, 5)), 0)
	got, _ := r.Target("a")
	assert.Equal(t, got.Born, pkid.StartTime(200))
	assert.Equal(t, got.Held, pkid.Range{})

	withoutStart := record(6, "a")
	withoutStart.Info.Held = pkid.Range{End: 5}
	r.Apply(start, []Record{withoutStart}, 6)
	got, _ = r.Target("a")
	assert.Equal(t, got.Held, pkid.Range{End: 5})
	assert.Equal(t, got.Born, pkid.StartTime(200), "a known start time is kept")

	r.Apply(start, []Record{deletedRecord(7, "a")}, 7)
	assert.Equal(t, liveCount(&r, start), 0)
	r.Apply(start, []Record{recordWithStart(8, "a", 100)}, 8)
	assert.Equal(t, liveCount(&r, start), 0, "a late write does not restore a deleted replica")
	r.Apply(start, []Record{recordWithStart(9, "a", 200)}, 9)
	assert.Equal(t, liveCount(&r, start), 1)
}

// An engine cut off from the store reports a later start time than the list has. Guards against
// using the layers of its previous start until the list shows the restart.
func TestStartReportedByReplica(t *testing.T) {
	var r Roster
	rec := recordWithStart(1, "a", 100)
	rec.Info.Held = pkid.Range{End: 9}
	r.Apply(start, []Record{rec}, 1)
	assert.Assert(t, !r.Restarted("a", 100) && !r.Restarted("a", 50) && !r.Restarted("a", 0) && !r.Restarted("b", 300))
	assert.Assert(t, r.Restarted("a", 200))
	got, _ := r.Target("a")
	assert.Equal(t, got.Held, pkid.Range{}, "it holds no layers until its record lists some")
	rec.Revision = 2
	r.Apply(start, []Record{rec}, 2)
	got, _ = r.Target("a")
	assert.Equal(t, got.Born, pkid.StartTime(200))
}

// Engines cut off from the store restart under other ids at their addresses, and late writes of the
// old processes list the old ids again. Guards against paths that use an old id, or one engine
// under both ids.
func TestLateWriteDoesNotReclaimAddress(t *testing.T) {
	var r Roster
	r.Apply(start, []Record{recordAtAddr(1, "old", "x", 9)}, 1)
	before, _ := r.Target("old")
	r.Apply(start, []Record{deletedRecord(2, "old")}, 2)
	r.Apply(start, []Record{recordAtAddr(3, "new", "x", 2)}, 3)
	r.Apply(start, []Record{recordAtAddr(4, "old", "x", 12)}, 4)
	ids := func() (out []pkid.TargetID) {
		for _, target := range r.Live(start, "s") {
			out = append(out, target.ID)
		}
		return out
	}
	assert.DeepEqual(t, ids(), []pkid.TargetID{"new"})
	old, _ := r.Target("old")
	assert.Assert(t, before.IsGone(start) && old.IsGone(start))
	r.Apply(start, []Record{deletedRecord(5, "old")}, 5)
	assert.DeepEqual(t, ids(), []pkid.TargetID{"new"})
}

// An entry starts with both ids of one address in its first list. The id with fewer heartbeats must
// be used, and the other one again once that is deleted.
func TestFirstListPrefersLaterStartAtAddress(t *testing.T) {
	for _, list := range [][]Record{
		{recordAtAddr(3, "new", "x", 2), recordAtAddr(4, "old", "x", 12)},
		{recordAtAddr(4, "old", "x", 12), recordAtAddr(3, "new", "x", 2)},
	} {
		var r Roster
		r.Replace(start, list, 9)
		assert.Equal(t, liveCount(&r, start), 1)
		target, _ := r.Target("new")
		assert.Assert(t, !target.IsGone(start))
		r.Apply(start, []Record{deletedRecord(10, "new")}, 10)
		assert.Equal(t, liveCount(&r, start), 1, "the remaining one is used again")
	}
}

func TestLaterStartKeepsAddress(t *testing.T) {
	var r Roster
	late, now := recordAtAddr(2, "old", "x", 1), recordAtAddr(1, "new", "x", 900)
	late.Info.Born, now.Info.Born = 100, 200
	r.Apply(start, []Record{now}, 1)
	r.Apply(start, []Record{late}, 2)
	target, _ := r.Target("old")
	assert.Assert(t, target.IsGone(start))
	assert.Equal(t, liveCount(&r, start), 1)
}

// An engine refuses its stage because it does not hold the layers its record lists. It must be
// avoided until the record lists other layers; a record that repeats them must not end the
// avoidance.
func TestStaleLayersAvoidedUntilRecordChanges(t *testing.T) {
	var r Roster
	rec := record(1, "a")
	rec.Info.Held = pkid.Range{End: 9}
	r.Apply(start, []Record{rec}, 1)
	target, _ := r.Target("a")
	target.MarkStaleRecord(start, start.Add(time.Hour))
	rec.Revision, rec.Info.Slots = 2, 9
	r.Apply(start, []Record{rec}, 2)
	target, _ = r.Target("a")
	assert.Assert(t, target.Avoided(start))
	rec.Revision, rec.Info.Held = 3, pkid.Range{First: 3, End: 9}
	r.Apply(start, []Record{rec}, 3)
	target, _ = r.Target("a")
	assert.Assert(t, !target.Avoided(start))
}

// An invalid record replaces a valid one just after the store has returned. The grace period must
// not apply, since the record exists.
func TestInvalidRecordGetsNoGracePeriod(t *testing.T) {
	var r Roster
	r.Apply(start, []Record{record(1, "a")}, 1)
	r.MarkStoreUnavailable(start)
	r.MarkStoreAvailable(start, noPeerFollowed)
	bad := deletedRecord(2, "a")
	bad.Unusable = "state"
	assert.Equal(t, len(r.Apply(start, []Record{bad}, 2)), 1)
	assert.Equal(t, liveCount(&r, start), 0)
	bad.Revision = 3
	assert.Equal(t, len(r.Apply(start, []Record{bad}, 3)), 0, "an equal record is no change")
	r.Apply(start, []Record{record(4, "a")}, 4)
	assert.Equal(t, liveCount(&r, start), 1)
}
