package pkverdict

import (
	"errors"
	"fmt"
)

// Verdict says whether a request may have run on a target; the zero value is
// MayHaveRun, so that a forgotten verdict promises nothing.
type Verdict uint8

// Verdicts from the weakest promise on.
const (
	MayHaveRun Verdict = iota
	NotRun
	Ran
)

// String returns the verdict as it stands in headers, bodies and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// MayRepeat says whether a request that ended with v may be sent again.
func (v Verdict) MayRepeat(idempotent bool) bool {
	return v == NotRun || (v == MayHaveRun && idempotent)
}

// Join returns the verdict over two attempts of one request.
func Join(a, b Verdict) Verdict {
	if a == Ran || b == Ran {
		return Ran
	}
	if a == NotRun && b == NotRun {
		return NotRun
	}
	return MayHaveRun
}

// Progress is what an attempt had seen of its exchange when it ended.
type Progress struct {
	// Connected is set once a connection was handed to the attempt.
	Connected bool
	// Written is set once any byte of the request may have left this VM.
	Written bool
	// Refused is set when the target answered that it did not start.
	Refused bool
	// Answered is set once the head of an answer was read.
	Answered bool
}

// Decide returns the verdict on an attempt that ended with p.
func Decide(p Progress) Verdict {
	switch {
	case p.Refused:
		return NotRun
	case p.Answered:
		return Ran
	case p.Written:
		return MayHaveRun
	default:
		// Without a connection there is nowhere a byte could have gone.
		return NotRun
	}
}

// ErrStopping is the cause of a context that ends because this VM stops.
var ErrStopping = errors.New("this VM is stopping")

// Error is a failure together with its verdict.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is a short snake case word for metrics and bodies.
	Reason Reason
	// Err is the cause.
	Err error
}

// Reason is a short snake case word that names why a request failed.
type Reason string

// Reasons that callers can meet.
const (
	ReasonOverload   Reason = "overload"
	ReasonDeadline   Reason = "deadline"
	ReasonNoRoute    Reason = "no_route"
	ReasonTargetLost Reason = "target_lost"
	// ReasonUnreachable says that no connection was made: nothing reached the target.
	ReasonUnreachable Reason = "unreachable"
	ReasonRefused     Reason = "refused"
	ReasonStopping    Reason = "stopping"
	ReasonCanceled    Reason = "canceled"
	// ReasonQuarantined says that replicas have ended under the request.
	ReasonQuarantined Reason = "quarantined"
)

// Error returns the reason, the verdict and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
