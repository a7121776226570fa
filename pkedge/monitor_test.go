package pkedge

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkowner"
)

// crashingEngines close idle connections after idleTimeout, and refuse connections from crashAt on.
type crashingEngines struct {
	pkowner.Engines
	idleTimeout time.Duration
	crashAt     time.Time
}

func (e crashingEngines) AwaitClose(ctx context.Context, _ string) error {
	now := time.Now()
	if !now.Before(e.crashAt) {
		return fmt.Errorf("hold: %w", syscall.ECONNREFUSED)
	}
	select {
	case <-ctx.Done():
	case <-time.After(min(e.idleTimeout, e.crashAt.Sub(now))):
	}
	return nil
}

// Guards against finding a crashed engine only by its silent streams: the connection held to it
// must show the crash at once. An engine that closes idle connections must not be taken for
// crashed.
func TestEngineCrashEndsHeldConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := poolDaemon(engine("crashing", "a", 0, 80))
		one, _ := d.roster.Target("crashing")
		began := time.Now()
		const idle, uptime = 1500 * time.Millisecond, 10 * time.Second
		d.Engines = crashingEngines{idleTimeout: idle, crashAt: began.Add(uptime)}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			d.monitorEngine(ctx, one)
		}()
		go d.confirmSuspicions(ctx)
		time.Sleep(uptime - time.Nanosecond)
		synctest.Wait()
		assert.Assert(t, !one.IsGone(time.Now()) && !one.Avoided(time.Now()))
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		assert.Assert(t, one.IsGone(time.Now()))
		assert.Equal(t, len(d.gossip.suspects), 1)
		cancel()
		<-ended
	})
}
