package pkquarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
)

var epoch = time.Unix(1_000_000, 0)

func startN(n int) Start { return StartOf(pkid.TargetID(fmt.Sprintf("i-%d", n)), 0) }

// crash has n different replicas end under a request, at once.
func (t *Table) crash(now time.Time, d Digest, n int) {
	for i := range n {
		t.Crashed(now, d, startN(i))
	}
}

// A request ends three replicas. It must be held from the third on and not before, one replica
// that is told of twice counts once, and a later start of it is another.
func TestARequestIsHeldOnceThreeReplicasHaveEnded(t *testing.T) {
	var table Table
	assert.DeepEqual(t, table.Crashed(epoch, 7, StartOf("a", 1)), Finding{Crashes: 1, News: true})
	assert.DeepEqual(t, table.Crashed(epoch, 7, StartOf("a", 1)), Finding{Crashes: 1})
	assert.DeepEqual(t, table.Crashed(epoch, 7, StartOf("b", 1)), Finding{Crashes: 2, News: true})
	assert.Equal(t, table.Left(epoch, 7), time.Duration(0))
	assert.DeepEqual(t, table.Crashed(epoch, 7, StartOf("a", 2)), Finding{Crashes: 3, News: true, Held: true})
	assert.Equal(t, table.Left(epoch, 7), HoldFor)
	assert.Equal(t, table.Left(epoch, 8), time.Duration(0))
}

// A held request is tried again after its time. If its engines bear it by now it is free; if one
// ends again, it is held again by that one crash, or a request that is sent for ever would end
// three replicas each time.
func TestAHeldRequestIsTriedAgainAfterItsTime(t *testing.T) {
	var table Table
	table.crash(epoch, 7, Limit)
	free := epoch.Add(HoldFor)
	assert.Equal(t, table.Left(free.Add(-1), 7), time.Duration(1))
	assert.Equal(t, table.Left(free, 7), time.Duration(0))
	found := table.Crashed(free, 7, startN(99))
	assert.Assert(t, found.Held)
	assert.Equal(t, table.Left(free, 7), HoldFor)

	assert.Assert(t, table.Ran(free.Add(HoldFor), 7))
	assert.Assert(t, !table.Ran(free.Add(HoldFor), 7))
	table.Crashed(free.Add(HoldFor), 7, startN(100))
	assert.Equal(t, table.Left(free.Add(HoldFor), 7), time.Duration(0), "what counted before is cleared")
}

// A prompt that many callers of an account send runs on three engines of a rack which loses
// power, and on others that go on. It is held at the entry that sees the crashes; as soon as one
// of its other runs has gone on for a second, it must be free at all entries, in whatever order
// they hear of both.
func TestARequestThatRunsWellIsFreeEverywhere(t *testing.T) {
	var sees, runs, third Table
	sees.crash(epoch, 7, Limit)
	early := sees.News(epoch)
	assert.DeepEqual(t, runs.Learn(epoch, early), []Digest{7})
	assert.Assert(t, runs.Ran(epoch.Add(time.Second), 7))
	cleared := runs.News(epoch.Add(time.Second))

	assert.Equal(t, len(sees.Learn(epoch.Add(time.Second), cleared)), 0)
	assert.Equal(t, sees.Left(epoch.Add(time.Second), 7), time.Duration(0))
	third.Learn(epoch.Add(time.Second), cleared)
	assert.Equal(t, len(third.Learn(epoch.Add(time.Second), early)), 0, "late word")
	assert.Equal(t, third.Sum(epoch), third.Sum(epoch.Add(time.Hour)))
}

// Entries see crashes of some requests and runs of others, and hear of one another in any order,
// twice or late. Once all have heard all, they must hold the same requests.
func TestEntriesAgreeInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		entries := make([]*Table, 4)
		for i := range entries {
			entries[i] = &Table{}
		}
		var said [][]Case
		now := epoch
		for range 60 {
			now = now.Add(time.Duration(r.IntN(int(time.Second))))
			e := entries[r.IntN(len(entries))]
			d := Digest(1 + r.IntN(3))
			switch r.IntN(8) {
			case 0:
				e.Ran(now, d)
			case 1, 2, 3:
				e.Crashed(now, d, startN(r.IntN(6)))
			case 4:
				if len(said) > 0 {
					e.Learn(now, said[r.IntN(len(said))])
				}
			default:
				said = append(said, e.News(now))
			}
		}
		for range len(entries) {
			for _, from := range entries {
				all := from.all(now)
				for _, to := range entries {
					to.Learn(now, all)
				}
			}
		}
		for _, e := range entries {
			assert.DeepEqual(t, e.counts(now), entries[0].counts(now))
			assert.Equal(t, e.Sum(now), entries[0].Sum(now), "seed %d", seed)
		}
	}
}

// all returns every case that the table knows.
func (t *Table) all(now time.Time) []Case {
	var out []Case
	for d, r := range t.cases {
		out = append(out, r.tell(now, d))
	}
	return out
}

func (t *Table) counts(time.Time) map[Digest]int {
	out := map[Digest]int{}
	for d, r := range t.cases {
		out[d], _ = r.counted()
	}
	return out
}

// A data centre is lost and thousands of requests have each seen one replica end, while one
// request goes on ending replicas. The table and each message must stay small, and the one that
// is held, and one that has met two crashes, must not be pushed out.
func TestManySuspectsDontPushOutTheOneThatMatters(t *testing.T) {
	var table Table
	table.crash(epoch, 7, Limit)
	table.crash(epoch, 8, Limit-1)
	now := epoch
	for i := range 10 * mostCases {
		now = now.Add(time.Microsecond)
		table.Crashed(now, Digest(1000+i), startN(i))
	}
	held, known := table.Sizes(now)
	assert.Equal(t, held, 1)
	assert.Equal(t, known, mostCases)
	news := table.News(now)
	assert.Equal(t, len(news), mostNews)
	assert.Equal(t, news[0].Digest, Digest(7))
	assert.Equal(t, news[1].Digest, Digest(8))
	table.Crashed(now, 8, startN(99))
	assert.Equal(t, table.Left(now, 8), HoldFor)
}

// Thirty callers stand beside a request that ends replicas, at each of two entries, and meet the
// same crashes. A message has room for eight cases. Told in an order that never changes, the word
// of the one request never went out, no entry knew of all three crashes, and it ended three more.
func TestEachCaseHasItsTurnToBeTold(t *testing.T) {
	var one, two Table
	for i := range 30 {
		one.crash(epoch, Digest(1000+i), Limit-1)
		two.Crashed(epoch, Digest(2000+i), startN(7))
	}
	one.crash(epoch, 5000, Limit-1)
	two.Crashed(epoch, 5000, startN(7))
	for range 61/mostNews + 1 {
		one.Learn(epoch, two.News(epoch))
		two.Learn(epoch, one.News(epoch))
	}
	assert.Assert(t, one.Left(epoch, 5000) > 0)
	assert.Assert(t, two.Left(epoch, 5000) > 0)
	for range 62 * tellTimes {
		one.News(epoch)
	}
	assert.Equal(t, len(one.News(epoch)), 0, "what was told often is no news")
}

// More requests are held than a table keeps. Entries that heard of them in another order must
// drop the same ones, or they tell them to one another for ever.
func TestTooManyHeldRequestsAreDroppedAlike(t *testing.T) {
	const many = mostHeld + 40
	var up, down Table
	for i := range many {
		up.crash(epoch, Digest(1+i), Limit)
		down.crash(epoch, Digest(many-i), Limit)
	}
	held, _ := up.Sizes(epoch)
	assert.Equal(t, held, mostHeld)
	assert.Equal(t, up.Sum(epoch), down.Sum(epoch))
}

// What another entry, or the store, says may be of another build or spoiled: starts that are
// none, times in the future or long ago, endless lists. It must not hold a request for ever or
// take more memory than a case may.
func TestSpoiledWordIsBounded(t *testing.T) {
	var table Table
	long := make([]Crash, 10_000)
	for i := range long {
		long[i] = Crash{Start: Start(1 + i), AgoMS: -1 << 62}
	}
	for _, c := range []Case{
		{},
		{Digest: 0, Crashes: long},
		{Digest: 1},
		{Digest: 2, Crashes: []Crash{{}, {}, {}}},
		{Digest: 3, Crashes: []Crash{{Start: 1, AgoMS: 1 << 62}, {Start: 2, AgoMS: keepFor.Milliseconds()}}},
		{Digest: 4, Crashes: long},
	} {
		table.Learn(epoch, []Case{c})
	}
	assert.Equal(t, len(table.cases), 1)
	assert.Equal(t, len(table.cases[4].crashes), mostCrashes)
	assert.Equal(t, table.Left(epoch, 4), HoldFor)
	table.Crashed(epoch.Add(keepFor), 5, startN(1))
	assert.Equal(t, table.Left(epoch.Add(keepFor), 4), time.Duration(0))
}

// What the store keeps was written a while ago by a clock that may be ahead.
func TestASavedCaseIsAsOldAsItIs(t *testing.T) {
	var table, fresh Table
	table.crash(epoch, 7, Limit)
	saved := table.Held(epoch)[0]
	fresh.Learn(epoch, []Case{saved.Older(time.Minute)})
	assert.Equal(t, fresh.Left(epoch, 7), HoldFor-time.Minute)
	assert.DeepEqual(t, saved.Older(-time.Minute), saved)
	assert.Equal(t, len((&Table{}).Learn(epoch, []Case{saved.Older(HoldFor)})), 0, "its time is over")
}

// Ten thousand suspects, as after the loss of a data centre: what one more costs an entry, and
// what a message does.
func BenchmarkCrashedInAFullTable(b *testing.B) {
	var table Table
	for i := range mostCases {
		table.Crashed(epoch, Digest(1+i), startN(i))
	}
	b.ResetTimer()
	for i := range b.N {
		table.Crashed(epoch, Digest(1+mostCases+i), startN(i))
	}
}

func BenchmarkNewsOfAFullTable(b *testing.B) {
	var table Table
	for i := range mostCases {
		table.Crashed(epoch, Digest(1+i), startN(i))
	}
	for b.Loop() {
		table.News(epoch)
		table.Sum(epoch)
	}
}

func BenchmarkDigest(b *testing.B) {
	one := Identity{Account: "account", Method: "POST", Host: "host.example", URI: "/path/1", Body: make([]byte, 800)}
	for b.Loop() {
		one.Digest()
	}
}

// Words of another build, or spoiled ones, reach the table through messages and the store.
func FuzzLearn(f *testing.F) {
	f.Add(uint64(7), uint64(1), int64(0), false, uint8(3))
	f.Add(uint64(0), uint64(0), int64(-1), true, uint8(200))
	f.Add(uint64(9), uint64(1<<63), int64(1<<62), false, uint8(9))
	f.Fuzz(func(t *testing.T, digest, start uint64, agoMS int64, cleared bool, n uint8) {
		var table Table
		c := Case{Digest: Digest(digest)}
		for i := range uint64(n) {
			c.Crashes = append(c.Crashes, Crash{Start: Start(start + i), AgoMS: agoMS, Cleared: cleared && i%2 == 0})
		}
		table.Learn(epoch, []Case{c, c.Older(time.Duration(agoMS))})
		left := table.Left(epoch, c.Digest)
		assert.Assert(t, left >= 0 && left <= HoldFor, "%v", left)
		held, known := table.Sizes(epoch)
		assert.Assert(t, held <= known && known <= 1)
		for _, one := range append(table.News(epoch), table.Held(epoch)...) {
			assert.Assert(t, len(one.Crashes) <= mostCrashes)
		}
		assert.Equal(t, table.Left(epoch.Add(keepFor), c.Digest), time.Duration(0))
	})
}
