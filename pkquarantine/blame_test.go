package pkquarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkrate"
)

// prompt returns the traits of a request with the given parts.
func prompt(request Digest, parts ...Digest) Traits { return Traits{Request: request, Parts: parts} }

const (
	poisonPart Digest = 101 + iota
	commonPart
	otherPart
	rarePart
)

// crash records crashes of different replicas, a second apart, and returns the time of the last.
func (t *Table) crash(at time.Time, from, n int, traits ...Traits) time.Time {
	for i := range n {
		at = at.Add(time.Second)
		for _, one := range traits {
			t.RecordCrash(at, at, one, startN(from+i))
		}
	}
	return at
}

// Guards against a part of prompts that crashes replica after replica because each request with it is taken
// for another one, and against blaming the requests that ran beside it and the parts that it is used with.
func TestPartIsBlamedInsteadOfWhatRanBesideIt(t *testing.T) {
	var table Table
	table.RecordSuccess(epoch, prompt(1, commonPart))
	beside := prompt(2, commonPart, otherPart)
	now := table.crash(epoch, 0, 2, prompt(10, commonPart, poisonPart), beside)
	assert.Equal(t, table.Remaining(now, prompt(12, commonPart, poisonPart)), time.Duration(0))
	now = table.crash(now, 2, 1, prompt(11, commonPart, poisonPart), beside)
	assert.Equal(t, table.Remaining(now, prompt(12, commonPart, poisonPart)), Period)
	assert.Equal(t, table.Remaining(now, prompt(13, commonPart)), time.Duration(0))
	assert.Equal(t, table.Remaining(now, beside), time.Duration(0), "the part explains its three crashes")
	assert.DeepEqual(t, table.Transitions(now), Transitions{Quarantined: []Digest{poisonPart}})
}

// Guards against quarantining a part for a request that crashes replicas by itself: only the request is.
func TestPartOfOneRequestIsNotBlamed(t *testing.T) {
	var table Table
	now := table.crash(epoch, 0, 9, prompt(10, rarePart))
	assert.Equal(t, table.Remaining(now, prompt(10, rarePart)), Period)
	assert.Equal(t, table.Remaining(now, prompt(11, rarePart)), time.Duration(0))
}

// A part that has run well before is blamed only once more crashes have it than would show another cause, and
// is free again after its next success.
func TestPartThatRanBeforeIsBlamedLate(t *testing.T) {
	var table Table
	table.RecordSuccess(epoch, prompt(1, commonPart))
	now := epoch
	for i := range soundPartMoments {
		assert.Equal(t, table.Remaining(now, prompt(99, commonPart)), time.Duration(0), "%d crashes", i)
		now = table.crash(now, i, 1, prompt(Digest(10+i), commonPart))
	}
	assert.Equal(t, table.Remaining(now, prompt(99, commonPart)), Period)
	assert.Assert(t, table.RecordSuccess(now.Add(time.Second), prompt(99, commonPart)))
	assert.Equal(t, table.Remaining(now.Add(time.Second), prompt(99, commonPart)), time.Duration(0))
}

// Guards against blaming a new, much used part when a data centre is lost: its replicas crash at one moment.
func TestLossOfADataCentreBlamesNoPart(t *testing.T) {
	var table Table
	for i := range 40 {
		at := epoch.Add(time.Duration(i) * time.Millisecond)
		table.RecordCrash(at, at, prompt(Digest(1000+i), rarePart), startN(i))
	}
	assert.Equal(t, table.Remaining(epoch, prompt(1, rarePart)), time.Duration(0))
}

// Guards against blaming a part when replicas crash one after the other for another reason: most of them crash
// without it.
func TestPartOfFewCrashesIsNotBlamed(t *testing.T) {
	var table Table
	now := epoch
	for i := range 8 {
		now = now.Add(300 * time.Millisecond)
		traits := prompt(Digest(1000 + i))
		if i%2 == 0 {
			traits = prompt(Digest(1000+i), rarePart)
		}
		table.RecordCrash(now, now, traits, startN(i))
	}
	assert.Equal(t, table.Remaining(now, prompt(1, rarePart)), time.Duration(0))
}

// Two parts have the same crashes, and the wrong one is quarantined. Guards against a quarantine that the
// next crash, which only the part at fault has, does not correct.
func TestNextCrashCorrectsTheBlame(t *testing.T) {
	var table Table
	now := table.crash(epoch, 0, 3, prompt(10, poisonPart, otherPart), prompt(11, poisonPart, otherPart))
	assert.DeepEqual(t, table.Transitions(now), Transitions{Quarantined: []Digest{otherPart}})
	now = table.crash(now, 3, 1, prompt(12, poisonPart, commonPart))
	assert.DeepEqual(t, table.Transitions(now), Transitions{Quarantined: []Digest{poisonPart}, Released: []Digest{otherPart}})
}

// Of parts with the same crashes, the one whose requests were never answered whole is blamed.
func TestCompletedPartIsBlamedLess(t *testing.T) {
	var table Table
	table.RecordCompletion(epoch, prompt(1, otherPart))
	now := table.crash(epoch, 0, 3, prompt(10, poisonPart, otherPart), prompt(11, poisonPart, otherPart))
	assert.DeepEqual(t, table.Transitions(now), Transitions{Quarantined: []Digest{poisonPart}})
	assert.Assert(t, table.TryProbation(now, prompt(12, otherPart), pkrate.Share{}))
}

// turnsOf returns the part of an entry in the turns of a number of entries.
func turnsOf(entry, entries int) pkrate.Share {
	return pkrate.Share{Entries: entries, Place: float64(entry) / float64(entries)}
}

// A part has the same crashes as the quarantined one. Guards against entries that all send requests with it at
// once, each of which may crash another replica, and against never sending one, which would show whether it
// is at fault.
func TestEquallySuspectPartsTakeTurns(t *testing.T) {
	const entries = 10
	now := epoch
	tables := make([]*Table, entries)
	for i := range tables {
		tables[i] = &Table{}
		now = tables[i].crash(epoch, 0, 3, prompt(10, poisonPart, otherPart), prompt(11, poisonPart, otherPart))
	}
	sent := 0
	const span = 20 * time.Second
	for at := time.Duration(0); at < span; at += 10 * time.Millisecond {
		for i, one := range tables {
			if one.TryProbation(now.Add(at), prompt(12, poisonPart), turnsOf(i, entries)) {
				sent++
			}
			assert.Assert(t, one.TryProbation(now.Add(at), prompt(13, commonPart), turnsOf(i, entries)), "others are not held back")
		}
	}
	assert.Equal(t, sent, int(span/probationInterval))
}

// Guards against entries that blame a part of which another entry knows that it ran well.
func TestEntriesLearnThatAPartRanWell(t *testing.T) {
	var busy, fresh Table
	busy.RecordSuccess(epoch, prompt(1, commonPart))
	now := fresh.crash(epoch, 0, 2, prompt(10, commonPart))
	now = fresh.crash(now, 2, 1, prompt(11, commonPart))
	assert.DeepEqual(t, fresh.Transitions(now).Quarantined, []Digest{commonPart})
	busy.MergeCases(now, fresh.RecentChanges(now))
	fresh.MergeCases(now, busy.RecentChanges(now))
	assert.DeepEqual(t, fresh.Transitions(now), Transitions{Released: []Digest{commonPart}})
}

// Guards against parts of sound requests that fill a table: only the latest are remembered, and one in use
// stays.
func TestSoundPartsAreBounded(t *testing.T) {
	var table Table
	for i := range 10 * maxSoundParts {
		table.RecordSuccess(epoch, prompt(1, Digest(1000+i), commonPart))
	}
	assert.Assert(t, len(table.sound.current)+len(table.sound.previous) <= 2*maxSoundParts)
	assert.Equal(t, len(table.cases), 0)
	assert.Equal(t, table.sound.of(commonPart).provenAt, epoch)
	assert.Assert(t, table.sound.of(1000).provenAt.IsZero())
}

// Measures the quarantine of a part in a full table.
func BenchmarkQuarantineOfAPartInAFullTable(b *testing.B) {
	var table Table
	for i := range maxCases {
		table.RecordCrash(epoch, epoch, requestOf(Digest(1000+i)), startN(i))
	}
	now := table.crash(epoch, 0, 3, prompt(10, commonPart, poisonPart), prompt(11, commonPart, poisonPart))
	for b.Loop() {
		table.judged = false
		table.Remaining(now, prompt(12, poisonPart))
	}
}

// A request has the same crashes as a part that was quarantined in its place. Guards against sending the request to
// one replica after the other until the next crash corrects the blame.
func TestRequestAsSuspectAsAPartTakesTurns(t *testing.T) {
	const entries = 4
	now := epoch
	tables := make([]*Table, entries)
	for i := range tables {
		tables[i] = &Table{}
		for k := range 3 {
			at := epoch.Add(time.Duration(k) * time.Second)
			for _, traits := range []Traits{prompt(10, otherPart), prompt(11, poisonPart), prompt(12, poisonPart)} {
				tables[i].RecordCrash(at, at, traits, startN(k))
			}
			now = at
		}
		assert.Assert(t, tables[i].Remaining(now, prompt(13, poisonPart)) > 0, "a part is quarantined")
	}
	sent := 0
	const span = 20 * time.Second
	for at := time.Duration(0); at < span; at += 10 * time.Millisecond {
		for i, one := range tables {
			if one.TryProbation(now.Add(at), prompt(10, otherPart), turnsOf(i, entries)) {
				sent++
			}
			assert.Assert(t, one.TryProbation(now.Add(at), prompt(14, otherPart), turnsOf(i, entries)), "another request with its part")
		}
	}
	assert.Equal(t, sent, int(span/probationInterval))
}
