package pkquarantine

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// suspects records crashes of parts that only this entry has met, more than a message holds.
func (t *Table) suspects(at time.Time, n int) {
	for i := range n {
		t.RecordCrash(at, at, prompt(Digest(1000+i), Digest(2000+i)), startN(500))
	}
}

// messagesWith returns how many of the next messages hold the case of a trait.
func (t *Table) messagesWith(now time.Time, d Digest, messages int) int {
	n := 0
	for range messages {
		if slices.ContainsFunc(t.RecentChanges(now), func(c Case) bool { return c.Digest == d }) {
			n++
		}
	}
	return n
}

// A part is quarantined at the entry that met its crashes before that entry has sent any of them. Guards against
// sending another crash of it last, after so many other suspects that it is never sent.
func TestCrashOfAPartThatOnlyThisEntryKnowsIsSent(t *testing.T) {
	var table Table
	now := table.crash(epoch, 0, CrashLimit, prompt(10, poisonPart), prompt(11, poisonPart))
	assert.Assert(t, table.Remaining(now, prompt(12, poisonPart)) > 0)
	now = table.crash(now, CrashLimit, 1, prompt(12, poisonPart))
	table.suspects(now, 40)
	assert.Equal(t, table.messagesWith(now, poisonPart, 2), 2)
}

// Guards against messages that repeat what all peers have heard, which delays what they have not: before, eight
// entries sent each crash up to 32 times. An entry that others rely on repeats it, and any entry does once, as some
// peers may not hear the one that has sent it.
func TestHeardCasesAreRepeatedWherePeersRelyOnIt(t *testing.T) {
	var from Table
	now := from.crash(epoch, 0, 2, prompt(10, poisonPart), prompt(11, poisonPart))
	cases := from.RecentChanges(now)
	for _, row := range []struct {
		name            string
		forwards, again bool
		sent            int
	}{
		{"by one", false, false, 1},
		{"by two", false, true, 0},
		{"at a hub", true, true, gossipCount},
	} {
		var table Table
		table.SetForwarding(row.forwards)
		table.MergeCases(now, cases)
		if row.again {
			table.MergeCases(now, cases)
		}
		assert.Equal(t, table.messagesWith(now, poisonPart, 2*gossipCount), row.sent, row.name)
	}
}

// Guards against a peer's older case that passes for the newer one of this entry.
func TestCaseThatPeersKnowInPartIsSent(t *testing.T) {
	var from, table Table
	now := from.crash(epoch, 0, 2, prompt(10, poisonPart), prompt(11, poisonPart))
	table.crash(epoch, 2, 1, prompt(12, poisonPart))
	for range gossipCount {
		table.MergeCases(now, from.RecentChanges(now))
	}
	assert.Equal(t, table.messagesWith(now, poisonPart, 2*gossipCount), gossipCount)
}

// Guards against a case that could quarantine a part but reaches no peer where its first message is lost and many
// others wait, and against a part that is suspected although an entry knows that it ran well.
func TestCasesThatMatterAreSentTwiceBeforeOthers(t *testing.T) {
	var table, peer Table
	table.RecordSuccess(epoch, prompt(1, commonPart))
	now := table.crash(epoch, 0, CrashLimit, prompt(10, otherPart, poisonPart), prompt(11, rarePart, poisonPart))
	peer.crash(epoch, 0, CrashLimit, prompt(12, commonPart), prompt(13, commonPart))
	table.suspects(now, 40)
	table.MergeCases(now, peer.RecentChanges(now))
	first := table.RecentChanges(now)
	assert.Assert(t, slices.ContainsFunc(first, func(c Case) bool { return c.Digest == commonPart && c.SucceededAgoMS > 0 }))
	assert.Assert(t, slices.ContainsFunc(first, func(c Case) bool { return c.Digest == poisonPart }))
	assert.Equal(t, table.messagesWith(now, poisonPart, 1), 1)
}

// Guards against a case that is dropped unsent while others with more crashes go first, so that no entry counts all
// crashes of a part.
func TestCaseThatWasNeverSentWaits(t *testing.T) {
	for _, row := range []struct {
		crashes int
		after   time.Duration
		sent    int
	}{
		{CrashLimit, gossipPeriod, 1},
		{CrashLimit, unsentPeriod, 0},
		{CrashLimit - 1, gossipPeriod, 0},
	} {
		var table Table
		now := table.crash(epoch, 0, row.crashes, prompt(10, poisonPart), prompt(11, poisonPart))
		assert.Equal(t, table.messagesWith(now.Add(row.after), poisonPart, 2*gossipCount), row.sent, "%v", row)
	}
}

// Several replicas crash at one moment, of a part that this entry met at one of them and others at the rest. Guards
// against keeping the case back as one of the loss of a data centre, and against sending one of these.
func TestCaseOfAMomentWithFewCrashesIsSent(t *testing.T) {
	for others, sent := range map[int]int{2: gossipCount, 2 * maxCrashes: 0} {
		var table Table
		table.RecordSuccess(epoch, prompt(1, commonPart))
		at := epoch.Add(time.Second)
		table.RecordCrash(at, at, prompt(10, commonPart, poisonPart), startN(0))
		for i := range others {
			table.RecordCrash(at, at, prompt(Digest(1000+i), commonPart), startN(1+i))
		}
		assert.Equal(t, table.messagesWith(at, poisonPart, 60*gossipCount), sent, "%d others", others)
	}
}
