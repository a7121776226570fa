package pkentry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"peridotknot.example/pkserver"
)

// metrics holds the collectors behind /metrics. Accounts, models and targets are not used as labels,
// to bound the number of series.
type metrics struct {
	registry      *prometheus.Registry
	requests      *prometheus.CounterVec
	firstToken    prometheus.Histogram
	betweenTokens prometheus.Histogram
	resumed       prometheus.Counter
	givenUp       *prometheus.CounterVec
	repeated      prometheus.Counter
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotknot_requests_total",
			Help: "Requests by kind and verdict.",
		}, []string{"kind", "verdict"}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "peridotknot_first_token_seconds",
			Help:    "Time from a request to its first token.",
			Buckets: prometheus.ExponentialBuckets(0.01, 1.6, 16),
		}),
		betweenTokens: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "peridotknot_between_tokens_seconds",
			Help:    "Time between two tokens of an answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.6, 16),
		}),
		resumed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "peridotknot_resumed_total",
			Help: "Attempts that resumed an answer on another chain.",
		}),
	}
	m.givenUp = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "peridotknot_attempts_given_up_total",
		Help: "Attempts of model requests that were given up, by verdict.",
	}, []string{"verdict"})
	m.repeated = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "peridotknot_calls_repeated_total",
		Help: "Attempts beyond the first of calls to services.",
	})
	m.registry.MustRegister(m.requests, m.firstToken, m.betweenTokens, m.resumed, m.givenUp, m.repeated,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// registerGauges adds the gauges that read the entry's state on each scrape.
func (m *metrics) registerGauges(e *Entry) {
	m.gauge("peridotknot_manifest_revision", "Revision of the manifest in force.", func() float64 {
		if view := e.view.Load(); view != nil {
			return float64(view.Revision)
		}
		return 0
	})
	m.registry.MustRegister(pkserver.Metrics(&e.callers.Budget)...)
	m.gauge("peridotknot_in_flight", "Requests in progress.", func() float64 {
		running, _ := e.requestCounts()
		return float64(running)
	})
	m.gauge("peridotknot_waiting", "Requests that wait for admission.", func() float64 {
		_, waiting := e.requestCounts()
		return float64(waiting)
	})
	m.gauge("peridotknot_owned_pools", "Pools whose engines this entry gives orders to.", func() float64 {
		return float64(len(e.owned()))
	})
	m.gauge("peridotknot_neighbors", "Other entries of the neighborhood that are alive.", func() float64 {
		return float64(len(e.peers.table.Neighbors(time.Now())) - 1)
	})
	for _, state := range []string{"usable", "leaving", "ejected"} {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "peridotknot_targets",
			Help:        "Targets by state.",
			ConstLabels: prometheus.Labels{"state": state},
		}, func() float64 { return float64(e.targetStates()[state]) }))
	}
	m.gauge("peridotknot_store_calls", "Calls sent to the key-value service.", func() float64 {
		return float64(e.ports.Store.Calls())
	})
}

func (m *metrics) gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// targetStates returns the number of targets by the value of the state label.
func (e *Entry) targetStates() map[string]int {
	now := time.Now()
	out := map[string]int{}
	for _, t := range e.targets.All() {
		switch {
		case t.Leaving():
			out["leaving"]++
		case t.Usable(now):
			out["usable"]++
		default:
			out["ejected"]++
		}
	}
	return out
}

// requestCounts returns the requests in progress and waiting over all pools.
func (e *Entry) requestCounts() (running, waiting int) {
	e.gates.mu.Lock()
	defer e.gates.mu.Unlock()
	for _, g := range e.gates.byPool {
		r, w, _ := g.Counts()
		running += r
		waiting += w
	}
	return running, waiting
}
