package pkedge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkretry"
	"peridotknot.example/pkstall"
)

const (
	// drainDelayMin and drainDelayMax bound the random delay after which streams leave a draining
	// target. Most end by themselves before that, and the rest must not all reach the same engine
	// at once. Targets keep serving for at least two seconds after they begin to drain.
	drainDelayMin = 500 * time.Millisecond
	drainDelayMax = 1600 * time.Millisecond
	// rerouteRetryDelay is how long a stream waits after a failed reroute before it tries again.
	rerouteRetryDelay = 200 * time.Millisecond
	// gapWeight is the weight of the latest gap in a stream's moving average.
	gapWeight = 0.2
	// refusalWindow is the time within which an engine refuses a request on behalf of a later one
	// on its path. Engines need longer than that to start a request. A refusal takes some
	// milliseconds, starting a request 40 ms or more.
	refusalWindow = 30 * time.Millisecond
	// provenAfter is how long a stream must run after its first event to count as safe for its
	// engines: a request that crashes engines does so within a tenth of a second of being started.
	provenAfter = 300 * time.Millisecond
)

// attempt is one send of a stream over a path.
type attempt struct {
	call    *call
	service *pkconfig.Service
	began   time.Time
	tokens  float64
	cancel  context.CancelCauseFunc

	mu          sync.Mutex
	path        targetPath
	lastEventAt time.Time
	meanGap     time.Duration
	// events counts the events of this attempt; proven is set once it has run for provenAfter, and
	// reroutes counts its path changes.
	events       int
	firstEventAt time.Time
	proven       bool
	reroutes     int
	rerouting    bool
	ended        bool
	// nextCharge is the charge of the next send, if that was charged to the retry budget already.
	nextCharge *pkretry.Charge
	// canRetry is set when the request has another attempt left.
	canRetry bool
	// rerouteNotBefore is when the next reroute may be tried.
	rerouteNotBefore time.Time
	// drainDelay is how long the attempt stays with a target that drains.
	drainDelay time.Duration
}

// newAttempt returns an attempt and reserves its load on the targets of its path.
func (c *call) newAttempt(now time.Time, s *pkconfig.Service, p targetPath, cancel context.CancelCauseFunc) *attempt {
	a := &attempt{
		call: c, service: s, began: now, lastEventAt: now, tokens: c.estimatedTokens(s.Engine), cancel: cancel, path: p,
		canRetry:   c.route.Retryable() && c.failed.Attempts()+1 < c.route.MaxAttempts,
		drainDelay: drainDelayMin + rand.N(drainDelayMax-drainDelayMin),
	}
	if !p.reserved {
		c.reservePath(now, s, &p)
	}
	c.streams.add(a)
	return a
}

// reservePath reserves the load of the request on the targets of a path.
func (c *call) reservePath(now time.Time, s *pkconfig.Service, p *targetPath) {
	p.reserve(now, s.Engine, &c.linkUsage, c.estimatedTokens(s.Engine), float64(c.req.Meta.PromptTokens), c.gossip.reportDelay())
	p.reserved = true
}

// end releases at now what newAttempt reserved and returns the number of path changes.
func (a *attempt) end(now time.Time) int {
	a.call.streams.remove(a)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.path.release(a.tokens)
	if a.events > 0 && a.service.Engine != nil {
		a.call.room(a.service.ID).recordStream(now.Sub(a.began), a.firstEventAt.Sub(a.began))
	}
	a.call.roomFreed()
	return a.reroutes
}

// recordEvent records an event at now and reports whether the attempt became proven with it.
func (a *attempt) recordEvent(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.events == 0 {
		a.firstEventAt = now
	}
	if a.events > 0 {
		gap := now.Sub(a.lastEventAt)
		if a.meanGap == 0 {
			a.meanGap = gap
		}
		a.meanGap += time.Duration(gapWeight * float64(gap-a.meanGap))
	}
	a.events++
	a.lastEventAt = now
	before := a.proven
	a.proven = a.proven || now.Sub(a.firstEventAt) >= provenAfter
	return a.proven && !before
}

// recordFailure records at now that the attempt's send was interrupted by an error, unless the
// attempt was proven.
func (a *attempt) recordFailure(now time.Time, err error) {
	if a.isProven() {
		return
	}
	a.call.recordIfInterrupted(now, err, a.currentPath().first())
}

// recordEngineDeath records that the attempt's send was interrupted at a dead engine of its path,
// unless the attempt was proven, and reports whether the request is quarantined. The first engine
// is not considered: the result of the send covers it. Nor is a request sent less than
// refusalWindow ago, which the engine may have refused.
func (a *attempt) recordEngineDeath(now time.Time, t *pkreplica.Target, reason string) bool {
	if reason != reasonDead || a.isProven() {
		return false
	}
	if t.ID != a.currentPath().first().ID && now.Sub(a.began) >= refusalWindow {
		a.call.recordInterrupted(now, t, false)
	}
	return a.call.checkQuarantine(now) != nil
}

func (a *attempt) isProven() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.proven
}

// firstEvent returns when the first event of the attempt arrived; zero if none has.
func (a *attempt) firstEvent() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.firstEventAt
}

func (a *attempt) rerouteCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reroutes
}

func (a *attempt) eventCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.events
}

func (a *attempt) currentPath() targetPath {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.path
}

// stallInput returns the attempt as input for stall detection, and false if it passes no engine.
func (a *attempt) stallInput() (pkstall.Stream, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stallInputLocked(), len(a.path.hops) > 0
}

func (a *attempt) stallInputLocked() pkstall.Stream {
	return pkstall.Stream{
		Path: a.path.targetIDs(), Started: a.events > 0, LastProgress: a.lastEventAt, MeanGap: a.meanGap,
		MaxGap: a.call.route.GapObjective, MaxFirstWait: a.call.route.LatencyObjective,
	}
}

// needsReroute returns the target that the attempt must leave and the reason, or nil.
func (a *attempt) needsReroute(now time.Time) (*pkreplica.Target, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rerouting || a.ended || (a.reroutes >= maxReroutes && !a.canRetry) || now.Before(a.rerouteNotBefore) {
		return nil, ""
	}
	silent := a.stallInputLocked().Silent(now)
	if silent && a.call.links.Impaired(a.service.ID) {
		a.rerouting = true
		return a.path.first(), reasonCutOff
	}
	for i, t := range a.path.targets {
		latest, found := a.call.roster.Target(t.ID)
		switch {
		case t.IsGone(now), silent && t.IsDead(now):
			a.rerouting = true
			return t, reasonDead
		case i > 0 && found && a.call.roster.LeavingFor(now, latest) > a.drainDelay:
			a.rerouting = true
			return t, reasonLeaving
		}
	}
	return nil, ""
}

// prefersInPlace reports whether an attempt should change its path in place rather than be sent
// again: it has no retry left, or a dead engine has a local replacement.
func (a *attempt) prefersInPlace(now time.Time, t *pkreplica.Target, by targetPath, reason string) bool {
	return !a.canRetry || (reason == reasonDead && a.isLocalReplacement(now, t, by))
}

// isLocalReplacement reports whether the replacement of a dead engine is in its data centre and no
// other engine of the path is dead. A remote replacement would transfer all tokens so far over a
// link between data centres twice.
func (a *attempt) isLocalReplacement(now time.Time, dead *pkreplica.Target, by targetPath) bool {
	for _, t := range by.targets {
		if t.DataCenter != dead.DataCenter {
			return false
		}
	}
	for _, t := range a.currentPath().targets {
		if t.ID != dead.ID && t.IsDead(now) {
			return false
		}
	}
	return true
}

// keepPath leaves a draining target in the path until the next try.
func (a *attempt) keepPath() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rerouting = false
	a.drainDelay += rerouteRetryDelay
}

// deferReroute keeps the path of an attempt that found no alternative at now and schedules the next
// try. Ending the attempt would break off the answer for certain, while its engines may recover or
// capacity may become free before the dead one ends the stream.
func (a *attempt) deferReroute(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rerouting = false
	a.rerouteNotBefore = now.Add(rerouteRetryDelay)
	a.drainDelay += rerouteRetryDelay
}
