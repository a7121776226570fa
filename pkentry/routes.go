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
	"peridotknot.example/pkroute"
	"peridotknot.example/pktarget"
	"peridotknot.example/pktimer"
)

// routes keeps the plan of each want until the table changes.
type routes struct {
	links pkroute.Links
	from  pkid.DataCenter

	mu      sync.RWMutex
	changes uint64
	plans   map[pkroute.Want]*pkroute.Plan
	pools   map[pkid.PoolID][]*pktarget.Target
}

func (s Settings) links() pkroute.Links {
	l := pkroute.Links{Far: 250 * time.Microsecond, Times: map[pkroute.Link]time.Duration{}}
	for _, one := range s.Links {
		l.Times[pkroute.Link{From: one.From, To: one.To}] = one.Time
		l.Times[pkroute.Link{From: one.To, To: one.From}] = one.Time
	}
	return l
}

// Choose returns a chain for want that avoids some targets. If ejection leaves
// no chain, ejected targets are tried: after a fault that failed all of them at
// once they are more likely back than gone.
func (e *Entry) Choose(now time.Time, want pkroute.Want, avoid []pkid.TargetID) (pkroute.Chain, error) {
	p, a := e.plan(want), e.ask(now, avoid)
	c, err := p.Choose(a)
	if err == nil {
		return c, nil
	}
	a.Ejected = true
	return p.Choose(a)
}

// chooseTarget returns a target of a pool of services in the same way.
func (e *Entry) chooseTarget(now time.Time, pool pkid.PoolID, avoid []pkid.TargetID) (*pktarget.Target, error) {
	all, a := e.pool(pool), e.ask(now, avoid)
	t, err := pkroute.Service(all, a)
	if err == nil {
		return t, nil
	}
	a.Ejected = true
	return pkroute.Service(all, a)
}

func (e *Entry) ask(now time.Time, avoid []pkid.TargetID) pkroute.Ask {
	return pkroute.Ask{Now: now, From: e.routes.from, Avoid: avoid, Links: e.routes.links, Rand: newRand(), Policy: e.settings.Policy}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (e *Entry) plan(want pkroute.Want) *pkroute.Plan {
	r := &e.routes
	r.mu.RLock()
	p, found := r.plans[want]
	fresh := r.changes == e.targets.Changes()
	r.mu.RUnlock()
	if found && fresh {
		return p
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(&e.targets)
	p, found = r.plans[want]
	if !found {
		p = pkroute.NewPlan(want, r.pools[want.Pool])
		r.plans[want] = p
	}
	return p
}

// refresh forgets all plans if the table changed since they were made.
func (r *routes) refresh(t *pktarget.Table) {
	changes := t.Changes()
	if r.plans != nil && r.changes == changes {
		return
	}
	r.changes = changes
	r.plans = map[pkroute.Want]*pkroute.Plan{}
	r.pools = map[pkid.PoolID][]*pktarget.Target{}
	for _, one := range t.All() {
		r.pools[one.Info.Pool] = append(r.pools[one.Info.Pool], one)
	}
}

func (e *Entry) pool(id pkid.PoolID) []*pktarget.Target {
	r := &e.routes
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(&e.targets)
	return r.pools[id]
}

func wantOf(m *pkmanifest.Model, adapter pkid.AdapterID) pkroute.Want {
	return pkroute.Want{Pool: m.Pool, Model: m.ID, Version: m.Version, Adapter: adapter, Layers: m.Layers}
}

// wantNow returns what a new request should run on. While a roll-out goes on,
// engines hold two versions; the manifest's own takes what it has room for and
// the former one the rest, so that the pool's capacity is used and no request
// is refused because the new version has no whole chain yet. A request keeps
// its version to the end.
func (e *Entry) wantNow(m *pkmanifest.Model, adapter pkid.AdapterID) pkroute.Want {
	want := wantOf(m, adapter)
	versions := pkorder.Versions(m, e.pool(m.Pool))
	if len(versions) == 1 {
		return want
	}
	now := time.Now()
	best, bestStep := want, time.Duration(math.MaxInt64)
	for _, v := range versions {
		one := want
		one.Version = v
		chain, err := e.Choose(now, one, nil)
		if err != nil {
			continue
		}
		if v == m.Version && hasRoom(chain) {
			return one
		}
		if chain.Step < bestStep {
			best, bestStep = one, chain.Step
		}
	}
	return best
}

func hasRoom(c pkroute.Chain) bool {
	for _, t := range c.Stages {
		if t.Room() < 1 {
			return false
		}
	}
	return true
}

// gates keeps the gate and the retry budget of each pool.
type gates struct {
	mu  sync.Mutex
	all map[pkid.PoolID]*gate
}

type gate struct {
	*pkadmit.Gate
	budget *pkadmit.Budget
	output pkadmit.Forecast
}

const (
	// retryShare is how many retries each request allows, and retryMost how
	// many can be saved up.
	retryShare = 0.2
	retryMost  = 200
	tendEvery  = 20 * time.Millisecond
	// silentServiceSlots is what a service that reports no load may get at
	// once from all entries.
	silentServiceSlots = 64.0
	sizeEvery          = 10
	// slotsBeyond lets a few more requests in than engines have slots, so
	// that a slot that becomes free is taken without a round trip.
	slotsBeyond = 1.3
	// evenSlack is how much more than an even part of a pool an entry may
	// use whatever its neighbors say.
	evenSlack = 1.5
)

func (e *Entry) gate(id pkid.PoolID) *gate {
	e.gates.mu.Lock()
	defer e.gates.mu.Unlock()
	if g, found := e.gates.all[id]; found {
		return g
	}
	if e.gates.all == nil {
		e.gates.all = map[pkid.PoolID]*gate{}
	}
	g := &gate{
		Gate:   pkadmit.NewGate(pkadmit.DefaultOptions(), e.slots(id)),
		budget: pkadmit.NewBudget(retryShare, retryMost),
	}
	e.gates.all[id] = g
	return g
}

// tendGates sizes the gates by what their pools can run, and refuses waiting
// requests whose time is up.
func (e *Entry) tendGates(ctx context.Context) {
	round := 0
	pktimer.Every(ctx, tendEvery, func(context.Context) {
		now := time.Now()
		e.gates.mu.Lock()
		defer e.gates.mu.Unlock()
		for id, g := range e.gates.all {
			if round%sizeEvery == 0 {
				g.SetLimit(now, e.slots(id))
			}
			g.Expire(now)
		}
		round++
	})
}

// slots returns how many requests this entry may have in a pool at once.
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
				want := wantOf(m, "")
				want.Version = v
				total += e.plan(want).Flow(usable)
			}
		}
	}
	if models == 0 {
		for _, t := range e.pool(id) {
			if t.Usable(now) {
				total += cmp.Or(t.Slots(), silentServiceSlots)
			}
		}
	}
	return max(int(e.ownShare(id, total*slotsBeyond, now)), 1)
}

// ownShare returns this entry's share of a pool's slots: what its neighbors leave
// free, but never less than somewhat more than an even part. Callers do not come
// evenly, and the neighbors' counts are as old as a request takes; held to an
// even part, callers wait at one entry for slots that stand free.
func (e *Entry) ownShare(id pkid.PoolID, total float64, now time.Time) float64 {
	inFlight, neighbors := e.peers.table.Pool(now, id)
	return max(total-float64(inFlight), min(evenSlack*total/float64(neighbors+1), total))
}
