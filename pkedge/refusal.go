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
	// maxRefusedEngines bounds the engines queued for a check. An engine dropped from the queue is
	// checked at its next refusal.
	maxRefusedEngines = 64
)

// refusedEngine is an engine on whose behalf the first engine of a path refused a request. It may
// be full, draining or dead.
type refusedEngine struct {
	service *pkconfig.Service
	target  *pkreplica.Target
}

// queueRefusedEngine queues the engine that caused a refusal at now for a check, unless it is the
// first of the path.
//
// Without the check, a dead or draining engine stays in the list while the store is unavailable,
// and the entries spend their retry budgets on finding it again after each backoff.
func (d *Daemon) queueRefusedEngine(now time.Time, a *attempt, t *pkreplica.Target, answer *pkforward.Response) {
	refused := answer != nil && answer.Status == http.StatusServiceUnavailable
	if !refused || t == a.currentPath().first() || t.Excluded(now) || !t.AllowProbe(now, livenessInterval) {
		return
	}
	select {
	case d.refusedEngines <- refusedEngine{service: a.service, target: t}:
	default: // the queue is full
	}
}

// checkRefusedEngines checks the queued engines.
func (d *Daemon) checkRefusedEngines(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case refused := <-d.refusedEngines:
			wg.Go(func() { d.checkRefusedEngine(ctx, refused) })
		}
	}
}

// checkRefusedEngine checks the liveness of an engine, and while the store is unavailable also
// whether a live one is draining.
func (d *Daemon) checkRefusedEngine(ctx context.Context, refused refusedEngine) {
	if d.checkLiveness(ctx, refused.target) || !d.roster.StoreUnavailable() {
		return
	}
	d.checkDraining(ctx, refused)
}

// checkDraining asks an engine whether it is draining. All entries avoid one that is until its list
// entry changes.
func (d *Daemon) checkDraining(ctx context.Context, refused refusedEngine) {
	ctx, cancel := context.WithTimeout(ctx, drainCheckTimeout)
	defer cancel()
	draining, err := d.Engines.Leaving(ctx, refused.target.Addr, refused.service.HealthPath)
	d.log.Info("engine checked for draining", "target", refused.target.ID, "leaves", draining, "error", err)
	if draining {
		d.suspectMisplaced(time.Now(), refused.target)
	}
}
