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
	// gossipCount is the number of messages in which a changed case is sent. Hubs forward only
	// every second message, to two hubs, and one of those may be lost.
	gossipCount = 4
)

// Table holds the cases known to an entry; the zero value is empty.
type Table struct {
	mu    sync.Mutex
	cases map[Digest]*record
}

// Checksum is a checksum of the quarantined requests, used by entries to detect that their sets
// differ; zero means none.
type Checksum uint64

// CrashResult is the result of recording a crash.
type CrashResult struct {
	// Crashes is the number of crashes that now count against the request.
	Crashes int
	// New is set if the crash was not known before.
	New bool
	// Quarantined is set if the crash quarantined the request.
	Quarantined bool
}

// RecordCrash records that a replica crashed while running a request at now.
func (t *Table) RecordCrash(now time.Time, d Digest, s StartID) CrashResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out CrashResult
	out.New, out.Quarantined = t.addCrashes(now, d, []crash{{start: s, at: now}})
	if r := t.cases[d]; r != nil {
		out.Crashes, _ = r.countCrashes()
	}
	return out
}

// Knows reports whether the table has a case for a request.
func (t *Table) Knows(d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cases[d] != nil
}

// RecordSuccess records that a request ran successfully at now and reports whether that cleared a
// case.
func (t *Table) RecordSuccess(now time.Time, d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.cases[d]
	if r == nil {
		return false
	}
	counted, _ := r.countCrashes()
	if counted == 0 {
		return false
	}
	for i := range r.crashes {
		r.crashes[i].cleared = true
	}
	r.changedAt, r.timesSent = now, 0
	return true
}

// MergeCases merges the cases of another entry and returns the requests that this newly
// quarantined.
func (t *Table) MergeCases(now time.Time, cases []Case) []Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Digest
	for _, c := range cases {
		if _, quarantined := t.addCrashes(now, c.Digest, validCrashes(now, c)); quarantined {
			out = append(out, c.Digest)
		}
	}
	return out
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

// addCrashes adds crashes to a case; it reports whether the case changed, and whether the request
// was newly quarantined.
func (t *Table) addCrashes(now time.Time, d Digest, crashes []crash) (changed, quarantined bool) {
	if d == 0 || len(crashes) == 0 {
		return false, false
	}
	r := t.cases[d]
	if r == nil {
		r = &record{}
		t.insert(now, d, r)
	}
	before := r.isQuarantined(now)
	for _, c := range crashes {
		changed = r.add(c) || changed
	}
	if changed {
		r.changedAt, r.timesSent = now, 0
	}
	if quarantined = !before && r.isQuarantined(now); quarantined {
		t.limitQuarantined(now)
	}
	return changed, quarantined
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
		delete(t.cases, t.evictionCandidate(now))
	}
	t.cases[d] = r
}

// evictionCandidate returns the case with the fewest counted crashes, of those the oldest.
// Quarantined requests rank higher, since the loss of a data centre produces thousands of suspects
// with one crash each, which must not evict a poison request.
func (t *Table) evictionCandidate(now time.Time) Digest {
	var out Digest
	var fewest int
	var oldest time.Time
	for d, r := range t.cases {
		n, last := r.countCrashes()
		if r.isQuarantined(now) {
			n += maxCrashes
		}
		if out == 0 || cmp.Or(cmp.Compare(n, fewest), last.Compare(oldest)) < 0 {
			out, fewest, oldest = d, n, last
		}
	}
	return out
}

// limitQuarantined drops the quarantined request with the lowest digest if there are too many. All
// entries drop the same one and so do not keep sending it to each other.
func (t *Table) limitQuarantined(now time.Time) {
	quarantined := t.quarantinedDigests(now)
	if len(quarantined) > maxQuarantined {
		delete(t.cases, quarantined[0])
	}
}

// quarantinedDigests returns the sorted digests of the requests quarantined at now.
func (t *Table) quarantinedDigests(now time.Time) []Digest {
	var out []Digest
	for d, r := range t.cases {
		if r.isQuarantined(now) {
			out = append(out, d)
		}
	}
	slices.Sort(out)
	return out
}

// Remaining returns how long a request remains quarantined at now; zero if it is not.
func (t *Table) Remaining(now time.Time, d Digest) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.cases[d]
	if r == nil {
		return 0
	}
	return max(r.quarantinedUntil().Sub(now), 0)
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

// Counts returns the number of quarantined requests at now and of all cases.
func (t *Table) Counts(now time.Time) (quarantined, known int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.quarantinedDigests(now)), len(t.cases)
}

// RecentChanges returns recently changed cases for one message, least often sent first, then those
// with the most crashes, then the latest to change. Ordering by the send count first ensures that
// every case is sent; otherwise the same cases would fill each message.
func (t *Table) RecentChanges(now time.Time) []Case {
	t.mu.Lock()
	defer t.mu.Unlock()
	var recent []Digest
	for d, r := range t.cases {
		if r.timesSent < gossipCount && now.Sub(r.changedAt) < gossipPeriod {
			recent = append(recent, d)
		}
	}
	slices.SortFunc(recent, func(a, b Digest) int { return t.compareChanges(a, b) })
	var out []Case
	for _, d := range recent[:min(len(recent), maxChanges)] {
		r := t.cases[d]
		r.timesSent++
		out = append(out, r.toCase(now, d))
	}
	return out
}

func (t *Table) compareChanges(a, b Digest) int {
	x, y := t.cases[a], t.cases[b]
	return cmp.Or(cmp.Compare(x.timesSent, y.timesSent), cmp.Compare(len(y.crashes), len(x.crashes)), y.changedAt.Compare(x.changedAt), cmp.Compare(a, b))
}
