package pkedge

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// The store turns an entry away for eight seconds while three loops of it follow what it
// holds. Each asks again on its own, and so do those of 78 entries: half of all calls of the
// day. One loop must ask for all, and all must go on as soon as the lease is renewed again.
func TestOneLoopAsksALostStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const loops, lost = 3, 8 * time.Second
		var g gate
		began := time.Now()
		var calls atomic.Int64
		back := make(chan time.Duration, loops)
		renewed := make(chan struct{})
		go func() {
			defer close(renewed)
			time.Sleep(lost + leaseEvery/2)
			g.renewed(time.Now())
		}()
		for range loops {
			go func() {
				for {
					g.enter(t.Context())
					if time.Since(began) >= lost {
						g.answered()
						back <- time.Since(began)
						return
					}
					calls.Add(1)
					g.failed(time.Now())
				}
			}()
		}
		for range loops {
			assert.Assert(t, <-back < lost+800*time.Millisecond)
		}
		<-renewed
		// The first calls of the loops are made before the loss is known.
		assert.Assert(t, calls.Load() <= 2*loops+8, "%d calls", calls.Load())
	})
}

// The store is lost for eight seconds, and each entry goes on asking for the configuration:
// 78 of them made 1,900 failing calls, a quarter of their day's. They must ask seldom, and
// yet be back as soon as the store is: a renewal of the lease, which goes on each second at a
// tenth of the price, tells.
func TestARenewalTellsThatTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lost = 8 * time.Second
		var g gate
		began := time.Now()
		calls := 0
		done := make(chan struct{})
		go func() {
			defer close(done)
			for time.Since(began) < lost {
				calls++
				g.failed(time.Now())
				g.enter(t.Context())
			}
		}()
		time.Sleep(lost)
		g.renewed(time.Now())
		<-done
		assert.Equal(t, time.Since(began), lost)
		assert.Assert(t, calls <= 8, "%d calls", calls)
	})
}

// A loop that waits for the store ends with its entry.
func TestTheGateLetsGoAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g gate
		g.failed(time.Now())
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		began := time.Now()
		g.enter(ctx)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// Guards against a list that is read a second late: three watches end with one connection each, count as
// three failures, and the short pause for connections that were cut never comes.
func TestWatchesThatEndTogetherAreOneLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const loops = 3
		var g gate
		began := time.Now()
		for range loops {
			g.failed(began)
		}
		g.enter(t.Context())
		assert.Assert(t, time.Since(began) <= retryFirst, "%v", time.Since(began))
		g.failed(time.Now())
		again := time.Now()
		g.enter(t.Context())
		assert.Assert(t, time.Since(again) >= retryGrowth*retryFirst/2, "%v", time.Since(again))
	})
}
