package pkedge

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against each loop of an entry calling a lost store on its own. One loop must make the
// trial calls, and all must continue soon after a lease renewal succeeds.
func TestSingleLoopTriesALostStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const loops, lost = 3, 8 * time.Second
		var b breaker
		began := time.Now()
		var calls atomic.Int64
		back := make(chan time.Duration, loops)
		renewed := make(chan struct{})
		go func() {
			defer close(renewed)
			time.Sleep(lost + leaseRenewInterval/2)
			b.recordLeaseRenewal(time.Now())
		}()
		for range loops {
			go func() {
				for {
					b.wait(t.Context())
					if time.Since(began) >= lost {
						b.recordSuccess()
						back <- time.Since(began)
						return
					}
					calls.Add(1)
					b.recordFailure(time.Now())
				}
			}()
		}
		for range loops {
			assert.Assert(t, <-back < lost+800*time.Millisecond)
		}
		<-renewed
		// Each loop makes a call before the loss is known.
		assert.Assert(t, calls.Load() <= 2*loops+8, "%d calls", calls.Load())
	})
}

// Guards against frequent calls while the store is lost, and against a late return once it is back:
// a successful lease renewal must allow a trial call at once.
func TestLeaseRenewalAllowsTrialCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lost = 8 * time.Second
		var b breaker
		began := time.Now()
		calls := 0
		done := make(chan struct{})
		go func() {
			defer close(done)
			for time.Since(began) < lost {
				calls++
				b.recordFailure(time.Now())
				b.wait(t.Context())
			}
		}()
		time.Sleep(lost)
		b.recordLeaseRenewal(time.Now())
		<-done
		assert.Equal(t, time.Since(began), lost)
		assert.Assert(t, calls <= 8, "%d calls", calls)
	})
}

// Guards against a loop that still waits for the store after its context has ended.
func TestBreakerWaitEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b breaker
		b.recordFailure(time.Now())
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		began := time.Now()
		b.wait(ctx)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// Guards against counting the end of three watches as three failures, which would skip the short
// first backoff and read the list a second late.
func TestConcurrentFailuresCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const loops = 3
		var b breaker
		began := time.Now()
		for range loops {
			b.recordFailure(began)
		}
		b.wait(t.Context())
		assert.Assert(t, time.Since(began) <= backoffBase, "%v", time.Since(began))
		b.recordFailure(time.Now())
		again := time.Now()
		b.wait(t.Context())
		assert.Assert(t, time.Since(again) >= backoffFactor*backoffBase/2, "%v", time.Since(again))
	})
}
