package pkpace

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"peridotknot.example/pkid"
)

// Factor is how many times as long as its kind an engine takes for a step; 1 is as declared.
type Factor float64

const (
	// Usual is the factor of an engine that is as fast as its kind.
	Usual Factor = 1
	// slowFrom is the factor from which on an engine counts as slow: reports of sound engines
	// scatter less.
	slowFrom Factor = 1.25
	// newsBy is by how much a factor must change to be told at once.
	newsBy = 1.5
	// holdsFor is how long a word counts: two questions and their answers may be lost.
	holdsFor = 2500 * time.Millisecond
	// mostFactor bounds what an engine may say of itself; ten times the slowest that is served.
	mostFactor Factor = 1000
	// mostWords bounds what is told at a time; the slowest engines come first.
	mostWords = 256
)

// Word is what an engine said of its pace some time ago. Spans pass between entries in place of
// times, since their clocks differ.
type Word struct {
	Target pkid.TargetID `cbor:"1,keyasint"`
	Factor Factor        `cbor:"2,keyasint"`
	AgeMS  int64         `cbor:"3,keyasint"`
	// Born is the start of the engine that said it, where it is known.
	Born pkid.Birth `cbor:"4,keyasint,omitempty"`
}

// said is a word at the time when the engine was asked.
type said struct {
	factor Factor
	at     time.Time
	born   pkid.Birth
}

// Table is what engines said of their paces, where they are or lately were slow; the zero value
// is empty.
type Table struct {
	mu   sync.Mutex
	said map[pkid.TargetID]said
}

// Learn takes at now what an engine said at a time, of a start that is zero where it is not
// known, and says whether that is news which the others should hear at once.
func (t *Table) Learn(now time.Time, id pkid.TargetID, born pkid.Birth, f Factor, at time.Time) bool {
	if f <= 0 || math.IsNaN(float64(f)) || at.After(now) || now.Sub(at) >= holdsFor {
		return false
	}
	f = min(max(f, Usual), mostFactor)
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.said[id]
	if !known && f < slowFrom {
		return false
	}
	if known && (!at.After(old.at) || born < old.born) {
		return false
	}
	if t.said == nil {
		t.said = map[pkid.TargetID]said{}
	}
	t.said[id] = said{factor: f, at: at, born: born}
	before := Usual
	if known && now.Sub(old.at) < holdsFor {
		before = old.factor
	}
	return f >= newsBy*before || before >= newsBy*f
}

// Hear takes at now a word of another entry and says whether it is news.
func (t *Table) Hear(now time.Time, w Word) bool {
	return t.Learn(now, w.Target, w.Born, w.Factor, now.Add(-time.Duration(max(w.AgeMS, 0))*time.Millisecond))
}

// Factor returns the pace of a start of an engine at now; an earlier start of it says nothing.
func (t *Table) Factor(now time.Time, id pkid.TargetID, born pkid.Birth) Factor {
	t.mu.Lock()
	defer t.mu.Unlock()
	one, known := t.said[id]
	if !known || now.Sub(one.at) >= holdsFor || (one.born != 0 && one.born < born) {
		return Usual
	}
	return one.factor
}

// Slow returns how many engines are slow at now.
func (t *Table) Slow(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, one := range t.said {
		if now.Sub(one.at) < holdsFor && one.factor >= slowFrom {
			n++
		}
	}
	return n
}

// Words returns what the others are told at now, the slowest engines first, and forgets what is
// too old.
func (t *Table) Words(now time.Time) []Word {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Word
	for id, one := range t.said {
		age := now.Sub(one.at)
		if age >= holdsFor {
			delete(t.said, id)
			continue
		}
		out = append(out, Word{Target: id, Factor: one.factor, AgeMS: age.Milliseconds(), Born: one.born})
	}
	slices.SortFunc(out, func(a, b Word) int { return cmp.Or(cmp.Compare(b.Factor, a.Factor), cmp.Compare(a.Target, b.Target)) })
	return out[:min(len(out), mostWords)]
}
