package pkedge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkforward"
	"peridotknot.example/pkreplica"
)

const (
	// drainCheckTimeout bounds the health check of an engine; a full one may queue it.
	drainCheckTimeout = 150 * time.Millisecond
	// maxRefusalCauses bounds the engines queued for a check. An engine dropped from the queue is
	// checked at its next refusal.
	maxRefusalCauses = 64
)

// refusalCause is an engine on whose behalf the first engine of a path refused a request. It may be
// full, draining or dead.
type refusalCause struct {
	service *pkconfig.Service
	target  *pkreplica.Target
}

// queueRefusalCause queues the engine that caused a refusal at now for a check, unless it is the
// first of the path.
//
// Without the check, a dead or draining engine stays in the list while the store is unavailable,
// and the entries spend their retry budgets on finding it again after each backoff.
func (d *Daemon) queueRefusalCause(now time.Time, a *attempt, t *pkreplica.Target, resp *pkforward.Response) {
	refused := resp != nil && resp.Status == http.StatusServiceUnavailable
	if !refused || t == a.currentPath().first() || t.Excluded(now) || t.RestsFor(now) > 0 || !t.AllowProbe(now, livenessInterval) {
		return
	}
	select {
	case d.refusalCauses <- refusalCause{service: a.service, target: t}:
	default: // the queue is full
	}
}

// checkRefusalCauses checks the queued engines.
func (d *Daemon) checkRefusalCauses(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case cause := <-d.refusalCauses:
			wg.Go(func() { d.checkRefusalCause(ctx, cause) })
		}
	}
}

// checkRefusalCause checks the liveness of an engine, and while the store is unavailable also
// whether a live one is draining.
func (d *Daemon) checkRefusalCause(ctx context.Context, cause refusalCause) {
	if d.checkLiveness(ctx, cause.target) || !d.roster.StoreUnavailable() {
		return
	}
	d.checkDraining(ctx, cause)
}

// checkDraining asks an engine whether it is draining. A draining engine is avoided by all entries
// until its record changes.
func (d *Daemon) checkDraining(ctx context.Context, cause refusalCause) {
	ctx, cancel := context.WithTimeout(ctx, drainCheckTimeout)
	defer cancel()
	draining, err := d.Engines.Leaving(ctx, cause.target.Addr, cause.service.HealthPath)
	d.log.Info("engine checked for draining", "target", cause.target.ID, "leaves", draining, "error", err)
	if draining {
		d.suspectStaleRecord(time.Now(), cause.target)
	}
}
