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

// mortalEngines end idle connections as engines do, and all of them when they die; then they
// refuse others.
type mortalEngines struct {
	pkowner.Engines
	idle  time.Duration
	death time.Time
}

func (e mortalEngines) Hold(ctx context.Context, _ string) error {
	now := time.Now()
	if !now.Before(e.death) {
		return fmt.Errorf("hold: %w", syscall.ECONNREFUSED)
	}
	select {
	case <-ctx.Done():
	case <-time.After(min(e.idle, e.death.Sub(now))):
	}
	return nil
}

// An engine dies between two events of all of its streams. They fall silent, and only after
// 60 to 120 ms does silence say that something is wrong, with a pause of 200 ms all that
// callers accept. The connection that an entry holds to the engine ends at once; an engine
// that closes idle connections must not be taken for one that died.
func TestAnEngineIsGoneAsSoonAsItsConnectionIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := poolDaemon(engine("mortal", "a", 0, 80))
		one, _ := d.roster.Target("mortal")
		began := time.Now()
		const idle, life = 1500 * time.Millisecond, 10 * time.Second
		d.Engines = mortalEngines{idle: idle, death: began.Add(life)}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			d.watchEngine(ctx, one)
		}()
		time.Sleep(life - time.Nanosecond)
		synctest.Wait()
		assert.Assert(t, !one.IsGone(time.Now()) && !one.Avoided(time.Now()))
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		assert.Assert(t, one.IsGone(time.Now()))
		assert.Equal(t, len(d.sharing.suspects), 1)
		cancel()
		<-ended
	})
}
