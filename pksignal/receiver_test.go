package pksignal

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// Guards against a stop that begins twice, and against a hangup that does anything but check the settings file.
func TestEffects(t *testing.T) {
	for _, c := range []struct {
		stage   Stage
		signal  os.Signal
		reloads bool
		want    Effect
	}{
		{Starting, syscall.SIGHUP, true, Reload},
		{Serving, syscall.SIGHUP, true, Reload},
		{Stopping, syscall.SIGHUP, true, Reload},
		{Starting, syscall.SIGHUP, false, None},
		{Serving, syscall.SIGHUP, false, None},
		{Stopping, syscall.SIGHUP, false, None},
		{Starting, syscall.SIGTERM, true, Stop},
		{Serving, syscall.SIGINT, true, Stop},
		{Serving, syscall.SIGTERM, false, Stop},
		{Stopping, syscall.SIGTERM, true, None},
		{Stopping, syscall.SIGINT, false, None},
		{Serving, syscall.SIGUSR1, true, None},
	} {
		assert.Equal(t, c.stage.Effect(c.signal, c.reloads), c.want, "%s while %s", c.signal, c.stage)
	}
}

// daemon counts what a Receiver calls.
type daemon struct {
	receiver *Receiver
	reloads  int
	stopped  bool
	// end ends the daemon.
	end chan error
}

// run runs a daemon until d.end has a value.
func (d *daemon) run(interval time.Duration) error {
	o := Options{Log: hclog.NewNullLogger(), Reload: func() { d.reloads++ }, ReloadInterval: interval}
	return d.receiver.Run(o, func(ctx context.Context) error {
		<-ctx.Done()
		d.stopped = true
		return <-d.end
	})
}

// Guards against hangups that are lost or end the daemon around a stop, and against a stop by outdated settings.
func TestSignalsAroundAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &daemon{receiver: newReceiver(), end: make(chan error)}
		d.receiver.hangups <- syscall.SIGHUP // while it starts
		ended := make(chan error)
		go func() { ended <- d.run(0) }()
		synctest.Wait()
		assert.Equal(t, d.reloads, 1)
		d.receiver.stops <- syscall.SIGTERM
		synctest.Wait()
		assert.Assert(t, d.stopped)
		assert.Equal(t, d.reloads, 2)
		d.receiver.stops <- syscall.SIGTERM
		d.receiver.hangups <- syscall.SIGHUP
		synctest.Wait()
		assert.Equal(t, d.reloads, 3)
		failure := errors.New("failure")
		d.end <- failure
		assert.ErrorIs(t, <-ended, failure)
	})
}

// Guards against settings that change without a signal and are not checked, also while the daemon stops.
func TestSettingsAreCheckedWithoutASignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &daemon{receiver: newReceiver(), end: make(chan error)}
		ended := make(chan error)
		go func() { ended <- d.run(2 * time.Second) }()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		assert.Equal(t, d.reloads, 1)
		d.receiver.stops <- syscall.SIGTERM
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, d.reloads, 3)
		d.end <- nil
		assert.NilError(t, <-ended)
	})
}
