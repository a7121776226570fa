package pkstop

import (
	"sync"
	"time"
)

// The weights of a new sample, as a divisor, are those of RFC 6298.
const (
	meanWeight      = 8
	deviationWeight = 4
)

// Estimate is how long requests of a kind take; zero if none has ended.
type Estimate struct {
	Mean time.Duration
	// Deviation is the mean distance from Mean.
	Deviation time.Duration
}

// record adds a sample.
func (e *Estimate) record(took time.Duration) {
	if *e == (Estimate{}) {
		*e = Estimate{Mean: took, Deviation: took / 2}
		return
	}
	e.Deviation += ((took - e.Mean).Abs() - e.Deviation) / deviationWeight
	e.Mean += (took - e.Mean) / meanWeight
}

// Durations estimates how long requests take, by their kind; the zero value has no estimates. It is safe for concurrent use.
type Durations[K comparable] struct {
	mu     sync.Mutex
	byKind map[K]Estimate
}

// Record records how long a request of a kind took.
func (d *Durations[K]) Record(kind K, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byKind == nil {
		d.byKind = map[K]Estimate{}
	}
	e := d.byKind[kind]
	e.record(took)
	d.byKind[kind] = e
}

// Of returns the estimate for a kind.
func (d *Durations[K]) Of(kind K) Estimate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byKind[kind]
}
