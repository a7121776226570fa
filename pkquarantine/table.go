package pkquarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxCases bounds the number of cases in a table. A full table takes about half a megabyte, at
	// 420 bytes per case. The loss of a data centre at the target size interrupts some thousand
	// requests in its first second.
	maxCases = 1024
	// maxQuarantined bounds the quarantined requests, all of which are sent to an entry that
	// starts.
	maxQuarantined = 256
	// maxChanges bounds the cases in one message, to limit the control traffic after the loss of a
	// data centre. With 22 entries lost at the target size, a hub sends 17 KB a second for ten
	// seconds; control may take 20.
	maxChanges = 6
	// gossipPeriod is how long a changed case is sent: longer than three messages between hubs
	// take.
	gossipPeriod = 2 * time.Second
	// unsentPeriod is how long a changed case with enough crashes for a quarantine waits to be sent at all. Where
	// replicas crash before anything has run well, an entry has a hundred suspected parts, and messages hold a few.
	unsentPeriod = 10 * time.Second
	// gossipCount is the number of messages in which a changed case is sent. Hubs forward only
	// every second message, to two hubs, and one of those may be lost.
	gossipCount = 4
)

// Table holds the cases known to an entry; the zero value is empty.
type Table struct {
	mu sync.Mutex
	// forwards is set if peers rely on this entry to learn what other entries have found.
	forwards bool
	cases    map[Digest]*record
	// sound are parts that ran successfully at this entry.
	sound soundParts
	// quarantined are the quarantined traits and when the quarantine of each ends, and blame is what
	// they were found by; both are valid if judged is set.
	quarantined map[Digest]time.Time
	blame       blame
	judged      bool
	// announced are the traits that Transitions has reported as quarantined.
	announced map[Digest]time.Time
	// turns are the times before which this entry sends no request with a part on probation.
	turns map[Digest]time.Time
}

// Checksum is a checksum of the quarantined requests, used by entries to detect that their sets
// differ; zero means none.
type Checksum uint64

// CrashResult is the result of recording a crash.
type CrashResult struct {
	// Crashes is the number of crashes that now count against the most suspected trait.
	Crashes int
	// New is set if the crash was not known before.
	New bool
}

// RecordCrash records, at now, that a replica crashed at a time while running a request with the given
// traits.
func (t *Table) RecordCrash(now, at time.Time, traits Traits, s StartID) CrashResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out CrashResult
	for i, d := range traits.all() {
		part := i
		if traits.Request == 0 {
			part++
		}
		c := Case{Digest: d, Part: part}
		if part > 0 {
			c.Request = traits.Request
		}
		changed := t.addCrashes(now, c, []crash{{start: s, at: at}})
		out.New = out.New || changed
		if r := t.cases[d]; r != nil {
			n, _ := r.countCrashes()
			out.Crashes = max(out.Crashes, n)
		}
	}
	return out
}

// Knows reports whether the table has a case for a request.
func (t *Table) Knows(d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cases[d] != nil
}

// RecordSuccess records that a request with the given traits ran successfully at now and did no harm to its
// replica, and reports whether that cleared a case.
func (t *Table) RecordSuccess(now time.Time, traits Traits) bool {
	return t.recordSuccesses(now, traits, successes{provenAt: now, completed: true})
}

// RecordCompletion records that a request with the given traits was answered whole at now. Its replica may
// crash of it yet.
func (t *Table) RecordCompletion(now time.Time, traits Traits) {
	t.recordSuccesses(now, traits, successes{completed: true})
}

// recordSuccesses records at now how well a request ran and reports whether that cleared a case.
func (t *Table) recordSuccesses(now time.Time, traits Traits, one successes) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	cleared := false
	for _, d := range traits.all() {
		if d != traits.Request {
			t.sound.record(d, one)
		}
		r := t.cases[d]
		if r == nil {
			continue
		}
		counted, _ := r.countCrashes()
		if r.succeed(one) {
			t.markChanged(now, r, counted)
		}
		left, _ := r.countCrashes()
		cleared = cleared || left < counted
	}
	return cleared
}

// MergeCases merges the cases of another entry.
func (t *Table) MergeCases(now time.Time, cases []Case) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range cases {
		t.mergeCase(now, c)
	}
}

// SetForwarding sets whether peers rely on this entry to learn what other entries have found, as the entries of a
// data centre do on their hubs.
func (t *Table) SetForwarding(forwards bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forwards = forwards
}

// mergeCase merges a case of another entry, which sends it to all entries unless they rely on hubs.
func (t *Table) mergeCase(now time.Time, c Case) {
	sent := gossipCount
	if r := t.cases[c.Digest]; r != nil {
		sent = r.timesSent
	}
	changed := t.addCrashes(now, c, validCrashes(now, c))
	r := t.cases[c.Digest]
	if r == nil {
		return
	}
	if !t.forwards {
		r.timesSent = r.timesSentAfter(c, sent, changed)
	}
	if r.knowsMoreThan(c) {
		r.changedAt, r.timesSent, r.contradicted = now, 0, true
	}
}

// validCrashes returns the crashes of a case that are well-formed and not expired at now.
func validCrashes(now time.Time, c Case) []crash {
	var out []crash
	for _, reported := range c.Crashes {
		if reported.Start == 0 || reported.AgoMS >= retention.Milliseconds() || len(out) == maxCrashes {
			continue
		}
		ago := time.Duration(max(reported.AgoMS, 0)) * time.Millisecond
		out = append(out, crash{start: reported.Start, at: now.Add(-ago), cleared: reported.Cleared})
	}
	return out
}

// addCrashes adds crashes, and what else is known of it, to a case, and reports whether the case changed.
func (t *Table) addCrashes(now time.Time, c Case, crashes []crash) bool {
	if c.Digest == 0 || len(crashes) == 0 {
		return false
	}
	r := t.cases[c.Digest]
	if r == nil {
		r = &record{}
		t.insert(now, c.Digest, r)
	}
	counted, _ := r.countCrashes()
	settled, sent := now.Before(t.quarantined[c.Digest]), r.timesSent
	r.part = min(max(r.part, c.Part), maxPosition)
	changed := false
	for _, one := range crashes {
		changed = r.add(one) || changed
	}
	changed = r.addRequest(c) || changed
	changed = r.succeed(t.sound.of(c.Digest).merge(c.successes(now))) || changed
	if changed {
		t.markChanged(now, r, counted)
	}
	if after, _ := r.countCrashes(); changed && settled && after >= counted {
		r.timesSent = min(sent, gossipCount-1) // another crash hardly matters once the peers know of the others
	}
	return changed
}

// maxPosition bounds the position of a part that a peer reports.
const maxPosition = 1 << 16

// successes returns how well requests ran, by a case that was received at now.
func (c Case) successes(now time.Time) successes {
	out := successes{completed: c.Completed}
	if c.SucceededAgoMS > 0 && c.SucceededAgoMS <= retention.Milliseconds() {
		out.provenAt = now.Add(-time.Duration(c.SucceededAgoMS-1) * time.Millisecond)
	}
	return out
}

// markChanged marks a record that has changed at now to be sent; counted is the number of crashes that
// counted before.
func (t *Table) markChanged(now time.Time, r *record, counted int) {
	r.changedAt, r.timesSent = now, 0
	after, _ := r.countCrashes()
	if t.blame.crashes != nil || max(counted, after) >= CrashLimit {
		t.judged = false
	}
}

// insert adds a case, evicting others if the table is full.
func (t *Table) insert(now time.Time, d Digest, r *record) {
	if t.cases == nil {
		t.cases = map[Digest]*record{}
	}
	if len(t.cases) >= maxCases {
		maps.DeleteFunc(t.cases, func(_ Digest, old *record) bool { return old.isExpired(now) })
	}
	if len(t.cases) >= maxCases {
		evicted := t.evictionCandidate(now)
		if n, _ := t.cases[evicted].countCrashes(); n >= CrashLimit {
			t.judged = false
		}
		delete(t.cases, evicted)
	}
	t.cases[d] = r
}

// evictionCandidate returns the case with the fewest crashes that others do not explain, of those the
// oldest. Quarantined traits rank higher, since the loss of a data centre produces thousands of suspects
// with one crash each, which must not evict a poison request.
func (t *Table) evictionCandidate(now time.Time) Digest {
	var out Digest
	var fewest int
	var oldest time.Time
	for d, r := range t.cases {
		n, last := t.rank(now, d, r)
		if out == 0 || cmp.Or(cmp.Compare(n, fewest), last.Compare(oldest), cmp.Compare(d, out)) < 0 {
			out, fewest, oldest = d, n, last
		}
	}
	return out
}

// rank returns how much a case matters, and the time of its latest crash: the number of crashes of a request
// that quarantined parts do not explain, or of moments with crashes of a part, and more if it is quarantined.
// A part that ran successfully before matters only with more crashes than quarantine another.
func (t *Table) rank(now time.Time, d Digest, r *record) (n int, last time.Time) {
	quarantined := t.isQuarantined(now, d)
	n, last = r.countCrashes()
	switch {
	case quarantined:
		return n + maxCrashes, last
	case r.part == 0:
		return t.blame.countUnexplained(r), last
	}
	if r.soundBefore(last) {
		return max(t.blame.countUnexplained(r)-CrashLimit, 0), last
	}
	return countMoments(r.countedTimes()), last
}

// Remaining returns how long the request, or a part of it, remains quarantined at now; zero if none is.
func (t *Table) Remaining(now time.Time, traits Traits) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	set := t.quarantinedSet(now)
	if len(set) == 0 {
		return 0
	}
	var out time.Duration
	for _, d := range traits.all() {
		if until, found := set[d]; found {
			out = max(out, until.Sub(now))
		}
	}
	return out
}

// RemainingOf returns how long one trait remains quarantined at now; zero if it is not.
func (t *Table) RemainingOf(now time.Time, d Digest) time.Duration {
	return t.Remaining(now, Traits{Parts: []Digest{d}})
}

// Checksum returns the checksum of the requests quarantined at now.
func (t *Table) Checksum(now time.Time) Checksum {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := Checksum(1)
	for _, d := range t.quarantinedDigests(now) {
		sum ^= Checksum(d)
	}
	return max(sum, 1)
}

// QuarantinedCases returns the cases of the requests quarantined at now.
func (t *Table) QuarantinedCases(now time.Time) []Case {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Case
	for _, d := range t.quarantinedDigests(now) {
		out = append(out, t.cases[d].toCase(now, d))
	}
	return out
}

// Suspects returns up to a number of cases at now that a crash more may quarantine, those that matter most
// first.
func (t *Table) Suspects(now time.Time, most int) []Case {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quarantinedSet(now)
	latest := blame{cases: t.cases, byAny: t.blame.byAny}
	var found []changedCase
	for d, r := range t.cases {
		counted, last := r.countCrashes()
		if counted < CrashLimit-1 || now.Sub(last) >= Period || t.isQuarantined(now, d) {
			continue
		}
		n, _ := t.rank(now, d, r)
		if one := (changedCase{digest: d, record: r, rank: n}); n >= CrashLimit-1 && one.matters(&latest) {
			found = append(found, one)
		}
	}
	slices.SortFunc(found, func(a, b changedCase) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), b.record.changedAt.Compare(a.record.changedAt), cmp.Compare(a.digest, b.digest))
	})
	var out []Case
	for _, one := range found[:min(len(found), most)] {
		out = append(out, one.record.toCase(now, one.digest))
	}
	return out
}

// Case returns the case of a trait, and whether there is one.
func (t *Table) Case(now time.Time, d Digest) (Case, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, found := t.cases[d]
	if !found {
		return Case{}, false
	}
	return r.toCase(now, d), true
}

// Counts returns the number of quarantined requests at now and of all cases.
func (t *Table) Counts(now time.Time) (quarantined, known int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.quarantinedDigests(now)), len(t.cases)
}

// RecentChanges returns recently changed cases for one message, of requests and of parts in turn, since each
// of many requests that run beside a poison part is a suspect. Of both, those sent least often come first,
// so that every case is sent, and of those the ones that matter most. What other entries have sent is only
// repeated if this entry forwards.
func (t *Table) RecentChanges(now time.Time) []Case {
	t.mu.Lock()
	defer t.mu.Unlock()
	requests, parts := t.changedCases(now)
	slices.SortFunc(requests, changedCase.compare)
	slices.SortFunc(parts, changedCase.compare)
	var out []Case
	for i := 0; len(out) < maxChanges && i < max(len(requests), len(parts)); i++ {
		for _, some := range [][]changedCase{parts, requests} {
			if i < len(some) && len(out) < maxChanges {
				some[i].record.timesSent++
				out = append(out, some[i].record.toCase(now, some[i].digest))
			}
		}
	}
	return out
}

// changedCases returns the recently changed cases of requests and of parts that other entries need to know.
func (t *Table) changedCases(now time.Time) (requests, parts []changedCase) {
	t.quarantinedSet(now)
	latest := blame{cases: t.cases, byAny: t.blame.byAny}
	for d, r := range t.cases {
		age := now.Sub(r.changedAt)
		if r.timesSent >= gossipCount || age >= unsentPeriod || (age >= gossipPeriod && r.timesSent > 0) {
			continue
		}
		n, _ := t.rank(now, d, r)
		if age >= gossipPeriod && n < CrashLimit {
			continue
		}
		one := changedCase{digest: d, record: r, rank: n}
		switch {
		case !one.matters(&latest):
		case r.part > 0:
			parts = append(parts, one)
		default:
			requests = append(requests, one)
		}
	}
	return requests, parts
}

// matters reports whether other entries need to know the case: not if a quarantined part explains the crashes
// of a request, or those of a part have another cause.
func (c changedCase) matters(b *blame) bool {
	counted, _ := c.record.countCrashes()
	if counted == 0 || c.record.contradicted {
		return true
	}
	return c.rank > 0 && (c.record.part == 0 || c.hasOwnCause(b))
}

// changedCase is a case that is to be sent.
type changedCase struct {
	digest Digest
	record *record
	rank   int
}

// turn returns the round in which a case is sent next. Cases that enough crashes count against for a quarantine are
// sent twice before others are sent once, as one message may be lost and the number of cases in a message is
// limited. So are cases that correct a peer.
func (c changedCase) turn() int {
	if c.rank >= CrashLimit || c.record.contradicted {
		return c.record.timesSent
	}
	return c.record.timesSent + 1
}

// compare orders cases by their turns, then those that correct a peer first, then those that matter most, then the
// latest to change. A correction ends the suspicion of a part at all entries, which leaves room for others.
func (c changedCase) compare(o changedCase) int {
	return cmp.Or(cmp.Compare(c.turn(), o.turn()), compareBool(o.record.contradicted, c.record.contradicted),
		cmp.Compare(o.rank, c.rank), o.record.changedAt.Compare(c.record.changedAt), cmp.Compare(c.digest, o.digest))
}

// hasOwnCause reports whether a crash of a part may be due to it: most replicas that crashed at that moment ran
// requests with the part, or so few crashed that peers may know of more requests with it.
func (c changedCase) hasOwnCause(b *blame) bool {
	times := c.record.countedTimes()
	return len(b.withoutOtherCauses(times)) > 0 ||
		slices.ContainsFunc(times, func(at time.Time) bool { return b.countAround(at, momentLength) <= maxCrashes })
}
