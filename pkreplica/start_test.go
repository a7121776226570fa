package pkreplica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkstore"
)

func bornAt(rev pkstore.Revision, id pkid.TargetID, born pkid.Birth) Record {
	one := record(rev, id)
	one.Info.Born = born
	return one
}

// at returns a record of a replica at an address, with its count of heartbeats.
func at(rev pkstore.Revision, id pkid.TargetID, addr string, beats uint64) Record {
	one := record(rev, id)
	one.Info.Addr, one.Beats = addr, beats
	return one
}

// An engine crashes and starts again under its id. Callers whose streams pass through it wait
// until it is known; new ones are kept away from it by what was seen of the start before: its
// failures, its memory, that it was leaving. All of that ends with the new birth.
func TestANewBirthEndsWhatWasSeen(t *testing.T) {
	var r Roster
	old := bornAt(1, "a", 100)
	old.Info.Leaving = true
	r.Apply(start, []Record{old}, 1)
	before, _ := r.Target("a")
	before.Begin(start, 10, 0, time.Second)
	before.Gone(start.Add(time.Hour))
	assert.Equal(t, live(&r, start), 0)

	r.Apply(start, []Record{bornAt(2, "a", 200)}, 2)
	now, _ := r.Target("a")
	assert.Equal(t, live(&r, start), 1)
	assert.Assert(t, before.IsGone(start.Add(2*time.Hour)), "what passed through the old start is lost")
	assert.Assert(t, !now.IsGone(start) && !now.Avoided(start) && now.Restarted())
	assert.Equal(t, now.Own(), Load{})
	assert.Equal(t, r.LeavingFor(start.Add(time.Second), now), time.Duration(0))
	before.Done(10)
	assert.Equal(t, now.Own(), Load{}, "the end of an old request takes nothing off the new start")
	assert.DeepEqual(t, r.Ended(), []string{"a"})
	assert.Equal(t, len(r.Ended()), 0)
}

// A write of the old process comes through after the new one has registered. Believed, the
// engine would be sent requests for layers that it lost. An entry without a birth counts by
// its revision, as those of replicas that do not say it.
func TestAnOlderBirthNeverOverridesANewerOne(t *testing.T) {
	var r Roster
	r.Apply(start, []Record{bornAt(1, "a", 200)}, 1)
	late := bornAt(5, "a", 100)
	late.Info.Held = pkid.Range{End: 9}
	assert.Equal(t, len(r.Apply(start, []Record{late}, 5)), 0)
	got, _ := r.Target("a")
	assert.Equal(t, got.Born, pkid.Birth(200))
	assert.Equal(t, got.Held, pkid.Range{})

	unsaid := record(6, "a")
	unsaid.Info.Held = pkid.Range{End: 5}
	r.Apply(start, []Record{unsaid}, 6)
	got, _ = r.Target("a")
	assert.Equal(t, got.Held, pkid.Range{End: 5})
	assert.Equal(t, got.Born, pkid.Birth(200), "a known birth is kept")

	r.Apply(start, []Record{gone(7, "a")}, 7)
	assert.Equal(t, live(&r, start), 0)
	r.Apply(start, []Record{bornAt(8, "a", 100)}, 8)
	assert.Equal(t, live(&r, start), 0, "an old write does not bring a replica back")
	r.Apply(start, []Record{bornAt(9, "a", 200)}, 9)
	assert.Equal(t, live(&r, start), 1)
}

// A report tells a birth before the list does: the engine is cut off from the store.
func TestABirthThatTheReplicaTells(t *testing.T) {
	var r Roster
	one := bornAt(1, "a", 100)
	one.Info.Held = pkid.Range{End: 9}
	r.Apply(start, []Record{one}, 1)
	assert.Assert(t, !r.Restarted("a", 100) && !r.Restarted("a", 50) && !r.Restarted("a", 0) && !r.Restarted("b", 300))
	assert.Assert(t, r.Restarted("a", 200))
	got, _ := r.Target("a")
	assert.Equal(t, got.Held, pkid.Range{}, "it holds nothing until its entry says so")
	one.Revision = 2
	r.Apply(start, []Record{one}, 2)
	got, _ = r.Target("a")
	assert.Equal(t, got.Born, pkid.Birth(200))
}

// Engines cut off from the store crash and start again under other ids at their addresses.
// The cut heals: the new ids register, and then the old processes' last writes come through
// and list the old ids again with the layers of before. Paths that name them are refused, and
// those that name an old and a new id pass one engine twice.
func TestALateWriteDoesNotTakeAnAddressBack(t *testing.T) {
	var r Roster
	r.Apply(start, []Record{at(1, "old", "x", 9)}, 1)
	before, _ := r.Target("old")
	r.Apply(start, []Record{gone(2, "old")}, 2)
	r.Apply(start, []Record{at(3, "new", "x", 2)}, 3)
	r.Apply(start, []Record{at(4, "old", "x", 12)}, 4)
	ids := func() (out []pkid.TargetID) {
		for _, one := range r.Live(start, "s") {
			out = append(out, one.ID)
		}
		return out
	}
	assert.DeepEqual(t, ids(), []pkid.TargetID{"new"})
	old, _ := r.Target("old")
	assert.Assert(t, before.IsGone(start) && old.IsGone(start))
	r.Apply(start, []Record{gone(5, "old")}, 5)
	assert.DeepEqual(t, ids(), []pkid.TargetID{"new"})
}

// The same at an entry that starts meanwhile and finds both in its first list: the process
// with fewer heartbeats started later. Where that was wrong, the late write lapses by itself
// and the other counts again.
func TestOfTwoAtAnAddressInAFirstListTheYoungerCounts(t *testing.T) {
	for _, list := range [][]Record{
		{at(3, "new", "x", 2), at(4, "old", "x", 12)},
		{at(4, "old", "x", 12), at(3, "new", "x", 2)},
	} {
		var r Roster
		r.Replace(start, list, 9)
		assert.Equal(t, live(&r, start), 1)
		one, _ := r.Target("new")
		assert.Assert(t, !one.IsGone(start))
		r.Apply(start, []Record{gone(10, "new")}, 10)
		assert.Equal(t, live(&r, start), 1, "the one that is left counts again")
	}
}

func TestOfTwoAtAnAddressTheLaterBirthCounts(t *testing.T) {
	var r Roster
	late, now := at(2, "old", "x", 1), at(1, "new", "x", 900)
	late.Info.Born, now.Info.Born = 100, 200
	r.Apply(start, []Record{now}, 1)
	r.Apply(start, []Record{late}, 2)
	one, _ := r.Target("old")
	assert.Assert(t, one.IsGone(start))
	assert.Equal(t, live(&r, start), 1)
}

// An engine refuses its part of a path: it has lost what its entry names. It is passed over
// until its entry says otherwise; a heartbeat that says the same again does not end that.
func TestAMisplacedTargetWaitsForItsEntry(t *testing.T) {
	var r Roster
	one := record(1, "a")
	one.Info.Held = pkid.Range{End: 9}
	r.Apply(start, []Record{one}, 1)
	target, _ := r.Target("a")
	target.Misplaced(start.Add(time.Hour))
	one.Revision, one.Info.Slots = 2, 9
	r.Apply(start, []Record{one}, 2)
	target, _ = r.Target("a")
	assert.Assert(t, target.Avoided(start))
	one.Revision, one.Info.Held = 3, pkid.Range{First: 3, End: 9}
	r.Apply(start, []Record{one}, 3)
	target, _ = r.Target("a")
	assert.Assert(t, !target.Avoided(start))
}

// Another writer's entry takes the place of a sound one. The store has just returned, when
// entries that are missing are waited for; this one is there, and names no replica.
func TestAnUnusableEntryIsGoneForCertain(t *testing.T) {
	var r Roster
	r.Apply(start, []Record{record(1, "a")}, 1)
	r.StoreAway(start)
	r.StoreBack(start, nobody)
	bad := gone(2, "a")
	bad.Unusable = "state"
	assert.Equal(t, len(r.Apply(start, []Record{bad}, 2)), 1)
	assert.Equal(t, live(&r, start), 0)
	bad.Revision = 3
	assert.Equal(t, len(r.Apply(start, []Record{bad}, 3)), 0, "the same again is no change")
	r.Apply(start, []Record{record(4, "a")}, 4)
	assert.Equal(t, live(&r, start), 1)
}
