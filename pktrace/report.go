package pktrace

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report compares the results of a replay with the stated outcome.
type Report struct {
	Name     string        `json:"name"`
	Took     time.Duration `json:"took_ns"`
	Requests int           `json:"requests"`
	// Counts holds the number of requests of each class.
	Counts map[string]int `json:"counts"`
	// NotRunButRan counts the calls that ran although they were refused as not run.
	NotRunButRan int `json:"told_not_run_but_ran"`
	// LayerOrderViolations counts the violations of the layer order.
	LayerOrderViolations int         `json:"layer_order_broken"`
	FirstToken           Percentiles `json:"first_token"`
	BetweenTokens        Percentiles `json:"between_tokens"`
	Goodput              Goodput     `json:"goodput"`
	Recoveries           []Recovery  `json:"recoveries"`
	StoreCalls           int64       `json:"store_calls"`
	// Misses describe the stated outcomes that do not hold.
	Misses []string `json:"misses"`
	// Examples describe some requests that were not whole.
	Examples []string `json:"examples,omitempty"`

	results []Result
}

// Percentiles are percentiles of a duration.
type Percentiles struct {
	P50 time.Duration `json:"p50_ns"`
	P95 time.Duration `json:"p95_ns"`
	P99 time.Duration `json:"p99_ns"`
}

// Goodput is the rate of tokens in answers that were whole and in time.
type Goodput struct {
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Offered is the rate requested by the trace, Capacity the rate that the engines can generate or
	// zero if unknown. The lower of the two is the bound of the goodput.
	Offered  float64 `json:"offered"`
	Capacity float64 `json:"capacity"`
	// Share is the goodput as a fraction of the bound.
	Share float64 `json:"share_of_bound"`
}

// Recovery is the effect of a fault on callers.
type Recovery struct {
	Fault Fault         `json:"fault"`
	At    time.Duration `json:"at_ns"`
	// Time is the time from the fault to the end of the last request or gap that it disturbed.
	Time time.Duration `json:"recovery_ns"`
	// Gap is the longest time between two tokens until the next fault.
	Gap time.Duration `json:"max_gap_ns"`
	// Disturbed counts long gaps and requests that were not whole.
	Disturbed int `json:"disturbed"`
}

const (
	// disturbedGap is the time between two tokens above which a stream counts as disturbed.
	disturbedGap = 250 * time.Millisecond
	maxExamples  = 8
)

// Evaluate compares the results of a replay with the stated outcome. Capacity is the rate in tokens
// per second that the engines can generate, or zero if unknown.
func Evaluate(name string, o Outcome, l Ledger, x Expect, capacity float64) Report {
	r := Report{Name: name, Took: o.Took, Counts: map[string]int{}, LayerOrderViolations: l.ViolationCount, StoreCalls: l.StoreCalls, results: o.Results}
	first := hdrhistogram.New(1, microsPerHour, histogramDigits)
	for i := range o.Results {
		res := &o.Results[i]
		if res.Line.Kind == KindFault {
			r.addMiss("fault %s did not come about: %s", res.Line.Fault.Name, res.Detail)
			continue
		}
		r.countRequest(res, l, first)
	}
	for _, c := range Classes {
		r.Counts[c.String()] += 0
	}
	r.FirstToken = percentiles(first)
	r.BetweenTokens = percentiles(o.TokenGaps)
	r.setGoodput(o, capacity)
	r.setRecoveries(o)
	r.checkExpect(x)
	for _, v := range l.Violations {
		r.addMiss("layer order: %s", v)
	}
	return r
}

// countRequest corrects the class of a request by the ledger and counts the request.
func (r *Report) countRequest(res *Result, l Ledger, first *hdrhistogram.Histogram) {
	runs := l.Runs[res.Call]
	if res.Line.Kind == KindCall && !res.Line.Idempotent && runs > 1 {
		res.Class = Doubled
		res.Detail = fmt.Sprintf("the call ran %d times", runs)
	}
	if res.Class == Refused && runs > 0 {
		r.NotRunButRan++
	}
	r.Requests++
	r.Counts[res.Class.String()]++
	if res.Tokens > 0 && res.Line.Stream {
		// Requests end well within the hour that the histogram covers.
		_ = first.RecordValue(res.FirstToken.Microseconds())
	}
	if res.Class != Whole && len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf("%s at %s: %s: %s", res.Call, res.Began.Round(time.Millisecond), res.Class, res.Detail))
	}
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	return Percentiles{P50: at(50), P95: at(95), P99: at(99)}
}

func (r *Report) setGoodput(o Outcome, capacity float64) {
	offered, good := 0, 0
	var last time.Duration
	for _, res := range o.Results {
		if res.Line.Kind != KindModel {
			continue
		}
		offered += int(res.Line.OutputTokens)
		if res.Class == Whole {
			good += res.Tokens
			last = max(last, res.Ended)
		}
	}
	// Divide by the time until the last whole answer: in an overload, queued requests are answered
	// after the last arrival, which would otherwise raise the goodput above the capacity.
	seconds := max(last, time.Second).Seconds()
	r.Goodput = Goodput{TokensPerSecond: float64(good) / seconds, Offered: float64(offered) / seconds, Capacity: capacity}
	bound := r.Goodput.Offered
	if capacity > 0 {
		bound = min(bound, capacity)
	}
	if bound > 0 {
		r.Goodput.Share = r.Goodput.TokensPerSecond / bound
	}
}

func (r *Report) setRecoveries(o Outcome) {
	faults := slices.SortedFunc(slices.Values(o.Faults), func(a, b InjectedFault) int { return int(a.At - b.At) })
	for i, f := range faults {
		until := o.Took
		if i+1 < len(faults) {
			until = faults[i+1].At
		}
		recovery := Recovery{Fault: f.Fault, At: f.At}
		for _, res := range o.Results {
			recovery.add(res, until)
		}
		r.Recoveries = append(r.Recoveries, recovery)
	}
}

// add counts a request if it was disturbed between the fault and the given time.
func (v *Recovery) add(res Result, until time.Duration) {
	if res.GapAt > v.At && res.GapAt <= until {
		v.Gap = max(v.Gap, res.Gap)
		if res.Gap > disturbedGap {
			v.Disturbed++
			v.Time = max(v.Time, res.GapAt-v.At)
		}
	}
	if res.Line.Kind != KindFault && res.Class != Whole && res.Ended > v.At && res.Ended <= until {
		v.Disturbed++
		v.Time = max(v.Time, res.Ended-v.At)
	}
}

func (r *Report) addMiss(format string, args ...any) {
	r.Misses = append(r.Misses, fmt.Sprintf(format, args...))
}

func (r *Report) checkExpect(x Expect) {
	r.checkNone(Doubled.String(), r.Counts[Doubled.String()])
	r.checkNone(Crossed.String(), r.Counts[Crossed.String()])
	r.checkNone("told not run but ran", r.NotRunButRan)
	r.checkNone("layers out of order", r.LayerOrderViolations)
	r.checkShare(Lost, x.MaxLostShare)
	r.checkShare(Late, x.MaxLateShare)
	r.checkShare(Refused, x.MaxRefusedShare)
	r.checkAtMost("first token p95", r.FirstToken.P95, x.FirstTokenP95)
	r.checkAtMost("between tokens p95", r.BetweenTokens.P95, x.BetweenTokensP95)
	if r.Goodput.Share < x.MinGoodputShare {
		r.addMiss("goodput is %.3f of the bound, at least %.3f was stated", r.Goodput.Share, x.MinGoodputShare)
	}
	for _, v := range r.Recoveries {
		r.checkAtMost(fmt.Sprintf("recovery from %s %s", v.Fault.Name, v.Fault.Target), v.Time, x.MaxRecovery)
	}
}

func (r *Report) checkNone(what string, n int) {
	if n > 0 {
		r.addMiss("%s: %d, none may be", what, n)
	}
}

func (r *Report) checkShare(c Class, limit float64) {
	got := float64(r.Counts[c.String()]) / float64(max(r.Requests, 1))
	if got > limit {
		r.addMiss("%s: %.4f of the requests, at most %.4f was stated", c, got, limit)
	}
}

func (r *Report) checkAtMost(what string, got, limit time.Duration) {
	if got > limit {
		r.addMiss("%s is %s, at most %s was stated", what, got, limit)
	}
}

// Held reports whether the stated outcome holds.
func (r *Report) Held() bool { return len(r.Misses) == 0 }
