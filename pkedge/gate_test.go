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
// day. One loop must ask for all, and all must go on at once when the store answers.
func TestOneLoopAsksALostStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const loops, lost = 3, 8 * time.Second
		var g gate
		began := time.Now()
		var calls atomic.Int64
		back := make(chan time.Duration, loops)
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
			assert.Assert(t, <-back < lost+retryMost)
		}
		// The first calls of the loops are made before the loss is known.
		assert.Assert(t, calls.Load() <= loops+int64(lost/(retryMost/2))+3, "%d calls", calls.Load())
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
