package pkserver

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"peridotknot.example/pkbudget"
	"peridotknot.example/pkmachine"
	"peridotknot.example/pktimer"
)

// guardInterval is how often the limits are applied anew and a shortage is logged.
const guardInterval = time.Second

// Guard keeps the limits of a Budget at those of the machine. The zero value guards nothing.
type Guard struct {
	Budget *Budget
	// Memory is the memory limit of the process in bytes.
	Memory pkbudget.Bytes
	// Descriptors is the limit on the descriptors of the process; zero means that of the system.
	Descriptors int
	// Largest returns what a request of the largest legal size holds in bytes.
	Largest func() pkbudget.Bytes
	Log     hclog.Logger

	// oversized is set while a request of the largest legal size does not fit.
	oversized atomic.Bool
}

// Listen listens on a TCP address, within the limit on connections that wait to be accepted.
func (g *Guard) Listen(addr string) (*net.TCPListener, error) {
	limits, _ := g.machine().Limits()
	return listen(addr, limits)
}

// Apply applies the limits.
func (g *Guard) Apply() {
	if g.Budget == nil {
		return
	}
	m := g.machine()
	limits, fits := m.Limits()
	g.Budget.SetLimits(limits)
	if before := g.oversized.Swap(!fits); !fits && !before {
		g.Log.Warn("a request of the largest legal size does not fit into the memory of callers", "request_bytes", int64(m.LargestRequest), "memory_bytes", int64(limits.Large))
	}
}

// machine returns what the process may use now.
func (g *Guard) machine() pkbudget.Machine {
	descriptors, err := pkmachine.Descriptors(g.Descriptors)
	if err != nil {
		g.Log.Error("limit of descriptors not read", "error", err)
	}
	return pkbudget.Machine{Memory: g.Memory, Descriptors: descriptors, LargestRequest: g.Largest()}
}

// Run applies limits that change and logs when callers hold too much, until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	pktimer.Every(ctx, guardInterval, func(context.Context) {
		g.Apply()
		if report, changed := g.Budget.Report(time.Now()); changed {
			g.log(report, g.Budget.Usage())
		}
	})
}

func (g *Guard) log(r pkbudget.Report, u pkbudget.Usage) {
	message := "callers hold too much"
	if !r.Short {
		message = "callers hold too much no more"
	}
	g.Log.Warn(message, "lasted_ms", r.Lasted.Milliseconds(), "bytes", int64(u.Bytes), "max_bytes", int64(u.Limits.Requests),
		"connections", u.Connections, "max_connections", u.Limits.Connections, "requests", u.Admitted, "max_descriptors", u.Limits.Descriptors,
		"refused_requests", r.Counts.RefusedRequests, "evicted_requests", r.Counts.EvictedRequests,
		"refused_connections", r.Counts.RefusedConnections, "evicted_connections", r.Counts.EvictedConnections)
}

// Metrics returns the metrics of a Budget.
func Metrics(b *Budget) []prometheus.Collector {
	gauge := func(name, help string, value func(pkbudget.Usage) int64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(value(b.Usage())) })
	}
	count := func(cause string, value func(pkbudget.Counts) int64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "peridotknot_callers_refused_total", Help: "Requests and connections refused, or evicted in favour of others, since callers held too much.",
			ConstLabels: prometheus.Labels{"cause": cause},
		}, func() float64 { return float64(value(b.Usage().Counts)) })
	}
	return []prometheus.Collector{
		gauge("peridotknot_caller_bytes", "Bytes that requests and answers of callers hold.", func(u pkbudget.Usage) int64 { return int64(u.Bytes) }),
		gauge("peridotknot_caller_bytes_max", "Bytes that they may hold.", func(u pkbudget.Usage) int64 { return int64(u.Limits.Requests) }),
		gauge("peridotknot_caller_connections", "Connections of callers.", func(u pkbudget.Usage) int64 { return int64(u.Connections) }),
		gauge("peridotknot_caller_requests", "Requests of callers, and of other entries, that may have a connection to a target.", func(u pkbudget.Usage) int64 { return int64(u.Admitted) }),
		gauge("peridotknot_caller_descriptors_max", "Connections and requests of callers that there may be together.", func(u pkbudget.Usage) int64 { return int64(u.Limits.Descriptors) }),
		gauge("peridotknot_caller_connections_max", "Connections that callers may have.", func(u pkbudget.Usage) int64 { return int64(u.Limits.Connections) }),
		count("request_refused", func(c pkbudget.Counts) int64 { return c.RefusedRequests }),
		count("request_evicted", func(c pkbudget.Counts) int64 { return c.EvictedRequests }),
		count("connection_refused", func(c pkbudget.Counts) int64 { return c.RefusedConnections }),
		count("connection_evicted", func(c pkbudget.Counts) int64 { return c.EvictedConnections }),
	}
}
