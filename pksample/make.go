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

// Profile describes a user's workload.
type Profile struct {
	// Duration is the length of the trace.
	Duration time.Duration
	Accounts []pkid.AccountID
	// Shares are the relative weights of the accounts in the requests.
	Shares []float64
	// ModelRate and CallRate are the rates of model requests and of service calls per second;
	// BurstFactor multiplies both during the burst.
	ModelRate     float64
	CallRate      float64
	BurstFactor   float64
	BurstStart    time.Duration
	BurstDuration time.Duration
	Model         pkid.ModelID
	// MedianPromptTokens and MedianOutputTokens are those of a model request.
	MedianPromptTokens int
	MedianOutputTokens int
	ModelDeadline      time.Duration
	Service            pkid.ServiceID
	// IdempotentShare is the fraction of service calls that are idempotent.
	IdempotentShare float64
	CallDeadline    time.Duration
	Faults          []pktrace.Line
}

func faultLine(at time.Duration, f pktrace.Fault) pktrace.Line {
	return pktrace.Line{AtMS: at.Milliseconds(), Kind: pktrace.KindFault, Fault: &f}
}

var profiles = map[string]Profile{
	"aare": {
		Duration:  18 * time.Second,
		Accounts:  accounts("mitglieder", "versammlung", "redaktion", "bern", "thun", "jugend", "verwaltung", "revision"),
		Shares:    []float64{8, 6, 2, 1, 1, 1, 1, 0.5},
		ModelRate: 40, CallRate: 60, BurstFactor: 2.5, BurstStart: 6 * time.Second, BurstDuration: 4 * time.Second,
		Model: "budget-de", MedianPromptTokens: 180, MedianOutputTokens: 48, ModelDeadline: 8 * time.Second,
		Service: "voting", IdempotentShare: 0.6, CallDeadline: 2 * time.Second,
		Faults: []pktrace.Line{
			faultLine(500*time.Millisecond, pktrace.Fault{Name: pktrace.FaultPublish, Target: "upgrade"}),
			faultLine(2*time.Second, pktrace.Fault{Name: pktrace.FaultKill, Target: "aare-model-0-a-1", ForMS: 2500}),
			faultLine(5*time.Second, pktrace.Fault{Name: pktrace.FaultStoreDown, ForMS: 6000}),
			faultLine(7*time.Second, pktrace.Fault{Name: pktrace.FaultSilence, Target: "aare-model-0-b-2"}),
			faultLine(9*time.Second, pktrace.Fault{Name: pktrace.FaultLeave, Target: "aare-model-16-a-3", ForMS: 3000}),
			faultLine(12*time.Second, pktrace.Fault{Name: pktrace.FaultPublish}),
			faultLine(14*time.Second, pktrace.Fault{Name: pktrace.FaultVMListEmpty, ForMS: 2000}),
		},
	},
	"glenmore": {
		Duration:  18 * time.Second,
		Accounts:  accounts("clubs-north", "clubs-south", "parents", "scouts", "camps", "coaches", "halls", "office"),
		Shares:    []float64{6, 5, 4, 2, 2, 1, 1, 0.5},
		ModelRate: 85, CallRate: 120, BurstFactor: 1.4, BurstStart: 8 * time.Second, BurstDuration: 4 * time.Second,
		Model: "drafting", MedianPromptTokens: 120, MedianOutputTokens: 44, ModelDeadline: 10 * time.Second,
		Service: "booking", IdempotentShare: 0.4, CallDeadline: 2 * time.Second,
		Faults: []pktrace.Line{
			faultLine(2*time.Second, pktrace.Fault{Name: pktrace.FaultKill, Target: "drafting-pool-16-a-2", ForMS: 2500}),
			faultLine(5*time.Second, pktrace.Fault{Name: pktrace.FaultSlow, Target: "drafting-pool-0-b-1", ForMS: 2000, ExtraMS: 60}),
			faultLine(8*time.Second, pktrace.Fault{Name: pktrace.FaultKill, Target: "booking-1", ForMS: 2000}),
			faultLine(11*time.Second, pktrace.Fault{Name: pktrace.FaultReplaceEntries}),
			faultLine(13*time.Second, pktrace.Fault{Name: pktrace.FaultStoreAnswerLost}),
			faultLine(13500*time.Millisecond, pktrace.Fault{Name: pktrace.FaultPublish}),
		},
	},
}

func accounts(names ...pkid.AccountID) []pkid.AccountID { return names }

// Make generates the trace of a sample from its profile and a seed. If calm is set, the trace has
// no faults.
func Make(sample string, seed uint64, calm bool) ([]pktrace.Line, error) {
	p, found := profiles[sample]
	if !found {
		return nil, fmt.Errorf("unknown sample %q, expected one of %v", sample, Names)
	}
	g := generator{Profile: p, rand: rand.New(rand.NewPCG(seed, seed))}
	lines := g.arrivals(p.ModelRate, g.modelLine)
	lines = append(lines, g.arrivals(p.CallRate, g.callLine)...)
	if !calm {
		lines = append(lines, p.Faults...)
	}
	slices.SortStableFunc(lines, func(a, b pktrace.Line) int { return int(a.AtMS - b.AtMS) })
	return lines, nil
}

// lookupShare is the fraction of GET requests among the calls that are not idempotent.
const lookupShare = 0.3

// generator draws the lines of a trace from a profile.
type generator struct {
	Profile
	rand *rand.Rand
}

// arrivals draws lines from a Poisson process with the given rate per second, which is higher
// during the burst. The callback completes each line.
func (g *generator) arrivals(rate float64, complete func(pktrace.Line) pktrace.Line) []pktrace.Line {
	var out []pktrace.Line
	for at := time.Duration(0); ; {
		current := rate
		if at >= g.BurstStart && at < g.BurstStart+g.BurstDuration {
			current *= g.BurstFactor
		}
		at += time.Duration(g.rand.ExpFloat64() / current * float64(time.Second))
		if at >= g.Duration {
			return out
		}
		out = append(out, complete(pktrace.Line{AtMS: at.Milliseconds(), Account: g.drawAccount()}))
	}
}

func (g *generator) drawAccount() pkid.AccountID {
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

func (g *generator) modelLine(l pktrace.Line) pktrace.Line {
	l.Kind = pktrace.KindModel
	l.Model = g.Model
	l.Stream = g.rand.Float64() < 0.8
	l.PromptTokens = pkid.Tokens(g.drawSize(g.MedianPromptTokens))
	l.OutputTokens = pkid.Tokens(g.drawSize(g.MedianOutputTokens))
	l.DeadlineMS = g.ModelDeadline.Milliseconds()
	return l
}

// drawSize draws a log-normal size with the given median, limited to between 4 and four times the
// median.
func (g *generator) drawSize(median int) int {
	const spread = 0.5
	n := float64(median) * math.Exp(spread*g.rand.NormFloat64())
	return int(min(max(n, 4), float64(4*median)))
}

func (g *generator) callLine(l pktrace.Line) pktrace.Line {
	l.Kind = pktrace.KindCall
	l.Service = g.Service
	l.Idempotent = g.rand.Float64() < g.IdempotentShare
	l.Method = "POST"
	l.BodyBytes = int64(g.drawSize(300))
	// Some calls that are not idempotent, such as the lookup of a ballot, are GET requests too.
	if lookup := g.rand.Float64() < lookupShare; l.Idempotent || lookup {
		l.Method = "GET"
		l.BodyBytes = 0
	}
	l.DeadlineMS = g.CallDeadline.Milliseconds()
	return l
}
