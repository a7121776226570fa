package pkanswer

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"

	"peridotknot.example/pkengine"
	"peridotknot.example/pkid"
	"peridotknot.example/pkquarantine"
	"peridotknot.example/pkroute"
	"peridotknot.example/pkstream"
	"peridotknot.example/pktarget"
	"peridotknot.example/pktimer"
	"peridotknot.example/pkverdict"
)

// Request is an admitted model request.
type Request struct {
	ID pkid.RequestID
	// Digest is the same for requests that differ only in their ids; zero if unknown.
	Digest       pkquarantine.Digest
	Spec         pkroute.ChainSpec
	Prompt       string
	PromptTokens pkid.Tokens
	MaxTokens    pkid.Tokens
	Priority     int
	Deadline     time.Time
}

// Result is the outcome of a request: the finish reason, empty if it failed, the tokens delivered
// and the attempts made.
type Result struct {
	FinishReason string
	Tokens       pkid.Tokens
	Attempts     int
}

// Sink receives the tokens of an answer in order; an error means that the caller has disconnected.
type Sink interface {
	Token(index pkid.TokenIndex, text string) error
}

// Router chooses a chain of targets and leaves out those in avoid.
type Router interface {
	Choose(now time.Time, spec pkroute.ChainSpec, avoid []pkid.TargetID) (pkroute.Chain, error)
}

// RetryBudget limits retries; Spend takes one from it and returns false if there is none left.
type RetryBudget interface {
	Spend() bool
}

// Observer observes the attempts of an answer; its methods are called from the goroutine of Run.
type Observer interface {
	// AttemptBegan is called before an attempt and returns the context to run it in.
	AttemptBegan(ctx context.Context, attempt pkid.Attempt, chain pkroute.Chain) context.Context
	// AttemptEnded is called after an attempt; err is nil if the answer is complete.
	AttemptEnded(ctx context.Context, attempt pkid.Attempt, err error)
}

// Options limits the recovery of an answer.
type Options struct {
	// MaxAttempts is the maximum number of attempts for an answer.
	MaxAttempts int
	// ChainTimeout is how long an answer in progress waits for a usable chain.
	ChainTimeout time.Duration
	// PollInterval is the interval at which it tries to choose a chain again.
	PollInterval time.Duration
}

// DefaultOptions returns limits for links within one region.
func DefaultOptions() Options {
	return Options{MaxAttempts: 6, ChainTimeout: 2 * time.Second, PollInterval: 25 * time.Millisecond}
}

// Runner runs model requests; it is safe for concurrent use.
type Runner struct {
	Engine  pkengine.Engine
	Router  Router
	Options Options
	// Cancel is called for each abandoned attempt that may still run; addr is its first engine.
	Cancel func(addr string, id pkid.RequestID, attempt pkid.Attempt)
	// Quarantine records the requests that crashed engines.
	Quarantine pkquarantine.Table
}

// run is one request in progress.
type run struct {
	*Runner
	req       Request
	sink      Sink
	observer  Observer
	budget    RetryBudget
	relay     pkstream.Relay
	delivered strings.Builder
	avoid     []pkid.TargetID
	verdict   pkverdict.Verdict
	attempts  int
}

// errCallerGone marks an error on the caller's side, after which no further attempt is made.
var errCallerGone = errors.New("caller disconnected")

// errQuarantined is returned for a quarantined request.
var errQuarantined = errors.New("request quarantined: engines crashed while running it")

// crashProbeTimeout limits the probe that checks whether an engine still runs after its stream
// failed. A host whose engine process has ended refuses the connection at once.
const crashProbeTimeout = 300 * time.Millisecond

// detectCrash records a crash against the request if the attempt delivered no token and its engine
// no longer runs. Otherwise a request that crashes engines would be retried on one engine after
// another.
func (a *run) detectCrash(ctx context.Context, first *pktarget.Target, startIndex pkid.TokenIndex) {
	if a.relay.Next() > startIndex || ctx.Err() != nil || first.Leaving() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	if _, err := a.Engine.Load(ctx, first.Info.Addr); errors.Is(err, syscall.ECONNREFUSED) {
		now := time.Now()
		a.Quarantine.RecordCrash(now, now, pkquarantine.Traits{Request: a.req.Digest}, pkquarantine.StartIDOf(first.Info.ID, 0))
	}
}

// Run runs a request and passes its tokens to sink; the error is a *pkverdict.Error.
func (r *Runner) Run(ctx context.Context, req Request, sink Sink, budget RetryBudget, observer Observer) (Result, error) {
	a := &run{Runner: r, req: req, sink: sink, budget: budget, observer: observer, verdict: pkverdict.NotRun}
	for {
		if r.Quarantine.Remaining(time.Now(), pkquarantine.Traits{Request: req.Digest}) > 0 {
			return a.result(""), a.failure(pkverdict.ReasonQuarantined, errQuarantined)
		}
		chain, err := a.chooseChain(ctx)
		if err != nil {
			return a.result(""), a.failure(pkverdict.ReasonNoRoute, err)
		}
		reason, err := a.attempt(ctx, chain)
		if err == nil {
			r.Quarantine.RecordSuccess(time.Now(), pkquarantine.Traits{Request: req.Digest})
			return a.result(reason), nil
		}
		if errors.Is(err, errCallerGone) || ctx.Err() != nil {
			return a.result(""), a.failure(reasonOf(ctx), err)
		}
		if a.attempts >= r.Options.MaxAttempts {
			return a.result(""), a.failure(pkverdict.ReasonTargetLost, fmt.Errorf("gave up after %d attempts: %w", a.attempts, err))
		}
		if !a.budget.Spend() {
			return a.result(""), a.failure(pkverdict.ReasonTargetLost, fmt.Errorf("retry budget of the pool exhausted: %w", err))
		}
	}
}

func reasonOf(ctx context.Context) pkverdict.Reason {
	if errors.Is(context.Cause(ctx), pkverdict.ErrStopping) {
		return pkverdict.ReasonStopping
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return pkverdict.ReasonDeadline
	}
	return pkverdict.ReasonCanceled
}

func (a *run) result(reason string) Result {
	return Result{FinishReason: reason, Tokens: pkid.Tokens(a.relay.Next()), Attempts: a.attempts}
}

func (a *run) failure(reason pkverdict.Reason, err error) error {
	return &pkverdict.Error{Verdict: a.verdict, Reason: reason, Err: err}
}

// chooseChain chooses a chain. If none is usable, an answer in progress waits for one: most losses
// are short, and failing would waste the tokens already delivered. A request that has not been
// attempted yet fails at once.
func (a *run) chooseChain(ctx context.Context) (pkroute.Chain, error) {
	var waited time.Duration
	for {
		chain, err := a.Router.Choose(time.Now(), a.req.Spec, a.avoid)
		if err != nil && len(a.avoid) > 0 {
			// Retrying a failed target is better than failing the request.
			chain, err = a.Router.Choose(time.Now(), a.req.Spec, nil)
		}
		if err == nil || a.attempts == 0 || waited >= a.Options.ChainTimeout {
			return chain, err
		}
		if !pktimer.Sleep(ctx, a.Options.PollInterval) {
			return pkroute.Chain{}, ctx.Err()
		}
		waited += a.Options.PollInterval
	}
}

// attempt runs one attempt to its end and returns the finish reason.
func (a *run) attempt(ctx context.Context, chain pkroute.Chain) (string, error) {
	a.attempts++
	startIndex := a.relay.Next()
	attempt := a.relay.Begin()
	for _, t := range chain.Stages {
		t.Begin()
		defer t.Done()
	}
	ctx = a.observer.AttemptBegan(ctx, attempt, chain)
	reason, err := a.stream(ctx, attempt, chain)
	a.observer.AttemptEnded(ctx, attempt, err)
	if err != nil && !a.notRun(err) {
		a.detectCrash(ctx, chain.Stages[0], startIndex)
		a.Cancel(chain.Stages[0].Info.Addr, a.req.ID, attempt)
	}
	return reason, err
}

func (a *run) notRun(err error) bool {
	var failure *pkverdict.Error
	return errors.As(err, &failure) && failure.Verdict == pkverdict.NotRun
}

func (a *run) stream(ctx context.Context, attempt pkid.Attempt, chain pkroute.Chain) (string, error) {
	first := chain.Stages[0]
	stream, err := a.Engine.Open(ctx, first.Info.Addr, a.openRequest(attempt, chain))
	if err != nil {
		if !a.notRun(err) {
			a.verdict = pkverdict.MayHaveRun
		}
		a.recordFailure(ctx, first)
		return "", err
	}
	a.verdict = pkverdict.MayHaveRun
	defer func() { _ = stream.Close() }() // the connection is released even if this fails
	for {
		ev, err := stream.Next()
		if err != nil {
			a.recordFailure(ctx, first)
			return "", err
		}
		done, err := a.handleEvent(attempt, chain, ev, time.Now())
		if err != nil {
			return "", err
		}
		if done {
			recordSuccess(chain)
			return ev.End, nil
		}
	}
}

func (a *run) openRequest(attempt pkid.Attempt, chain pkroute.Chain) pkengine.OpenRequest {
	o := pkengine.OpenRequest{
		Stream:       a.req.ID,
		Attempt:      attempt,
		Model:        a.req.Spec.Model,
		Version:      a.req.Spec.Version,
		Adapter:      a.req.Spec.Adapter,
		Prompt:       a.req.Prompt,
		PromptTokens: a.req.PromptTokens,
		Delivered:    a.delivered.String(),
		Next:         a.relay.Next(),
		MaxTokens:    a.req.MaxTokens,
		Priority:     a.req.Priority,
		DeadlineMS:   time.Until(a.req.Deadline).Milliseconds(),
	}
	for _, t := range chain.Stages {
		h := t.Holding()
		o.Route = append(o.Route, pkengine.Hop{Target: t.Info.ID, Addr: t.Info.Addr, First: h.Range.First, End: h.Range.End})
	}
	return o
}

// handleEvent processes one event and returns whether it completed the answer.
func (a *run) handleEvent(attempt pkid.Attempt, chain pkroute.Chain, ev pkengine.Event, now time.Time) (bool, error) {
	switch {
	case ev.Heartbeat:
		return false, nil
	case ev.LostStage != "":
		return false, a.stageLost(chain, ev.LostStage, now)
	case ev.End != "":
		if err := a.relay.End(attempt, ev.Total); err != nil {
			chain.Stages[0].RecordFailure(now)
			return false, err
		}
		return true, nil
	}
	switch a.relay.Token(attempt, ev.Index) {
	case pkstream.Drop:
		return false, nil
	case pkstream.Replace:
		chain.Stages[0].RecordFailure(now)
		a.avoid = append(a.avoid, chain.Stages[0].Info.ID)
		return false, fmt.Errorf("gap in the stream: got token %d, want token %d", ev.Index, a.relay.Next())
	default:
	}
	a.delivered.WriteString(ev.Text)
	if err := a.sink.Token(ev.Index, ev.Text); err != nil {
		return false, fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return false, nil
}

// stageLost records the failure of the stage that the engines reported as lost.
func (a *run) stageLost(chain pkroute.Chain, id pkid.TargetID, now time.Time) error {
	a.avoid = append(a.avoid, id)
	for _, t := range chain.Stages {
		if t.Info.ID == id {
			t.RecordFailure(now)
		}
	}
	return fmt.Errorf("engine reported the loss of stage %s", id)
}

func (a *run) recordFailure(ctx context.Context, t *pktarget.Target) {
	if ctx.Err() != nil {
		// The caller disconnected or the deadline passed, which is no failure of the target.
		return
	}
	t.RecordFailure(time.Now())
	a.avoid = append(a.avoid, t.Info.ID)
}

func recordSuccess(chain pkroute.Chain) {
	for _, t := range chain.Stages {
		t.RecordSuccess()
	}
}
