package pkqueue

import (
	"math"
	"time"
)

// Turnover is how fast a pool frees capacity.
type Turnover struct {
	// InFlight is the tokens of the streams in progress of all entries.
	InFlight float64
	// Duration is the mean duration of a stream.
	Duration time.Duration
	// Stalled is how long no request was started although some waited.
	Stalled time.Duration
}

// Wait estimates how long a request waits that the given tokens go before, and reports whether
// there is an estimate; without one, the wait is Stalled.
//
// It addresses bursts that exceed the capacity: a request that would be started too late is refused
// on arrival. Tokens in flight that are not finite or not positive, or a mean duration that is not
// positive, give no estimate; tokens ahead that are negative or no number count as zero.
func (t Turnover) Wait(ahead float64) (wait time.Duration, known bool) {
	stalled := max(t.Stalled, 0)
	if !(t.InFlight > 0) || math.IsInf(t.InFlight, 1) || t.Duration <= 0 {
		return stalled, false
	}
	if !(ahead > 0) {
		return stalled, true
	}
	return max(toDuration(float64(t.Duration)*(ahead/t.InFlight)), stalled), true
}

// toDuration converts nanoseconds, and values too large for a duration to the largest one.
func toDuration(ns float64) time.Duration {
	if ns >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(ns)
}

const (
	minRetryAfter   = 500 * time.Millisecond
	retrySpread     = 0.5
	retryTimeShare  = 3
	maxReservedPart = 0.3
)

// RetryAfter returns when the caller of a refused request should come back, if the pool has room
// after the given wait and the caller has so much time left; random is from 0 to 1.
//
// It addresses callers that are refused at the same time and would all retry at the same time.
// Callers follow it up to a third of the time they have left, which is why that bound goes before
// the least value; it is zero for callers with no time left.
func RetryAfter(wait, left time.Duration, random float64) time.Duration {
	wait = max(wait, minRetryAfter)
	if !(random > 0) {
		random = 0
	}
	spread := float64(wait) * (1 + retrySpread*min(random, 1))
	return min(toDuration(spread), max(left, 0)/retryTimeShare)
}

// Reserved returns the share of a pool's capacity, from 0 to 0.3, that requests of a priority leave
// free for more urgent ones that wait at other entries.
//
// The capacity is in tokens of whole streams, as the demands are: that of the engines in tokens
// times layers, divided by the layers of a path. Demands with a priority outside 0 to 9 or with
// tokens outside 0 to 1e9 are ignored; the given priority is clamped to 0 to 9. A capacity that is
// not finite or not positive reserves nothing. It addresses bursts that reach some entries only:
// without it, less urgent requests elsewhere take the capacity that is freed.
func Reserved(demands []Level, priority int, capacity float64) float64 {
	if !(capacity > 0) || math.IsInf(capacity, 1) {
		return 0
	}
	priority = min(max(priority, 0), levels-1)
	ahead := 0.0
	for _, d := range demands {
		if d.Priority >= 0 && d.Priority < priority && d.Tokens > 0 && d.Tokens <= maxTokens {
			ahead += d.Tokens
		}
	}
	return min(ahead/capacity, maxReservedPart)
}
