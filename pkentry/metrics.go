package pkentry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// metrics is what /metrics shows. No label is an account, a model or a target:
// their product would be millions of series.
type metrics struct {
	registry      *prometheus.Registry
	requests      *prometheus.CounterVec
	firstToken    prometheus.Histogram
	betweenTokens prometheus.Histogram
	resumed       prometheus.Counter
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
	m.registry.MustRegister(m.requests, m.firstToken, m.betweenTokens, m.resumed,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// watch adds the gauges that read the entry's state when asked.
func (m *metrics) watch(e *Entry) {
	m.gauge("peridotknot_manifest_revision", "Revision of the manifest in force.", func() float64 {
		if view := e.view.Load(); view != nil {
			return float64(view.Revision)
		}
		return 0
	})
	m.gauge("peridotknot_in_flight", "Requests in progress.", func() float64 {
		running, _ := e.load()
		return float64(running)
	})
	m.gauge("peridotknot_waiting", "Requests that wait for admission.", func() float64 {
		_, waiting := e.load()
		return float64(waiting)
	})
	m.gauge("peridotknot_store_calls", "Calls sent to the key-value service.", func() float64 {
		return float64(e.store.Calls())
	})
}

func (m *metrics) gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// load returns the requests in progress and waiting over all pools.
func (e *Entry) load() (running, waiting int) {
	e.gates.mu.Lock()
	defer e.gates.mu.Unlock()
	for _, g := range e.gates.all {
		r, w, _ := g.Counts()
		running += r
		waiting += w
	}
	return running, waiting
}
