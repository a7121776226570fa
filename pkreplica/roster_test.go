package pkreplica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotknot.example/pkid"
	"peridotknot.example/pkstore"
)

var start = time.Unix(1000, 0)

func record(rev pkstore.Revision, id pkid.TargetID) Record {
	return Record{Revision: rev, Info: Info{ID: id, Service: "s", Addr: string(id), Slots: 4}}
}

func deletedRecord(rev pkstore.Revision, id pkid.TargetID) Record {
	return Record{Revision: rev, Info: Info{ID: id}, Deleted: true}
}

func liveCount(r *Roster, now time.Time) int { return len(r.Live(now, "s")) }

// The store drops the records of live replicas during an outage, and they write them again within
// two seconds. Guards against emptying the pool meanwhile; a record that stays missing must count
// as deleted.
func TestRecordsDeletedByStoreOutageGetGracePeriod(t *testing.T) {
	var r Roster
	r.Apply(start, []Record{record(1, "a"), record(2, "b")}, 2)
	r.MarkStoreUnavailable(start)
	back := start.Add(10 * time.Second)
	r.MarkStoreAvailable(back, noPeerFollowed)
	r.Replace(back, nil, 9)
	assert.Equal(t, liveCount(&r, back), 2)
	a, _ := r.Target("a")
	b, _ := r.Target("b")
	assert.Equal(t, r.LeavingFor(back.Add(time.Second), a), time.Duration(0))
	r.Apply(back.Add(time.Second), []Record{record(10, "a")}, 10)
	later := back.Add(deletionGrace + time.Second)
	assert.Equal(t, liveCount(&r, later), 1)
	assert.Equal(t, r.LeavingFor(later, a), time.Duration(0), "its record was written again")
	assert.Equal(t, r.LeavingFor(later, b), time.Second)
}

func TestRecordDeletedWhileStoreIsAvailableCountsAtOnce(t *testing.T) {
	var r Roster
	r.Apply(start, []Record{record(1, "a")}, 1)
	r.Apply(start, []Record{deletedRecord(2, "a")}, 2)
	assert.Equal(t, liveCount(&r, start), 0)
	a, _ := r.Target("a")
	assert.Equal(t, r.LeavingFor(start.Add(time.Second), a), time.Second)
}

func TestLeavingTargetKeepsState(t *testing.T) {
	var r Roster
	r.Apply(start, []Record{record(1, "a")}, 1)
	before, _ := r.Target("a")
	before.Begin(start, 10, 0, time.Second)
	leaving := record(2, "a")
	leaving.Info.Leaving = true
	r.Apply(start, []Record{leaving}, 2)
	after, _ := r.Target("a")
	assert.Equal(t, after.OwnLoad().Requests, 1)
	before.Done(10)
	assert.Equal(t, after.OwnLoad().Requests, 0)
	assert.Equal(t, liveCount(&r, start), 0)
	assert.Equal(t, r.LeavingFor(start.Add(time.Second), after), time.Second)
}

// Records arrive by the watch, by lists and from peers, in any order and repeatedly. The roster
// must reflect the newest record of each replica.
func TestNewestRecordApplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []Record
		ids := []pkid.TargetID{"a", "b", "c"}
		for rev := range rapid.IntRange(1, 30).Draw(t, "writes") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			rec := record(pkstore.Revision(rev+1), id)
			if rapid.Bool().Draw(t, "deleted") {
				rec = deletedRecord(rec.Revision, id)
			}
			history = append(history, rec)
		}
		var r Roster
		for _, i := range rapid.Permutation(indexes(len(history))).Draw(t, "order") {
			r.Apply(start, []Record{history[i]}, 0)
			r.Apply(start, []Record{history[i]}, 0)
		}
		newest := map[pkid.TargetID]Record{}
		for _, rec := range history {
			newest[rec.Info.ID] = rec
		}
		want := 0
		for _, rec := range newest {
			if !rec.Deleted {
				want++
			}
		}
		if got := liveCount(&r, start.Add(time.Hour)); got != want {
			t.Fatalf("live targets: got %d, want %d", got, want)
		}
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

func TestChooseTakesTheShortestWait(t *testing.T) {
	var r Roster
	r.Apply(start, []Record{record(1, "a"), record(2, "b"), record(3, "c")}, 3)
	a, _ := r.Target("a")
	b, _ := r.Target("b")
	c, _ := r.Target("c")
	a.RecordSuccess(start, 50*time.Millisecond)
	b.RecordSuccess(start, 10*time.Millisecond)
	c.RecordSuccess(start, 10*time.Millisecond)
	c.Begin(start, 0, 0, 0)
	all := func(*Target) bool { return true }
	got, found := r.Choose(start, "s", all)
	assert.Assert(t, found)
	assert.Equal(t, got.ID, pkid.TargetID("b"))
	b.RecordFailure(start)
	got, _ = r.Choose(start, "s", all)
	assert.Equal(t, got.ID, pkid.TargetID("c"))
	got, _ = r.Choose(start, "s", func(t *Target) bool { return t.ID == "b" })
	assert.Equal(t, got.ID, pkid.TargetID("b"), "a failed target is better than none")
}

// Guards against a dead target that is used again because a call that was sent before has ended well.
func TestEarlierSuccessDoesNotEndAnAvoidance(t *testing.T) {
	var r Roster
	r.Apply(start, []Record{record(1, "a")}, 1)
	a, _ := r.Target("a")
	found := start.Add(time.Second)
	a.MarkDead(found, found.Add(time.Minute))
	a.RecordSuccess(start, time.Second)
	assert.Assert(t, a.Avoided(found))
	a.RecordSuccess(found.Add(time.Millisecond), time.Millisecond)
	assert.Assert(t, !a.Avoided(found.Add(2*time.Millisecond)))
	a.RecordFailure(found)
	a.RecordSuccess(start, time.Second)
	assert.Assert(t, !a.Avoided(found), "a failure may be of one request only")
}

// A peer reports that the store returned, then a replica's record is deleted. Guards against
// granting the grace period at an entry that never lost the store, which would keep sending
// requests to the removed replica.
func TestPeerOutageGrantsGracePeriodOnlyIfStoreWasLost(t *testing.T) {
	for _, unavailable := range []bool{false, true} {
		var r Roster
		r.Apply(start, []Record{{Revision: 1, Info: Info{ID: "i", Service: "s"}}}, 1)
		if unavailable {
			r.MarkStoreUnavailable(start)
		}
		back := start.Add(time.Minute)
		r.MarkPeerStoreAvailable(back)
		now := back.Add(100 * time.Millisecond)
		r.ApplyDelta(now, []Record{{Revision: 2, Info: Info{ID: "i"}, Deleted: true}}, 1, 2)
		assert.Equal(t, len(r.Live(now, "s")) == 1, unavailable)
		assert.Equal(t, len(r.Live(now.Add(deletionGrace), "s")), 0)
		assert.Equal(t, r.At(), pkstore.Revision(2))
	}
}

// noPeerFollowed reports that no peer followed the list during the outage.
func noPeerFollowed(time.Time) bool { return false }

// Only this entry loses the store while the others follow it, and a replica's record is deleted
// meanwhile. Guards against granting it the grace period of an outage.
func TestOutageOfOneEntryGrantsNoGracePeriod(t *testing.T) {
	for _, alone := range []bool{false, true} {
		var r Roster
		r.Apply(start, []Record{record(1, "a"), record(2, "b")}, 2)
		lost, back := start.Add(time.Second), start.Add(4*time.Second)
		r.MarkStoreUnavailable(lost)
		r.MarkStoreUnavailable(lost.Add(time.Second)) // noticed again by another goroutine
		r.MarkStoreAvailable(back, func(since time.Time) bool { return alone && since.Equal(lost) })
		r.Replace(back.Add(10*time.Millisecond), []Record{record(2, "b")}, 9)
		now := back.Add(20 * time.Millisecond)
		assert.Equal(t, liveCount(&r, now) == 1, alone)
		assert.Equal(t, liveCount(&r, now.Add(deletionGrace)), 1)
		assert.Equal(t, r.StoreRecoveredAt().IsZero(), alone, "only an outage of the store itself is reported to peers")
	}
}
