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

// Ports are the platform's protocols and names that a daemon uses.
type Ports struct {
	Store pkstore.Store
	Feed  pkstore.Feed
	// ConfigKey is the key of the operators' configuration, ReplicaPrefix the prefix of the list of
	// replicas, OwnPrefix the prefix of the daemons' own keys.
	ConfigKey     string
	ReplicaPrefix string
	OwnPrefix     string
	// Config decodes the operators' configuration.
	Config func(raw []byte) (pkconfig.Config, error)
	// Replica decodes an entry of the list of replicas. The record is valid also with an error,
	// which says why the entry names no replica.
	Replica func(pkstore.Item) (pkreplica.Record, error)
	// ReplicaID returns the replica that a key belongs to.
	ReplicaID func(key string) pkid.TargetID
	Dialect   pkforward.Dialect
	Sender    *pkforward.Sender
	Engines   pkowner.Engines
	// Conns tracks the connections to targets.
	Conns *pkconn.Registry
}

// Daemon is an entry of the fleet.
type Daemon struct {
	Ports
	settings Settings
	// retry and seeds are the settings that can change while the daemon runs.
	retry   atomic.Pointer[Retry]
	seeds   atomic.Pointer[[]string]
	log     hclog.Logger
	metrics *metrics

	book   pkconfig.Holder
	roster pkreplica.Roster
	paces  pkpace.Table
	pipes  pklayers.LinkUsage
	// crowding is how the cost of an engine grows as its memory fills.
	crowding pklayers.MemoryPenalty
	members  members
	store    breaker
	// watches are the watches of the store in progress.
	watches    pkwait.Group
	staleWatch staleWatchDetector
	era        eraTracker
	storeCalls storeCallCounts
	// pendingOrders are the orders in progress by pool; only reconcilePools uses them.
	pendingOrders map[pkid.ServiceID]*pkowner.Scheduler
	// ownerlessSince is since when no owner is known; only reconcilePools uses it.
	ownerlessSince time.Time
	// nextAcquire is when this daemon may try again to become the owner; only reconcilePools uses
	// it.
	nextAcquire time.Time
	budgets     budgets
	gossip      gossip
	streams     attemptSet
	// refusedEngines are engines to check for liveness and draining.
	refusedEngines chan refusedEngine
	quarantine     quarantine

	started time.Time

	callers net.Listener
	ready   net.Listener

	// configured is closed once a configuration is in force.
	configured  chan struct{}
	firstConfig sync.Once
	listed      atomic.Bool
	stopping    atomic.Bool
	active      atomic.Int64
	// lastShortageLog is when a lack of capacity was last logged, in Unix nanoseconds.
	lastShortageLog atomic.Int64
}

// New returns a daemon whose listeners are open. Requests are served once Run is called.
func New(s Settings, p Ports, log hclog.Logger) (*Daemon, error) {
	d := &Daemon{Ports: p, settings: s, log: log, configured: make(chan struct{}), crowding: pklayers.InversePenalty}
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
	if err := d.gossip.open(s.Listen); err != nil {
		return nil, errors.Join(err, d.callers.Close(), d.ready.Close())
	}
	return d, nil
}

// Reload applies changed settings to a running daemon. Only Retry and Seeds take effect at once;
// other changes are logged and need a restart.
func (d *Daemon) Reload(s Settings) {
	d.retry.Store(&s.Retry)
	d.seeds.Store(&s.Seeds)
	started := d.settings
	started.Retry, started.Seeds = s.Retry, s.Seeds
	if !reflect.DeepEqual(started, s) {
		d.log.Warn("some changed settings take effect only after a restart")
	}
	d.log.Info("settings reloaded", "retry_ratio", s.Retry.Ratio, "retry_slack", s.Retry.Slack, "seeds", len(s.Seeds))
}

// CallersAddr returns the listen address for callers.
func (d *Daemon) CallersAddr() string { return d.callers.Addr().String() }

// ReadyAddr returns the listen address for readiness and metrics.
func (d *Daemon) ReadyAddr() string { return d.ready.Addr().String() }

// Run serves until ctx ends, stops gracefully, and returns once all its goroutines have ended.
func (d *Daemon) Run(ctx context.Context) error {
	d.started = time.Now()
	// The loops outlive ctx: requests in progress need them until the end.
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	server := newCallerServer(d)
	readiness := &http.Server{Handler: d.readinessHandler(), ReadHeaderTimeout: readinessTimeout}
	var g run.Group
	g.Add(func() error { return d.waitAndStop(ctx, server) }, func(error) { cancel() })
	g.Add(func() error { return server.run(inner) }, func(error) { server.close() })
	g.Add(func() error { return untilDone(inner, readiness.Serve(d.ready)) }, func(error) { _ = readiness.Close() })
	if d.gossip.listener != nil {
		peers := &http.Server{Handler: d.peersHandler(inner), ReadHeaderTimeout: readinessTimeout}
		g.Add(func() error { return untilDone(inner, peers.Serve(d.gossip.listener)) }, func(error) { _ = peers.Close() })
	}
	for _, loop := range []func(context.Context){d.followConfig, d.followReplicas, d.followMembers, d.pollConfig, d.maintainLease, d.reconcilePools, d.sendToPeers, d.updateLoads, d.rerouteStreams, d.watchEngines, d.pollPaces, d.logStoreCalls, d.detectCrashes, d.saveQuarantined, d.checkRefusedEngines} {
		g.Add(func() error { loop(inner); return nil }, func(error) { cancel() })
	}
	return g.Run()
}

// untilDone keeps a server closed by the stop from ending the run group before the stop is
// complete.
func untilDone(ctx context.Context, err error) error {
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

const (
	// readinessTimeout bounds reading the headers of requests from the platform and from peers.
	readinessTimeout = 2 * time.Second
	// drainListenTime is how long a stopping daemon keeps accepting connections: the load balancer
	// removes it after two failed readiness checks a second apart.
	drainListenTime = 3 * time.Second
	// stopMargin is the part of the grace period left for the process to exit by itself.
	stopMargin = 700 * time.Millisecond
)

// waitAndStop waits for the end of ctx and stops gracefully. The daemon reports that it is not
// ready but accepts requests for drainListenTime, since the load balancer keeps sending them. Then
// it closes the listener and idle connections, and waits for requests in progress until the grace
// period ends.
func (d *Daemon) waitAndStop(ctx context.Context, s *callerServer) error {
	<-ctx.Done()
	began := time.Now()
	d.stopping.Store(true)
	grace := max(seconds(d.settings.Stop.GraceS)-stopMargin, 0)
	d.log.Info("stopping", "grace_s", d.settings.Stop.GraceS, "active", d.active.Load())
	ctx = context.WithoutCancel(ctx)
	d.revokeLease(ctx)
	pktimer.Sleep(ctx, min(drainListenTime, grace)-time.Since(began))
	within, cancel := context.WithTimeout(ctx, grace-time.Since(began))
	defer cancel()
	err := s.shutdown(within)
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

// isReady reports whether new callers should be sent to this daemon.
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
