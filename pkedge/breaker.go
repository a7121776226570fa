package pkedge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// backoffBase and backoffMax bound the backoff after failed calls to the store, which grows by
	// backoffFactor and is jittered so that daemons don't return all at once. backoffMax may be
	// long, since lease renewals go on meanwhile and a successful one ends the backoff.
	backoffBase   = 50 * time.Millisecond
	backoffMax    = 10 * time.Second
	backoffFactor = 20
)

// breaker is a circuit breaker for calls to the store: while the store is lost, one loop at a time
// may make a trial call and the others wait for its result. The zero value is closed and lets all
// calls pass.
//
// Failed calls cost the store as much as others, and the result of one loop holds for all of them.
type breaker struct {
	mu sync.Mutex
	// trialFailures counts the failed trial calls since the store was lost.
	trialFailures int
	// trialRunning is set while a loop makes a trial call.
	trialRunning bool
	// nextTrial is the earliest time of the next trial call.
	nextTrial time.Time
	// recovered is closed once the store answers; nil while the breaker is closed.
	recovered chan struct{}
	// retryNow is closed when a trial call may be made before nextTrial.
	retryNow chan struct{}
}

// wait blocks until the calling loop may call the store, or until ctx ends.
func (b *breaker) wait(ctx context.Context) {
	for ctx.Err() == nil {
		wait, recovered, retryNow := b.tryAcquire(time.Now())
		if wait <= 0 {
			return
		}
		inner, cancel := context.WithTimeout(ctx, wait)
		select {
		case <-inner.Done():
		case <-recovered:
		case <-retryNow:
		}
		cancel()
	}
}

// tryAcquire returns zero if the caller may call the store at now; if the breaker is open, that
// call is the trial call. Otherwise it returns how long to wait and the channels that end the wait
// early.
func (b *breaker) tryAcquire(now time.Time) (wait time.Duration, recovered, retryNow <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.recovered == nil {
		return 0, nil, nil
	}
	if wait := b.nextTrial.Sub(now); wait > 0 {
		return wait, b.recovered, b.retryNow
	}
	b.trialRunning = true
	b.nextTrial = now.Add(backoff(b.trialFailures + 1))
	return 0, nil, nil
}

// recordFailure records a failed call at now. Calls in progress when the store was lost count as
// the same failure.
func (b *breaker) recordFailure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.recovered == nil:
		b.recovered, b.retryNow = make(chan struct{}), make(chan struct{})
	case b.trialRunning:
		b.trialFailures++
	default:
		return
	}
	b.trialRunning = false
	b.nextTrial = now.Add(backoff(b.trialFailures))
}

// recordLeaseRenewal records a successful lease renewal at now, which allows a trial call at once.
func (b *breaker) recordLeaseRenewal(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.recovered == nil {
		return
	}
	b.nextTrial = now
	close(b.retryNow)
	b.retryNow = make(chan struct{})
}

// isOpen reports whether the store is lost.
func (b *breaker) isOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.recovered != nil
}

// recordSuccess closes the breaker and lets all loops pass.
func (b *breaker) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.recovered != nil {
		close(b.recovered)
	}
	b.trialFailures, b.trialRunning, b.recovered = 0, false, nil
}

// backoff returns the jittered delay after the given number of failures in a row.
func backoff(failures int) time.Duration {
	pause := backoffBase
	for range failures {
		pause = min(backoffFactor*pause, backoffMax)
	}
	return pause/2 + rand.N(pause/2)
}
