package pkqueue

import (
	"math"
	"testing"
	"time"
)

// Guards against estimates of waits from values that are missing, negative or not finite.
func TestWait(t *testing.T) {
	inf, nan := math.Inf(1), math.NaN()
	for _, c := range []struct {
		turnover Turnover
		ahead    float64
		wait     time.Duration
		known    bool
	}{
		{Turnover{InFlight: 1000, Duration: 4 * time.Second}, 500, 2 * time.Second, true},
		{Turnover{InFlight: 1000, Duration: 4 * time.Second}, 0, 0, true},
		{Turnover{InFlight: 1000, Duration: 4 * time.Second, Stalled: 3 * time.Second}, 500, 3 * time.Second, true},
		{Turnover{InFlight: 1000, Duration: 4 * time.Second, Stalled: time.Second}, 500, 2 * time.Second, true},
		{Turnover{InFlight: 1000, Duration: 4 * time.Second, Stalled: -time.Second}, 0, 0, true},
		{Turnover{InFlight: 1000, Duration: 4 * time.Second}, -500, 0, true},
		{Turnover{InFlight: 1000, Duration: 4 * time.Second}, nan, 0, true},
		{Turnover{InFlight: 1000, Duration: 4 * time.Second}, inf, math.MaxInt64, true},
		{Turnover{InFlight: 1e-300, Duration: 4 * time.Second}, 1e300, math.MaxInt64, true},
		{Turnover{Duration: 4 * time.Second, Stalled: time.Second}, 500, time.Second, false},
		{Turnover{InFlight: -1, Duration: 4 * time.Second}, 500, 0, false},
		{Turnover{InFlight: nan, Duration: 4 * time.Second}, 500, 0, false},
		{Turnover{InFlight: inf, Duration: 4 * time.Second}, 500, 0, false},
		{Turnover{InFlight: 1000}, 500, 0, false},
		{Turnover{}, 0, 0, false},
	} {
		if wait, known := c.turnover.Wait(c.ahead); wait != c.wait || known != c.known {
			t.Errorf("%+v, %v ahead: %v, %v; want %v, %v", c.turnover, c.ahead, wait, known, c.wait, c.known)
		}
	}
}

// Guards against a Retry-After that callers don't follow, or that sends all of them back at once.
func TestRetryAfter(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		wait, left time.Duration
		random     float64
		want       time.Duration
	}{
		{2 * s, 20 * s, 0, 2 * s},
		{2 * s, 20 * s, 0.5, 2500 * time.Millisecond},
		{2 * s, 20 * s, 1, 3 * s},
		{2 * s, 20 * s, 7, 3 * s},
		{2 * s, 20 * s, -7, 2 * s},
		{2 * s, 20 * s, math.NaN(), 2 * s},
		{0, 20 * s, 0, s / 2},
		{-s, 20 * s, 0.5, 625 * time.Millisecond},
		{2 * s, 3 * s, 0.5, s},
		{0, s, 0, s / 3},
		{2 * s, 0, 0.5, 0},
		{2 * s, -s, 0.5, 0},
		{math.MaxInt64, math.MaxInt64, 0.9, math.MaxInt64 / 3},
	} {
		if got := RetryAfter(c.wait, c.left, c.random); got != c.want {
			t.Errorf("wait %v, left %v, random %v: %v, want %v", c.wait, c.left, c.random, got, c.want)
		}
	}
}

// Guards against capacity that is kept free for demands that are less urgent, or not plausible.
func TestReserved(t *testing.T) {
	demands := []Level{
		{Priority: 0, Requests: 2, Tokens: 1000},
		{Priority: 1, Requests: 1, Tokens: 500},
		{Priority: 2, Requests: 9, Tokens: 9000},
	}
	bad := []Level{
		{Priority: -1, Tokens: 1000},
		{Priority: 10, Tokens: 1000},
		{Priority: 0, Tokens: -1000},
		{Priority: 0, Tokens: math.NaN()},
		{Priority: 0, Tokens: math.Inf(1)},
		{Priority: 0, Tokens: 2e9},
	}
	for _, c := range []struct {
		demands  []Level
		priority int
		capacity float64
		want     float64
	}{
		{demands, 0, 10_000, 0},
		{demands, -3, 10_000, 0},
		{demands, 1, 10_000, 0.1},
		{demands, 2, 10_000, 0.15},
		{demands, 3, 10_000, 0.3},
		{demands, 99, 10_000, 0.3},
		{demands, 1, 2000, 0.3},
		{demands, 1, 0, 0},
		{demands, 1, -1, 0},
		{demands, 1, math.NaN(), 0},
		{demands, 1, math.Inf(1), 0},
		{nil, 1, 10_000, 0},
		{bad, 9, 10_000, 0},
		{append(bad, demands...), 1, 10_000, 0.1},
	} {
		if got := Reserved(c.demands, c.priority, c.capacity); got != c.want {
			t.Errorf("%v, priority %d of %v: %v, want %v", c.demands, c.priority, c.capacity, got, c.want)
		}
	}
}
