package pkedge

import (
	"context"
	"errors"
	"syscall"
	"time"

	"peridotknot.example/pkexchange"
	"peridotknot.example/pkforward"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkverdict"
)

// awaitDelivery records that a target is sent something at now. Where the links are impaired, its silence does not show that
// it stands still.
func (c *call) awaitDelivery(now time.Time, t *pkreplica.Target) {
	if !c.links.Impaired(c.service) {
		c.budgets.of(c.service).Await(now, t.ID)
	}
}

// recordDelivery records at now what the end of a send shows about its target: with a response that it goes on and has
// received what was sent to it, without one that the send may arrive later.
func (c *call) recordDelivery(ctx context.Context, now time.Time, t *pkreplica.Target, resp *pkforward.Response, err error) {
	budget, window := c.budgets.of(c.service), c.retryWindow()
	c.endSend(now, err)
	var failure *pkverdict.Error
	switch {
	case resp != nil:
		budget.Confirm(now, window, t.ID)
	case errors.Is(err, syscall.ECONNREFUSED):
		budget.Drop(t.ID)
	case pkexchange.IsConnectionError(err):
		budget.StopAwaiting(t.ID)
	case ctx.Err() == nil || !errors.As(err, &failure) || failure.Verdict != pkverdict.MayHaveRun:
	case c.failed.Delivered() > 0:
		budget.Suspend(now, window, t.ID)
	default:
		c.unconfirmed = t.ID
	}
}

// endSend records at now that a send has ended with an error or nil. One of which nothing was sent leaves its charge to the
// next.
func (c *call) endSend(now time.Time, err error) {
	var failure *pkverdict.Error
	if errors.As(err, &failure) && !failure.MayHaveArrived() {
		c.charges.Revert()
		return
	}
	c.charges.End(now, c.retryWindow())
}

// suspendUnconfirmed records at now that the request is retried after a first send that may arrive later.
func (c *call) suspendUnconfirmed(now time.Time) {
	if c.unconfirmed != "" {
		c.budgets.of(c.service).Suspend(now, c.retryWindow(), c.unconfirmed)
		c.unconfirmed = ""
	}
}
