package pkentry

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"peridotknot.example/pkadmit"
	"peridotknot.example/pkid"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pkorder"
	"peridotknot.example/pkrate"
	"peridotknot.example/pkroute"
	"peridotknot.example/pktarget"
	"peridotknot.example/pktimer"
)

// routeCache caches route plans and the targets of each pool until the target table changes.
type routeCache struct {
	links pkroute.LinkDelays
	from  pkid.DataCenter

	mu         sync.RWMutex
	generation uint64
	plans      map[pkroute.ChainSpec]*pkroute.Plan
	pools      map[pkid.PoolID][]*pktarget.Target
}

func (s Settings) links() pkroute.LinkDelays {
	l := pkroute.LinkDelays{DefaultDelay: 250 * time.Microsecond, Delays: map[pkroute.Link]time.Duration{}}
	for _, link := range s.Links {
		l.Delays[pkroute.Link{From: link.From, To: link.To}] = link.Latency
		l.Delays[pkroute.Link{From: link.To, To: link.From}] = link.Latency
	}
	return l
}

// Choose returns a chain for spec without the targets in avoid. If no chain exists without ejected
// targets, it falls back to ejected ones, because a fault that ejects all targets at once is
// probably transient.
func (e *Entry) Choose(now time.Time, spec pkroute.ChainSpec, avoid []pkid.TargetID) (pkroute.Chain, error) {
	p, a := e.plan(spec), e.criteria(now, avoid)
	c, err := p.Choose(a)
	if err == nil {
		return c, nil
	}
	a.AllowEjected = true
	return p.Choose(a)
}

// chooseTarget is like Choose for a single target of a service pool.
func (e *Entry) chooseTarget(now time.Time, pool pkid.PoolID, avoid []pkid.TargetID) (*pktarget.Target, error) {
	all, a := e.pool(pool), e.criteria(now, avoid)
	t, err := pkroute.ChooseServiceTarget(all, a)
	if err == nil {
		return t, nil
	}
	a.AllowEjected = true
	return pkroute.ChooseServiceTarget(all, a)
}

func (e *Entry) criteria(now time.Time, avoid []pkid.TargetID) pkroute.ChooseOptions {
	return pkroute.ChooseOptions{Now: now, From: e.routes.from, Avoid: avoid, Links: e.routes.links, Rand: newRand(), Policy: e.settings.Policy}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (e *Entry) plan(spec pkroute.ChainSpec) *pkroute.Plan {
	r := &e.routes
	r.mu.RLock()
	p, found := r.plans[spec]
	fresh := r.generation == e.targets.Generation()
	r.mu.RUnlock()
	if found && fresh {
		return p
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(&e.targets)
	p, found = r.plans[spec]
	if !found {
		p = pkroute.NewPlan(spec, r.pools[spec.Pool])
		r.plans[spec] = p
	}
	return p
}

// refresh drops all cached plans if the target table has changed. The caller holds r.mu.
func (r *routeCache) refresh(t *pktarget.Table) {
	generation := t.Generation()
	if r.plans != nil && r.generation == generation {
		return
	}
	r.generation = generation
	r.plans = map[pkroute.ChainSpec]*pkroute.Plan{}
	r.pools = map[pkid.PoolID][]*pktarget.Target{}
	for _, target := range t.All() {
		r.pools[target.Info.Pool] = append(r.pools[target.Info.Pool], target)
	}
}

func (e *Entry) pool(id pkid.PoolID) []*pktarget.Target {
	r := &e.routes
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(&e.targets)
	return r.pools[id]
}

func specOf(m *pkmanifest.Model, adapter pkid.AdapterID) pkroute.ChainSpec {
	return pkroute.ChainSpec{Pool: m.Pool, Model: m.ID, Version: m.Version, Adapter: adapter, Layers: m.Layers}
}

// chooseSpec returns the chain spec of a new request; a request keeps its model version until it
// ends. During a rollout, engines hold two versions. The manifest's version is preferred while it has
// free slots; otherwise the fastest available chain decides, so that the capacity of the previous
// version stays in use and no request fails because the new version has no complete chain yet.
func (e *Entry) chooseSpec(m *pkmanifest.Model, adapter pkid.AdapterID) pkroute.ChainSpec {
	spec := specOf(m, adapter)
	versions := pkorder.Versions(m, e.pool(m.Pool))
	if len(versions) == 1 {
		return spec
	}
	now := time.Now()
	best, bestStep := spec, time.Duration(math.MaxInt64)
	for _, v := range versions {
		candidate := spec
		candidate.Version = v
		chain, err := e.Choose(now, candidate, nil)
		if err != nil {
			continue
		}
		if v == m.Version && hasFreeSlots(chain) {
			return candidate
		}
		if chain.StepTime < bestStep {
			best, bestStep = candidate, chain.StepTime
		}
	}
	return best
}

func hasFreeSlots(c pkroute.Chain) bool {
	for _, t := range c.Stages {
		if t.FreeSlots() < 1 {
			return false
		}
	}
	return true
}

// gates holds the admission gate of each pool.
type gates struct {
	mu     sync.Mutex
	byPool map[pkid.PoolID]*gate
}

// gate is a pool's admission gate with its retry budget and its estimator of output lengths.
type gate struct {
	*pkadmit.Gate
	budget *pkadmit.RetryBudget
	output pkadmit.UsageEstimator
}

const (
	// retryRatio is the number of retries that each request adds to the retry budget, and retryBurst
	// the size of the budgets of all entries together.
	retryRatio   = 0.2
	retryBurst   = 200
	gateInterval = 20 * time.Millisecond
	// unreportedServiceSlots is the concurrency limit over all entries of a service target that
	// reports no load.
	unreportedServiceSlots = 64.0
	// resizeRounds is the number of gateInterval rounds between two resizes of a gate.
	resizeRounds = 10
	// slotOvercommit is the ratio of admitted requests to engine slots. The excess queues at the
	// engines, so that a freed slot is reused without a round trip.
	slotOvercommit = 1.3
	// minShareFactor is the multiple of an even share of a pool that an entry may use regardless of
	// its neighbors' counts.
	minShareFactor = 1.5
)

func (e *Entry) gate(id pkid.PoolID) *gate {
	e.gates.mu.Lock()
	defer e.gates.mu.Unlock()
	if g, found := e.gates.byPool[id]; found {
		return g
	}
	if e.gates.byPool == nil {
		e.gates.byPool = map[pkid.PoolID]*gate{}
	}
	g := &gate{
		Gate:   pkadmit.NewGate(pkadmit.DefaultOptions(), e.slots(id)),
		budget: pkadmit.NewRetryBudget(retryRatio, retryBurst, e.share()),
	}
	e.gates.byPool[id] = g
	return g
}

// share returns this entry's part in what all entries share.
func (e *Entry) share() pkrate.Share { return pkrate.Share{Entries: e.peers.table.Size()} }

// maintainGates resizes the gates to the capacity of their pools and expires waiting requests that
// can no longer meet their deadline.
func (e *Entry) maintainGates(ctx context.Context) {
	round := 0
	pktimer.Every(ctx, gateInterval, func(context.Context) {
		now := time.Now()
		e.gates.mu.Lock()
		defer e.gates.mu.Unlock()
		for id, g := range e.gates.byPool {
			if round%resizeRounds == 0 {
				g.SetLimit(now, e.slots(id))
				g.budget.SetShare(e.share())
			}
			g.Expire(now)
		}
		round++
	})
}

// slots returns the number of requests that this entry may have in progress in a pool.
func (e *Entry) slots(id pkid.PoolID) int {
	now := time.Now()
	usable := func(t *pktarget.Target) float64 {
		if !t.Usable(now) {
			return 0
		}
		return t.Slots()
	}
	total := 0.0
	view := e.view.Load()
	if view == nil {
		return 0
	}
	models := 0
	for i := range view.Manifest.Models {
		if m := &view.Manifest.Models[i]; m.Pool == id {
			models++
			for _, v := range pkorder.Versions(m, e.pool(id)) {
				spec := specOf(m, "")
				spec.Version = v
				total += e.plan(spec).Flow(usable)
			}
		}
	}
	if models == 0 {
		for _, t := range e.pool(id) {
			if t.Usable(now) {
				total += cmp.Or(t.Slots(), unreportedServiceSlots)
			}
		}
	}
	return max(int(e.slotShare(id, total*slotOvercommit, now)), 1)
}

// slotShare returns this entry's share of a pool's slots: the slots that its neighbors leave free,
// but at least minShareFactor times an even share. Load is not spread evenly over entries and the
// neighbors' counts lag, so a strictly even share would queue requests while slots are free.
func (e *Entry) slotShare(id pkid.PoolID, total float64, now time.Time) float64 {
	inFlight, neighbors := e.peers.table.Pool(now, id)
	return max(total-float64(inFlight), min(minShareFactor*total/float64(neighbors+1), total))
}
