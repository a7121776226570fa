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

// Request is one model request that was admitted.
type Request struct {
	ID pkid.RequestID
	// Digest is the same for requests that differ by their ids alone; zero where that is not
	// told.
	Digest       pkquarantine.Digest
	Want         pkroute.Want
	Prompt       string
	PromptTokens pkid.Tokens
	MaxTokens    pkid.Tokens
	Priority     int
	Deadline     time.Time
}

// Finish is how a whole answer ended.
type Finish struct {
	Reason   string
	Tokens   pkid.Tokens
	Attempts int
}

// Sink takes the tokens of an answer in order; an error means that the caller
// is gone.
type Sink interface {
	Token(index pkid.Index, text string) error
}

// Router chooses a chain that avoids some targets.
type Router interface {
	Choose(now time.Time, want pkroute.Want, avoid []pkid.TargetID) (pkroute.Chain, error)
}

// Budget says whether one more attempt may be made.
type Budget interface {
	Spend() bool
}

// Watcher is told what happens to an answer; calls come from its goroutine.
type Watcher interface {
	// AttemptBegan returns the context to run the attempt in.
	AttemptBegan(ctx context.Context, attempt pkid.Attempt, chain pkroute.Chain) context.Context
	// AttemptEnded is told how the attempt ended; nil is a whole answer.
	AttemptEnded(ctx context.Context, attempt pkid.Attempt, err error)
}

// Options bounds the recovery of an answer.
type Options struct {
	// Attempts is how many attempts an answer may take.
	Attempts int
	// Patience is how long an answer in progress waits for a chain when none
	// is usable.
	Patience time.Duration
	// Poll is how often it looks again.
	Poll time.Duration
}

// DefaultOptions returns bounds for links within one region.
func DefaultOptions() Options {
	return Options{Attempts: 6, Patience: 2 * time.Second, Poll: 25 * time.Millisecond}
}

// Runner runs answers.
type Runner struct {
	Engine  pkengine.Engine
	Router  Router
	Options Options
	// Cancel is told of attempts that were given up.
	Cancel func(addr string, id pkid.RequestID, attempt pkid.Attempt)
	// Quarantine is the requests under which engines have ended.
	Quarantine pkquarantine.Table
}

// run is one answer in progress.
type run struct {
	*Runner
	req      Request
	sink     Sink
	watch    Watcher
	budget   Budget
	relay    pkstream.Relay
	said     strings.Builder
	avoid    []pkid.TargetID
	verdict  pkverdict.Verdict
	attempts int
}

// errCaller marks an error of the caller's side, which no attempt can mend.
var errCaller = errors.New("the caller is gone")

// errQuarantined ends a request under which too many engines have ended.
var errQuarantined = errors.New("engines that ran this request have ended")

// goneTimeout bounds the question whether an engine is there after its stream broke off: one
// whose process is gone refuses the connection at once.
const goneTimeout = 300 * time.Millisecond

// endedUnder suspects the request of an attempt that gave no token, where its engine is gone.
// Sent on as if only the engine had failed, a request that crashes each engine which begins to
// run it ended six engines, and six more each time it came again.
func (a *run) endedUnder(ctx context.Context, head *pktarget.Target, before pkid.Index) {
	if a.relay.Next() > before || ctx.Err() != nil || head.Leaving() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, goneTimeout)
	defer cancel()
	if _, err := a.Engine.Load(ctx, head.Info.Addr); errors.Is(err, syscall.ECONNREFUSED) {
		a.Quarantine.Crashed(time.Now(), a.req.Digest, pkquarantine.StartOf(head.Info.ID, 0))
	}
}

// Run runs an answer; the error is a *pkverdict.Error.
func (r *Runner) Run(ctx context.Context, req Request, sink Sink, budget Budget, watch Watcher) (Finish, error) {
	a := &run{Runner: r, req: req, sink: sink, budget: budget, watch: watch, verdict: pkverdict.NotRun}
	for {
		if r.Quarantine.Left(time.Now(), req.Digest) > 0 {
			return a.finish(""), a.fail(pkverdict.ReasonQuarantined, errQuarantined)
		}
		chain, err := a.chain(ctx)
		if err != nil {
			return a.finish(""), a.fail(pkverdict.ReasonNoRoute, err)
		}
		reason, err := a.attempt(ctx, chain)
		if err == nil {
			r.Quarantine.Ran(time.Now(), req.Digest)
			return a.finish(reason), nil
		}
		if errors.Is(err, errCaller) || ctx.Err() != nil {
			return a.finish(""), a.fail(reasonOf(ctx), err)
		}
		if a.attempts >= r.Options.Attempts {
			return a.finish(""), a.fail(pkverdict.ReasonTargetLost, fmt.Errorf("gave up after %d attempts: %w", a.attempts, err))
		}
		if !a.budget.Spend() {
			return a.finish(""), a.fail(pkverdict.ReasonTargetLost, fmt.Errorf("the pool's retry budget is spent: %w", err))
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

func (a *run) finish(reason string) Finish {
	return Finish{Reason: reason, Tokens: pkid.Tokens(a.relay.Next()), Attempts: a.attempts}
}

func (a *run) fail(reason pkverdict.Reason, err error) error {
	return &pkverdict.Error{Verdict: a.verdict, Reason: reason, Err: err}
}

// chain chooses a chain. An answer in progress waits a little when there is
// none: most losses heal within a second, and refusing would waste what the
// caller has. A request that has not begun is refused at once instead.
func (a *run) chain(ctx context.Context) (pkroute.Chain, error) {
	var waited time.Duration
	for {
		chain, err := a.Router.Choose(time.Now(), a.req.Want, a.avoid)
		if err != nil && len(a.avoid) > 0 {
			// A target that failed once is better than none.
			chain, err = a.Router.Choose(time.Now(), a.req.Want, nil)
		}
		if err == nil || a.attempts == 0 || waited >= a.Options.Patience {
			return chain, err
		}
		if !pktimer.Sleep(ctx, a.Options.Poll) {
			return pkroute.Chain{}, ctx.Err()
		}
		waited += a.Options.Poll
	}
}

// attempt runs one attempt to its end and returns the finish reason.
func (a *run) attempt(ctx context.Context, chain pkroute.Chain) (string, error) {
	a.attempts++
	before := a.relay.Next()
	number := a.relay.Begin()
	for _, t := range chain.Stages {
		t.Begin()
		defer t.Done()
	}
	ctx = a.watch.AttemptBegan(ctx, number, chain)
	reason, err := a.stream(ctx, number, chain)
	a.watch.AttemptEnded(ctx, number, err)
	if err != nil && !a.refused(err) {
		a.endedUnder(ctx, chain.Stages[0], before)
		a.Cancel(chain.Stages[0].Info.Addr, a.req.ID, number)
	}
	return reason, err
}

func (a *run) refused(err error) bool {
	var failure *pkverdict.Error
	return errors.As(err, &failure) && failure.Verdict == pkverdict.NotRun
}

func (a *run) stream(ctx context.Context, number pkid.Attempt, chain pkroute.Chain) (string, error) {
	head := chain.Stages[0]
	stream, err := a.Engine.Open(ctx, head.Info.Addr, a.open(number, chain))
	if err != nil {
		if !a.refused(err) {
			a.verdict = pkverdict.MayHaveRun
		}
		a.blame(ctx, head)
		return "", err
	}
	a.verdict = pkverdict.MayHaveRun
	defer func() { _ = stream.Close() }() // the connection goes either way
	for {
		ev, err := stream.Next()
		if err != nil {
			a.blame(ctx, head)
			return "", err
		}
		done, err := a.event(number, chain, ev, time.Now())
		if err != nil {
			return "", err
		}
		if done {
			succeed(chain)
			return ev.End, nil
		}
	}
}

func (a *run) open(number pkid.Attempt, chain pkroute.Chain) pkengine.Open {
	o := pkengine.Open{
		Stream:       a.req.ID,
		Attempt:      number,
		Model:        a.req.Want.Model,
		Version:      a.req.Want.Version,
		Adapter:      a.req.Want.Adapter,
		Prompt:       a.req.Prompt,
		PromptTokens: a.req.PromptTokens,
		Delivered:    a.said.String(),
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

// event takes one event and says whether it was the end of a whole answer.
func (a *run) event(number pkid.Attempt, chain pkroute.Chain, ev pkengine.Event, now time.Time) (bool, error) {
	switch {
	case ev.Beat:
		return false, nil
	case ev.Lost != "":
		return false, a.lost(chain, ev.Lost, now)
	case ev.End != "":
		if err := a.relay.End(number, ev.Total); err != nil {
			chain.Stages[0].Failed(now)
			return false, err
		}
		return true, nil
	}
	switch a.relay.Token(number, ev.Index) {
	case pkstream.Drop:
		return false, nil
	case pkstream.Replace:
		chain.Stages[0].Failed(now)
		a.avoid = append(a.avoid, chain.Stages[0].Info.ID)
		return false, fmt.Errorf("token %d came while %d was next", ev.Index, a.relay.Next())
	default:
	}
	a.said.WriteString(ev.Text)
	if err := a.sink.Token(ev.Index, ev.Text); err != nil {
		return false, fmt.Errorf("%w: %w", errCaller, err)
	}
	return false, nil
}

// lost blames the stage that the engines say they lost.
func (a *run) lost(chain pkroute.Chain, id pkid.TargetID, now time.Time) error {
	a.avoid = append(a.avoid, id)
	for _, t := range chain.Stages {
		if t.Info.ID == id {
			t.Failed(now)
		}
	}
	return fmt.Errorf("stage %s was lost", id)
}

func (a *run) blame(ctx context.Context, t *pktarget.Target) {
	if ctx.Err() != nil {
		// The caller left or its time was up; that is not the target's doing.
		return
	}
	t.Failed(time.Now())
	a.avoid = append(a.avoid, t.Info.ID)
}

func succeed(chain pkroute.Chain) {
	for _, t := range chain.Stages {
		t.Succeeded()
	}
}
