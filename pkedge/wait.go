package pkedge

import (
	"context"
	"errors"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pklayers"
	"peridotknot.example/pkreplica"
)

// errNoCapacity is returned if no path has enough capacity for a request.
var errNoCapacity = errors.New("no path has enough capacity")

// mayNotBeRefused reports whether the request can no longer be answered as not run.
func (c *call) mayNotBeRefused() bool { return c.headSent || c.failed.Runs() > 0 }

// waitForPath returns a path for the request. If none has enough capacity it waits in the queue of the
// pool, or if the pool has none up to capacityTimeout, or resumeTimeout if it cannot be refused any more.
func (c *call) waitForPath(ctx context.Context, s *pkconfig.Service) (targetPath, error) {
	if c.queues(c.table, s) {
		return c.waitInQueue(ctx, s)
	}
	tick := time.NewTicker(capacityPollInterval)
	defer tick.Stop()
	until := time.Now().Add(c.capacityWait())
	impaired := c.links.Impaired(s.ID)
	for {
		now := time.Now()
		p, found := c.nextPath(now, s)
		switch {
		case found && c.takePermit(now, p.first()):
			return p, nil
		case found:
			continue // another request took the last permit
		case !impaired && c.links.Impaired(s.ID):
			return targetPath{}, errNoCapacity // another entry may have one
		case now.After(until):
			return c.lastResortPath(now, s)
		}
		if err := c.poolBusy(now, s); err != nil && !c.mayNotBeRefused() && now.Add(err.wait).After(until) {
			return targetPath{}, err
		}
		if err := c.awaitTick(ctx, now, s, tick.C); err != nil {
			return targetPath{}, err
		}
	}
}

// capacityWait returns how long the request may wait for a path with capacity.
func (c *call) capacityWait() time.Duration {
	if c.mayNotBeRefused() {
		return resumeTimeout
	}
	return capacityTimeout
}

// awaitTick waits for the next look for a path. Engines that are avoided for silence are asked before on behalf of a request
// that cannot be refused.
func (c *call) awaitTick(ctx context.Context, now time.Time, s *pkconfig.Service, tick <-chan time.Time) error {
	if c.mayNotBeRefused() {
		c.recheckSilent(ctx, now, s.ID)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-tick:
		return nil
	}
}

// lastResortPath returns a path that may also use engines avoided for a recent failure. It is used
// if no other path has enough capacity, since the request would be refused otherwise.
func (c *call) lastResortPath(now time.Time, s *pkconfig.Service) (targetPath, error) {
	if s.Engine == nil {
		return targetPath{}, errNoCapacity
	}
	q := c.requestQuery(s)
	q.lastResort = true
	if p, found := c.findPath(now, s, q); found && c.takePermit(now, p.first()) {
		return p, nil
	}
	c.logShortage(now, c.req.Meta.ID, s, q)
	return targetPath{}, errNoCapacity
}

// nextPath returns a path over engines, or a path with the one target of a plain service.
func (c *call) nextPath(now time.Time, s *pkconfig.Service) (targetPath, bool) {
	if s.Engine != nil {
		return c.findPath(now, s, c.requestQuery(s))
	}
	t, found := c.chooseTarget(now, s.ID)
	if !found {
		return targetPath{}, false
	}
	return targetPath{stages: []pklayers.Stage{{ID: t.ID}}, targets: []*pkreplica.Target{t}}, true
}

// requestQuery returns the query for a path of the request.
func (c *call) requestQuery(s *pkconfig.Service) pathQuery {
	q := c.newPathQuery(s, c.estimatedTokens(s.Engine), c.sends)
	if gap := c.route.GapObjective; q.maxCost > 0 && gap > 0 {
		q.maxCost = maxTokenCost(gap, s.Engine)
	}
	return q
}

// estimatedTokens returns the estimated length of the prompt and the answer in tokens.
func (c *call) estimatedTokens(m *pklayers.Model) float64 {
	if m == nil {
		return 0
	}
	answer := c.req.Meta.ExpectedTokens
	if answer == 0 {
		answer = m.AnswerTokens
	}
	if limit := c.req.Meta.MaxTokens; limit > 0 {
		answer = min(answer, limit)
	}
	return float64(c.req.Meta.PromptTokens + answer)
}
