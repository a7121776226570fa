package pkedge

import (
	"errors"
	"net/http"
	"time"

	"peridotknot.example/pkbudget"
	"peridotknot.example/pkconfig"
	"peridotknot.example/pkrelay"
	"peridotknot.example/pkserver"
)

const (
	// bodyCopies is how many times its size a body of the largest legal size takes while it is read or relayed.
	bodyCopies = 2.5
	// retryAfterBusy is the Retry-After delay if callers hold all memory that is left to them.
	retryAfterBusy = time.Second
)

// largestRequest returns what a request of the largest legal size holds.
func (d *Daemon) largestRequest() pkbudget.Bytes {
	l := d.callerLimits()
	return pkserver.LargestRequest(int64(l.HeaderBytes), int64(bodyCopies*float64(l.BodyBytes)))
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
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	case errors.Is(err, pkserver.ErrBusy):
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAfterBusy, reason: pkrelay.ReasonBusy}
	default:
		return nil
	}
}
