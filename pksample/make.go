package pksample

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pktrace"
)

// Profile is the shape of a user's workload.
type Profile struct {
	Lasts    time.Duration
	Accounts []pkid.AccountID
	// Shares are the accounts' shares of the requests; a few are large.
	Shares []float64
	// Models and Calls are requests a second outside the burst, and Burst is
	// what multiplies them from BurstAt on, for BurstFor.
	Models   float64
	Calls    float64
	Burst    float64
	BurstAt  time.Duration
	BurstFor time.Duration
	Model    pkid.ModelID
	Prompt   int
	Output   int
	Deadline time.Duration
	Service  pkid.ServiceID
	// Reads is the share of calls that may be repeated.
	Reads        float64
	CallDeadline time.Duration
	Faults       []pktrace.Line
}

func fault(at time.Duration, f pktrace.Fault) pktrace.Line {
	return pktrace.Line{AtMS: at.Milliseconds(), Kind: pktrace.KindFault, Fault: &f}
}

var profiles = map[string]Profile{
	"aare": {
		Lasts:    18 * time.Second,
		Accounts: accounts("mitglieder", "versammlung", "redaktion", "bern", "thun", "jugend", "verwaltung", "revision"),
		Shares:   []float64{8, 6, 2, 1, 1, 1, 1, 0.5},
		Models:   40, Calls: 60, Burst: 2.5, BurstAt: 6 * time.Second, BurstFor: 4 * time.Second,
		Model: "budget-de", Prompt: 180, Output: 48, Deadline: 8 * time.Second,
		Service: "voting", Reads: 0.6, CallDeadline: 2 * time.Second,
		Faults: []pktrace.Line{
			fault(500*time.Millisecond, pktrace.Fault{Name: pktrace.FaultPublish, Target: "upgrade"}),
			fault(2*time.Second, pktrace.Fault{Name: pktrace.FaultKill, Target: "aare-model-0-a-1", ForMS: 2500}),
			fault(5*time.Second, pktrace.Fault{Name: pktrace.FaultStore, ForMS: 6000}),
			fault(7*time.Second, pktrace.Fault{Name: pktrace.FaultSilence, Target: "aare-model-0-b-2"}),
			fault(9*time.Second, pktrace.Fault{Name: pktrace.FaultLeave, Target: "aare-model-16-a-3", ForMS: 3000}),
			fault(12*time.Second, pktrace.Fault{Name: pktrace.FaultPublish}),
			fault(14*time.Second, pktrace.Fault{Name: pktrace.FaultVMList, ForMS: 2000}),
		},
	},
	"glenmore": {
		Lasts:    18 * time.Second,
		Accounts: accounts("clubs-north", "clubs-south", "parents", "scouts", "camps", "coaches", "halls", "office"),
		Shares:   []float64{6, 5, 4, 2, 2, 1, 1, 0.5},
		Models:   85, Calls: 120, Burst: 1.4, BurstAt: 8 * time.Second, BurstFor: 4 * time.Second,
		Model: "drafting", Prompt: 120, Output: 44, Deadline: 10 * time.Second,
		Service: "booking", Reads: 0.4, CallDeadline: 2 * time.Second,
		Faults: []pktrace.Line{
			fault(2*time.Second, pktrace.Fault{Name: pktrace.FaultKill, Target: "drafting-pool-16-a-2", ForMS: 2500}),
			fault(5*time.Second, pktrace.Fault{Name: pktrace.FaultSlow, Target: "drafting-pool-0-b-1", ForMS: 2000, ExtraMS: 60}),
			fault(8*time.Second, pktrace.Fault{Name: pktrace.FaultKill, Target: "booking-1", ForMS: 2000}),
			fault(11*time.Second, pktrace.Fault{Name: pktrace.FaultReplace}),
			fault(13*time.Second, pktrace.Fault{Name: pktrace.FaultLostSwap}),
			fault(13500*time.Millisecond, pktrace.Fault{Name: pktrace.FaultPublish}),
		},
	},
}

func accounts(names ...pkid.AccountID) []pkid.AccountID { return names }

// Make returns the trace of a sample's profile; calm leaves the faults out.
func Make(sample string, seed uint64, calm bool) ([]pktrace.Line, error) {
	p, found := profiles[sample]
	if !found {
		return nil, fmt.Errorf("there is no sample %q; there are %v", sample, Names)
	}
	g := maker{Profile: p, rand: rand.New(rand.NewPCG(seed, seed))}
	lines := g.arrivals(p.Models, g.model)
	lines = append(lines, g.arrivals(p.Calls, g.call)...)
	if !calm {
		lines = append(lines, p.Faults...)
	}
	slices.SortStableFunc(lines, func(a, b pktrace.Line) int { return int(a.AtMS - b.AtMS) })
	return lines, nil
}

// lookups is the share of calls that are GETs although they may not be
// repeated.
const lookups = 0.3

type maker struct {
	Profile
	rand *rand.Rand
}

// arrivals draws a Poisson process whose rate goes up in the burst.
func (g *maker) arrivals(rate float64, fill func(pktrace.Line) pktrace.Line) []pktrace.Line {
	var out []pktrace.Line
	for at := time.Duration(0); ; {
		now := rate
		if at >= g.BurstAt && at < g.BurstAt+g.BurstFor {
			now *= g.Burst
		}
		at += time.Duration(g.rand.ExpFloat64() / now * float64(time.Second))
		if at >= g.Lasts {
			return out
		}
		out = append(out, fill(pktrace.Line{AtMS: at.Milliseconds(), Account: g.account()}))
	}
}

func (g *maker) account() pkid.AccountID {
	sum := 0.0
	for _, s := range g.Shares {
		sum += s
	}
	u := g.rand.Float64() * sum
	for i, s := range g.Shares {
		if u -= s; u < 0 {
			return g.Accounts[i]
		}
	}
	return g.Accounts[0]
}

func (g *maker) model(l pktrace.Line) pktrace.Line {
	l.Kind = pktrace.KindModel
	l.Model = g.Model
	l.Stream = g.rand.Float64() < 0.8
	l.PromptTokens = pkid.Tokens(g.size(g.Prompt))
	l.OutputTokens = pkid.Tokens(g.size(g.Output))
	l.DeadlineMS = g.Deadline.Milliseconds()
	return l
}

// size draws a log-normal size around a median, cut off at four times of it.
func (g *maker) size(median int) int {
	const spread = 0.5
	n := float64(median) * math.Exp(spread*g.rand.NormFloat64())
	return int(min(max(n, 4), float64(4*median)))
}

func (g *maker) call(l pktrace.Line) pktrace.Line {
	l.Kind = pktrace.KindCall
	l.Service = g.Service
	l.Idempotent = g.rand.Float64() < g.Reads
	l.Method = "POST"
	l.BodyBytes = int64(g.size(300))
	// A ballot lookup is a GET that may not be repeated.
	if lookup := g.rand.Float64() < lookups; l.Idempotent || lookup {
		l.Method = "GET"
		l.BodyBytes = 0
	}
	l.DeadlineMS = g.CallDeadline.Milliseconds()
	return l
}
