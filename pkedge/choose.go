package pkedge

import (
	"cmp"
	"slices"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
	"peridotknot.example/pklayers"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkwarmup"
)

const (
	// maxMemoryShare is the largest share of an engine's KV-cache capacity that new requests may
	// fill. Engines preempt the newest request when memory runs out, and answer lengths are
	// estimates.
	maxMemoryShare = 0.9
	// urgentAmortTokens is the number of tokens over which the delay of the next event is spread if
	// an answer is already in progress. A pause of 100 ms then weighs as much as 10 ms per token.
	urgentAmortTokens = 10.0
	// unreportedPromptRate is the assumed rate, in prompts per second, at which other entries send
	// prompts over a link between data centres before they report them. It keeps many entries from
	// choosing the same link before they have reported their load.
	unreportedPromptRate = 1.1
	// hopCost is the cost per token of each additional engine on a path.
	hopCost = 100 * time.Microsecond
	// defaultMaxGap is the longest acceptable gap between events on routes without a gap objective.
	defaultMaxGap = 200 * time.Millisecond
)

// choosePath returns the cheapest path with capacity for a request of the given size in tokens;
// sends is the number of times that it was sent before.
func (d *Daemon) choosePath(now time.Time, s *pkconfig.Service, tokens float64, sends int) (targetPath, bool) {
	return d.findPath(now, s, d.newPathQuery(s, tokens, sends))
}

// newPathQuery returns the query for a complete path; sends is the number of times that the request
// was sent before.
func (d *Daemon) newPathQuery(s *pkconfig.Service, tokens float64, sends int) pathQuery {
	q := pathQuery{layers: s.Engine.AllLayers(), tokens: tokens, from: d.settings.DataCenter, memoryShare: maxMemoryShare, maxCost: maxTokenCost(defaultMaxGap, s.Engine)}
	if sends > 0 {
		q.memoryShare, q.maxCost, q.urgent = 1, 0, true
	}
	return q
}

// maxTokenCost returns the highest path cost per token at which a new request still meets the
// caller's gap objective. Requests beyond it are refused with a Retry-After header: they would be
// late and would slow down others on the same links and engines.
func maxTokenCost(gap time.Duration, m *pklayers.Model) time.Duration {
	return gap / time.Duration(max(m.EventTokens, 1))
}

// pathQuery describes the path to search for.
type pathQuery struct {
	layers pkid.Range
	tokens float64
	// from is the data centre that the path is entered from: that of this entry, or with inPath set
	// that of the preceding engine.
	from   pkid.DataCenter
	inPath bool
	// exclude lists targets that the path must not use.
	exclude []pkid.TargetID
	// memoryShare is the share of an engine's KV-cache capacity that may be filled. Requests that
	// were sent before may use all of it.
	memoryShare float64
	// maxCost bounds the cost of the path per token; zero means no bound.
	maxCost time.Duration
	// urgent is set if an answer is in progress; prefill time then weighs more than the time per
	// further token.
	urgent bool
	// lastResort also allows targets that are avoided for a possibly transient failure, since the
	// request would be refused otherwise.
	lastResort bool
	// queued is set for requests of a pool with a queue for room.
	queued bool
	// fleet is what this entry knows of the others while it starts, place its place among them.
	fleet pkwarmup.Fleet
	place float64
}

// allows reports whether the path may use a target at now.
func (q pathQuery) allows(now time.Time, t *pkreplica.Target) bool {
	if slices.Contains(q.exclude, t.ID) || t.RestsFor(now) > 0 {
		return false
	}
	return !t.Avoided(now) || (q.lastResort && !t.Excluded(now))
}

// findPath returns the cheapest path that satisfies a query.
func (d *Daemon) findPath(now time.Time, s *pkconfig.Service, q pathQuery) (targetPath, bool) {
	m := s.Engine
	live := d.liveEngines(now, s.ID, m)
	entries := d.senderCount(now, s.ID)
	senders := equivalentSenders(now, live, entries, q.queued)
	share, limited := d.share(now), d.limits.Named() > 0 && !q.inPath
	engines := make([]pklayers.Engine, 0, len(live))
	for _, t := range live {
		cost, ok := layerCost(now, m, t, q, senders, d.memoryPenalty)
		if !ok || !q.allows(now, t) {
			continue
		}
		if q.urgent {
			cost += time.Duration(float64(m.PrefillTime(t.Kind, 1, q.tokens)) / urgentAmortTokens)
		}
		cost = time.Duration(float64(cost) * float64(d.paces.Factor(now, t.ID, t.Born)))
		engines = append(engines, pklayers.Engine{
			ID: t.ID, DataCenter: t.DataCenter, Kind: t.Kind, Held: t.Held, Cost: cost,
			QueueDelay: batchWait(t.Held.Len(), cost) + time.Duration(float64(t.Backlog(now, senders))/q.amortTokens(m)),
			NotFirst:   limited && d.limits.Wait(now, t.ID, t.Born, share) > 0,
		})
	}
	costs := d.pathCosts(now, m, q, entries, senders)
	p, found := pklayers.Find(q.layers, engines, costs, q.from)
	if !found {
		return targetPath{}, false
	}
	out := targetPath{cost: p.Cost}
	for _, stage := range p.Stages {
		at, _ := slices.BinarySearchFunc(live, stage.ID, func(t *pkreplica.Target, id pkid.TargetID) int { return cmp.Compare(t.ID, id) })
		out.add(live[at], stage)
	}
	return out, true
}

// liveEngines returns the live engines of a pool at now, without those listed with layers that the
// model does not have.
func (d *Daemon) liveEngines(now time.Time, s pkid.ServiceID, m *pklayers.Model) []*pkreplica.Target {
	return slices.DeleteFunc(d.roster.Live(now, s), func(t *pkreplica.Target) bool { return !m.Contains(t.Held) })
}

// equivalentSenders returns how many entries that send as much as this one make up all that send to a pool.
// With settled set, requests that the other entries do not know of yet are left out, as theirs are not known here:
// an entry that has just started would otherwise take itself for most of the senders.
func equivalentSenders(now time.Time, pool []*pkreplica.Target, entries int, settled bool) float64 {
	own, peers := 0, 0
	for _, t := range pool {
		load := t.OwnLoad()
		if settled && load.Tokens > 0 {
			load.Requests = int(float64(load.Requests) * (1 - t.RecentMemory(now)/load.Tokens))
		}
		own += load.Requests
		peers += t.PeerLoad().Requests
	}
	return pkreplica.EquivalentSenders(own, peers, entries)
}

// pathCosts returns the costs of passing between engines at now, if that many entries send requests to
// them, senders times as many as this one.
func (d *Daemon) pathCosts(now time.Time, m *pklayers.Model, q pathQuery, entries int, senders float64) pklayers.Costs {
	cache := map[[2]pkid.DataCenter]time.Duration{}
	out := pklayers.Costs{Hop: hopCost, MaxCost: q.maxCost, Reach: m.Delay, Crossing: func(a, b pkid.DataCenter) time.Duration {
		pair := [2]pkid.DataCenter{a, b}
		cost, found := cache[pair]
		if !found {
			own := d.linkUsage.OwnTokens(now, a, b)
			cost = m.Delay(a, b) + m.LinkCost(own+d.gossip.table.Flow(now, entries, a, b, own))
			unreported := unreportedPromptRate * d.gossip.reportDelay().Seconds()
			cost += time.Duration(unreported * float64(m.TransferTime(float64(m.PromptTokens))))
			first := m.TransferTime(q.tokens) + time.Duration(float64(d.linkUsage.Backlog(now, a, b))*senders)
			cost += time.Duration(float64(first) / q.amortTokens(m))
			cache[pair] = cost
		}
		return cost
	}}
	if q.inPath {
		out.Reach = nil // the engines are reached from the preceding one
	}
	return out
}

// amortTokens returns the number of tokens over which the delay of the first token is spread.
func (q pathQuery) amortTokens(m *pklayers.Model) float64 {
	if q.urgent {
		return urgentAmortTokens
	}
	return max(float64(m.AnswerTokens), 1)
}

// batchWait returns how long a token waits on average for an engine to take it up: the engine runs
// batches over its layers, and a token arrives in the middle of one. Without this cost paths change
// engines to save one or two layers.
func batchWait(held int, layer time.Duration) time.Duration {
	return time.Duration(held) * layer / 2
}

// layerCost returns the time that an engine takes per token and layer, which grows as its memory
// fills, and whether it has capacity for the request.
func layerCost(now time.Time, m *pklayers.Model, t *pkreplica.Target, q pathQuery, senders float64, memoryPenalty pklayers.MemoryPenalty) (time.Duration, bool) {
	held := t.Held.Len()
	if held == 0 {
		return 0, false
	}
	capacity := m.KVCapacity(t.Kind, held) * float64(held)
	used := t.ExpectedMemory(now, senders) + q.tokens*float64(held)
	if q.fleet.Entries > 0 && !q.mayStart(now, t, senders, q.memoryShare*capacity, q.tokens*float64(held)) {
		return 0, false
	}
	fill := used / capacity
	if capacity <= 0 || fill > q.memoryShare {
		return 0, false
	}
	return time.Duration(float64(m.StepTime(t.Kind, 1)) * memoryPenalty(fill)), true
}
