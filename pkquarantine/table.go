package pkquarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// mostCases bounds the requests that are remembered. A data centre that is lost at the
	// size to design for ends some thousand requests in their first second. A full table takes
	// half a megabyte, at 420 bytes a case.
	mostCases = 1024
	// mostHeld bounds those of them that are held, all of which are told to an entry that
	// starts.
	mostHeld = 256
	// mostNews bounds the cases in one message. With a data centre of 22 entries lost at the size
	// to design for, a hub then tells 17 KB a second for ten seconds; control may take 20.
	mostNews = 6
	// tellFor is how long a case is told after it has changed: longer than three messages from
	// hub to hub take. It bounds what the loss of a data centre costs.
	tellFor = 2 * time.Second
	// tellTimes is in how many messages a case is told after it has changed. Where there are
	// hubs, every second one goes out, to two hubs, and of those one may be lost.
	tellTimes = 4
)

// Table is the cases that an entry knows; the zero value is empty.
type Table struct {
	mu    sync.Mutex
	cases map[Digest]*record
}

// Sum is a checksum of held requests, by which two entries see whether they hold the same; zero
// is none.
type Sum uint64

// Finding is what a crash adds to what was known.
type Finding struct {
	// Crashes is how many now speak against the request.
	Crashes int
	// News says that the crash was not known, Held that it holds the request from now on.
	News bool
	Held bool
}

// Crashed takes a replica that ended under a request at now.
func (t *Table) Crashed(now time.Time, d Digest, s Start) Finding {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out Finding
	out.News, out.Held = t.take(now, d, []crash{{start: s, at: now}})
	if r := t.cases[d]; r != nil {
		out.Crashes, _ = r.counted()
	}
	return out
}

// Knows says whether replicas are known to have ended under a request.
func (t *Table) Knows(d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cases[d] != nil
}

// Ran takes a request that has run well at now, and says whether that ends a case.
func (t *Table) Ran(now time.Time, d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.cases[d]
	if r == nil {
		return false
	}
	counted, _ := r.counted()
	if counted == 0 {
		return false
	}
	for i := range r.crashes {
		r.crashes[i].cleared = true
	}
	r.changed, r.told = now, 0
	return true
}

// Learn takes what another entry knows and returns the requests that this holds from now on.
func (t *Table) Learn(now time.Time, cases []Case) []Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Digest
	for _, c := range cases {
		if _, held := t.take(now, c.Digest, heard(now, c)); held {
			out = append(out, c.Digest)
		}
	}
	return out
}

// heard returns the crashes of a case that may count at now.
func heard(now time.Time, c Case) []crash {
	var out []crash
	for _, one := range c.Crashes {
		if one.Start == 0 || one.AgoMS >= keepFor.Milliseconds() || len(out) == mostCrashes {
			continue
		}
		ago := time.Duration(max(one.AgoMS, 0)) * time.Millisecond
		out = append(out, crash{start: one.Start, at: now.Add(-ago), cleared: one.Cleared})
	}
	return out
}

// take adds crashes to a case; it says whether any is news, and whether the request is held
// from now on.
func (t *Table) take(now time.Time, d Digest, crashes []crash) (news, held bool) {
	if d == 0 || len(crashes) == 0 {
		return false, false
	}
	r := t.cases[d]
	if r == nil {
		r = &record{}
		t.insert(now, d, r)
	}
	before := r.isHeld(now)
	for _, c := range crashes {
		news = r.add(c) || news
	}
	if news {
		r.changed, r.told = now, 0
	}
	if held = !before && r.isHeld(now); held {
		t.boundHeld(now)
	}
	return news, held
}

// insert makes room for a case and adds it.
func (t *Table) insert(now time.Time, d Digest, r *record) {
	if t.cases == nil {
		t.cases = map[Digest]*record{}
	}
	if len(t.cases) >= mostCases {
		maps.DeleteFunc(t.cases, func(_ Digest, old *record) bool { return old.isOver(now) })
	}
	if len(t.cases) >= mostCases {
		delete(t.cases, t.least(now))
	}
	t.cases[d] = r
}

// least returns the case with the fewest crashes that speak against its request, and of those
// the oldest. A held request is kept: in a crash of a whole data centre thousands are suspected
// of one crash each, and must not push out the one that ends replicas.
func (t *Table) least(now time.Time) Digest {
	var out Digest
	var fewest int
	var oldest time.Time
	for d, r := range t.cases {
		n, last := r.counted()
		if r.isHeld(now) {
			n += mostCrashes
		}
		if out == 0 || cmp.Or(cmp.Compare(n, fewest), last.Compare(oldest)) < 0 {
			out, fewest, oldest = d, n, last
		}
	}
	return out
}

// boundHeld drops the held request with the lowest digest where there are too many: all
// entries then drop the same one, and don't tell it to one another for ever.
func (t *Table) boundHeld(now time.Time) {
	held := t.held(now)
	if len(held) > mostHeld {
		delete(t.cases, held[0])
	}
}

// held returns the requests that are held at now, sorted.
func (t *Table) held(now time.Time) []Digest {
	var out []Digest
	for d, r := range t.cases {
		if r.isHeld(now) {
			out = append(out, d)
		}
	}
	slices.Sort(out)
	return out
}

// Left returns how long a request is still held at now; zero where it is not.
func (t *Table) Left(now time.Time, d Digest) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.cases[d]
	if r == nil {
		return 0
	}
	return max(r.heldUntil().Sub(now), 0)
}

// Sum returns the checksum of the requests that are held at now.
func (t *Table) Sum(now time.Time) Sum {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := Sum(1)
	for _, d := range t.held(now) {
		sum ^= Sum(d)
	}
	return max(sum, 1)
}

// Held returns the cases of the requests that are held at now.
func (t *Table) Held(now time.Time) []Case {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Case
	for _, d := range t.held(now) {
		out = append(out, t.cases[d].tell(now, d))
	}
	return out
}

// Sizes returns how many requests are held at now and how many are known.
func (t *Table) Sizes(now time.Time) (held, known int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.held(now)), len(t.cases)
}

// News returns the cases that have changed lately and were told least often since, at most a
// message's worth: of those the ones with the most crashes first, then the latest to change.
//
// Each has its turn. In an order by crashes and time alone the same ones were told each time: with
// twelve callers suspected beside it, a request that had ended three replicas at two entries was
// told to neither and ended three more.
func (t *Table) News(now time.Time) []Case {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh []Digest
	for d, r := range t.cases {
		if r.told < tellTimes && now.Sub(r.changed) < tellFor {
			fresh = append(fresh, d)
		}
	}
	slices.SortFunc(fresh, func(a, b Digest) int { return t.compareNews(a, b) })
	var out []Case
	for _, d := range fresh[:min(len(fresh), mostNews)] {
		r := t.cases[d]
		r.told++
		out = append(out, r.tell(now, d))
	}
	return out
}

func (t *Table) compareNews(a, b Digest) int {
	x, y := t.cases[a], t.cases[b]
	return cmp.Or(cmp.Compare(x.told, y.told), cmp.Compare(len(y.crashes), len(x.crashes)), y.changed.Compare(x.changed), cmp.Compare(a, b))
}
