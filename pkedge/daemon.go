package pkedge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
	"golang.org/x/sync/singleflight"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkconn"
	"peridotknot.example/pkforward"
	"peridotknot.example/pkid"
	"peridotknot.example/pklayers"
	"peridotknot.example/pkmachine"
	"peridotknot.example/pkowner"
	"peridotknot.example/pkpace"
	"peridotknot.example/pkrate"
	"peridotknot.example/pkreach"
	"peridotknot.example/pkrelay"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkretry"
	"peridotknot.example/pkserver"
	"peridotknot.example/pkshare"
	"peridotknot.example/pkstore"
	"peridotknot.example/pktimer"
	"peridotknot.example/pkwait"
)

// Ports connects a daemon to the platform: its store, its protocols and its key names.
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
	// Replica decodes a record of the list of replicas. With an error, which gives the invalid
	// field, the record is marked deleted and unusable.
	Replica func(pkstore.Item) (pkreplica.Record, error)
	// ReplicaID returns the replica that a key belongs to.
	ReplicaID func(key string) pkid.TargetID
	Dialect   pkforward.Dialect
	Sender    *pkforward.Sender
	Engines   pkowner.Engines
	// Conns tracks the connections to targets.
	Conns *pkconn.Registry
}

// Daemon is one router process of the fleet; settings, logs and peers call it an entry.
type Daemon struct {
	Ports
	settings Settings
	// place is this entry's place in the order in which entries take turns.
	place float64
	// retry, seeds and stop are the settings that can change while the daemon runs.
	retry atomic.Pointer[Retry]
	seeds atomic.Pointer[[]string]
	stop  atomic.Pointer[Stop]
	// waitingSettings is the number of changed settings that wait for a restart.
	waitingSettings atomic.Int64
	log             hclog.Logger
	metrics         *metrics

	configs   pkconfig.Holder
	roster    pkreplica.Roster
	paces     pkpace.Table
	limits    pkrate.Table
	linkUsage pklayers.LinkUsage
	// memoryPenalty is how the cost of an engine grows as its memory fills.
	memoryPenalty pklayers.MemoryPenalty
	members       members
	// registration decides whether this daemon holds a lease; only maintainLease changes it.
	registration pkshare.Registration
	store        breaker
	// watches are the watches of the store in progress.
	watches    pkwait.Group
	staleWatch staleWatchDetector
	era        eraTracker
	storeCalls storeCallCounts
	// schedulers are the schedulers of order changes by pool; only reconcilePools uses them.
	schedulers map[pkid.ServiceID]*pkowner.Scheduler
	// ownerlessSince is since when no owner is known that acts, idleOwner is the holder of the owner's key
	// that does not act, since idleSince; only reconcilePools uses them.
	ownerlessSince time.Time
	idleOwner      ownerAt
	idleSince      time.Time
	// cutOffSince is since when this daemon, as the owner, has been cut off from a pool; only reconcilePools
	// uses it.
	cutOffSince time.Time
	// handoverUntil is until when the previous owner of the pools may still send orders; only
	// reconcilePools uses it.
	handoverUntil time.Time
	// idleReason is why this daemon orders nothing though it holds the owner's key; only reconcilePools
	// uses it.
	idleReason string
	// nextAcquire is when this daemon may try again to become the owner; only reconcilePools uses
	// it.
	nextAcquire time.Time
	budgets     budgets
	rooms       rooms
	// loadsSummedAt is when the loads of the other entries were last summed.
	loadsMu       sync.Mutex
	loadsSummedAt time.Time
	gossip        gossip
	streams       attemptSet
	// refusalCauses are engines, on whose behalf requests were refused, to check for liveness and
	// draining.
	refusalCauses chan refusalCause
	// links are this entry's links to the targets, linkChecks the checks of them in progress.
	links      pkreach.Links
	linkChecks singleflight.Group
	// relayPeers spreads the requests that this entry passes on, relayedActive counts those that
	// others have passed on to it and that are in progress.
	relayPeers    pkrelay.Peers
	relayClient   *pkrelay.Client
	relayedActive atomic.Int64
	suspected     suspectQueue
	quarantine    quarantine

	started time.Time
	// hubsSeenAt is when this daemon first knew that the fleet uses hubs; nil before.
	hubsSeenAt atomic.Pointer[time.Time]

	callers *net.TCPListener
	server  callerServer
	ready   net.Listener

	// configured is closed once a configuration is in force.
	configured  chan struct{}
	firstConfig sync.Once
	// listed is set once the list of replicas was read, linksChecked once the links to the replicas were checked.
	listed       atomic.Bool
	linksChecked atomic.Bool
	stopping     atomic.Bool
	stopState    stop
	active       atomic.Int64
	// lastRestEnd is when the last rest of a target ends, in nanoseconds since started.
	lastRestEnd atomic.Int64
	// lastShortageLog is when a lack of capacity was last logged, in Unix nanoseconds.
	lastShortageLog atomic.Int64
}

// New returns a daemon whose listeners are open. Requests are served once Run is called.
func New(s Settings, p Ports, log hclog.Logger) (*Daemon, error) {
	d := &Daemon{Ports: p, settings: s, place: placeOf(s.Entry), log: log, configured: make(chan struct{}), memoryPenalty: pklayers.InversePenalty}
	d.retry.Store(&s.Retry)
	d.seeds.Store(&s.Seeds)
	d.stop.Store(&s.Stop)
	d.stopState.ending, d.stopState.giveUp = context.WithCancel(context.Background())
	d.streams.wake = make(chan struct{}, 1)
	d.rooms.wake = make(chan struct{}, 1)
	d.refusalCauses = make(chan refusalCause, maxRefusalCauses)
	d.suspected.pending = make(chan pendingSuspicion, maxPendingSuspicions)
	memory, err := pkmachine.LimitMemory(s.MemoryMB)
	if err != nil {
		return nil, fmt.Errorf("read the memory of the machine: %w", err)
	}
	d.server.guard = pkserver.Guard{Budget: &d.server.Budget, Memory: memory, Descriptors: s.MaxDescriptors, Largest: d.largestRequest, Log: log}
	d.metrics = newMetrics(d)
	d.relayClient = pkrelay.NewClient(pkconn.DefaultOptions())
	if d.callers, err = d.server.guard.Listen(s.Listen.Callers); err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	d.prepareServer()
	if d.ready, err = net.Listen("tcp", s.Listen.Ready); err != nil {
		return nil, errors.Join(fmt.Errorf("listen for readiness: %w", err), d.callers.Close())
	}
	if err := d.gossip.open(s.Listen); err != nil {
		return nil, errors.Join(err, d.callers.Close(), d.ready.Close())
	}
	return d, nil
}

// Reload applies changed settings to a running daemon. Retry, Seeds and Stop take effect at once; a
// stop in progress may only become longer. Others are named in a warning while they wait for a restart.
func (d *Daemon) Reload(s Settings) {
	d.retry.Store(&s.Retry)
	d.seeds.Store(&s.Seeds)
	d.stop.Store(&s.Stop)
	waiting := d.settings.waitForRestart(s)
	d.waitingSettings.Store(int64(len(waiting)))
	if len(waiting) > 0 {
		d.log.Warn("changed settings wait for a restart", "settings", waiting)
	}
	d.log.Info("settings reloaded", "retry_ratio", s.Retry.Ratio, "retry_slack", s.Retry.Slack, "seeds", len(s.Seeds), "grace_s", s.Stop.GraceS)
}

// CallersAddr returns the listen address for callers.
func (d *Daemon) CallersAddr() string { return d.callers.Addr().String() }

// PeersAddr returns the listen address for other entries, empty if there is none.
func (d *Daemon) PeersAddr() string { return d.gossip.addr }

// ReadyAddr returns the listen address for readiness and metrics.
func (d *Daemon) ReadyAddr() string { return d.ready.Addr().String() }

// Run serves until ctx ends, stops gracefully, and returns once all its goroutines have ended.
func (d *Daemon) Run(ctx context.Context) error {
	d.started = time.Now()
	d.members.standing.Start(d.started, pktimer.BootClock())
	d.registration = pkshare.Registration{Self: d.self(), Started: d.started, Bootstrap: d.settings.Bootstrap, Jitter: rand.Float64()}
	// The loops outlive ctx: requests in progress need them until the end.
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer func() { _ = d.relayClient.Close() }() // idle connections only
	readiness := &http.Server{Handler: d.readinessHandler(), ReadHeaderTimeout: readHeaderTimeout}
	var g run.Group
	g.Add(func() error { return d.waitAndStop(ctx) }, func(error) { cancel() })
	g.Add(func() error { return d.serveCallers(inner) }, func(error) { _ = d.server.Close() }) // requests had until the end of the grace period
	g.Add(func() error { return untilDone(inner, readiness.Serve(d.ready)) }, func(error) { _ = readiness.Close() })
	if d.gossip.listener != nil {
		peers := &http.Server{Handler: d.peersHandler(inner), ReadHeaderTimeout: readHeaderTimeout}
		g.Add(func() error { return untilDone(inner, peers.Serve(d.gossip.listener)) }, func(error) { _ = peers.Close() })
	}
	for _, loop := range []func(context.Context){d.followConfig, d.followReplicas, d.followMembers, d.pollConfig, d.maintainLease, d.reconcilePools, d.sendToPeers, d.updateLoads, d.rerouteStreams, d.monitorEngines, d.pollPaces, d.logStoreCalls, d.detectCrashes, d.saveQuarantined, d.saveSuspects, d.checkRefusalCauses, d.confirmSuspicions, d.watchLinks, d.server.guard.Run, d.saveSize, d.dispatchRooms} {
		g.Add(func() error { loop(inner); return nil }, func(error) { cancel() })
	}
	return g.Run()
}

// untilDone waits for ctx to end if err only reports that the server was closed, since the first
// actor to return ends the run group. It returns other errors at once.
func untilDone(ctx context.Context, err error) error {
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

// readHeaderTimeout bounds reading the headers of requests from the platform and from peers.
const readHeaderTimeout = 2 * time.Second

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
	return d.configs.Table() != nil && d.listed.Load() && d.linksChecked.Load() && !d.stopping.Load()
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

// usage returns the sums of what all budgets count and allow at now.
func (b *budgets) usage(now time.Time, l pkretry.Limits) pkretry.Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sum pkretry.Usage
	for _, one := range b.all {
		u := one.Usage(now, l)
		sum.Requests += u.Requests
		sum.Retries += u.Retries
		sum.Allowed += u.Allowed
	}
	return sum
}
