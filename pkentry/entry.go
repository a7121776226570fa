package pkentry

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
	"go.opentelemetry.io/otel/trace"

	"peridotknot.example/pkanswer"
	"peridotknot.example/pkmachine"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pkserver"
	"peridotknot.example/pktarget"
	"peridotknot.example/pkverdict"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 32 << 10
	// abortGrace bounds how long requests aborted by a shutdown may take to report it to their
	// clients.
	abortGrace = time.Second
)

// Entry is an entry daemon; create it with New and start it with Run.
type Entry struct {
	settings Settings
	log      hclog.Logger
	tracer   trace.Tracer

	ports  Ports
	runner *pkanswer.Runner

	view     atomic.Pointer[pkmanifest.View]
	targets  pktarget.Table
	routes   routeCache
	gates    gates
	metrics  *metrics
	recorder *recorder

	// loadsPolled is set after the first poll of target loads. Until then the entry does not know
	// what its targets hold and would reject every request, so it is not ready.
	loadsPolled atomic.Bool
	stopping    atomic.Bool
	refusing    atomic.Bool
	// leaving is set after the claims are handed over: a peer that sees it closes the connection
	// they are sent on.
	leaving        atomic.Bool
	peers          *peers
	owners         owners
	claims         claims
	callers        pkserver.Server
	guard          pkserver.Guard
	callerListener *net.TCPListener
	peerListener   net.Listener
	adminListener  net.Listener
	manifest       manifestState
	cancellations  chan cancellation
	// registration is used only by the contactSeeds loop.
	registration registration
}

// New returns an entry with open listeners that accepts requests once Run is called. It takes
// ownership of the ports and closes them, also if New fails.
func New(s Settings, p Ports, log hclog.Logger, tracer trace.Tracer) (*Entry, error) {
	e := &Entry{
		settings:      s,
		log:           log.With("entry", s.Entry),
		tracer:        tracer,
		ports:         p,
		metrics:       newMetrics(),
		cancellations: make(chan cancellation, cancelQueueSize),
	}
	e.routes.links = s.links()
	e.routes.from = s.DataCenter
	e.runner = &pkanswer.Runner{Engine: p.Engines, Router: e, Options: pkanswer.DefaultOptions(), Cancel: e.queueCancel}
	memory, err := pkmachine.LimitMemory(s.MemoryMB)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("read the memory of the machine: %w", err), p.close())
	}
	e.guard = pkserver.Guard{Budget: &e.callers.Budget, Memory: memory, Descriptors: s.MaxDescriptors, Largest: e.largestRequest, Log: e.log}
	e.metrics.registerGauges(e)
	if e.recorder, err = newRecorder(s.Record); err != nil {
		return nil, errors.Join(err, p.close())
	}
	if err := e.listen(); err != nil {
		return nil, errors.Join(err, e.close())
	}
	e.peers = e.newPeers(e.PeersAddr())
	return e, nil
}

func (e *Entry) listen() error {
	var err error
	if e.callerListener, err = e.guard.Listen(e.settings.Listen.Callers); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if e.adminListener, err = net.Listen("tcp", e.settings.Listen.Admin); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	if e.settings.Listen.Peers == "" {
		return nil
	}
	if e.peerListener, err = net.Listen("tcp", e.settings.Listen.Peers); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	return nil
}

// CallersAddr returns the address of the client listener.
func (e *Entry) CallersAddr() string { return e.callerListener.Addr().String() }

// AdminAddr returns the address of the admin listener.
func (e *Entry) AdminAddr() string { return e.adminListener.Addr().String() }

// PeersAddr returns the address of the peer listener, or an empty string if the entry has none.
func (e *Entry) PeersAddr() string {
	if e.peerListener == nil {
		return ""
	}
	return e.peerListener.Addr().String()
}

// Run serves until ctx is canceled, then shuts down gracefully. It returns after all goroutines
// that the entry started have ended.
func (e *Entry) Run(ctx context.Context) error {
	// The loops outlive ctx because requests in progress need them during the shutdown.
	loopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	calls, abortCalls := context.WithCancelCause(loopCtx)
	defer abortCalls(nil)
	if err := e.prepareCallers(calls); err != nil {
		return errors.Join(err, e.close())
	}
	admin := e.server(loopCtx, e.adminHandler())
	var g run.Group
	g.Add(func() error { return e.waitAndStop(ctx, abortCalls) }, func(error) { cancel() })
	g.Add(func() error { return serve(&e.callers, e.callerListener, loopCtx) }, func(error) { _ = e.callers.Close() })
	g.Add(func() error { return serve(admin, e.adminListener, loopCtx) }, func(error) { _ = admin.Close() })
	loops := []func(context.Context){e.syncManifest, e.pollVMs, e.pollLoads, e.maintainGates, e.sendCancels, e.reconcilePools, e.guard.Run}
	if e.peerListener != nil {
		peers := e.server(loopCtx, e.peersHandler())
		g.Add(func() error { return serve(peers, e.peers.net.Listen(e.peerListener), loopCtx) }, func(error) { _ = peers.Close() })
		loops = append(loops, e.maintainPeers, e.contactSeeds)
	}
	for _, loop := range loops {
		g.Add(func() error { loop(loopCtx); return nil }, func(error) { cancel() })
	}
	err := g.Run()
	return errors.Join(err, e.close())
}

// prepareCallers sets what the server of callers does; the contexts of calls derive from ctx.
func (e *Entry) prepareCallers(ctx context.Context) error {
	e.callers.Handler = e.callersHandler()
	e.callers.BaseContext = func(net.Listener) context.Context { return ctx }
	e.callers.ErrorLog = e.errorLog()
	e.guard.Apply()
	return e.callers.SetLimits(pkserver.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout})
}

// errorLog returns the log of HTTP servers.
func (e *Entry) errorLog() *log.Logger {
	return e.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
}

// server returns an HTTP server whose request contexts derive from ctx.
func (e *Entry) server(ctx context.Context, h http.Handler) *http.Server {
	return &http.Server{
		BaseContext:       func(net.Listener) context.Context { return ctx },
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          e.errorLog(),
	}
}

// serve runs s on l. After s is closed it blocks until ctx is done, so that a closed server does
// not end the run group before the shutdown is complete.
func serve[L net.Listener](s interface{ Serve(l L) error }, l L, ctx context.Context) error {
	err := s.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

// waitAndStop waits for ctx and shuts down in steps: it reports not ready while the load balancer
// drains, then rejects new requests, then waits up to the stop limit for requests in progress.
// Requests that are still running are aborted with an error, so that their clients get a verdict
// and not just a closed connection.
func (e *Entry) waitAndStop(ctx context.Context, abortCalls context.CancelCauseFunc) error {
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
	shutdownCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() {
		select {
		case <-limit.C:
			cancel()
		case <-shutdownCtx.Done():
		}
	}()
	defer func() {
		e.handOverClaims(context.WithoutCancel(ctx), e.peers.neighbors(time.Now()))
		e.leaving.Store(true)
	}()
	if err := e.callers.Shutdown(shutdownCtx); err != nil {
		e.log.Warn("shutdown limit reached; aborting requests in progress")
		abortCalls(pkverdict.ErrStopping)
		abortCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortGrace)
		defer cancel()
		if err := e.callers.Shutdown(abortCtx); err != nil {
			return e.callers.Close()
		}
	}
	return nil
}

func (e *Entry) close() error {
	var errs []error
	listeners := []net.Listener{e.adminListener, e.peerListener}
	if e.callerListener != nil {
		listeners = append(listeners, e.callerListener)
	}
	for _, l := range listeners {
		if l != nil {
			if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
				errs = append(errs, err)
			}
		}
	}
	errs = append(errs, e.recorder.Close(), e.ports.close())
	return errors.Join(errs...)
}
