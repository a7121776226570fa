package pkedge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
	"peridotknot.example/pklayers"
	"peridotknot.example/pkreplica"
)

// loadSim simulates entries that choose paths over one pool, each knowing its own load and the
// delayed load of the others. It runs on simulated time and sends nothing.
type loadSim struct {
	// entries is the number of entries, perSecond the rate of requests over all of them.
	entries   int
	perSecond float64
	duration  time.Duration
	// reportDelay is the largest age of the other entries' loads.
	reportDelay time.Duration
	// memoryPenalty is the policy under test.
	memoryPenalty pklayers.MemoryPenalty
}

// simResult is the outcome of a simulation.
type simResult struct {
	refused int
	// mean is the mean duration of requests, active the number in progress at the end.
	mean   time.Duration
	active int
	// fullest is the largest share of an engine's memory that was in use.
	fullest float64
}

// activeRequest is a request in progress.
type activeRequest struct {
	path   targetPath
	tokens float64
	ends   time.Time
}

// mixedModel describes a pool of 98 engines of four kinds in three data centres, with requests of
// 940 tokens.
func mixedModel() *pklayers.Model {
	return &pklayers.Model{
		Layers: 80, LayerMB: 1750, TokenBytes: 393000, ActivationBytes: 19700, LinkMbps: 4100, EngineTokens: 100_000,
		Step: 850 * time.Microsecond, PrefillPerSecond: 294_000, Chunk: 512, PromptTokens: 762, AnswerTokens: 179,
		Kinds: map[pkid.AcceleratorKind]pklayers.Accelerator{
			"h100": {MemoryMB: 72000, StepFactor: 1.4, PrefillFactor: 1}, "a100s": {MemoryMB: 36000, StepFactor: 3.1, PrefillFactor: 3.2},
			"l4": {MemoryMB: 21600, StepFactor: 16, PrefillFactor: 8.2}, "t4": {MemoryMB: 14400, StepFactor: 15, PrefillFactor: 15},
		},
	}
}

func mixedEngines(m *pklayers.Model) []pkreplica.Info {
	counts := []struct {
		dc   pkid.DataCenter
		kind pkid.AcceleratorKind
		n    int
	}{
		{"a", "a100s", 4},
		{"a", "l4", 11},
		{"a", "t4", 18},
		{"b", "h100", 1},
		{"b", "a100s", 2},
		{"b", "l4", 13},
		{"b", "t4", 17},
		{"c", "h100", 1},
		{"c", "a100s", 2},
		{"c", "l4", 20},
		{"c", "t4", 9},
	}
	var placements []pklayers.Placement
	for _, one := range counts {
		for i := range one.n {
			id := pkid.TargetID(fmt.Sprintf("%s-%s-%d", one.dc, one.kind, i))
			placements = append(placements, pklayers.Placement{ID: id, DataCenter: one.dc, Kind: one.kind})
		}
	}
	plan := pklayers.Plan(m, placements, time.Minute)
	var out []pkreplica.Info
	for _, c := range placements {
		out = append(out, pkreplica.Info{ID: c.ID, DataCenter: c.DataCenter, Kind: c.Kind, Held: plan[c.ID]})
	}
	return out
}

// answerTime returns how long an answer takes over a path: per token and engine, the time of its
// layers and a wait until the engine takes the token up, as in recorded traces.
func answerTime(m *pklayers.Model, p targetPath) time.Duration {
	const wait, busy = 740 * time.Microsecond, 1.24
	token := time.Duration(0)
	for i, stage := range p.stages {
		token += wait + time.Duration(busy*float64(m.StepTime(p.targets[i].Kind, stage.Layers.Len())))
	}
	return time.Duration(m.AnswerTokens) * token
}

// run simulates the load with a seed.
func (l loadSim) run(seed uint64) simResult {
	r := rand.New(rand.NewPCG(seed, 3))
	m := mixedModel()
	infos := mixedEngines(m)
	centers := []pkid.DataCenter{"a", "b", "c"}
	s := &pkconfig.Service{ID: "models", Engine: m}
	var daemons []*Daemon
	for i := range l.entries {
		d, _ := poolDaemon(infos...)
		d.settings.DataCenter = centers[i%len(centers)]
		d.memoryPenalty = l.memoryPenalty
		d.members.census.HearHub(l.entries)
		d.gossip.withHubs.Store(true)
		daemons = append(daemons, d)
	}
	now := time.Now()
	end, lastReport := now.Add(l.duration), now
	var out simResult
	var all time.Duration
	served := 0
	running := make([][]activeRequest, l.entries)
	for now.Before(end) {
		now = now.Add(time.Duration(r.ExpFloat64() / l.perSecond * float64(time.Second)))
		if now.Sub(lastReport) >= l.reportDelay {
			lastReport = now
			for i := range running {
				running[i] = endFinished(now, running[i])
			}
			out.fullest = max(out.fullest, exchangeLoads(m, daemons))
		}
		at := r.IntN(l.entries)
		d := daemons[at]
		tokens := 940 * (0.5 + r.Float64())
		p, found := d.choosePath(now, s, tokens, 0)
		if !found {
			out.refused++
			continue
		}
		p.reserve(now, m, &d.linkUsage, tokens, tokens, d.gossip.reportDelay())
		took := answerTime(m, p)
		all += took
		served++
		running[at] = append(running[at], activeRequest{path: p, tokens: tokens, ends: now.Add(took)})
	}
	for _, one := range running {
		out.active += len(endFinished(now, one))
	}
	out.mean = all / time.Duration(max(served, 1))
	return out
}

// endFinished ends the requests that are due at now and returns the others.
func endFinished(now time.Time, all []activeRequest) []activeRequest {
	return slices.DeleteFunc(all, func(u activeRequest) bool {
		if now.Before(u.ends) {
			return false
		}
		u.path.release(u.tokens)
		return true
	})
}

// exchangeLoads reports the load of all other entries to each entry, and returns the share in use
// of the fullest engine.
func exchangeLoads(m *pklayers.Model, daemons []*Daemon) float64 {
	sum := map[pkid.TargetID]pkreplica.Load{}
	for _, d := range daemons {
		for _, t := range d.roster.All() {
			own, all := t.OwnLoad(), sum[t.ID]
			sum[t.ID] = pkreplica.Load{Requests: all.Requests + own.Requests, Tokens: all.Tokens + own.Tokens}
		}
	}
	fullest := 0.0
	for _, d := range daemons {
		for _, t := range d.roster.All() {
			own, all := t.OwnLoad(), sum[t.ID]
			t.SetPeerLoad(pkreplica.Load{Requests: all.Requests - own.Requests, Tokens: all.Tokens - own.Tokens})
			fullest = max(fullest, all.Tokens/(m.KVCapacity(t.Kind, t.Held.Len())*float64(t.Held.Len())))
		}
	}
	return fullest
}

// Guards against a load policy that moves requests off fast engines which still have capacity: they
// would take much longer on slow ones. The policy in force must be faster than the early one,
// refuse nothing, and overcommit memory by no more than the unreported requests.
func TestRequestsStayOnFastEnginesWhileTheyHaveCapacity(t *testing.T) {
	load := loadSim{entries: 67, perSecond: 190, duration: 8 * time.Second, reportDelay: 450 * time.Millisecond}
	early, free := load, load
	early.memoryPenalty, free.memoryPenalty = pklayers.EarlyPenalty, pklayers.InversePenalty
	// Requests of a data centre that are not yet reported may come on top of the limit.
	unreported := load.perSecond / 3 * load.reportDelay.Seconds() * 940
	limit := maxMemoryShare + unreported/float64(mixedModel().EngineTokens)
	for seed := range uint64(3) {
		before, after := early.run(seed), free.run(seed)
		t.Logf("seed %d: early %+v, free %+v", seed, before, after)
		assert.Equal(t, after.refused, 0)
		assert.Assert(t, after.fullest < limit, "%f of an engine's memory, %f at most", after.fullest, limit)
		assert.Assert(t, after.mean < before.mean*95/100, "%v, %v before", after.mean, before.mean)
	}
}
