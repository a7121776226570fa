package pkanswer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkengine"
	"peridotknot.example/pkid"
	"peridotknot.example/pkroute"
	"peridotknot.example/pktarget"
	"peridotknot.example/pkverdict"
)

const answerTokens = 8

// fault is the way in which an engine fails an attempt.
type fault string

const (
	none        fault = ""
	refuses     fault = "refuses to start"
	unreachable fault = "is unreachable"
	dies        fault = "dies"
	loses       fault = "loses a later stage"
	skips       fault = "skips a token"
	repeats     fault = "repeats a token"
	endsEarly   fault = "ends without the last tokens"
	overcounts  fault = "reports too many tokens at the end"
	stalls      fault = "stops sending"
)

// scriptedEngine fails the nth attempt as script[n] defines.
type scriptedEngine struct {
	t      *testing.T
	script []failure
	// crashes makes the engine refuse connections after its streams have failed.
	crashes  bool
	opened   []pkengine.OpenRequest
	canceled []pkid.Attempt
}

type failure struct {
	fault fault
	at    pkid.TokenIndex
}

func (s *scriptedEngine) Open(_ context.Context, _ string, o pkengine.OpenRequest) (pkengine.Stream, error) {
	f := failure{}
	if n := len(s.opened); n < len(s.script) {
		f = s.script[n]
	}
	s.opened = append(s.opened, o)
	switch f.fault {
	case refuses:
		return nil, &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonRefused, Err: errors.New("busy loading")}
	case unreachable:
		return nil, &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonTargetLost, Err: errors.New("no connection")}
	default:
		return &stream{failure: f, next: o.Next, end: pkid.TokenIndex(o.MaxTokens), lost: o.Route[len(o.Route)-1].Target}, nil
	}
}

func (s *scriptedEngine) Cancel(context.Context, string, pkid.RequestID, pkid.Attempt) error {
	return nil
}

func (s *scriptedEngine) Load(context.Context, string) (pkengine.Load, error) {
	if s.crashes {
		return pkengine.Load{}, fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	}
	return pkengine.Load{}, nil
}

func (s *scriptedEngine) Order(context.Context, string, pkengine.Order) error { return nil }

// stream sends the tokens of an attempt up to its failure.
type stream struct {
	failure
	next          pkid.TokenIndex
	end           pkid.TokenIndex
	lost          pkid.TargetID
	heartbeatSent bool
}

func lostError() error {
	return &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: errors.New("stream lost")}
}

func (s *stream) Next() (pkengine.Event, error) {
	time.Sleep(10 * time.Millisecond)
	if s.next >= s.at && s.fault != none {
		switch s.fault {
		case dies:
			return pkengine.Event{}, lostError()
		case stalls:
			time.Sleep(4 * pkengine.HeartbeatInterval)
			return pkengine.Event{}, lostError()
		case loses:
			return pkengine.Event{LostStage: s.lost}, nil
		case skips:
			s.next++
			s.fault = none
		case repeats:
			if s.next > 0 {
				s.next--
			}
			s.fault = none
		case endsEarly:
			return pkengine.Event{End: "stop", Total: s.next}, s.earlyEnd()
		case overcounts:
			if s.next == s.end {
				return pkengine.Event{End: "stop", Total: s.end + 1}, nil
			}
		default:
		}
	}
	if s.next == s.end {
		return pkengine.Event{End: "stop", Total: s.end}, nil
	}
	if !s.heartbeatSent {
		s.heartbeatSent = true
		return pkengine.Event{Heartbeat: true}, nil
	}
	s.next++
	return pkengine.Event{Index: s.next - 1, Text: word(s.next - 1)}, nil
}

// earlyEnd returns the error of a stream that is lost with an early end event.
func (s *stream) earlyEnd() error { return lostError() }

func (s *stream) Close() error { return nil }

func word(i pkid.TokenIndex) string { return fmt.Sprintf("w%d ", i) }

type sink struct {
	text strings.Builder
	gap  time.Duration
	last time.Time
}

func (s *sink) Token(_ pkid.TokenIndex, text string) error {
	now := time.Now()
	if !s.last.IsZero() {
		s.gap = max(s.gap, now.Sub(s.last))
	}
	s.last = now
	s.text.WriteString(text)
	return nil
}

// router returns chains of two stages; each avoided target selects the next spare chain, up to
// spares.
type router struct{ spares int }

func (r *router) Choose(_ time.Time, _ pkroute.ChainSpec, avoid []pkid.TargetID) (pkroute.Chain, error) {
	if len(avoid) > r.spares {
		return pkroute.Chain{}, pkroute.ErrNoChain
	}
	return pkroute.Chain{Stages: []*pktarget.Target{newStage(len(avoid), 0), newStage(len(avoid), 1)}}, nil
}

func newStage(chain, position int) *pktarget.Target {
	target := pktarget.NewTarget(pktarget.Info{ID: pkid.TargetID(fmt.Sprintf("%d-%d", chain, position))})
	target.SetHolding(pktarget.Holding{Range: pkid.Range{First: pkid.Layer(position), End: pkid.Layer(position + 1)}})
	return target
}

type budget struct{ left int }

func (b *budget) Spend() bool {
	b.left--
	return b.left >= 0
}

type noopObserver struct{}

func (noopObserver) AttemptBegan(ctx context.Context, _ pkid.Attempt, _ pkroute.Chain) context.Context {
	return ctx
}

func (noopObserver) AttemptEnded(context.Context, pkid.Attempt, error) {}

func runScript(t *testing.T, e *scriptedEngine, spares, retries int, out Sink) (Result, error) {
	r := &Runner{Engine: e, Router: &router{spares: spares}, Options: DefaultOptions()}
	r.Cancel = func(_ string, _ pkid.RequestID, attempt pkid.Attempt) { e.canceled = append(e.canceled, attempt) }
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	req := Request{ID: "r", MaxTokens: answerTokens, PromptTokens: 3, Deadline: time.Now().Add(time.Minute)}
	return r.Run(ctx, req, out, &budget{left: retries}, noopObserver{})
}

func fullAnswer() string {
	var b strings.Builder
	for i := range pkid.TokenIndex(answerTokens) {
		b.WriteString(word(i))
	}
	return b.String()
}

// Guards against lost, repeated or delayed tokens and attempts left running, whichever way one or
// two attempts in a row fail.
func TestAnswerSurvivesEngineFaults(t *testing.T) {
	faults := []fault{refuses, unreachable, dies, loses, skips, repeats, endsEarly, overcounts, stalls}
	indexes := []pkid.TokenIndex{0, 1, answerTokens / 2, answerTokens - 1, answerTokens}
	for _, first := range faults {
		for _, at := range indexes {
			for _, second := range append([]fault{none}, faults...) {
				name := fmt.Sprintf("%s at %d then %s", first, at, second)
				t.Run(name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						e := &scriptedEngine{t: t, script: []failure{{first, at}, {second, at}}}
						out := &sink{}
						result, err := runScript(t, e, 5, 5, out)
						assert.NilError(t, err)
						assert.Equal(t, out.text.String(), fullAnswer())
						assert.Equal(t, result.Tokens, pkid.Tokens(answerTokens))
						assert.Assert(t, out.gap < 2*4*pkengine.HeartbeatInterval+200*time.Millisecond, out.gap)
						for i, o := range e.opened[1:] {
							assert.Assert(t, o.Attempt > e.opened[i].Attempt)
							assert.Assert(t, o.Next >= e.opened[i].Next)
							assert.Assert(t, strings.HasPrefix(fullAnswer(), o.Delivered))
							if f := e.script[i].fault; f != refuses && f != unreachable {
								assert.Assert(t, slices.Contains(e.canceled, e.opened[i].Attempt))
							}
						}
					})
				})
			}
		}
	}
}

// Guards against a delayed error when no chain or retry is left, and against the verdict "not run"
// after an engine was reached.
func TestFailedAnswerHasVerdict(t *testing.T) {
	cases := map[string]struct {
		script  []failure
		spares  int
		retries int
		verdict pkverdict.Verdict
		reason  pkverdict.Reason
	}{
		"never reached":            {[]failure{{unreachable, 0}, {unreachable, 0}, {refuses, 0}}, 9, 2, pkverdict.NotRun, pkverdict.ReasonTargetLost},
		"no chain":                 {nil, -1, 9, pkverdict.NotRun, pkverdict.ReasonNoRoute},
		"died before a token":      {[]failure{{dies, 0}}, 9, 0, pkverdict.MayHaveRun, pkverdict.ReasonTargetLost},
		"died, then unreached":     {[]failure{{dies, 0}, {unreachable, 0}}, 9, 1, pkverdict.MayHaveRun, pkverdict.ReasonTargetLost},
		"died in mid-answer twice": {[]failure{{dies, 3}, {dies, 5}}, 9, 1, pkverdict.MayHaveRun, pkverdict.ReasonTargetLost},
		"attempts used up":         {[]failure{{dies, 1}, {dies, 1}, {dies, 1}, {dies, 1}, {dies, 1}, {dies, 1}, {dies, 1}}, 9, 99, pkverdict.MayHaveRun, pkverdict.ReasonTargetLost},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				_, err := runScript(t, &scriptedEngine{t: t, script: c.script}, c.spares, c.retries, &sink{})
				var failure *pkverdict.Error
				assert.Assert(t, errors.As(err, &failure), err)
				assert.Equal(t, failure.Verdict, c.verdict)
				assert.Equal(t, failure.Reason, c.reason)
				assert.Assert(t, time.Since(start) < time.Second, "the error was delayed")
			})
		})
	}
}

// Guards against a request that crashes one engine after another: after three crashes it is
// quarantined. Failures of engines that still run or have sent a token do not count as crashes.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for name, c := range map[string]struct {
		at      pkid.TokenIndex
		crashes bool
		opened  int
		reason  pkverdict.Reason
	}{
		"crashed before a token": {0, true, 3, pkverdict.ReasonQuarantined},
		"engine still runs":      {0, false, 6, pkverdict.ReasonTargetLost},
		"crashed in mid-answer":  {1, true, 6, pkverdict.ReasonTargetLost},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &scriptedEngine{t: t, crashes: c.crashes}
				for i := range pkid.TokenIndex(20) {
					e.script = append(e.script, failure{dies, c.at * (1 + i)})
				}
				r := &Runner{Engine: e, Router: &router{spares: 9}, Options: DefaultOptions()}
				r.Cancel = func(string, pkid.RequestID, pkid.Attempt) {}
				req := Request{ID: "r", Digest: 7, MaxTokens: answerTokens, Deadline: time.Now().Add(time.Minute)}
				_, err := r.Run(t.Context(), req, &sink{}, &budget{left: 99}, noopObserver{})
				var failure *pkverdict.Error
				assert.Assert(t, errors.As(err, &failure), err)
				assert.Equal(t, failure.Reason, c.reason)
				assert.Equal(t, failure.Verdict, pkverdict.MayHaveRun)
				assert.Equal(t, len(e.opened), c.opened)

				if c.reason != pkverdict.ReasonQuarantined {
					return
				}
				_, err = r.Run(t.Context(), req, &sink{}, &budget{left: 99}, noopObserver{})
				assert.Assert(t, errors.As(err, &failure), err)
				assert.Equal(t, failure.Verdict, pkverdict.NotRun)
				assert.Equal(t, len(e.opened), c.opened, "the same request again")
				req.Digest, e.crashes, e.script = 8, false, nil
				_, err = r.Run(t.Context(), req, &sink{}, &budget{left: 99}, noopObserver{})
				assert.NilError(t, err, "another request")
			})
		})
	}
}

// Guards against an attempt left running, or a retry, after the caller disconnected in mid-answer.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &scriptedEngine{t: t}
		_, err := runScript(t, e, 9, 9, brokenSink{})
		assert.ErrorContains(t, err, "caller disconnected")
		assert.Equal(t, len(e.opened), 1)
		assert.DeepEqual(t, e.canceled, []pkid.Attempt{1})
	})
}

type brokenSink struct{}

func (brokenSink) Token(pkid.TokenIndex, string) error { return errors.New("broken pipe") }
