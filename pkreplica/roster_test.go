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

func gone(rev pkstore.Revision, id pkid.TargetID) Record {
	return Record{Revision: rev, Info: Info{ID: id}, Deleted: true}
}

func live(r *Roster, now time.Time) int { return len(r.Live(now, "s")) }

// The store was away and dropped the entries of live replicas, which write them
// again within two seconds. To believe the list at once would empty the pool, and
// streams would be moved off replicas that serve them well: of 128 requests in two
// seconds 98 were lost so. One that stays missing must count as gone.
func TestEntriesThatLapsedWithTheStoreStay(t *testing.T) {
	var r Roster
	r.Apply(start, []Record{record(1, "a"), record(2, "b")}, 2)
	r.StoreAway(start)
	back := start.Add(10 * time.Second)
	r.StoreBack(back, nobody)
	r.Replace(back, nil, 9)
	assert.Equal(t, live(&r, back), 2)
	a, _ := r.Target("a")
	b, _ := r.Target("b")
	assert.Equal(t, r.LeavingFor(back.Add(time.Second), a), time.Duration(0))
	r.Apply(back.Add(time.Second), []Record{record(10, "a")}, 10)
	later := back.Add(lapseGrace + time.Second)
	assert.Equal(t, live(&r, later), 1)
	assert.Equal(t, r.LeavingFor(later, a), time.Duration(0), "its entry is back")
	assert.Equal(t, r.LeavingFor(later, b), time.Second)
}

func TestAnEntryThatGoesWhileTheStoreServesIsGoneAtOnce(t *testing.T) {
	var r Roster
	r.Apply(start, []Record{record(1, "a")}, 1)
	r.Apply(start, []Record{gone(2, "a")}, 2)
	assert.Equal(t, live(&r, start), 0)
	a, _ := r.Target("a")
	assert.Equal(t, r.LeavingFor(start.Add(time.Second), a), time.Second)
}

func TestALeavingTargetKeepsWhatWasSeen(t *testing.T) {
	var r Roster
	r.Apply(start, []Record{record(1, "a")}, 1)
	before, _ := r.Target("a")
	before.Begin(start, 10, 0, time.Second)
	leaving := record(2, "a")
	leaving.Info.Leaving = true
	r.Apply(start, []Record{leaving}, 2)
	after, _ := r.Target("a")
	assert.Equal(t, after.Own().Requests, 1)
	before.Done(10)
	assert.Equal(t, after.Own().Requests, 0)
	assert.Equal(t, live(&r, start), 0)
	assert.Equal(t, r.LeavingFor(start.Add(time.Second), after), time.Second)
}

// Records come by the watch, by lists and by peers, in any order and repeated. What
// the roster shows must be what the newest of each says.
func TestTheNewestRecordCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []Record
		ids := []pkid.TargetID{"a", "b", "c"}
		for rev := range rapid.IntRange(1, 30).Draw(t, "writes") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			one := record(pkstore.Revision(rev+1), id)
			if rapid.Bool().Draw(t, "deleted") {
				one = gone(one.Revision, id)
			}
			history = append(history, one)
		}
		var r Roster
		for _, i := range rapid.Permutation(indexes(len(history))).Draw(t, "order") {
			r.Apply(start, []Record{history[i]}, 0)
			r.Apply(start, []Record{history[i]}, 0)
		}
		newest := map[pkid.TargetID]Record{}
		for _, one := range history {
			newest[one.Info.ID] = one
		}
		want := 0
		for _, one := range newest {
			if !one.Deleted {
				want++
			}
		}
		if got := live(&r, start.Add(time.Hour)); got != want {
			t.Fatalf("%d live, %d expected", got, want)
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
	a.Succeeded(50 * time.Millisecond)
	b.Succeeded(10 * time.Millisecond)
	c.Succeeded(10 * time.Millisecond)
	c.Begin(start, 0, 0, 0)
	got, found := r.Choose(start, "s", nil)
	assert.Assert(t, found)
	assert.Equal(t, got.ID, pkid.TargetID("b"))
	b.Failed(start)
	got, _ = r.Choose(start, "s", nil)
	assert.Equal(t, got.ID, pkid.TargetID("c"))
	got, _ = r.Choose(start, "s", []pkid.TargetID{"a", "c"})
	assert.Equal(t, got.ID, pkid.TargetID("b"), "a failed target is better than none")
}

// The store turns one entry away and takes it back; then a replica's entry is removed. The
// others never lost the store: told of that return, they must not wait for the replica to
// come back, since it gets requests meanwhile. An entry that lost the store too must.
func TestOnlyEntriesThatLostTheStoreWaitForLapsedOnes(t *testing.T) {
	for _, away := range []bool{false, true} {
		var r Roster
		r.Apply(start, []Record{{Revision: 1, Info: Info{ID: "i", Service: "s"}}}, 1)
		if away {
			r.StoreAway(start)
		}
		back := start.Add(time.Minute)
		r.StoreReturned(back)
		now := back.Add(100 * time.Millisecond)
		r.Learn(now, []Record{{Revision: 2, Info: Info{ID: "i"}, Deleted: true}}, 1, 2)
		assert.Equal(t, len(r.Live(now, "s")) == 1, away)
		assert.Equal(t, len(r.Live(now.Add(lapseGrace), "s")), 0)
		assert.Equal(t, r.At(), pkstore.Revision(2))
	}
}

// nobody followed the list while the store was away.
func nobody(time.Time) bool { return false }

// The store turns one entry away for some seconds and serves the others. Meanwhile a replica's entry
// is removed, as that of one that leaves without saying so. The entry's next list lacks it; waited
// for as after an outage, the replica gets requests for two seconds more, though it has left for
// longer than a leaving one may be sent anything.
func TestAnEntryThatWasTurnedAwayAloneWaitsForNoReplica(t *testing.T) {
	for _, alone := range []bool{false, true} {
		var r Roster
		r.Apply(start, []Record{record(1, "a"), record(2, "b")}, 2)
		lost, back := start.Add(time.Second), start.Add(4*time.Second)
		r.StoreAway(lost)
		r.StoreAway(lost.Add(time.Second)) // by another of its loops
		r.StoreBack(back, func(since time.Time) bool { return alone && since.Equal(lost) })
		r.Replace(back.Add(10*time.Millisecond), []Record{record(2, "b")}, 9)
		now := back.Add(20 * time.Millisecond)
		assert.Equal(t, live(&r, now) == 1, alone)
		assert.Equal(t, live(&r, now.Add(lapseGrace)), 1)
		assert.Equal(t, r.Returned().IsZero(), alone, "the others are told of an outage alone")
	}
}
