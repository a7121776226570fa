package pkedge

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"peridotknot.example/pkbudget"
	"peridotknot.example/pkconfig"
	"peridotknot.example/pkmachine"
	"peridotknot.example/pkserver"
	"peridotknot.example/pktimer"
)

const (
	// holdingsInterval is how often the limits on what callers hold are applied anew and a shortage is logged.
	holdingsInterval = time.Second
	// bodyCopies is how many times its size a body of the largest legal size takes while it is read or relayed.
	bodyCopies = 2.5
	// retryAfterBusy is the Retry-After delay if callers hold all memory that is left to them.
	retryAfterBusy = time.Second
)

// limitHoldings applies the limits of the machine on what callers hold, with those of the configuration on one request.
func (d *Daemon) limitHoldings(l pkconfig.Limits) {
	descriptors, err := pkmachine.Descriptors(d.settings.MaxDescriptors)
	if err != nil {
		d.log.Error("limit of descriptors not read", "error", err)
	}
	largest := pkserver.LargestRequest(int64(l.HeaderBytes), int64(bodyCopies*float64(l.BodyBytes)))
	limits, fits := pkbudget.Machine{Memory: d.memory, Descriptors: descriptors, LargestRequest: largest}.Limits()
	d.server.Budget.SetLimits(limits)
	if before := d.oversized.Swap(!fits); !fits && !before {
		d.log.Warn("a request of the largest legal size does not fit into the memory of callers", "request_bytes", int64(largest), "memory_bytes", int64(limits.Large))
	}
}

// watchHoldings follows limits that change and logs when callers hold all that is left to them.
func (d *Daemon) watchHoldings(ctx context.Context) {
	pktimer.Every(ctx, holdingsInterval, func(context.Context) {
		d.limitHoldings(d.callerLimits())
		report, changed := d.server.Budget.Report(time.Now())
		if !changed {
			return
		}
		message := "callers hold too much"
		if !report.Short {
			message = "callers hold too much no more"
		}
		usage := d.server.Budget.Usage()
		d.log.Warn(message, "lasted_ms", report.Lasted.Milliseconds(), "bytes", int64(usage.Bytes), "max_bytes", int64(usage.Limits.Requests),
			"connections", usage.Connections, "max_connections", usage.Limits.Connections,
			"refused_requests", report.Counts.RefusedRequests, "evicted_requests", report.Counts.EvictedRequests,
			"refused_connections", report.Counts.RefusedConnections, "evicted_connections", report.Counts.EvictedConnections)
	})
}

// callerLimits returns the limits of the configuration in force.
func (d *Daemon) callerLimits() pkconfig.Limits {
	if table := d.configs.Table(); table != nil {
		return table.Limits
	}
	return defaultLimits
}

// bodyLimit returns the size of the largest legal body in bytes.
func bodyLimit(table *pkconfig.Table) int64 {
	if table != nil && table.Limits.BodyBytes > 0 {
		return table.Limits.BodyBytes
	}
	return defaultLimits.BodyBytes
}

// bodyRejection returns the rejection of a request whose body was not read whole, nil if its caller has left.
func bodyRejection(err error) *rejection {
	switch {
	case errors.Is(err, pkserver.ErrTooLarge):
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: "body_too_large", unread: true}
	case errors.Is(err, pkserver.ErrBusy):
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAfterBusy, reason: "callers_hold_too_much", unread: true}
	default:
		return nil
	}
}

// holdingMetrics returns the metrics of what callers hold.
func holdingMetrics(d *Daemon) []prometheus.Collector {
	usage := func(value func(pkbudget.Usage) int64) func() float64 {
		return func() float64 { return float64(value(d.server.Budget.Usage())) }
	}
	count := func(cause string, value func(pkbudget.Counts) int64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "peridotknot_callers_refused_total", Help: "Requests and connections refused, or evicted in favour of others, since callers held too much.",
			ConstLabels: prometheus.Labels{"cause": cause},
		}, usage(func(u pkbudget.Usage) int64 { return value(u.Counts) }))
	}
	return []prometheus.Collector{
		gauge("peridotknot_caller_bytes", "Bytes that requests and answers of callers hold.", usage(func(u pkbudget.Usage) int64 { return int64(u.Bytes) })),
		gauge("peridotknot_caller_bytes_max", "Bytes that they may hold.", usage(func(u pkbudget.Usage) int64 { return int64(u.Limits.Requests) })),
		gauge("peridotknot_caller_connections", "Connections of callers.", usage(func(u pkbudget.Usage) int64 { return int64(u.Connections) })),
		gauge("peridotknot_caller_connections_max", "Connections that callers may have.", usage(func(u pkbudget.Usage) int64 { return int64(u.Limits.Connections) })),
		count("request_refused", func(c pkbudget.Counts) int64 { return c.RefusedRequests }),
		count("request_evicted", func(c pkbudget.Counts) int64 { return c.EvictedRequests }),
		count("connection_refused", func(c pkbudget.Counts) int64 { return c.RefusedConnections }),
		count("connection_evicted", func(c pkbudget.Counts) int64 { return c.EvictedConnections }),
	}
}
