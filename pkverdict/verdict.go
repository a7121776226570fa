package pkverdict

import (
	"errors"
	"fmt"
)

// Verdict is whether a request may have run on a target. The zero value is MayHaveRun, so that an
// unset verdict guarantees nothing.
type Verdict uint8

// Verdicts on a request.
const (
	MayHaveRun Verdict = iota
	NotRun
	Ran
)

// String returns the verdict as used in headers, bodies and logs.
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

// MayRetry reports whether a request that ended with v may be retried.
func (v Verdict) MayRetry(idempotent bool) bool {
	return v == NotRun || (v == MayHaveRun && idempotent)
}

// Join returns the combined verdict of two attempts of one request.
func Join(a, b Verdict) Verdict {
	if a == Ran || b == Ran {
		return Ran
	}
	if a == NotRun && b == NotRun {
		return NotRun
	}
	return MayHaveRun
}

// Progress is the state of an attempt's exchange when it ended.
type Progress struct {
	// Connected is set once the attempt has a connection.
	Connected bool
	// Written is set once any byte of the request may have left this VM.
	Written bool
	// Refused is set if the target answered that it did not start the request.
	Refused bool
	// Answered is set once the response header was read.
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
		// No byte of the request was sent.
		return NotRun
	}
}

// ErrStopping is the cause of a context canceled because this VM is stopping.
var ErrStopping = errors.New("this VM is stopping")

// Error is a failure with its verdict.
type Error struct {
	Verdict Verdict
	// Reason is why the request failed.
	Reason Reason
	Err    error
	// Unanswered is set if the exchange is known to have ended before any response.
	Unanswered bool
}

// Lost returns the error of a send whose target may have run the request and has not answered it.
func Lost(cause error) *Error {
	return &Error{Verdict: MayHaveRun, Reason: ReasonTargetLost, Err: cause}
}

// MayHaveArrived reports whether a part of the request may have reached the target.
func (e *Error) MayHaveArrived() bool { return e.Verdict != NotRun || e.Reason == ReasonRefused }

// Reason is a short snake case identifier of why a request failed, used in metrics and bodies.
type Reason string

// Reasons reported to callers.
const (
	ReasonOverload   Reason = "overload"
	ReasonDeadline   Reason = "deadline"
	ReasonNoRoute    Reason = "no_route"
	ReasonTargetLost Reason = "target_lost"
	// ReasonUnreachable means that no connection was established, so nothing reached the target.
	ReasonUnreachable Reason = "unreachable"
	// ReasonCutOff means that the links of the sender were cut before the target answered.
	ReasonCutOff   Reason = "cut_off"
	ReasonRefused  Reason = "refused"
	ReasonStopping Reason = "stopping"
	ReasonCanceled Reason = "canceled"
	// ReasonQuarantined means that the request is quarantined because it crashed replicas.
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
