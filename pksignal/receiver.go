package pksignal

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"
)

// Receiver receives the signals of a process. It never returns a signal to its default action, which would end the
// process together with the requests that it serves.
type Receiver struct {
	// Each kind of signal has a channel of its own, so that repeated hangups cannot displace a stop.
	hangups, stops chan os.Signal
	// brokenPipes takes the signals of writes to an output without a reader, whose errors are enough.
	brokenPipes chan os.Signal
}

// Listen returns a Receiver that receives all further signals of the process.
func Listen() *Receiver {
	r := newReceiver()
	signal.Notify(r.hangups, syscall.SIGHUP)
	signal.Notify(r.stops, syscall.SIGINT, syscall.SIGTERM)
	signal.Notify(r.brokenPipes, syscall.SIGPIPE)
	return r
}

func newReceiver() *Receiver {
	return &Receiver{hangups: make(chan os.Signal, 1), stops: make(chan os.Signal, 1), brokenPipes: make(chan os.Signal, 1)}
}

// Options are how a daemon handles signals.
type Options struct {
	Log hclog.Logger
	// Reload checks the settings file for changes; it is nil if the daemon reads its settings only when it starts.
	Reload func()
	// ReloadInterval is how often Reload is called without a signal; zero means never.
	ReloadInterval time.Duration
}

// Run calls serve with a context that is canceled by the first signal that stops the daemon, handles signals until
// serve returns, and returns its error.
func (r *Receiver) Run(o Options, serve func(ctx context.Context) error) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	served := make(chan struct{})
	var handling sync.WaitGroup
	handling.Go(func() { r.handle(o, stop, served) })
	defer handling.Wait()
	defer close(served)
	return serve(ctx)
}

// handle handles signals until served is closed.
func (r *Receiver) handle(o Options, stop func(), served <-chan struct{}) {
	var ticks <-chan time.Time
	if o.Reload != nil && o.ReloadInterval > 0 {
		t := time.NewTicker(o.ReloadInterval)
		defer t.Stop()
		ticks = t.C
	}
	stage := r.handlePending(o, stop)
	for {
		select {
		case s := <-r.hangups:
			stage = stage.handle(s, o, stop)
		case s := <-r.stops:
			stage = stage.handle(s, o, stop)
		case <-ticks:
			o.Reload()
		case <-served:
			return
		}
	}
}

// handlePending handles the signals that came while the daemon started.
func (r *Receiver) handlePending(o Options, stop func()) Stage {
	stage := Starting
	for _, signals := range []<-chan os.Signal{r.hangups, r.stops} {
		select {
		case s := <-signals:
			stage = stage.handle(s, o, stop)
		default:
		}
	}
	if stage == Starting {
		return Serving
	}
	return stage
}

// handle carries out what a signal does and returns the next stage.
func (s Stage) handle(sig os.Signal, o Options, stop func()) Stage {
	effect := s.Effect(sig, o.Reload != nil)
	o.Log.Info("signal received", "signal", nameOf(sig), "stage", s, "effect", effect)
	if effect == None {
		return s
	}
	// The settings may have changed without a signal, and a stop goes by the latest.
	if o.Reload != nil {
		o.Reload()
	}
	if effect == Reload {
		return s
	}
	stop()
	return Stopping
}

func nameOf(s os.Signal) string {
	if number, ok := s.(syscall.Signal); ok {
		return unix.SignalName(number)
	}
	return s.String()
}
