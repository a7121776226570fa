package pkqueue

import "time"

// Turnover is how fast a pool frees room.
type Turnover struct {
	// InFlight is the tokens of the streams in progress of all entries.
	InFlight float64
	// Duration is the mean duration of a stream.
	Duration time.Duration
	// Stalled is how long no request was started although some waited.
	Stalled time.Duration
}

// Wait estimates how long a request waits that the given tokens go before, and reports whether
// there is an estimate.
func (t Turnover) Wait(ahead float64) (wait time.Duration, known bool) {
	if t.InFlight <= 0 {
		return t.Stalled, false
	}
	return max(time.Duration(float64(t.Duration)*ahead/t.InFlight), t.Stalled), true
}

const (
	minRetryAfter   = 500 * time.Millisecond
	retrySpread     = 0.5
	retryTimeShare  = 3
	maxReservedPart = 0.3
)

// RetryAfter returns when the caller of a refused request should come back, if the pool has room
// after the given wait and the caller has so much time left; random is from 0 to 1.
func RetryAfter(wait, left time.Duration, random float64) time.Duration {
	wait = max(wait, minRetryAfter)
	return min(wait+time.Duration(retrySpread*random*float64(wait)), left/retryTimeShare)
}

// Reserved returns the share of a pool's room, in tokens, that requests of a priority leave free for
// more urgent ones that wait at other entries.
func Reserved(demands []Level, priority int, room float64) float64 {
	ahead := 0.0
	for _, d := range demands {
		if d.Priority < priority {
			ahead += d.Tokens
		}
	}
	if room <= 0 {
		return 0
	}
	return min(ahead/room, maxReservedPart)
}
