package pkedge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkconn"
	"peridotknot.example/pkforward"
	"peridotknot.example/pkid"
	"peridotknot.example/pklayers"
	"peridotknot.example/pkowner"
	"peridotknot.example/pkpace"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkretry"
	"peridotknot.example/pkstore"
	"peridotknot.example/pktimer"
	"peridotknot.example/pkwait"
)

// Ports is what a daemon needs of its platform.
type Ports struct {
	Store pkstore.Store
	Feed  pkstore.Feed
	// ConfigKey holds the operators' configuration, ReplicaPrefix the entries of
	// replicas, OwnPrefix the daemons' own keys.
	ConfigKey     string
	ReplicaPrefix string
	OwnPrefix     string
	// Config reads the operators' configuration.
	Config func(raw []byte) (pkconfig.Config, error)
	// Replica reads a replica's entry; the record stands also where an error says why the entry
	// names no replica.
	Replica func(pkstore.Item) (pkreplica.Record, error)
	// ReplicaID returns the replica that a key belongs to.
	ReplicaID func(key string) pkid.TargetID
	Dialect   pkforward.Dialect
	Sender    *pkforward.Sender
	Engines   pkowner.Engines
	// Conns knows the connections to targets.
	Conns *pkconn.Registry
}

// Daemon is one running entry.
type Daemon struct {
	Ports
	settings Settings
	// retry and seeds are what a changed settings file takes effect on.
	retry   atomic.Pointer[Retry]
	seeds   atomic.Pointer[[]string]
	log     hclog.Logger
	metrics *metrics

	book   pkconfig.Book
	roster pkreplica.Roster
	paces  pkpace.Table
	pipes  pklayers.Pipes
	// crowding is how soon requests turn to slower engines.
	crowding pklayers.Crowding
	members  members
	store    breaker
	// watches are those under way at the store.
	watches pkwait.Group
	unheard unheard
	era     eraClock
	calls   calls
	// pendingOrders are the orders in progress by pool; only reconcilePools uses them.
	pendingOrders map[pkid.ServiceID]*pkowner.Desk
	// ownerlessSince is since when no owner is known; only reconcilePools uses it.
	ownerlessSince time.Time
	// nextAcquire is when this daemon may try again to become the owner; only reconcilePools uses
	// it.
	nextAcquire time.Time
	budgets     budgets
	sharing     sharing
	streams     attemptSet
	// refusedEngines are engines to check for liveness and draining.
	refusedEngines chan refusedEngine
	// quarantine is which requests are kept from replicas.
	quarantine quarantine

	// started is when the daemon began to run.
	started time.Time

	callers net.Listener
	ready   net.Listener

	// configured is closed once a configuration is in force.
	configured  chan struct{}
	firstConfig sync.Once
	listed      atomic.Bool
	stopping    atomic.Bool
	active      atomic.Int64
	// shortAt is when it was last logged what a pool lacks, in Unix nanoseconds.
	shortAt atomic.Int64
}

// New returns a daemon that listens already and serves once Run is called.
func New(s Settings, p Ports, log hclog.Logger) (*Daemon, error) {
	d := &Daemon{Ports: p, settings: s, log: log, configured: make(chan struct{}), crowding: pklayers.FreeCrowding}
	d.retry.Store(&s.Retry)
	d.seeds.Store(&s.Seeds)
	d.streams.wake = make(chan struct{}, 1)
	d.refusedEngines = make(chan refusedEngine, maxRefusedEngines)
	d.metrics = newMetrics(d)
	var err error
	if d.callers, err = net.Listen("tcp", s.Listen.Callers); err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	if d.ready, err = net.Listen("tcp", s.Listen.Ready); err != nil {
		return nil, errors.Join(fmt.Errorf("listen for readiness: %w", err), d.callers.Close())
	}
	if err := d.sharing.open(s.Listen); err != nil {
		return nil, errors.Join(err, d.callers.Close(), d.ready.Close())
	}
	return d, nil
}

// Reload takes changed settings over while requests go on. Addresses and names are
// those of the start; a change of one is logged and waits for the next start.
func (d *Daemon) Reload(s Settings) {
	d.retry.Store(&s.Retry)
	d.seeds.Store(&s.Seeds)
	started := d.settings
	started.Retry, started.Seeds = s.Retry, s.Seeds
	if !reflect.DeepEqual(started, s) {
		d.log.Warn("some changed settings take effect at the next start only")
	}
	d.log.Info("settings reloaded", "retry_ratio", s.Retry.Ratio, "retry_slack", s.Retry.Slack, "seeds", len(s.Seeds))
}

// Callers returns the address that callers reach.
func (d *Daemon) Callers() string { return d.callers.Addr().String() }

// Ready returns the address of readiness and metrics.
func (d *Daemon) Ready() string { return d.ready.Addr().String() }

// Run serves until ctx ends, then stops gracefully and returns once everything
// that it started has ended.
func (d *Daemon) Run(ctx context.Context) error {
	d.started = time.Now()
	// The loops outlive ctx: requests in progress need them until the end.
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	front := newFront(d)
	readiness := &http.Server{Handler: d.readinessHandler(), ReadHeaderTimeout: readinessTimeout}
	var g run.Group
	g.Add(func() error { return d.waitAndStop(ctx, front) }, func(error) { cancel() })
	g.Add(func() error { return front.run(inner) }, func(error) { front.close() })
	g.Add(func() error { return untilDone(inner, readiness.Serve(d.ready)) }, func(error) { _ = readiness.Close() })
	if d.sharing.listener != nil {
		peers := &http.Server{Handler: d.peersHandler(inner), ReadHeaderTimeout: readinessTimeout}
		g.Add(func() error { return untilDone(inner, peers.Serve(d.sharing.listener)) }, func(error) { _ = peers.Close() })
	}
	for _, loop := range []func(context.Context){d.followConfig, d.followReplicas, d.followMembers, d.peekConfig, d.keepLease, d.reconcilePools, d.tellPeers, d.takeLoads, d.rerouteStreams, d.watchEngines, d.pollPaces, d.logCalls, d.detectCrashes, d.saveQuarantined, d.checkRefusedEngines} {
		g.Add(func() error { loop(inner); return nil }, func(error) { cancel() })
	}
	return g.Run()
}

// untilDone keeps a closed server from ending the group before the stop is done.
func untilDone(ctx context.Context, err error) error {
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

const (
	// readinessTimeout bounds a question for readiness.
	readinessTimeout = 2 * time.Second
	// stopListen is how long a stopping daemon goes on taking what the balancer
	// sends: two missed questions a second apart, and one second more.
	stopListen = 3 * time.Second
	// stopMargin is kept of the grace, so that the process ends by itself.
	stopMargin = 700 * time.Millisecond
)

// waitAndStop waits for the end of ctx and stops gracefully. The daemon is not
// ready at once but serves on: the balancer goes on sending for some seconds, and
// callers use their open connections until they are told to close them. Then it
// closes connections as they become idle: one that stayed open through a long
// stream would bring requests that cannot end within the grace.
func (d *Daemon) waitAndStop(ctx context.Context, f *front) error {
	<-ctx.Done()
	began := time.Now()
	d.stopping.Store(true)
	grace := max(seconds(d.settings.Stop.GraceS)-stopMargin, 0)
	d.log.Info("stopping", "grace_s", d.settings.Stop.GraceS, "active", d.active.Load())
	ctx = context.WithoutCancel(ctx)
	d.leave(ctx)
	pktimer.Sleep(ctx, min(stopListen, grace)-time.Since(began))
	within, cancel := context.WithTimeout(ctx, grace-time.Since(began))
	defer cancel()
	err := f.shutdown(within)
	d.log.Info("stopped", "active", d.active.Load(), "after", time.Since(began).String())
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

func (d *Daemon) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !d.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", d.metrics.handler())
	return mux
}

// isReady says whether new callers should be sent here.
func (d *Daemon) isReady() bool {
	return d.book.Table() != nil && d.listed.Load() && !d.stopping.Load()
}

// budgets are the retry budgets by service.
type budgets struct {
	mu  sync.Mutex
	all map[pkid.ServiceID]*pkretry.Budget
}

func (b *budgets) of(s pkid.ServiceID) *pkretry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.all == nil {
		b.all = map[pkid.ServiceID]*pkretry.Budget{}
	}
	if b.all[s] == nil {
		b.all[s] = &pkretry.Budget{}
	}
	return b.all[s]
}
