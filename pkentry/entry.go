package pkentry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
	"go.opentelemetry.io/otel/trace"

	"peridotknot.example/pkanswer"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pktarget"
	"peridotknot.example/pkverdict"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 32 << 10
	// lastWords is how long requests that are ended by a stop have to say so.
	lastWords = time.Second
)

// Entry is one running entry daemon.
type Entry struct {
	settings Settings
	log      hclog.Logger
	tracer   trace.Tracer

	ports  Ports
	runner *pkanswer.Runner

	view     atomic.Pointer[pkmanifest.View]
	targets  pktarget.Table
	routes   routes
	gates    gates
	metrics  *metrics
	recorder *recorder

	// warm is set once the targets were asked for their loads: an entry that
	// is sent callers before it knows what its targets hold refuses them all.
	warm     atomic.Bool
	stopping atomic.Bool
	refusing atomic.Bool
	// leaving is set once claims were handed over; a peer that is told closes
	// the connection by which they go.
	leaving   atomic.Bool
	peers     *peers
	owners    owners
	claims    claims
	callers   net.Listener
	peerSide  net.Listener
	admin     net.Listener
	follow    follower
	cancelled chan cancelled
	// registration belongs to the loop that meets seeds.
	registration registration
}

// New returns an entry that listens already and serves once Run is called; it closes
// its ports, also where New fails.
func New(s Settings, p Ports, log hclog.Logger, tracer trace.Tracer) (*Entry, error) {
	e := &Entry{
		settings:  s,
		log:       log.With("entry", s.Entry),
		tracer:    tracer,
		ports:     p,
		metrics:   newMetrics(),
		cancelled: make(chan cancelled, cancelQueue),
	}
	e.routes.links = s.links()
	e.routes.from = s.DataCenter
	e.runner = &pkanswer.Runner{Engine: p.Engines, Router: e, Options: pkanswer.DefaultOptions(), Cancel: e.cancel}
	e.metrics.watch(e)
	var err error
	if e.recorder, err = newRecorder(s.Record); err != nil {
		return nil, errors.Join(err, p.close())
	}
	if err := e.listen(); err != nil {
		return nil, errors.Join(err, e.close())
	}
	e.peers = e.newPeers(e.Peers())
	return e, nil
}

func (e *Entry) listen() error {
	var err error
	if e.callers, err = net.Listen("tcp", e.settings.Listen.Callers); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if e.admin, err = net.Listen("tcp", e.settings.Listen.Admin); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	if e.settings.Listen.Peers == "" {
		return nil
	}
	if e.peerSide, err = net.Listen("tcp", e.settings.Listen.Peers); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	return nil
}

// Callers returns the address that callers reach.
func (e *Entry) Callers() string { return e.callers.Addr().String() }

// Admin returns the address that operators reach.
func (e *Entry) Admin() string { return e.admin.Addr().String() }

// Peers returns the address that other entries reach; it is empty for an entry
// that stays alone.
func (e *Entry) Peers() string {
	if e.peerSide == nil {
		return ""
	}
	return e.peerSide.Addr().String()
}

// Run serves until ctx ends, then stops gracefully and returns once
// everything that the entry started has ended.
func (e *Entry) Run(ctx context.Context) error {
	// The loops outlive ctx: requests in progress need them until the end.
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	calls, endCalls := context.WithCancelCause(inner)
	defer endCalls(nil)
	callers := e.server(calls, e.callersHandler())
	admin := e.server(inner, e.adminHandler())
	var g run.Group
	g.Add(func() error { return e.waitAndStop(ctx, callers, endCalls) }, func(error) { cancel() })
	g.Add(func() error { return serve(callers, e.callers, inner) }, func(error) { _ = callers.Close() })
	g.Add(func() error { return serve(admin, e.admin, inner) }, func(error) { _ = admin.Close() })
	loops := []func(context.Context){e.followManifest, e.followVMs, e.followLoads, e.tendGates, e.sendCancels, e.ownPools}
	if e.peerSide != nil {
		peers := e.server(inner, e.peersHandler())
		g.Add(func() error { return serve(peers, e.peers.net.Listen(e.peerSide), inner) }, func(error) { _ = peers.Close() })
		loops = append(loops, e.tendPeers, e.meetSeeds)
	}
	for _, loop := range loops {
		g.Add(func() error { loop(inner); return nil }, func(error) { cancel() })
	}
	err := g.Run()
	return errors.Join(err, e.close())
}

// server returns a server whose requests end with ctx at the latest.
func (e *Entry) server(ctx context.Context, h http.Handler) *http.Server {
	return &http.Server{
		BaseContext:       func(net.Listener) context.Context { return ctx },
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          e.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// serve serves until the server is closed; it stays until ctx ends, so that a
// closed server does not end the group before the stop is done.
func serve(s *http.Server, l net.Listener, ctx context.Context) error {
	err := s.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

// waitAndStop waits for the end of ctx and stops gracefully: first not ready,
// while the balancer still sends; then no new requests; then what is in
// progress ends, within the limit. What still runs then is told so: a stream
// that is merely cut leaves its caller to guess.
func (e *Entry) waitAndStop(ctx context.Context, callers *http.Server, endCalls context.CancelCauseFunc) error {
	<-ctx.Done()
	e.log.Info("stopping", "delay", e.settings.Stop.Delay, "limit", e.settings.Stop.Limit)
	e.stopping.Store(true)
	limit := time.NewTimer(e.settings.Stop.Limit)
	defer limit.Stop()
	delay := time.NewTimer(e.settings.Stop.Delay)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-limit.C:
	}
	e.refusing.Store(true)
	within, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() {
		select {
		case <-limit.C:
			cancel()
		case <-within.Done():
		}
	}()
	defer func() {
		e.handOverClaims(context.WithoutCancel(ctx), e.peers.others(time.Now()))
		e.leaving.Store(true)
	}()
	if err := callers.Shutdown(within); err != nil {
		e.log.Warn("requests were still running at the limit of the stop")
		endCalls(pkverdict.ErrStopping)
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastWords)
		defer cancel()
		if err := callers.Shutdown(last); err != nil {
			return callers.Close()
		}
	}
	return nil
}

func (e *Entry) close() error {
	var errs []error
	for _, l := range []net.Listener{e.callers, e.admin, e.peerSide} {
		if l != nil {
			if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
				errs = append(errs, err)
			}
		}
	}
	errs = append(errs, e.recorder.Close(), e.ports.close())
	return errors.Join(errs...)
}
