package pktrace

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the judgement on a replay.
type Report struct {
	Name     string         `json:"name"`
	Took     time.Duration  `json:"took_ns"`
	Requests int            `json:"requests"`
	Counts   map[string]int `json:"counts"`
	// Told counts calls that ran although their caller was told that they
	// had not.
	Told          int         `json:"told_not_run_but_ran"`
	Broken        int         `json:"layer_order_broken"`
	FirstToken    Percentiles `json:"first_token"`
	BetweenTokens Percentiles `json:"between_tokens"`
	Goodput       Goodput     `json:"goodput"`
	Recoveries    []Recovery  `json:"recoveries"`
	StoreCalls    int64       `json:"store_calls"`
	Misses        []string    `json:"misses"`
	// Examples are details of requests that were not whole.
	Examples []string `json:"examples,omitempty"`

	results []Result
}

// Percentiles of a time.
type Percentiles struct {
	P50 time.Duration `json:"p50_ns"`
	P95 time.Duration `json:"p95_ns"`
	P99 time.Duration `json:"p99_ns"`
}

// Goodput is tokens a second of whole and timely answers against the bound.
type Goodput struct {
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Offered is what the trace asked for, Capacity what the engines could
	// make; the bound is the lesser.
	Offered  float64 `json:"offered"`
	Capacity float64 `json:"capacity"`
	Share    float64 `json:"share_of_bound"`
}

// Recovery is what callers saw of one fault.
type Recovery struct {
	Fault Fault         `json:"fault"`
	At    time.Duration `json:"at_ns"`
	// Time is from the fault to the last request or gap that it disturbed.
	Time time.Duration `json:"recovery_ns"`
	// Gap is the longest time between two tokens until the next fault.
	Gap       time.Duration `json:"max_gap_ns"`
	Disturbed int           `json:"disturbed"`
}

const (
	// disturbedGap is a time between tokens that a caller notices.
	disturbedGap = 250 * time.Millisecond
	examples     = 8
)

// Judge judges a replay against a stated outcome. Capacity is the tokens a
// second that the engines could make, or zero if it is not known.
func Judge(name string, o Outcome, l Ledger, x Expect, capacity float64) Report {
	r := Report{Name: name, Took: o.Took, Counts: map[string]int{}, Broken: l.Broken, StoreCalls: l.StoreCalls, results: o.Results}
	first := hdrhistogram.New(1, microsPerHour, histogramDigit)
	for i := range o.Results {
		one := &o.Results[i]
		if one.Line.Kind == KindFault {
			r.miss("fault %s did not come about: %s", one.Line.Fault.Name, one.Detail)
			continue
		}
		r.count(one, l, first)
	}
	for _, c := range Classes {
		r.Counts[c.String()] += 0
	}
	r.FirstToken = percentiles(first)
	r.BetweenTokens = percentiles(o.Between)
	r.goodput(o, capacity)
	r.recoveries(o)
	r.compare(x)
	for _, v := range l.Violations {
		r.miss("layer order: %s", v)
	}
	return r
}

// count settles the class of a request with the ledger and counts it.
func (r *Report) count(one *Result, l Ledger, first *hdrhistogram.Histogram) {
	runs := l.Runs[one.Call]
	if one.Line.Kind == KindCall && !one.Line.Idempotent && runs > 1 {
		one.Class = Doubled
		one.Detail = fmt.Sprintf("the call ran %d times", runs)
	}
	if one.Class == Refused && runs > 0 {
		r.Told++
	}
	r.Requests++
	r.Counts[one.Class.String()]++
	if one.Tokens > 0 && one.Line.Stream {
		// Values outside the histogram's hour cannot come up.
		_ = first.RecordValue(one.FirstToken.Microseconds())
	}
	if one.Class != Whole && len(r.Examples) < examples {
		r.Examples = append(r.Examples, fmt.Sprintf("%s at %s: %s: %s", one.Call, one.Began.Round(time.Millisecond), one.Class, one.Detail))
	}
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	return Percentiles{P50: at(50), P95: at(95), P99: at(99)}
}

func (r *Report) goodput(o Outcome, capacity float64) {
	offered, good := 0, 0
	var last time.Duration
	for _, one := range o.Results {
		if one.Line.Kind != KindModel {
			continue
		}
		offered += int(one.Line.OutputTokens)
		if one.Class == Whole {
			good += one.Tokens
			last = max(last, one.Ended)
		}
	}
	// Until the last whole answer: what queued in an overload is made after
	// the last request came, and would otherwise count beyond the capacity.
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

func (r *Report) recoveries(o Outcome) {
	faults := slices.SortedFunc(slices.Values(o.Faults), func(a, b InjectedFault) int { return int(a.At - b.At) })
	for i, f := range faults {
		until := o.Took
		if i+1 < len(faults) {
			until = faults[i+1].At
		}
		one := Recovery{Fault: f.Fault, At: f.At}
		for _, res := range o.Results {
			one.add(res, until)
		}
		r.Recoveries = append(r.Recoveries, one)
	}
}

// add takes a request into account if the fault may have disturbed it.
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

func (r *Report) miss(format string, args ...any) {
	r.Misses = append(r.Misses, fmt.Sprintf(format, args...))
}

func (r *Report) compare(x Expect) {
	r.none(Doubled.String(), r.Counts[Doubled.String()])
	r.none(Crossed.String(), r.Counts[Crossed.String()])
	r.none("told not run but ran", r.Told)
	r.none("layers out of order", r.Broken)
	r.share(Lost, x.MaxLostShare)
	r.share(Late, x.MaxLateShare)
	r.share(Refused, x.MaxRefusedShare)
	r.atMost("first token p95", r.FirstToken.P95, x.FirstTokenP95)
	r.atMost("between tokens p95", r.BetweenTokens.P95, x.BetweenTokensP95)
	if r.Goodput.Share < x.MinGoodputShare {
		r.miss("goodput is %.3f of the bound, at least %.3f was stated", r.Goodput.Share, x.MinGoodputShare)
	}
	for _, v := range r.Recoveries {
		r.atMost(fmt.Sprintf("recovery from %s %s", v.Fault.Name, v.Fault.Target), v.Time, x.MaxRecovery)
	}
}

func (r *Report) none(what string, n int) {
	if n > 0 {
		r.miss("%s: %d, none may be", what, n)
	}
}

func (r *Report) share(c Class, most float64) {
	got := float64(r.Counts[c.String()]) / float64(max(r.Requests, 1))
	if got > most {
		r.miss("%s: %.4f of the requests, at most %.4f was stated", c, got, most)
	}
}

func (r *Report) atMost(what string, got, most time.Duration) {
	if got > most {
		r.miss("%s is %s, at most %s was stated", what, got, most)
	}
}

// Held says whether everything that was stated holds.
func (r *Report) Held() bool { return len(r.Misses) == 0 }
