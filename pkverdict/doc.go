// Package pkverdict decides whether a request may have run.
//
// Each failed attempt ends with one of three verdicts. NotRun is a guarantee: no byte of the
// request reached a target, or the target itself reported that it did not start it. Only NotRun may
// be reported to a caller as "not run", and only NotRun allows a retry of a call that is not
// idempotent. In doubt, the verdict is MayHaveRun.
package pkverdict
