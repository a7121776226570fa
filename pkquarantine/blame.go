package pkquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// certainMoments is the number of moments with crashes that quarantine a part even if most
	// replicas crash without it.
	certainMoments = 5
	// soundPartMoments is the number of moments with crashes that quarantine a part that ran
	// successfully before them. It exceeds certainMoments, so that the part that causes crashes is
	// found before those that it is used with.
	soundPartMoments = 6
	// momentLength is the time within which crashes have one cause: the loss of a rack or a data
	// centre ends many replicas at once.
	momentLength = 50 * time.Millisecond
	// relatedWindow is the time before and after each crash of a part within which crashes without
	// the part are compared with it.
	relatedWindow = time.Second
)

// blame decides which traits the crashes of a table are attributed to.
//
// A crashed replica ran many requests, and every trait of each is a suspect. The trait with the most
// crashes is quarantined first, and no longer suspects those that it explains: the others ran beside
// it. A wrong choice is corrected by the next crash, which the trait at fault has and the chosen one
// does not.
type blame struct {
	cases map[Digest]*record
	// byParts are the crashes explained by quarantined parts, byAny by any quarantined trait.
	byParts, byAny map[StartID]bool
	// crashes are those in all cases, sorted by time; nil if they were not needed.
	crashes []crash
	// tied are the parts, and the requests, with the same crashes as a part that is quarantined.
	tied map[Digest]bool
}

// candidate is a trait that may be quarantined.
type candidate struct {
	digest Digest
	part   int
	// sound is set if requests with the part ran successfully before, completed if some were answered
	// whole.
	sound     bool
	completed bool
	crashes   int
	// times are those of the crashes, newest first.
	times []time.Time
}

// quarantined returns the traits to quarantine, and when the quarantine of each ends.
func (b *blame) quarantined() map[Digest]time.Time {
	var suspects []Digest
	for d, r := range b.cases {
		if n, _ := r.countCrashes(); n >= CrashLimit {
			suspects = append(suspects, d)
		}
	}
	out := map[Digest]time.Time{}
	b.byParts, b.byAny, b.tied = map[StartID]bool{}, map[StartID]bool{}, map[Digest]bool{}
	for len(suspects) > 0 {
		best, found := b.mostSuspect(suspects)
		if !found {
			break
		}
		r := b.cases[best.digest]
		_, last := r.countCrashes()
		out[best.digest] = last.Add(Period)
		b.recordTies(best, suspects)
		b.explain(r)
		suspects = slices.DeleteFunc(suspects, func(d Digest) bool { return d == best.digest })
	}
	maps.DeleteFunc(b.tied, func(d Digest, _ bool) bool { return !out[d].IsZero() })
	return out
}

// recordTies records the parts and the requests that are as suspect as the part that is quarantined next.
func (b *blame) recordTies(best candidate, suspects []Digest) {
	if best.part == 0 || best.sound {
		return
	}
	for _, d := range suspects {
		c, guilty := b.judge(d, b.cases[d])
		if guilty && !c.sound && c.crashes == best.crashes && (c.part == 0 || c.completed == best.completed) {
			b.tied[d] = true
		}
	}
}

// explain marks the crashes of a quarantined trait as explained.
func (b *blame) explain(r *record) {
	for _, c := range r.crashes {
		if c.cleared {
			continue
		}
		b.byAny[c.start] = true
		if r.part > 0 {
			b.byParts[c.start] = true
		}
	}
}

// mostSuspect returns the trait to quarantine next, and whether there is one.
func (b *blame) mostSuspect(suspects []Digest) (candidate, bool) {
	var best candidate
	for _, d := range suspects {
		if c, guilty := b.judge(d, b.cases[d]); guilty && (best.digest == 0 || c.compare(best) < 0) {
			best = c
		}
	}
	return best, best.digest != 0
}

// judge returns a trait with the crashes that are not explained yet, and whether they suffice to
// quarantine it.
func (b *blame) judge(d Digest, r *record) (candidate, bool) {
	c := candidate{digest: d, part: r.part, completed: r.successes.completed}
	for _, one := range r.crashes {
		if one.cleared || b.explained(r)[one.start] {
			continue
		}
		c.times = append(c.times, one.at)
		c.sound = c.sound || r.soundBefore(one.at)
	}
	if r.part > 0 && len(c.times) >= CrashLimit {
		c.times = b.withoutOtherCauses(c.times)
	}
	c.crashes = len(c.times)
	moments := countMoments(c.times)
	switch {
	case r.part == 0:
		return c, c.crashes >= CrashLimit
	case moments < CrashLimit || !r.several:
		return c, false
	case c.sound:
		return c, moments >= soundPartMoments
	default:
		return c, moments >= certainMoments || b.isMajority(c)
	}
}

// countMoments returns the number of moments among times, which are sorted, the latest first.
func countMoments(times []time.Time) int {
	n := 0
	var latest time.Time
	for _, at := range times {
		if n == 0 || latest.Sub(at) > momentLength {
			n++
			latest = at
		}
	}
	return n
}

// countUnexplained returns the number of crashes that count against a case and are not explained by
// quarantined parts.
func (b *blame) countUnexplained(r *record) int {
	n := 0
	for _, c := range r.crashes {
		if !c.cleared && !b.byParts[c.start] {
			n++
		}
	}
	return n
}

// explained returns the crashes that do not count against a trait. A quarantined request explains none
// of another request's, as each may crash replicas by itself.
func (b *blame) explained(r *record) map[StartID]bool {
	if r.part > 0 {
		return b.byAny
	}
	return b.byParts
}

// withoutOtherCauses returns the times of a part's crashes without those of moments at which most replicas that
// crashed did so without the part, as when a data centre is lost.
func (b *blame) withoutOtherCauses(times []time.Time) []time.Time {
	var out []time.Time
	for _, at := range times {
		own := 0
		for _, other := range times {
			if other.Sub(at).Abs() <= momentLength {
				own++
			}
		}
		if 2*own >= b.countAround(at, momentLength) {
			out = append(out, at)
		}
	}
	return out
}

// countAround returns the number of crashes within a window before and after a time that are not explained.
func (b *blame) countAround(at time.Time, window time.Duration) int {
	all := b.sortedCrashes()
	next, _ := slices.BinarySearchFunc(all, at.Add(-window), func(c crash, from time.Time) int { return c.at.Compare(from) })
	n := 0
	for ; next < len(all) && !all[next].at.After(at.Add(window)); next++ {
		if !b.byAny[all[next].start] {
			n++
		}
	}
	return n
}

// sortedCrashes returns the crashes in all cases, each replica's once, sorted by time.
func (b *blame) sortedCrashes() []crash {
	if b.crashes != nil {
		return b.crashes
	}
	unique := make(map[StartID]crash, len(b.cases))
	for _, r := range b.cases {
		for _, one := range r.crashes {
			unique[one.start] = one
		}
	}
	b.crashes = slices.SortedFunc(maps.Values(unique), func(a, o crash) int { return cmp.Or(a.at.Compare(o.at), cmp.Compare(a.start, o.start)) })
	return b.crashes
}

// isMajority reports whether a part was present in most of those crashes around its own that are not
// explained.
func (b *blame) isMajority(c candidate) bool {
	related := 0
	for _, one := range b.sortedCrashes() {
		near := slices.ContainsFunc(c.times, func(own time.Time) bool { return one.at.Sub(own).Abs() <= relatedWindow })
		if near && !b.byAny[one.start] {
			related++
		}
	}
	return 2*c.crashes > related
}

// compare orders candidates by how much they are suspected, the most suspected first. Of traits with
// the same crashes, one of which no request was answered whole comes first, a part before a request, since
// several requests have it, and a later part before an earlier one, which is more common.
func (c candidate) compare(o candidate) int {
	return cmp.Or(compareBool(c.sound, o.sound), cmp.Compare(o.crashes, c.crashes), compareBool(c.completed, o.completed),
		cmp.Compare(o.part, c.part), cmp.Compare(c.digest, o.digest))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// quarantinedSet returns the quarantined traits and when the quarantine of each ends. Those whose
// quarantine has ended before now stay in it, as they explain the crashes of others.
func (t *Table) quarantinedSet(now time.Time) map[Digest]time.Time {
	if t.judged {
		return t.quarantined
	}
	b := blame{cases: t.cases}
	t.quarantined = b.quarantined()
	t.blame, t.judged = b, true
	t.limitQuarantined(now)
	return t.quarantined
}

// limitQuarantined drops the quarantined traits with the lowest digests if there are too many. All
// entries drop the same ones and so do not keep sending them to each other.
func (t *Table) limitQuarantined(now time.Time) {
	all := t.quarantinedDigests(now)
	for _, d := range all[:max(len(all)-maxQuarantined, 0)] {
		delete(t.cases, d)
		delete(t.quarantined, d)
	}
}

// isQuarantined reports whether a trait is quarantined at now.
func (t *Table) isQuarantined(now time.Time, d Digest) bool {
	return now.Before(t.quarantinedSet(now)[d])
}

// quarantinedDigests returns the sorted digests of the traits quarantined at now.
func (t *Table) quarantinedDigests(now time.Time) []Digest {
	var out []Digest
	for d, until := range t.quarantinedSet(now) {
		if now.Before(until) {
			out = append(out, d)
		}
	}
	slices.Sort(out)
	return out
}

// Transitions are the traits whose quarantine began or ended early.
type Transitions struct {
	Quarantined []Digest
	Released    []Digest
}

// Transitions returns what has changed since the last call.
func (t *Table) Transitions(now time.Time) Transitions {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out Transitions
	set := t.quarantinedSet(now)
	for d, until := range t.announced {
		if _, still := set[d]; !still && now.Before(until) {
			out.Released = append(out.Released, d)
		}
	}
	for d, until := range set {
		if !now.Before(t.announced[d]) && now.Before(until) {
			out.Quarantined = append(out.Quarantined, d)
		}
	}
	slices.Sort(out.Quarantined)
	slices.Sort(out.Released)
	t.announced = maps.Clone(set)
	return out
}
