package pkpace

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"peridotknot.example/pkid"
)

// Factor is the step time of an engine relative to that declared for its kind; 1 is nominal.
type Factor float64

const (
	// Nominal is the factor of an engine with the nominal speed.
	Nominal Factor = 1
	// slowThreshold is the factor at or above which an engine counts as slow; reports of healthy
	// engines vary less.
	slowThreshold Factor = 1.25
	// changeFactor is the ratio by which a factor must change to be sent at once.
	changeFactor = 1.5
	// ttl is how long an observation is valid; two polls may be lost.
	ttl = 2500 * time.Millisecond
	// maxFactor bounds the factor that an engine may report.
	maxFactor Factor = 1000
	// maxObservations bounds what is sent at once; the slowest engines come first.
	maxObservations = 256
)

// Observation is the observed factor of an engine, as sent between entries. It carries an age in
// place of a time, since the clocks of entries differ.
type Observation struct {
	Target pkid.TargetID `cbor:"1,keyasint"`
	Factor Factor        `cbor:"2,keyasint"`
	AgeMS  int64         `cbor:"3,keyasint"`
	// Born is the start of the engine that reported it, if known.
	Born pkid.StartTime `cbor:"4,keyasint,omitempty"`
}

// record is an observation with the time at which the engine was polled.
type record struct {
	factor Factor
	at     time.Time
	born   pkid.StartTime
}

// Table holds the latest observations of engines that are or recently were slow; the zero value is
// empty.
type Table struct {
	mu       sync.Mutex
	byTarget map[pkid.TargetID]record
}

// Record stores a factor that an engine with the start time born reported at a given time; born is
// zero if unknown. It reports whether the change is large enough to be sent to the other entries at
// once. Invalid, expired and outdated observations are ignored.
func (t *Table) Record(now time.Time, id pkid.TargetID, born pkid.StartTime, f Factor, at time.Time) bool {
	if f <= 0 || math.IsNaN(float64(f)) || at.After(now) || now.Sub(at) >= ttl {
		return false
	}
	f = min(max(f, Nominal), maxFactor)
	t.mu.Lock()
	defer t.mu.Unlock()
	previous, known := t.byTarget[id]
	if !known && f < slowThreshold {
		return false
	}
	if known && (!at.After(previous.at) || born < previous.born) {
		return false
	}
	if t.byTarget == nil {
		t.byTarget = map[pkid.TargetID]record{}
	}
	t.byTarget[id] = record{factor: f, at: at, born: born}
	last := Nominal
	if known && now.Sub(previous.at) < ttl {
		last = previous.factor
	}
	return f >= changeFactor*last || last >= changeFactor*f
}

// Merge records an observation of another entry at now and reports whether it must be forwarded at
// once.
func (t *Table) Merge(now time.Time, o Observation) bool {
	return t.Record(now, o.Target, o.Born, o.Factor, now.Add(-time.Duration(max(o.AgeMS, 0))*time.Millisecond))
}

// Factor returns the factor of an engine at now; observations of an earlier start are ignored.
func (t *Table) Factor(now time.Time, id pkid.TargetID, born pkid.StartTime) Factor {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, known := t.byTarget[id]
	if !known || now.Sub(o.at) >= ttl || (o.born != 0 && o.born < born) {
		return Nominal
	}
	return o.factor
}

// Slow returns how many engines are slow at now.
func (t *Table) Slow(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, o := range t.byTarget {
		if now.Sub(o.at) < ttl && o.factor >= slowThreshold {
			n++
		}
	}
	return n
}

// Observations returns the valid observations at now, the slowest engines first, and deletes the
// expired ones.
func (t *Table) Observations(now time.Time) []Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Observation
	for id, o := range t.byTarget {
		age := now.Sub(o.at)
		if age >= ttl {
			delete(t.byTarget, id)
			continue
		}
		out = append(out, Observation{Target: id, Factor: o.factor, AgeMS: age.Milliseconds(), Born: o.born})
	}
	slices.SortFunc(out, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(b.Factor, a.Factor), cmp.Compare(a.Target, b.Target))
	})
	return out[:min(len(out), maxObservations)]
}
