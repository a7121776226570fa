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

// crashN records the end of n different replicas under a request at once.
func (t *Table) crashN(now time.Time, d Digest, n int) {
	for i := range n {
		t.Crashed(now, d, startN(i))
	}
}

// A request must be quarantined at the third crash and not before. A repeated report of one replica
// counts once; a later start of it counts as another replica.
func TestThreeCrashesQuarantineRequest(t *testing.T) {
	var table Table
	assert.DeepEqual(t, table.Crashed(epoch, 7, StartOf("a", 1)), Finding{Crashes: 1, News: true})
	assert.DeepEqual(t, table.Crashed(epoch, 7, StartOf("a", 1)), Finding{Crashes: 1})
	assert.DeepEqual(t, table.Crashed(epoch, 7, StartOf("b", 1)), Finding{Crashes: 2, News: true})
	assert.Equal(t, table.Left(epoch, 7), time.Duration(0))
	assert.DeepEqual(t, table.Crashed(epoch, 7, StartOf("a", 2)), Finding{Crashes: 3, News: true, Held: true})
	assert.Equal(t, table.Left(epoch, 7), HoldFor)
	assert.Equal(t, table.Left(epoch, 8), time.Duration(0))
}

// After its quarantine a request may run again. One more crash must quarantine it at once, and a
// successful run must clear its case.
func TestRequestRunsAgainAfterQuarantine(t *testing.T) {
	var table Table
	table.crashN(epoch, 7, Limit)
	free := epoch.Add(HoldFor)
	assert.Equal(t, table.Left(free.Add(-1), 7), time.Duration(1))
	assert.Equal(t, table.Left(free, 7), time.Duration(0))
	found := table.Crashed(free, 7, startN(99))
	assert.Assert(t, found.Held)
	assert.Equal(t, table.Left(free, 7), HoldFor)

	assert.Assert(t, table.Ran(free.Add(HoldFor), 7))
	assert.Assert(t, !table.Ran(free.Add(HoldFor), 7))
	table.Crashed(free.Add(HoldFor), 7, startN(100))
	assert.Equal(t, table.Left(free.Add(HoldFor), 7), time.Duration(0), "earlier crashes are cleared")
}

// A request is quarantined at the entry that sees the crashes, and runs successfully through
// another. Guards against entries that keep it quarantined, depending on the order in which they
// learn of both.
func TestSuccessfulRunClearsCaseAtAllEntries(t *testing.T) {
	var first, second, third Table
	first.crashN(epoch, 7, Limit)
	early := first.News(epoch)
	assert.DeepEqual(t, second.Learn(epoch, early), []Digest{7})
	assert.Assert(t, second.Ran(epoch.Add(time.Second), 7))
	cleared := second.News(epoch.Add(time.Second))

	assert.Equal(t, len(first.Learn(epoch.Add(time.Second), cleared)), 0)
	assert.Equal(t, first.Left(epoch.Add(time.Second), 7), time.Duration(0))
	third.Learn(epoch.Add(time.Second), cleared)
	assert.Equal(t, len(third.Learn(epoch.Add(time.Second), early)), 0, "crashes received late are already cleared")
	assert.Equal(t, third.Sum(epoch), third.Sum(epoch.Add(time.Hour)))
}

// Entries record crashes and successful runs and receive each other's cases in any order,
// repeatedly or late. After a full exchange they must have quarantined the same requests.
func TestEntriesConvergeInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		entries := make([]*Table, 4)
		for i := range entries {
			entries[i] = &Table{}
		}
		var sent [][]Case
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
				if len(sent) > 0 {
					e.Learn(now, sent[r.IntN(len(sent))])
				}
			default:
				sent = append(sent, e.News(now))
			}
		}
		for range len(entries) {
			for _, from := range entries {
				all := from.allCases(now)
				for _, to := range entries {
					to.Learn(now, all)
				}
			}
		}
		for _, e := range entries {
			assert.DeepEqual(t, e.crashCounts(now), entries[0].crashCounts(now))
			assert.Equal(t, e.Sum(now), entries[0].Sum(now), "seed %d", seed)
		}
	}
}

func (t *Table) allCases(now time.Time) []Case {
	var out []Case
	for d, r := range t.cases {
		out = append(out, r.toCase(now, d))
	}
	return out
}

func (t *Table) crashCounts(time.Time) map[Digest]int {
	out := map[Digest]int{}
	for d, r := range t.cases {
		out[d], _ = r.countCrashes()
	}
	return out
}

// The loss of a data centre makes suspects of thousands of requests. Guards against unbounded
// tables and messages, and against evicting a quarantined request or one with two crashes.
func TestManySuspectsDoNotEvictPoisonRequest(t *testing.T) {
	var table Table
	table.crashN(epoch, 7, Limit)
	table.crashN(epoch, 8, Limit-1)
	now := epoch
	for i := range 10 * maxCases {
		now = now.Add(time.Microsecond)
		table.Crashed(now, Digest(1000+i), startN(i))
	}
	quarantined, known := table.Sizes(now)
	assert.Equal(t, quarantined, 1)
	assert.Equal(t, known, maxCases)
	news := table.News(now)
	assert.Equal(t, len(news), maxChanges)
	assert.Equal(t, news[0].Digest, Digest(7))
	assert.Equal(t, news[1].Digest, Digest(8))
	table.Crashed(now, 8, startN(99))
	assert.Equal(t, table.Left(now, 8), HoldFor)
}

// More cases change at two entries than fit in one message. Guards against a send order that
// starves some cases, so that no entry counts all crashes of a poison request.
func TestEveryChangedCaseIsSent(t *testing.T) {
	var one, two Table
	for i := range 30 {
		one.crashN(epoch, Digest(1000+i), Limit-1)
		two.Crashed(epoch, Digest(2000+i), startN(7))
	}
	one.crashN(epoch, 5000, Limit-1)
	two.Crashed(epoch, 5000, startN(7))
	for range 61/maxChanges + 1 {
		one.Learn(epoch, two.News(epoch))
		two.Learn(epoch, one.News(epoch))
	}
	assert.Assert(t, one.Left(epoch, 5000) > 0)
	assert.Assert(t, two.Left(epoch, 5000) > 0)
	for range 62 * gossipCount {
		one.News(epoch)
	}
	assert.Equal(t, len(one.News(epoch)), 0, "a case is not sent again after gossipCount messages")
}

// More requests are quarantined than a table keeps. Entries that learned of them in different order
// must drop the same ones.
func TestExcessQuarantinedRequestsAreDroppedConsistently(t *testing.T) {
	const many = maxQuarantined + 40
	var up, down Table
	for i := range many {
		up.crashN(epoch, Digest(1+i), Limit)
		down.crashN(epoch, Digest(many-i), Limit)
	}
	quarantined, _ := up.Sizes(epoch)
	assert.Equal(t, quarantined, maxQuarantined)
	assert.Equal(t, up.Sum(epoch), down.Sum(epoch))
}

// Cases from peers or the store may be malformed: zero starts, times in the future or long past,
// oversized lists. They must not quarantine a request forever or exceed the size of a case.
func TestMalformedCasesAreBounded(t *testing.T) {
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
		{Digest: 3, Crashes: []Crash{{Start: 1, AgoMS: 1 << 62}, {Start: 2, AgoMS: retention.Milliseconds()}}},
		{Digest: 4, Crashes: long},
	} {
		table.Learn(epoch, []Case{c})
	}
	assert.Equal(t, len(table.cases), 1)
	assert.Equal(t, len(table.cases[4].crashes), maxCrashes)
	assert.Equal(t, table.Left(epoch, 4), HoldFor)
	table.Crashed(epoch.Add(retention), 5, startN(1))
	assert.Equal(t, table.Left(epoch.Add(retention), 4), time.Duration(0))
}

// A case read from the store must be aged by the time since it was written; a clock that is ahead
// must not make it younger.
func TestStoredCaseIsAged(t *testing.T) {
	var table, fresh Table
	table.crashN(epoch, 7, Limit)
	saved := table.Held(epoch)[0]
	fresh.Learn(epoch, []Case{saved.Older(time.Minute)})
	assert.Equal(t, fresh.Left(epoch, 7), HoldFor-time.Minute)
	assert.DeepEqual(t, saved.Older(-time.Minute), saved)
	assert.Equal(t, len((&Table{}).Learn(epoch, []Case{saved.Older(HoldFor)})), 0, "its quarantine has ended")
}

// Measures one more crash in a full table, as after the loss of a data centre.
func BenchmarkCrashedWithFullTable(b *testing.B) {
	var table Table
	for i := range maxCases {
		table.Crashed(epoch, Digest(1+i), startN(i))
	}
	b.ResetTimer()
	for i := range b.N {
		table.Crashed(epoch, Digest(1+maxCases+i), startN(i))
	}
}

func BenchmarkNewsOfFullTable(b *testing.B) {
	var table Table
	for i := range maxCases {
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

// Cases from peers or the store may be malformed.
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
		quarantined, known := table.Sizes(epoch)
		assert.Assert(t, quarantined <= known && known <= 1)
		for _, sent := range append(table.News(epoch), table.Held(epoch)...) {
			assert.Assert(t, len(sent.Crashes) <= maxCrashes)
		}
		assert.Equal(t, table.Left(epoch.Add(retention), c.Digest), time.Duration(0))
	})
}
