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

// requestOf returns the traits of a request without a prompt.
func requestOf(d Digest) Traits { return Traits{Request: d} }

func startN(n int) StartID { return StartIDOf(pkid.TargetID(fmt.Sprintf("i-%d", n)), 0) }

// crashN records the crashes of n different replicas that ran a request at once.
func (t *Table) crashN(now time.Time, d Digest, n int) {
	for i := range n {
		t.RecordCrash(now, now, requestOf(d), startN(i))
	}
}

// A request must be quarantined at the third crash and not before. A repeated report of one replica
// counts once; a later start of it counts as another replica.
func TestThreeCrashesQuarantineRequest(t *testing.T) {
	var table Table
	assert.DeepEqual(t, table.RecordCrash(epoch, epoch, requestOf(7), StartIDOf("a", 1)), CrashResult{Crashes: 1, New: true})
	assert.DeepEqual(t, table.RecordCrash(epoch, epoch, requestOf(7), StartIDOf("a", 1)), CrashResult{Crashes: 1})
	assert.DeepEqual(t, table.RecordCrash(epoch, epoch, requestOf(7), StartIDOf("b", 1)), CrashResult{Crashes: 2, New: true})
	assert.Equal(t, table.Remaining(epoch, requestOf(7)), time.Duration(0))
	assert.DeepEqual(t, table.RecordCrash(epoch, epoch, requestOf(7), StartIDOf("a", 2)), CrashResult{Crashes: 3, New: true})
	assert.DeepEqual(t, table.Transitions(epoch), Transitions{Quarantined: []Digest{7}})
	assert.DeepEqual(t, table.Transitions(epoch), Transitions{})
	assert.Equal(t, table.Remaining(epoch, requestOf(7)), Period)
	assert.Equal(t, table.Remaining(epoch, requestOf(8)), time.Duration(0))
}

// After its quarantine a request may run again. One more crash must quarantine it at once, and a
// successful run must clear its case.
func TestRequestRunsAgainAfterQuarantine(t *testing.T) {
	var table Table
	table.crashN(epoch, 7, CrashLimit)
	free := epoch.Add(Period)
	assert.Equal(t, table.Remaining(free.Add(-1), requestOf(7)), time.Duration(1))
	assert.Equal(t, table.Remaining(free, requestOf(7)), time.Duration(0))
	table.Transitions(epoch)
	table.RecordCrash(free, free, requestOf(7), startN(99))
	assert.DeepEqual(t, table.Transitions(free), Transitions{Quarantined: []Digest{7}})
	assert.Equal(t, table.Remaining(free, requestOf(7)), Period)

	assert.Assert(t, table.RecordSuccess(free.Add(Period), requestOf(7)))
	assert.Assert(t, !table.RecordSuccess(free.Add(Period), requestOf(7)))
	table.RecordCrash(free.Add(Period), free.Add(Period), requestOf(7), startN(100))
	assert.Equal(t, table.Remaining(free.Add(Period), requestOf(7)), time.Duration(0), "earlier crashes are cleared")
}

// A request is quarantined at the entry that sees the crashes, and runs successfully through
// another. Guards against entries that keep it quarantined, depending on the order in which they
// learn of both.
func TestSuccessfulRunClearsCaseAtAllEntries(t *testing.T) {
	var first, second, third Table
	first.crashN(epoch, 7, CrashLimit)
	early := first.RecentChanges(epoch)
	second.MergeCases(epoch, early)
	assert.DeepEqual(t, second.Transitions(epoch).Quarantined, []Digest{7})
	assert.Assert(t, second.RecordSuccess(epoch.Add(time.Second), requestOf(7)))
	cleared := second.RecentChanges(epoch.Add(time.Second))

	first.Transitions(epoch)
	first.MergeCases(epoch.Add(time.Second), cleared)
	assert.DeepEqual(t, first.Transitions(epoch.Add(time.Second)), Transitions{Released: []Digest{7}})
	assert.Equal(t, first.Remaining(epoch.Add(time.Second), requestOf(7)), time.Duration(0))
	third.MergeCases(epoch.Add(time.Second), cleared)
	third.MergeCases(epoch.Add(time.Second), early)
	assert.DeepEqual(t, third.Transitions(epoch.Add(time.Second)), Transitions{}) // crashes received late are already cleared
	assert.Equal(t, third.Checksum(epoch), third.Checksum(epoch.Add(time.Hour)))
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
				e.RecordSuccess(now, requestOf(d))
			case 1, 2, 3:
				e.RecordCrash(now, now, requestOf(d), startN(r.IntN(6)))
			case 4:
				if len(sent) > 0 {
					e.MergeCases(now, sent[r.IntN(len(sent))])
				}
			default:
				sent = append(sent, e.RecentChanges(now))
			}
		}
		for range len(entries) {
			for _, from := range entries {
				all := from.allCases(now)
				for _, to := range entries {
					to.MergeCases(now, all)
				}
			}
		}
		for _, e := range entries {
			assert.DeepEqual(t, e.crashCounts(now), entries[0].crashCounts(now))
			assert.Equal(t, e.Checksum(now), entries[0].Checksum(now), "seed %d", seed)
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
	table.crashN(epoch, 7, CrashLimit)
	table.crashN(epoch, 8, CrashLimit-1)
	now := epoch
	for i := range 10 * maxCases {
		now = now.Add(time.Microsecond)
		table.RecordCrash(now, now, requestOf(Digest(1000+i)), startN(i))
	}
	quarantined, known := table.Counts(now)
	assert.Equal(t, quarantined, 1)
	assert.Equal(t, known, maxCases)
	changes := table.RecentChanges(now)
	assert.Equal(t, len(changes), maxChanges)
	assert.Equal(t, changes[0].Digest, Digest(7))
	assert.Equal(t, changes[1].Digest, Digest(8))
	table.RecordCrash(now, now, requestOf(8), startN(99))
	assert.Equal(t, table.Remaining(now, requestOf(8)), Period)
}

// More cases change at two entries than fit in one message. Guards against a send order that
// starves some cases, so that no entry counts all crashes of a poison request.
func TestEveryChangedCaseIsSent(t *testing.T) {
	var one, two Table
	for i := range 30 {
		one.crashN(epoch, Digest(1000+i), CrashLimit-1)
		two.RecordCrash(epoch, epoch, requestOf(Digest(2000+i)), startN(7))
	}
	one.crashN(epoch, 5000, CrashLimit-1)
	two.RecordCrash(epoch, epoch, requestOf(5000), startN(7))
	for range 61/maxChanges + 1 {
		one.MergeCases(epoch, two.RecentChanges(epoch))
		two.MergeCases(epoch, one.RecentChanges(epoch))
	}
	assert.Assert(t, one.Remaining(epoch, requestOf(5000)) > 0)
	assert.Assert(t, two.Remaining(epoch, requestOf(5000)) > 0)
	for range 62 * gossipCount {
		one.RecentChanges(epoch)
	}
	assert.Equal(t, len(one.RecentChanges(epoch)), 0, "a case is not sent again after gossipCount messages")
}

// More requests are quarantined than a table keeps. Entries that learned of them in different order
// must drop the same ones.
func TestExcessQuarantinedRequestsAreDroppedConsistently(t *testing.T) {
	const many = maxQuarantined + 40
	var up, down Table
	for i := range many {
		up.crashN(epoch, Digest(1+i), CrashLimit)
		down.crashN(epoch, Digest(many-i), CrashLimit)
	}
	quarantined, _ := up.Counts(epoch)
	assert.Equal(t, quarantined, maxQuarantined)
	assert.Equal(t, up.Checksum(epoch), down.Checksum(epoch))
}

// Cases from peers or the store may be malformed: zero starts, times in the future or long past,
// oversized lists. They must not quarantine a request forever or exceed the size of a case.
func TestMalformedCasesAreBounded(t *testing.T) {
	var table Table
	long := make([]Crash, 10_000)
	for i := range long {
		long[i] = Crash{Start: StartID(1 + i), AgoMS: -1 << 62}
	}
	for _, c := range []Case{
		{},
		{Digest: 0, Crashes: long},
		{Digest: 1},
		{Digest: 2, Crashes: []Crash{{}, {}, {}}},
		{Digest: 3, Crashes: []Crash{{Start: 1, AgoMS: 1 << 62}, {Start: 2, AgoMS: retention.Milliseconds()}}},
		{Digest: 4, Crashes: long},
	} {
		table.MergeCases(epoch, []Case{c})
	}
	assert.Equal(t, len(table.cases), 1)
	assert.Equal(t, len(table.cases[4].crashes), maxCrashes)
	assert.Equal(t, table.Remaining(epoch, requestOf(4)), Period)
	table.RecordCrash(epoch.Add(retention), epoch.Add(retention), requestOf(5), startN(1))
	assert.Equal(t, table.Remaining(epoch.Add(retention), requestOf(4)), time.Duration(0))
}

// A case read from the store must be aged by the time since it was written; a clock that is ahead
// must not make it younger.
func TestStoredCaseIsAged(t *testing.T) {
	var table, restored Table
	table.crashN(epoch, 7, CrashLimit)
	saved := table.QuarantinedCases(epoch)[0]
	restored.MergeCases(epoch, []Case{saved.Aged(time.Minute)})
	assert.Equal(t, restored.Remaining(epoch, requestOf(7)), Period-time.Minute)
	assert.DeepEqual(t, saved.Aged(-time.Minute), saved)
	var late Table
	late.MergeCases(epoch, []Case{saved.Aged(Period)})
	assert.DeepEqual(t, late.Transitions(epoch), Transitions{}) // its quarantine has ended
}

// Measures one more crash in a full table, as after the loss of a data centre.
func BenchmarkRecordCrashWithFullTable(b *testing.B) {
	var table Table
	for i := range maxCases {
		table.RecordCrash(epoch, epoch, requestOf(Digest(1+i)), startN(i))
	}
	b.ResetTimer()
	for i := range b.N {
		table.RecordCrash(epoch, epoch, requestOf(Digest(1+maxCases+i)), startN(i))
	}
}

func BenchmarkRecentChangesOfFullTable(b *testing.B) {
	var table Table
	for i := range maxCases {
		table.RecordCrash(epoch, epoch, requestOf(Digest(1+i)), startN(i))
	}
	for b.Loop() {
		table.RecentChanges(epoch)
		table.Checksum(epoch)
	}
}

func BenchmarkDigest(b *testing.B) {
	identity := Identity{Account: "account", Method: "POST", Host: "host.example", URI: "/path/1", Body: make([]byte, 800)}
	for b.Loop() {
		identity.Digest()
	}
}

// Guards against malformed cases from peers that quarantine a request for longer than Period.
func FuzzMergeCases(f *testing.F) {
	f.Add(uint64(7), uint64(1), int64(0), false, uint8(3), 0, int64(0))
	f.Add(uint64(0), uint64(0), int64(-1), true, uint8(200), -1, int64(-1))
	f.Add(uint64(9), uint64(1<<63), int64(1<<62), false, uint8(9), 1<<40, int64(1<<62))
	f.Add(uint64(9), uint64(1), int64(100), false, uint8(9), 2, int64(0))
	f.Fuzz(func(t *testing.T, digest, start uint64, agoMS int64, cleared bool, n uint8, part int, succeededAgoMS int64) {
		var table Table
		c := Case{Digest: Digest(digest), Part: part, SucceededAgoMS: succeededAgoMS, Several: true}
		for i := range uint64(n) {
			c.Crashes = append(c.Crashes, Crash{Start: StartID(start + i), AgoMS: agoMS, Cleared: cleared && i%2 == 0})
		}
		table.MergeCases(epoch, []Case{c, c.Aged(time.Duration(agoMS))})
		remaining := table.Remaining(epoch, requestOf(c.Digest))
		assert.Assert(t, remaining >= 0 && remaining <= Period, "%v", remaining)
		quarantined, known := table.Counts(epoch)
		assert.Assert(t, quarantined <= known && known <= 1)
		for _, sent := range append(table.RecentChanges(epoch), table.QuarantinedCases(epoch)...) {
			assert.Assert(t, len(sent.Crashes) <= maxCrashes)
		}
		assert.Equal(t, table.Remaining(epoch.Add(retention), requestOf(c.Digest)), time.Duration(0))
	})
}

// Guards against a request with more crashes than a case keeps that is sent from entry to entry without
// end, and whose crashes become younger with each message.
func TestManyCrashesAreNotExchangedForever(t *testing.T) {
	const interval = 100 * time.Millisecond
	type message struct {
		to    *Table
		cases []Case
	}
	r := rand.New(rand.NewPCG(1, 1))
	tables := make([]*Table, 8)
	for i := range tables {
		tables[i] = &Table{}
	}
	now := epoch
	var pending []message
	round := func() (sent int) {
		now = now.Add(interval)
		arrived := pending
		pending = nil
		for _, from := range tables {
			cases := from.RecentChanges(now)
			sent += len(cases)
			for _, to := range tables {
				if to != from && r.IntN(4) > 0 {
					pending = append(pending, message{to: to, cases: cases})
				}
			}
		}
		for _, m := range arrived {
			m.to.MergeCases(now, m.cases)
		}
		return sent
	}
	for i := range 3 * maxCrashes {
		tables[i%len(tables)].RecordCrash(now, now, requestOf(7), startN(i))
		round()
	}
	last := now
	for range 60 {
		round()
	}
	assert.Equal(t, round(), 0)
	for _, one := range tables {
		left := one.Remaining(now, requestOf(7))
		assert.Assert(t, left <= Period-now.Sub(last)+10*interval, "%v left, %v after the last crash", left, now.Sub(last))
	}
}

// Guards against suspects that a restart of all entries forgets, and against saving all that ran beside them: those
// with one crash, cleared ones, and those whose crashes a quarantined part explains.
func TestSuspectsAreShortOfAQuarantineByOneCrash(t *testing.T) {
	var table Table
	now := epoch
	for k := range 2 {
		now = now.Add(time.Second)
		table.RecordCrash(now, now, prompt(10), startN(k))
		table.RecordCrash(now, now, prompt(11), startN(k))
		table.RecordCrash(now, now, prompt(Digest(20+k)), startN(k))
	}
	table.RecordSuccess(now, prompt(11))
	suspects := table.Suspects(now, 10)
	assert.Equal(t, len(suspects), 1)
	assert.Equal(t, suspects[0].Digest, Digest(10))

	var fresh Table
	fresh.MergeCases(now, suspects)
	assert.Equal(t, fresh.Remaining(now, prompt(10)), time.Duration(0))
	fresh.RecordCrash(now, now, prompt(10), startN(9))
	assert.Equal(t, fresh.Remaining(now, prompt(10)), Period)
	assert.Equal(t, len(fresh.Suspects(now, 10)), 0, "it is quarantined")
	assert.Equal(t, len(table.Suspects(now.Add(Period), 10)), 0, "its last crash is long ago")
}
