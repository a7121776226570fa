package pkstop

import (
	"sync"
	"time"
)

const (
	// meanWeight and deviationWeight are the weights of a new sample, as in RFC 6298.
	meanWeight      = 1. / 8
	deviationWeight = 1. / 4
	// deviations is how many mean deviations an estimate lies above the mean.
	deviations = 2
)

// Durations estimates how long requests of a kind take; the zero value has no estimates. It is safe for concurrent use.
type Durations[K comparable] struct {
	mu     sync.Mutex
	byKind map[K]*estimate
}

// estimate is the moving average of samples in seconds, and of their distance from it.
type estimate struct{ mean, deviation float64 }

// Record records how long a request of a kind took.
func (d *Durations[K]) Record(kind K, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sample := took.Seconds()
	e := d.byKind[kind]
	if e == nil {
		if d.byKind == nil {
			d.byKind = map[K]*estimate{}
		}
		d.byKind[kind] = &estimate{mean: sample, deviation: sample / 2}
		return
	}
	e.deviation += deviationWeight * (abs(sample-e.mean) - e.deviation)
	e.mean += meanWeight * (sample - e.mean)
}

// Expected returns how long most requests of a kind take at the longest, and whether any has been recorded.
func (d *Durations[K]) Expected(kind K) (expected time.Duration, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.byKind[kind]
	if e == nil {
		return 0, false
	}
	return time.Duration((e.mean + deviations*e.deviation) * float64(time.Second)), true
}

func abs(x float64) float64 { return max(x, -x) }
