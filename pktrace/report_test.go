package pktrace

import (
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
)

var laxExpect = Expect{
	MaxLostShare: 1, MaxLateShare: 1, MaxRefusedShare: 1,
	FirstTokenP95: time.Hour, BetweenTokensP95: time.Hour, MaxRecovery: time.Hour,
}

func outcomeOf(results ...Result) Outcome {
	return Outcome{Results: results, Took: 10 * time.Second, TokenGaps: hdrhistogram.New(1, 1_000_000, 3)}
}

func callLine(idempotent bool) Line {
	return Line{Kind: KindCall, Account: "a", Service: "s", Method: "POST", DeadlineMS: 1, Idempotent: idempotent}
}

// Guards against violations that a report misses, also those that the caller cannot see.
func TestEvaluateReportsViolations(t *testing.T) {
	cases := map[string]struct {
		result Result
		ledger Ledger
		miss   string
	}{
		"whole":                           {Result{Line: callLine(false), Class: Whole, Call: "c"}, Ledger{Runs: map[string]int{"c": 1}}, ""},
		"non-idempotent call run twice":   {Result{Line: callLine(false), Class: Whole, Call: "c"}, Ledger{Runs: map[string]int{"c": 2}}, "doubled: 1"},
		"idempotent call run twice":       {Result{Line: callLine(true), Class: Whole, Call: "c"}, Ledger{Runs: map[string]int{"c": 2}}, ""},
		"refused as not run, but it ran":  {Result{Line: callLine(false), Class: Refused, Call: "c"}, Ledger{Runs: map[string]int{"c": 1}}, "told not run but ran: 1"},
		"refused as not run, and not run": {Result{Line: callLine(false), Class: Refused, Call: "c"}, Ledger{}, ""},
		"answer of another request":       {Result{Line: callLine(false), Class: Crossed, Call: "c"}, Ledger{}, "crossed: 1"},
		"layers out of order":             {Result{Line: callLine(false), Class: Whole, Call: "c"}, Ledger{ViolationCount: 1, Violations: []string{"x"}}, "layers out of order: 1"},
		"fault that was not injected":     {Result{Line: Line{Kind: KindFault, Fault: &Fault{Name: FaultKill}}, Class: Lost}, Ledger{}, "fault kill did not come about"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := Evaluate(name, outcomeOf(c.result), c.ledger, laxExpect, 0)
			assert.Equal(t, r.Held(), c.miss == "", r.Misses)
			assert.Assert(t, strings.Contains(strings.Join(r.Misses, "\n"), c.miss), r.Misses)
		})
	}
}

func TestEvaluateReportsMissedExpectations(t *testing.T) {
	model := Line{Kind: KindModel, Account: "a", Model: "m", Stream: true, PromptTokens: 1, OutputTokens: 10, DeadlineMS: 1}
	o := outcomeOf(
		Result{Line: model, Class: Whole, Tokens: 10, FirstToken: time.Second, Ended: 2 * time.Second},
		Result{Line: model, Class: Lost, Ended: 3 * time.Second},
		Result{Line: model, Class: Late, Tokens: 10, Gap: time.Second, GapAt: 4 * time.Second},
	)
	o.Faults = []InjectedFault{{Fault: Fault{Name: FaultKill, Target: "e"}, At: time.Second}}
	strict := Expect{FirstTokenP95: time.Millisecond, BetweenTokensP95: time.Hour, MinGoodputShare: 0.9, MaxRecovery: 2500 * time.Millisecond}
	r := Evaluate("strict", o, Ledger{}, strict, 1000)
	all := strings.Join(r.Misses, "\n")
	for _, part := range []string{"lost: 0.3333", "late: 0.3333", "first token p95 is 1", "goodput is 0.333", "recovery from kill e is 3s"} {
		assert.Assert(t, strings.Contains(all, part), "%s\n%s", part, all)
	}
	assert.Equal(t, r.Recoveries[0].Gap, time.Second)
	page, err := r.HTML()
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), "a stated outcome does not hold"))
	assert.Assert(t, !strings.Contains(string(page), "http"), "the page must not load external resources")
}

func TestReadReportsInvalidLines(t *testing.T) {
	cases := map[string]string{
		`{"at_ms":1,"kind":"model"}`:                     "t:1: a model line needs account",
		`{"at_ms":1,"kind":"party"}`:                     "t:1: kind is \"party\"",
		`{"at_ms":-1,"kind":"fault","fault":{"name":1}}`: "t:1: json",
		`{"at_ms":1,"kind":"call","size":3}`:             "t:1: json: unknown field",
		"{}\n":                                           "t:1: kind is",
	}
	for text, want := range cases {
		_, err := Read("t", strings.NewReader(text))
		assert.ErrorContains(t, err, want)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(`{"at_ms":1,"kind":"fault","fault":{"name":"kill"}}`)
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := Read("t", strings.NewReader(text))
		if err != nil {
			return
		}
		var out strings.Builder
		if err := Write(&out, lines); err != nil {
			t.Fatal(err)
		}
		again, err := Read("t", strings.NewReader(out.String()))
		assert.NilError(t, err)
		assert.DeepEqual(t, lines, again)
	})
}
