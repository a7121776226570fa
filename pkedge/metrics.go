package pkedge

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"peridotknot.example/pkretry"
	"peridotknot.example/pkserver"
	"peridotknot.example/pktimer"
)

// metrics are the metrics served at /metrics. Accounts, routes and targets are not used as labels,
// to bound the number of series.
type metrics struct {
	registry   *prometheus.Registry
	requests   *prometheus.CounterVec
	failed     *prometheus.CounterVec
	orders     *prometheus.CounterVec
	unusable   *prometheus.CounterVec
	storeCalls *prometheus.CounterVec
	watchEnds  *prometheus.CounterVec
	// invalidHeaders counts unusable headers of targets' responses.
	invalidHeaders *prometheus.CounterVec
	// relayed counts requests passed on to other entries or by them.
	relayed       *prometheus.CounterVec
	repeated      prometheus.Counter
	storeRestores prometheus.Counter
	firstEvent    prometheus.Histogram
	// queueRefused counts the requests refused by the queues for room, queueWait how long requests waited there.
	queueRefused *prometheus.CounterVec
	queueWait    prometheus.Histogram
}

func newMetrics(d *Daemon) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	}
	m := &metrics{
		registry:       prometheus.NewRegistry(),
		requests:       counter("peridotknot_requests_total", "Requests by kind and outcome.", "kind", "outcome"),
		failed:         counter("peridotknot_sends_failed_total", "Failed sends by verdict and reason.", "verdict", "reason"),
		orders:         counter("peridotknot_orders_total", "Orders to engines by outcome.", "outcome"),
		unusable:       counter("peridotknot_replica_entries_unusable_total", "Changed entries of the list that name no replica to use, by the field at fault.", "field"),
		storeCalls:     counter("peridotknot_store_calls_total", "Calls to the store by kind, asker and outcome.", "call", "asker", "outcome"),
		watchEnds:      counter("peridotknot_watches_ended_total", "Watches at the store that ended without an answer to go on from, by reason.", "watch", "reason"),
		invalidHeaders: counter("peridotknot_response_headers_invalid_total", "Headers of targets' responses that cannot be used, by what they hold.", "header"),
		relayed:        counter("peridotknot_relayed_requests_total", "Requests that this entry has passed on to another (sent) or served for another (received), by outcome.", "direction", "outcome"),
		repeated:       prometheus.NewCounter(prometheus.CounterOpts{Name: "peridotknot_sends_repeated_total", Help: "Sends beyond the first of a request."}),
		storeRestores:  prometheus.NewCounter(prometheus.CounterOpts{Name: "peridotknot_store_returns_total", Help: "Returns of the store from an older copy of itself."}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "peridotknot_first_event_seconds", Help: "Time from a request to its first event.",
			Buckets: prometheus.ExponentialBuckets(0.01, 1.6, 16),
		}),
		queueRefused: counter("peridotknot_queue_refused_total", "Requests that the queues for room have refused, by cause.", "cause"),
		queueWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "peridotknot_queue_wait_seconds", Help: "Time that requests waited in queues for room, with those that did not wait.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}),
	}
	m.registry.MustRegister(m.requests, m.failed, m.orders, m.unusable, m.storeCalls, m.watchEnds, m.invalidHeaders, m.relayed, m.repeated, m.storeRestores, m.firstEvent, m.queueRefused, m.queueWait, newRoomCollector(d),
		gauge("peridotknot_config_version", "Version of the configuration in force.", func() float64 {
			if t := d.configs.Table(); t != nil {
				return float64(t.Version)
			}
			return 0
		}),
		gauge("peridotknot_settings_waiting", "Settings that have changed in the file and wait for a restart.", func() float64 { return float64(d.waitingSettings.Load()) }),
		gauge("peridotknot_list_revision", "Revision that the list of replicas is known up to, within the store's era.", func() float64 { return float64(d.roster.At().Number()) }),
		gauge("peridotknot_store_era", "Era of the store that the list of replicas is known of; it rises when the store comes back from an older copy.", func() float64 { return float64(d.roster.At().Era()) }),
		gauge("peridotknot_retries_in_window", "Retries of all services that this process counts in the window of the retry budget.", func() float64 { return d.retryUsage().Retries }),
		gauge("peridotknot_retries_allowed", "Retries that the retry budget allows this process in the window, over the services that have had requests.", func() float64 { return d.retryUsage().Allowed }),
		gauge("peridotknot_targets_avoided", "Targets that are passed over for failures.", func() float64 { return float64(d.avoided(time.Now())) }),
		gauge("peridotknot_slow_engines", "Engines that are slower than their kind.", func() float64 { return float64(d.paces.Slow(time.Now())) }),
		gauge("peridotknot_rate_limited_targets", "Targets that name a limit on the requests of all entries.", func() float64 { return float64(d.limits.Named()) }),
		gauge("peridotknot_resting_targets", "Targets that have asked this entry for rest.", func() float64 { return float64(d.resting(time.Now())) }),
		gauge("peridotknot_leaving_targets", "Targets of the list that have said to this entry that they leave.", func() float64 { return float64(d.announcedLeaving(time.Now())) }),
		gauge("peridotknot_quarantined_requests", "Requests that are kept from replicas, since each that ran them ended.", func() float64 {
			held, _ := d.quarantine.table.Counts(time.Now())
			return float64(held)
		}),
		gauge("peridotknot_suspected_requests", "Requests under which replicas ended, the quarantined ones among them.", func() float64 {
			_, known := d.quarantine.table.Counts(time.Now())
			return float64(known)
		}),
		gauge("peridotknot_owns_pools", "1 while this entry may order the engines of the pools.", func() float64 { return boolValue(d.ownsPools()) }),
		gauge("peridotknot_engines_without_layers", "Engines that take requests and hold no layers.", func() float64 { return float64(d.emptyEngines(time.Now())) }),
		gauge("peridotknot_waiting_requests", "Requests in the queues for room.", func() float64 { return float64(d.rooms.waiting.Load()) }),
		gauge("peridotknot_active_requests", "Requests in progress.", func() float64 { return float64(d.active.Load()) }),
	)
	m.registry.MustRegister(fleetGauges(d)...)
	m.registry.MustRegister(pkserver.Metrics(&d.server.Budget)...)
	return m
}

// gauge returns a metric with the present value of something.
func gauge(name, help string, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
}

// fleetGauges returns the metrics of what this entry knows of the others.
func fleetGauges(d *Daemon) []prometheus.Collector {
	return []prometheus.Collector{
		gauge("peridotknot_peers", "Other entries that are heard of.", func() float64 { return float64(d.gossip.table.LivePeerCount(time.Now())) }),
		gauge("peridotknot_members", "Entries that share what is bounded over all.", func() float64 { return float64(d.entryCount(time.Now())) }),
		gauge("peridotknot_members_listed", "Entries that this one knows by name, from the store or a hub.", func() float64 { return float64(len(d.members.list())) }),
		gauge("peridotknot_helpers", "Entries in order that a hub has reported for requests to be passed on to.", func() float64 { return float64(d.gossip.table.HelperCount(time.Now())) }),
	}
}

// retryUsage returns the present sums of the retry budgets.
func (d *Daemon) retryUsage() pkretry.Usage {
	now := time.Now()
	return d.budgets.usage(now, d.retryLimits(now))
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// ownsPools reports whether this daemon is the owner of the pools by a lease that is valid.
func (d *Daemon) ownsPools() bool {
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner == d.settings.Entry && m.lease.MayAct(pktimer.BootClock())
}

// emptyEngines returns the number of engines that take requests at now and hold no layers.
func (d *Daemon) emptyEngines(now time.Time) int {
	table := d.configs.Table()
	if table == nil {
		return 0
	}
	n := 0
	for i := range table.Services {
		s := &table.Services[i]
		if s.Engine == nil {
			continue
		}
		for _, t := range d.roster.Live(now, s.ID) {
			if t.Held.Len() == 0 {
				n++
			}
		}
	}
	return n
}

// avoided returns the number of targets that are avoided at now.
func (d *Daemon) avoided(now time.Time) int {
	n := 0
	for _, t := range d.roster.All() {
		if t.Avoided(now) {
			n++
		}
	}
	return n
}

// resting returns the number of targets that want no requests from this entry at now.
func (d *Daemon) resting(now time.Time) int {
	n := 0
	for _, t := range d.roster.All() {
		if t.RestsFor(now) > 0 {
			n++
		}
	}
	return n
}

// announcedLeaving returns the number of targets that are still listed at now and have announced their
// leaving.
func (d *Daemon) announcedLeaving(now time.Time) int {
	n := 0
	for _, t := range d.roster.All() {
		if t.AnnouncedLeaving() && !d.roster.Removed(now, t) {
			n++
		}
	}
	return n
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
