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

// fault is how an engine fails, at a token of the answer.
type fault string

const (
	none       fault = ""
	refuses    fault = "refuses to start"
	unreached  fault = "cannot be reached"
	dies       fault = "dies"
	loses      fault = "loses a later stage"
	skips      fault = "skips a token"
	repeats    fault = "repeats a token"
	endsEarly  fault = "ends without the last tokens"
	overcounts fault = "counts more tokens at the end"
	goesSilent fault = "goes silent"
)

// scripted is an engine that fails each attempt as its script says.
type scripted struct {
	t      *testing.T
	script []failure
	// gone engines refuse connections once their streams have broken off.
	gone      bool
	opened    []pkengine.Open
	cancelled []pkid.Attempt
}

type failure struct {
	fault fault
	at    pkid.Index
}

func (s *scripted) Open(_ context.Context, _ string, o pkengine.Open) (pkengine.Stream, error) {
	f := failure{}
	if n := len(s.opened); n < len(s.script) {
		f = s.script[n]
	}
	s.opened = append(s.opened, o)
	switch f.fault {
	case refuses:
		return nil, &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonRefused, Err: errors.New("busy loading")}
	case unreached:
		return nil, &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonTargetLost, Err: errors.New("no connection")}
	default:
		return &stream{failure: f, next: o.Next, end: pkid.Index(o.MaxTokens), lost: o.Route[len(o.Route)-1].Target}, nil
	}
}

func (s *scripted) Cancel(context.Context, string, pkid.RequestID, pkid.Attempt) error { return nil }

func (s *scripted) Load(context.Context, string) (pkengine.Load, error) {
	if s.gone {
		return pkengine.Load{}, fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	}
	return pkengine.Load{}, nil
}

func (s *scripted) Order(context.Context, string, pkengine.Order) error { return nil }

// stream sends the tokens of an attempt until its failure comes.
type stream struct {
	failure
	next pkid.Index
	end  pkid.Index
	lost pkid.TargetID
	told bool
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
		case goesSilent:
			time.Sleep(4 * pkengine.BeatEvery)
			return pkengine.Event{}, lostError()
		case loses:
			return pkengine.Event{Lost: s.lost}, nil
		case skips:
			s.next++
			s.fault = none
		case repeats:
			if s.next > 0 {
				s.next--
			}
			s.fault = none
		case endsEarly:
			return pkengine.Event{End: "stop", Total: s.next}, s.early()
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
	if !s.told {
		s.told = true
		return pkengine.Event{Beat: true}, nil
	}
	s.next++
	return pkengine.Event{Index: s.next - 1, Text: word(s.next - 1)}, nil
}

// early is how a connection that closes early looks: the stream is over and no
// end event came.
func (s *stream) early() error { return lostError() }

func (s *stream) Close() error { return nil }

func word(i pkid.Index) string { return fmt.Sprintf("w%d ", i) }

type sink struct {
	said strings.Builder
	gap  time.Duration
	last time.Time
}

func (s *sink) Token(_ pkid.Index, text string) error {
	now := time.Now()
	if !s.last.IsZero() {
		s.gap = max(s.gap, now.Sub(s.last))
	}
	s.last = now
	s.said.WriteString(text)
	return nil
}

// router gives two stages that were not tried yet, as a pool with spares would.
type router struct{ spares int }

func (r *router) Choose(_ time.Time, _ pkroute.Want, avoid []pkid.TargetID) (pkroute.Chain, error) {
	if len(avoid) > r.spares {
		return pkroute.Chain{}, pkroute.ErrNoChain
	}
	return pkroute.Chain{Stages: []*pktarget.Target{stage(len(avoid), 0), stage(len(avoid), 1)}}, nil
}

func stage(try, place int) *pktarget.Target {
	one := pktarget.NewTarget(pktarget.Info{ID: pkid.TargetID(fmt.Sprintf("%d-%d", try, place))})
	one.Hold(pktarget.Holding{Range: pkid.Range{First: pkid.Layer(place), End: pkid.Layer(place + 1)}})
	return one
}

type budget struct{ left int }

func (b *budget) Spend() bool {
	b.left--
	return b.left >= 0
}

type unwatched struct{}

func (unwatched) AttemptBegan(ctx context.Context, _ pkid.Attempt, _ pkroute.Chain) context.Context {
	return ctx
}

func (unwatched) AttemptEnded(context.Context, pkid.Attempt, error) {}

func runScript(t *testing.T, e *scripted, spares, retries int, out Sink) (Finish, error) {
	r := &Runner{Engine: e, Router: &router{spares: spares}, Options: DefaultOptions()}
	r.Cancel = func(_ string, _ pkid.RequestID, attempt pkid.Attempt) { e.cancelled = append(e.cancelled, attempt) }
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	req := Request{ID: "r", MaxTokens: answerTokens, PromptTokens: 3, Deadline: time.Now().Add(time.Minute)}
	return r.Run(ctx, req, out, &budget{left: retries}, unwatched{})
}

func whole() string {
	var b strings.Builder
	for i := range pkid.Index(answerTokens) {
		b.WriteString(word(i))
	}
	return b.String()
}

// The caller reads a stream. An attempt fails at some token, in one of the ways
// that engines fail; the next attempt may fail too, even while it resumes. The
// caller must read each token once and in order up to the end mark, with no
// longer pause than it takes to find the fault out, and every attempt that may
// still run must be cancelled, or its engine goes on for nobody.
func TestAnswerSurvives(t *testing.T) {
	faults := []fault{refuses, unreached, dies, loses, skips, repeats, endsEarly, overcounts, goesSilent}
	moments := []pkid.Index{0, 1, answerTokens / 2, answerTokens - 1, answerTokens}
	for _, first := range faults {
		for _, at := range moments {
			for _, second := range append([]fault{none}, faults...) {
				name := fmt.Sprintf("%s at %d then %s", first, at, second)
				t.Run(name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						e := &scripted{t: t, script: []failure{{first, at}, {second, at}}}
						out := &sink{}
						finish, err := runScript(t, e, 5, 5, out)
						assert.NilError(t, err)
						assert.Equal(t, out.said.String(), whole())
						assert.Equal(t, finish.Tokens, pkid.Tokens(answerTokens))
						assert.Assert(t, out.gap < 2*4*pkengine.BeatEvery+200*time.Millisecond, out.gap)
						for i, o := range e.opened[1:] {
							assert.Assert(t, o.Attempt > e.opened[i].Attempt)
							assert.Assert(t, o.Next >= e.opened[i].Next)
							assert.Assert(t, strings.HasPrefix(whole(), o.Delivered))
							if f := e.script[i].fault; f != refuses && f != unreached {
								assert.Assert(t, slices.Contains(e.cancelled, e.opened[i].Attempt))
							}
						}
					})
				})
			}
		}
	}
}

// Nothing is left to serve the answer, or the retry budget of the pool is
// spent. The caller must get one error at once, and it may say "not run" only
// if no engine was ever reached.
func TestAnswerGivesUpWithAVerdict(t *testing.T) {
	cases := map[string]struct {
		script  []failure
		spares  int
		retries int
		verdict pkverdict.Verdict
		reason  pkverdict.Reason
	}{
		"never reached":            {[]failure{{unreached, 0}, {unreached, 0}, {refuses, 0}}, 9, 2, pkverdict.NotRun, pkverdict.ReasonTargetLost},
		"no chain at all":          {nil, -1, 9, pkverdict.NotRun, pkverdict.ReasonNoRoute},
		"died before a token":      {[]failure{{dies, 0}}, 9, 0, pkverdict.MayHaveRun, pkverdict.ReasonTargetLost},
		"died, then unreached":     {[]failure{{dies, 0}, {unreached, 0}}, 9, 1, pkverdict.MayHaveRun, pkverdict.ReasonTargetLost},
		"died in mid-answer twice": {[]failure{{dies, 3}, {dies, 5}}, 9, 1, pkverdict.MayHaveRun, pkverdict.ReasonTargetLost},
		"attempts used up":         {[]failure{{dies, 1}, {dies, 1}, {dies, 1}, {dies, 1}, {dies, 1}, {dies, 1}, {dies, 1}}, 9, 99, pkverdict.MayHaveRun, pkverdict.ReasonTargetLost},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				_, err := runScript(t, &scripted{t: t, script: c.script}, c.spares, c.retries, &sink{})
				var failure *pkverdict.Error
				assert.Assert(t, errors.As(err, &failure), err)
				assert.Equal(t, failure.Verdict, c.verdict)
				assert.Equal(t, failure.Reason, c.reason)
				assert.Assert(t, time.Since(began) < time.Second, "the answer was held back")
			})
		})
	}
}

// A request crashes each engine that begins to run it, and comes again. It was sent to six engines
// each time. Once three have ended it must not reach another; streams that merely break off, of
// engines that are there, or that had given tokens, are sent on as ever.
func TestARequestThatCrashesEnginesIsNotSentOn(t *testing.T) {
	for name, c := range map[string]struct {
		at     pkid.Index
		gone   bool
		opened int
		reason pkverdict.Reason
	}{
		"gone before a token": {0, true, 3, pkverdict.ReasonQuarantined},
		"there":               {0, false, 6, pkverdict.ReasonTargetLost},
		"gone in mid-answer":  {1, true, 6, pkverdict.ReasonTargetLost},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &scripted{t: t, gone: c.gone}
				for i := range pkid.Index(20) {
					e.script = append(e.script, failure{dies, c.at * (1 + i)})
				}
				r := &Runner{Engine: e, Router: &router{spares: 9}, Options: DefaultOptions()}
				r.Cancel = func(string, pkid.RequestID, pkid.Attempt) {}
				req := Request{ID: "r", Digest: 7, MaxTokens: answerTokens, Deadline: time.Now().Add(time.Minute)}
				_, err := r.Run(t.Context(), req, &sink{}, &budget{left: 99}, unwatched{})
				var failure *pkverdict.Error
				assert.Assert(t, errors.As(err, &failure), err)
				assert.Equal(t, failure.Reason, c.reason)
				assert.Equal(t, failure.Verdict, pkverdict.MayHaveRun)
				assert.Equal(t, len(e.opened), c.opened)

				if c.reason != pkverdict.ReasonQuarantined {
					return
				}
				_, err = r.Run(t.Context(), req, &sink{}, &budget{left: 99}, unwatched{})
				assert.Assert(t, errors.As(err, &failure), err)
				assert.Equal(t, failure.Verdict, pkverdict.NotRun)
				assert.Equal(t, len(e.opened), c.opened, "it comes again")
				req.Digest, e.gone, e.script = 8, false, nil
				_, err = r.Run(t.Context(), req, &sink{}, &budget{left: 99}, unwatched{})
				assert.NilError(t, err, "another request")
			})
		})
	}
}

// The caller goes away in mid-answer. The engine must be told, and no other
// attempt may be made: nobody reads it.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &scripted{t: t}
		_, err := runScript(t, e, 9, 9, gone{})
		assert.ErrorContains(t, err, "the caller is gone")
		assert.Equal(t, len(e.opened), 1)
		assert.DeepEqual(t, e.cancelled, []pkid.Attempt{1})
	})
}

type gone struct{}

func (gone) Token(pkid.Index, string) error { return errors.New("broken pipe") }
