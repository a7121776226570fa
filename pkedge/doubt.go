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
	// leavingTimeout bounds the question whether an engine leaves; one that is full may let it
	// wait for a place.
	leavingTimeout = 150 * time.Millisecond
	// mostDoubts bounds the engines that wait to be asked. More are asked at the next refusal.
	mostDoubts = 64
)

// doubt is an engine that the first engine of a path refused for: it may be full or leave, or be
// dead.
type doubt struct {
	service *pkconfig.Service
	target  *pkreplica.Target
}

// doubt has an engine asked that the first engine of a path refused for at now.
//
// While the store is away, the list goes on naming engines that fell dark or leave. The streams
// that show that one is dead pass it over for four seconds; after that new ones found it out one
// by one, each entry for itself and for two tenths of a second at first. Such engines refused
// 2,260 sends of 195 entries in twelve seconds, until the retry budgets were spent.
func (d *Daemon) doubt(now time.Time, a *attempt, t *pkreplica.Target, answer *pkforward.Answer) {
	refused := answer != nil && answer.Status == http.StatusServiceUnavailable
	if !refused || t == a.route().first() || t.Hopeless(now) || !t.Ask(now, askPause) {
		return
	}
	select {
	case d.doubts <- doubt{service: a.service, target: t}:
	default: // many are being asked already
	}
}

// settleDoubts asks the engines that are in doubt.
func (d *Daemon) settleDoubts(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case one := <-d.doubts:
			wg.Go(func() { d.settleDoubt(ctx, one) })
		}
	}
}

// settleDoubt asks an engine for a sign of life, and one that gives it whether it leaves where the
// list cannot say so.
func (d *Daemon) settleDoubt(ctx context.Context, one doubt) {
	if d.ask(ctx, one.target) || !d.roster.Away() {
		return
	}
	d.askLeaving(ctx, one)
}

// askLeaving asks an engine whether it leaves, and passes over one that does, at all entries,
// until its entry changes.
func (d *Daemon) askLeaving(ctx context.Context, one doubt) {
	ctx, cancel := context.WithTimeout(ctx, leavingTimeout)
	defer cancel()
	leaves, err := d.Engines.Leaving(ctx, one.target.Addr, one.service.HealthPath)
	d.log.Info("asked an engine whether it leaves", "target", one.target.ID, "leaves", leaves, "error", err)
	if leaves {
		d.misplaced(time.Now(), one.target)
	}
}
